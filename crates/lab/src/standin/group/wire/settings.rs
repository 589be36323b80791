//! Session settings: SET, RESET and SHOW.

use std::collections::BTreeMap;

use sqlparser::ast::{Expr, Ident, Reset, ResetStatement, Set, Value as Literal};

use crate::standin::group::evaluate::SqlError;
use crate::standin::group::tables::Column;
use crate::standin::group::transaction::StatementResult;
use crate::standin::group::values::TEXT;

/// Settings reported to the client at startup in ParameterStatus messages.
pub const REPORTED: [(&str, &str); 6] = [
    ("server_version", "16.4"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The settings that a session has changed.
#[derive(Debug, Default)]
pub struct SessionSettings {
    changed: BTreeMap<String, String>,
}

fn text_of(expression: &Expr) -> String {
    match expression {
        Expr::Value(literal) => match &literal.value {
            Literal::SingleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        other => other.to_string(),
    }
}

impl SessionSettings {
    /// Resets all settings to their defaults.
    pub fn reset(&mut self) {
        self.changed.clear();
    }

    /// Executes SET.
    pub fn set(&mut self, set: &Set) -> Result<StatementResult, SqlError> {
        match set {
            Set::SingleAssignment { variable, values, .. } => {
                let value = values.iter().map(text_of).collect::<Vec<_>>().join(", ");
                self.changed.insert(variable.to_string().to_lowercase(), value);
            }
            Set::SetTimeZone { value, .. } => {
                self.changed.insert("timezone".into(), text_of(value));
            }
            Set::SetNames { charset_name, .. } => {
                self.changed.insert("client_encoding".into(), charset_name.value.clone());
            }
            Set::SetTransaction { .. } | Set::SetNamesDefault {} | Set::SetRole { .. } => {}
            other => return Err(SqlError::unsupported(other)),
        }
        Ok(StatementResult::with_tag("SET"))
    }

    /// Executes RESET.
    pub fn reset_one(&mut self, reset: &ResetStatement) -> Result<StatementResult, SqlError> {
        match &reset.reset {
            Reset::ALL => self.reset(),
            Reset::SessionAuthorization => {}
            Reset::ConfigurationParameter(name) => {
                self.changed.remove(&name.to_string().to_lowercase());
            }
        }
        Ok(StatementResult::with_tag("RESET"))
    }

    /// Executes SHOW.
    pub fn show(&self, variable: &[Ident]) -> Result<StatementResult, SqlError> {
        let name = variable.iter().map(|part| part.value.to_lowercase()).collect::<Vec<_>>();
        let name = name.join(".");
        let reported = REPORTED.iter().find(|(known, _)| known.eq_ignore_ascii_case(&name));
        let value = match (self.changed.get(&name), reported, name.as_str()) {
            (Some(value), ..) => value.clone(),
            (_, Some((_, value)), _) => (*value).to_owned(),
            (.., "timezone") => "UTC".into(),
            (.., "transaction_isolation") => "read committed".into(),
            (.., "statement_timeout" | "lock_timeout") => "0".into(),
            (.., "search_path") => "\"$user\", public".into(),
            (.., "application_name") => String::new(),
            _ => {
                let message = format!("unrecognized configuration parameter {name:?}");
                return Err(SqlError::new("42704", message));
            }
        };
        let column = Column { name, type_id: TEXT, ..Column::default() };
        let rows = vec![vec![Some(value)]];
        Ok(StatementResult { columns: Some(vec![column]), rows, tag: "SHOW".into() })
    }
}
