//! The session values that a statement must find on its connection: those that were acknowledged to
//! its client before.

use std::collections::{BTreeMap, HashMap};

use super::record::SentStatement;

/// Name of a value, and its text.
type Values = BTreeMap<String, String>;

/// Values that a session may have: for each name the last acknowledged one, and those that were sent
/// after it and not acknowledged, because the client does not know whether they were set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionValues(BTreeMap<String, Vec<Option<String>>>);

impl SessionValues {
    fn on_set(&mut self, name: &str, value: &str, is_acknowledged: bool) {
        let allowed = self.0.entry(name.to_owned()).or_insert_with(|| vec![None]);
        if is_acknowledged {
            allowed.clear();
        }
        allowed.push(Some(value.to_owned()));
    }

    /// Whether a connection with the values `present` may run a statement of the session.
    pub fn allow(&self, present: &ConnectionValues) -> bool {
        let is_allowed = |name: &String| {
            let present = present.0.get(name);
            match self.0.get(name) {
                Some(allowed) => allowed.iter().any(|allowed| allowed.as_ref() == present),
                None => present.is_none(),
            }
        };
        self.0.keys().chain(present.0.keys()).all(is_allowed)
    }
}

/// The values of each sent statement's session at that time.
pub fn session_values(sent: &[SentStatement]) -> Vec<SessionValues> {
    let mut sessions = HashMap::<&str, SessionValues>::new();
    let values = sent.iter().map(|statement| {
        let values = sessions.entry(&statement.session).or_default();
        if let Some((name, value)) = set_by(&statement.text) {
            values.on_set(name, value, statement.acknowledged.is_some());
        }
        values.clone()
    });
    values.collect()
}

/// Values of a connection to an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionValues(Values);

impl ConnectionValues {
    /// Applies a statement that ran.
    pub fn apply(&mut self, text: &str) {
        if let Some((name, value)) = set_by(text) {
            self.0.insert(name.to_owned(), value.to_owned());
        } else if text == "RESET" {
            self.0.clear();
        }
    }
}

fn set_by(text: &str) -> Option<(&str, &str)> {
    text.strip_prefix("SET ").map(|rest| rest.split_once(' ').unwrap_or((rest, "")))
}
