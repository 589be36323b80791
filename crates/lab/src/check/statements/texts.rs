//! What the texts of statements mean once prepared names are replaced by their definitions.

use std::collections::HashMap;

use super::record::SentStatement;

/// A statement's text, with the definition of its prepared name if it executes one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// Runs a prepared statement.
    Execute {
        /// Kind and shape of the prepared statement; `None` if the name is not prepared.
        definition: Option<String>,
        /// The row, and the data for a write.
        arguments: String,
    },
    /// Any other text.
    Plain(String),
}

impl Meaning {
    /// Whether the statement reads data without changing it.
    pub fn is_read(&self) -> bool {
        match self {
            Self::Plain(text) => text.starts_with("READ "),
            Self::Execute { definition, .. } => {
                definition.as_ref().is_some_and(|definition| definition.starts_with("READ "))
            }
        }
    }

    /// Whether the statement changes data.
    pub fn is_write(&self) -> bool {
        match self {
            Self::Plain(text) => text.starts_with("WRITE "),
            Self::Execute { definition, .. } => {
                definition.as_ref().is_some_and(|definition| definition.starts_with("WRITE "))
            }
        }
    }

    /// Whether the statement opens a transaction.
    pub fn is_begin(&self) -> bool {
        matches!(self, Self::Plain(text) if text == "BEGIN" || text == "BEGIN READ")
    }

    /// Whether the statement ends a transaction.
    pub fn is_end(&self) -> bool {
        matches!(self, Self::Plain(text) if text == "COMMIT" || text == "ROLLBACK")
    }
}

/// Prepared names of a session or a connection, with kind and shape.
#[derive(Clone, Debug, Default)]
pub struct PreparedNames(HashMap<String, String>);

impl PreparedNames {
    /// What `text` means with these names.
    pub fn meaning(&self, text: &str) -> Meaning {
        let Some(rest) = text.strip_prefix("EXECUTE ") else {
            return Meaning::Plain(text.to_owned());
        };
        let (name, arguments) = split(rest);
        Meaning::Execute { definition: self.0.get(name).cloned(), arguments: arguments.to_owned() }
    }

    /// Applies a statement that changes the names.
    pub fn apply(&mut self, text: &str) {
        if let Some((name, definition)) = prepared_by(text) {
            self.0.insert(name.to_owned(), definition.to_owned());
        } else if text == "RESET" {
            self.0.clear();
        }
    }
}

/// Name and definition of a `PREPARE` statement.
pub fn prepared_by(text: &str) -> Option<(&str, &str)> {
    text.strip_prefix("PREPARE ").map(split)
}

/// Removes a leading `AFTER position`. Returns the text behind it, and whether there was one.
pub fn without_position(text: &str) -> (&str, bool) {
    match text.strip_prefix("AFTER ") {
        Some(rest) => (split(rest).1, true),
        None => (text, false),
    }
}

/// What each sent statement means with the names that its session had prepared before it.
pub fn meanings(sent: &[SentStatement]) -> Vec<Meaning> {
    let mut sessions = HashMap::<&str, PreparedNames>::new();
    let meanings = sent.iter().map(|statement| {
        let names = sessions.entry(&statement.session).or_default();
        names.apply(&statement.text);
        names.meaning(&statement.text)
    });
    meanings.collect()
}

fn split(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}
