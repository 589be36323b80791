//! The SQL of each action. Every text names its operation, so that answers and arrivals at the
//! instances can be told apart.

use crate::check::history::{Action, Answer, Ending, OperationId, RowKey};
use crate::scenario::caller::reply::Reply;

/// Head of every operation's id.
pub const OPERATION_PREFIX: &str = "op-";

/// Id of the `number`th operation of a session.
pub fn operation_id(session: u32, number: u32) -> OperationId {
    OperationId(format!("{OPERATION_PREFIX}{session}-{number}"))
}

/// The operation that a statement's text names, if any.
pub fn operation_in(sql: &str) -> Option<OperationId> {
    let start = sql.find(OPERATION_PREFIX)?;
    let rest = &sql[start + OPERATION_PREFIX.len()..];
    let length = rest.find(|next: char| !next.is_ascii_digit() && next != '-');
    let digits = &rest[..length.unwrap_or(rest.len())];
    Some(OperationId(format!("{OPERATION_PREFIX}{digits}")))
}

/// The texts of an action, to be sent one after the other.
pub fn texts(action: &Action, operation: &OperationId) -> Vec<String> {
    match *action {
        Action::Read(RowKey::Register(id)) => {
            vec![format!("SELECT '{operation}' AS mark, value FROM registers WHERE id = {id}")]
        }
        Action::Read(RowKey::Seat(id)) => {
            vec![format!("SELECT '{operation}' AS mark, owner FROM seats WHERE id = {id}")]
        }
        Action::Write(RowKey::Register(id) | RowKey::Seat(id)) => vec![format!(
            "UPDATE registers SET value = '{operation}' WHERE id = {id} RETURNING value"
        )],
        Action::Deposit => vec![format!(
            "INSERT INTO deposits (operation, amount) VALUES ('{operation}', 50) \
             RETURNING operation"
        )],
        Action::Purchase(RowKey::Seat(id) | RowKey::Register(id)) => vec![format!(
            "UPDATE seats SET owner = '{operation}' WHERE id = {id} AND owner = '' \
             RETURNING owner"
        )],
        Action::Transaction { parts, ending } => block(parts, ending, operation),
    }
}

/// A statement with parameters, and the name under which a connection prepares it once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prepared {
    /// Name on the connection.
    pub name: &'static str,
    /// Text.
    pub text: &'static str,
    /// Parameters as text.
    pub parameters: Vec<String>,
}

/// An action of one statement in prepared form; `None` for transaction blocks.
pub fn prepared(action: &Action, operation: &OperationId) -> Option<Prepared> {
    let (name, text, row) = match *action {
        Action::Read(RowKey::Register(id)) => {
            ("read_register", "SELECT $1 AS mark, value FROM registers WHERE id = $2", Some(id))
        }
        Action::Read(RowKey::Seat(id)) => {
            ("read_seat", "SELECT $1 AS mark, owner FROM seats WHERE id = $2", Some(id))
        }
        Action::Write(RowKey::Register(id) | RowKey::Seat(id)) => (
            "write_register",
            "UPDATE registers SET value = $1 WHERE id = $2 RETURNING value",
            Some(id),
        ),
        Action::Deposit => (
            "deposit",
            "INSERT INTO deposits (operation, amount) VALUES ($1, 50) RETURNING operation",
            None,
        ),
        Action::Purchase(RowKey::Seat(id) | RowKey::Register(id)) => (
            "purchase",
            "UPDATE seats SET owner = $1 WHERE id = $2 AND owner = '' RETURNING owner",
            Some(id),
        ),
        Action::Transaction { .. } => return None,
    };
    let mut parameters = vec![operation.to_string()];
    parameters.extend(row.map(|id| id.to_string()));
    Some(Prepared { name, text, parameters })
}

fn block(parts: u32, ending: Ending, operation: &OperationId) -> Vec<String> {
    let mut texts = vec![format!("BEGIN /* {operation} */")];
    for part in 0..parts {
        texts.push(format!("INSERT INTO parts (operation, part) VALUES ('{operation}', {part})"));
    }
    texts.push(match ending {
        Ending::Commit => format!("COMMIT /* {operation} */"),
        Ending::RollBack => format!("ROLLBACK /* {operation} */"),
    });
    texts
}

/// What the checker is to know of the reply to an action's last text.
pub fn answer_of(action: &Action, reply: &Reply) -> Answer {
    let value = match action {
        Action::Read(_) => reply.first(1).map(str::to_owned),
        _ => None,
    };
    Answer {
        mark: reply.first(0).map(str::to_owned),
        value,
        rows: reply.rows.len() as u32,
        tag: reply.tag.clone(),
    }
}
