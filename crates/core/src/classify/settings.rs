//! The effect of `SET`, `RESET` and `SHOW` on a session that shares connections: decides whether
//! the statement is a read, changes a setting that can be replayed on other connections, or is
//! refused.

use sqlparser::ast::{ContextModifier, Ident, ObjectName, ObjectNamePart, Set};

use super::functions::{is_common_setting, normalized_identifier};
use super::{StatementClass, TextFacts};
use crate::session_state::{Effect, Unsupported};

/// Classifies `SHOW`. The values of some settings differ between instances, so only known settings
/// are reads.
pub fn show_class(variable: &[Ident]) -> StatementClass {
    let name: Vec<String> = variable.iter().map(normalized_identifier).collect();
    let common = match name.as_slice() {
        [name] => is_common_setting(name),
        [first, second] => first == "time" && second == "zone",
        _ => false,
    };
    if common { StatementClass::Read } else { StatementClass::Write }
}

/// Classifies `SET` in all its forms.
pub fn classify_set(set: &Set) -> TextFacts {
    match set {
        Set::SingleAssignment { scope: Some(ContextModifier::Local), variable, .. } => {
            local_setting(setting_name(variable))
        }
        Set::SingleAssignment { variable, .. } => session_setting(setting_name(variable), set),
        Set::SetTimeZone { local: true, .. } => TextFacts::of(StatementClass::Read),
        Set::SetTimeZone { .. } => session_setting("timezone".into(), set),
        Set::SetNames { .. } | Set::SetNamesDefault {} => {
            session_setting("client_encoding".into(), set)
        }
        Set::SetTransaction { session: true, .. } => {
            TextFacts::refused(Unsupported::SessionCharacteristics)
        }
        Set::SetTransaction { .. } => TextFacts::of(StatementClass::Write),
        Set::SetRole { .. } | Set::SetSessionAuthorization(_) => {
            TextFacts::refused(Unsupported::Authorization)
        }
        _ => TextFacts::unknown(),
    }
}

/// Classifies `RESET` of one setting.
pub fn classify_reset(name: &ObjectName) -> TextFacts {
    let name = setting_name(name);
    match refusal(&name) {
        Some(reason) => TextFacts::refused(reason),
        None => TextFacts::with(StatementClass::Read, Effect::Reset { name }),
    }
}

fn setting_name(name: &ObjectName) -> String {
    let parts = name.0.iter().map(|part| match part {
        ObjectNamePart::Identifier(identifier) => identifier.value.to_lowercase(),
        other => other.to_string(),
    });
    parts.collect::<Vec<String>>().join(".")
}

fn refusal(name: &str) -> Option<Unsupported> {
    match name {
        "role" | "session_authorization" => Some(Unsupported::Authorization),
        "synchronous_commit" | "fsync" => Some(Unsupported::Durability),
        _ => None,
    }
}

fn local_setting(name: String) -> TextFacts {
    match refusal(&name) {
        Some(reason) => TextFacts::refused(reason),
        // The statement may turn a read-only transaction into a read-write one.
        None if name.starts_with("transaction_") => TextFacts::of(StatementClass::Write),
        None => TextFacts::of(StatementClass::Read),
    }
}

fn session_setting(name: String, set: &Set) -> TextFacts {
    match refusal(&name) {
        Some(reason) => TextFacts::refused(reason),
        None if name.starts_with("transaction_") => TextFacts::of(StatementClass::Write),
        None => {
            let statement = set.to_string();
            TextFacts::with(StatementClass::Read, Effect::Set { name, statement })
        }
    }
}
