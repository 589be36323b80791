//! Checks the statements that arrived on each connection, in order.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::record::{GroupStatements, ReceivedStatement};
use super::texts::{PreparedNames, prepared_by, without_position};
use super::values::ConnectionValues;
use super::violation::{StatementRule, StatementViolation};
use super::{Sent, SentById};

/// Id of the proxy's own statements.
const OWN_STATEMENT_ID: &str = "-";

/// Checks all connections of a group.
pub fn check(
    sent: &SentById<'_>,
    group: &GroupStatements,
    violations: &mut Vec<StatementViolation>,
) {
    let session_states = session_states(sent);
    let mut connections = BTreeMap::<u64, Connection>::new();
    for received in &group.received {
        let connection = connections.entry(received.connection).or_default();
        if let Some(known) = &group.node_addresses
            && !known.contains(&received.source)
        {
            violations.push(violation(StatementRule::FromNode, received, "from no node's address"));
        }
        match received.id.as_str() {
            OWN_STATEMENT_ID => {
                connection.on_own_statement(received, sent, &session_states, violations);
            }
            id => match sent.get(id) {
                Some(sent) => connection.on_client_statement(received, sent, violations),
                None => {
                    let detail = "no client sent this id";
                    violations.push(violation(StatementRule::IsSent, received, detail));
                }
            },
        }
    }
}

/// The settings and the definitions of prepared statements that each session sent.
type SessionStates<'a> = HashMap<&'a str, HashSet<&'a str>>;

fn session_states<'a>(sent: &SentById<'a>) -> SessionStates<'a> {
    let mut states = SessionStates::new();
    for Sent { statement, .. } in sent.values() {
        let established = state_established_by(&statement.text);
        states.entry(&statement.session).or_default().extend(established);
    }
    states
}

/// The setting or the definition, without its prepared name, that a statement establishes.
fn state_established_by(text: &str) -> Option<&str> {
    match prepared_by(text) {
        Some((_, definition)) => Some(definition),
        None => text.starts_with("SET ").then_some(text),
    }
}

/// State of a connection at an instance.
#[derive(Debug, Default)]
struct Connection {
    /// Id of the `BEGIN` of the open transaction.
    transaction: Option<String>,
    prepared: PreparedNames,
    values: ConnectionValues,
}

impl Connection {
    fn on_own_statement(
        &mut self,
        received: &ReceivedStatement,
        sent: &SentById<'_>,
        sessions: &SessionStates<'_>,
        violations: &mut Vec<StatementViolation>,
    ) {
        let text = received.text.as_str();
        let opener = self.transaction.as_deref().and_then(|begin| sent.get(begin));
        let established = state_established_by(text);
        let is_established_by = |states: &HashSet<&str>| {
            established.is_some_and(|established| states.contains(established))
        };
        let is_allowed = match opener {
            Some(opener) => {
                let own = sessions.get(opener.statement.session.as_str());
                text == "ROLLBACK" || own.is_some_and(is_established_by)
            }
            None => received.is_command || sessions.values().any(is_established_by),
        };
        if !is_allowed {
            let detail = match &self.transaction {
                Some(begin) => format!("the proxy's own, inside the transaction of {begin}"),
                None => "no statement that the proxy needs".to_owned(),
            };
            violations.push(violation(StatementRule::OwnStatement, received, &detail));
        }
        if received.ran {
            self.prepared.apply(text);
            self.values.apply(text);
        }
        if text == "ROLLBACK" || text == "COMMIT" {
            self.transaction = None;
        }
    }

    fn on_client_statement(
        &mut self,
        received: &ReceivedStatement,
        sent: &Sent<'_>,
        violations: &mut Vec<StatementViolation>,
    ) {
        let Sent { statement, meaning, values } = sent;
        let (text, has_position) = without_position(&received.text);
        let may_have_position = meaning.is_read() || meaning.is_begin();
        let is_unchanged = self.prepared.meaning(text) == *meaning;
        if !is_unchanged || has_position && !may_have_position {
            let detail = format!("its client sent {:?}", statement.text);
            violations.push(violation(StatementRule::TextUnchanged, received, &detail));
        }
        if received.ran {
            self.check_transaction(received, sent, violations);
            // A rollback depends on no value.
            if !values.allow(&self.values) && text != "ROLLBACK" {
                let detail = format!("with {:?}, its session may have {values:?}", self.values);
                violations.push(violation(StatementRule::OwnValues, received, &detail));
            }
            self.prepared.apply(text);
            if meaning.is_begin() {
                self.transaction = Some(statement.id.clone());
            }
        }
        if meaning.is_end() {
            self.transaction = None;
        }
    }

    fn check_transaction(
        &self,
        received: &ReceivedStatement,
        sent: &Sent<'_>,
        violations: &mut Vec<StatementViolation>,
    ) {
        let expected = match sent.meaning.is_begin() {
            true => &None,
            false => &sent.statement.transaction,
        };
        if self.transaction != *expected {
            let detail = format!(
                "in the transaction {:?}, its client sent it in {expected:?}",
                self.transaction
            );
            violations.push(violation(StatementRule::OwnTransaction, received, &detail));
        }
    }
}

fn violation(
    rule: StatementRule,
    received: &ReceivedStatement,
    detail: &str,
) -> StatementViolation {
    let ReceivedStatement { id, text, instance, connection, source, .. } = received;
    let text: String = text.chars().take(80).collect();
    StatementViolation::new(
        rule,
        format!("{id} {text:?} at {instance}, connection {connection} from {source}: {detail}"),
    )
}
