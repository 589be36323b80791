//! What is sent on a shared connection between two callers.

use kestrellock_core::session_state::SessionSetting;
use kestrellock_postgres::connection_state::ConnectionState;

const A: &str = "SET a.x = '1'";
const B: &str = "SET a.x = '2'";

/// No setting for an empty statement, else the one that it makes.
fn settings(statement: &str) -> Vec<SessionSetting> {
    let setting = SessionSetting { name: "a.x".to_owned(), statement: statement.to_owned() };
    if statement.is_empty() { Vec::new() } else { vec![setting] }
}

#[test]
fn a_connection_has_exactly_the_settings_of_its_caller() {
    // (settings in force, settings of the next caller, what is sent)
    let table = [
        ("", "", None),
        ("", A, Some(A.to_owned())),
        (A, A, None),
        (A, "", Some("RESET ALL".to_owned())),
        (A, B, Some(format!("RESET ALL; {B}"))),
    ];
    for (current, wanted, sent) in table {
        let mut hygiene = ConnectionState::default();
        hygiene.on_prepared(&settings(current));
        assert_eq!(hygiene.preparation(&settings(wanted)), sent, "from {current:?} to {wanted:?}");
    }
}

#[test]
fn a_reset_connection_has_nothing_left() {
    let mut hygiene = ConnectionState::default();
    hygiene.on_prepared(&settings(A));
    hygiene.taint();
    assert!(hygiene.is_tainted());
    hygiene.on_reset();
    assert_eq!(hygiene, ConnectionState::default());
    assert_eq!(hygiene.preparation(&settings(A)), Some(A.to_owned()));
}
