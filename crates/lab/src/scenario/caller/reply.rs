//! What came back for one query, as the caller understood it.

use bytes::{Buf, BytesMut};
use pgwire::messages::data::DataRow;
use pgwire::messages::response::ErrorResponse;

use crate::check::history::{Outcome, Told};

/// Head of the numbered messages of the proxy.
const NUMBER_PREFIX: &str = "KL";
/// Number of the result that says a request key was given up for good.
const ABANDONED_NUMBER: u16 = 1703;

/// An error message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ErrorReply {
    /// SQLSTATE.
    pub sqlstate: String,
    /// Text.
    pub message: String,
}

impl ErrorReply {
    /// Takes the fields that matter out of a message.
    pub fn new(response: &ErrorResponse) -> Self {
        let field = |code: u8| {
            let found = response.fields.iter().find(|(key, _)| *key == code);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        Self { sqlstate: field(b'C'), message: field(b'M') }
    }

    /// What the error says of the request. An error of the database itself means that the
    /// statement had no effect.
    pub fn outcome(&self) -> Outcome {
        let (number, words) = self.numbered();
        let told = Told { number, sqlstate: self.sqlstate.clone() };
        if number == Some(ABANDONED_NUMBER) {
            Outcome::Abandoned(told)
        } else if number.is_some() && words.starts_with("in doubt") {
            Outcome::InDoubt(told)
        } else if number.is_some() && words.starts_with("ran") {
            Outcome::AlreadyRan(told)
        } else {
            Outcome::NotRun(told)
        }
    }

    /// The number at the head of the message, and the words after it.
    fn numbered(&self) -> (Option<u16>, &str) {
        let Some(rest) = self.message.strip_prefix(NUMBER_PREFIX) else { return (None, "") };
        let (digits, words) = rest.split_once(' ').unwrap_or((rest, ""));
        (digits.parse().ok(), words)
    }
}

/// Everything that came back for one query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Rows as text.
    pub rows: Vec<Vec<Option<String>>>,
    /// Command tag of the last statement.
    pub tag: String,
    /// The first error.
    pub error: Option<ErrorReply>,
}

impl Reply {
    /// A value of the first row.
    pub fn first(&self, column: usize) -> Option<&str> {
        self.rows.first()?.get(column)?.as_deref()
    }
}

/// Text values of a row; `None` if the message is malformed.
pub fn decode_row(row: DataRow) -> Option<Vec<Option<String>>> {
    let mut data: BytesMut = row.data;
    let mut values = Vec::new();
    for _ in 0..row.field_count {
        let length = data.try_get_i32().ok()?;
        if length < 0 {
            values.push(None);
            continue;
        }
        if data.len() < length as usize {
            return None;
        }
        let text = data.split_to(length as usize);
        values.push(Some(String::from_utf8_lossy(&text).into_owned()));
    }
    Some(values)
}
