//! The table of result codes in the documents agrees with the code.

use std::collections::HashSet;
use std::path::Path;
use std::time::Duration;

use kestrellock_core::outcome::{DEFAULT_RETRY_HINT, Execution, Refusal, ResultCode};

fn row(code: ResultCode) -> String {
    let execution = match code.execution() {
        Execution::Ran => "ran",
        Execution::NotRun => "not run",
        Execution::InDoubt => "in doubt",
    };
    format!("| KL{} | `{code:?}` | {} | {execution} |", code.number(), code.sqlstate())
}

#[test]
fn numbers_are_unique_and_in_order() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let unique: HashSet<u16> = numbers.iter().copied().collect();
    assert_eq!(unique.len(), numbers.len());
    assert!(numbers.is_sorted(), "{numbers:?}");
}

#[test]
fn every_code_stands_in_the_table() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");
    let table = std::fs::read_to_string(page).expect("docs/ERRORS.md is readable");
    for code in ResultCode::ALL {
        assert!(table.contains(&row(*code)), "docs/ERRORS.md lacks: {} meaning |", row(*code));
    }
    let rows = table.lines().filter(|line| line.starts_with("| KL")).count();
    assert_eq!(rows, ResultCode::ALL.len(), "docs/ERRORS.md has rows of codes that are gone");
}

#[test]
fn who_was_not_served_because_of_something_that_passes_is_told_when_to_come_back() {
    let hint = |code| Refusal::new(code, "").with_default_retry_hint().retry_after;
    assert_eq!(hint(ResultCode::ReadInterrupted), Some(DEFAULT_RETRY_HINT));
    assert_eq!(hint(ResultCode::TransactionLost), Some(DEFAULT_RETRY_HINT));
    assert_eq!(hint(ResultCode::SupersededInDoubt), None);
    assert_eq!(hint(ResultCode::DatabaseNotAllowed), None);
    let told = Refusal::new(ResultCode::NotSent, "").retry_after(Duration::from_millis(7));
    assert_eq!(told.with_default_retry_hint().retry_after, Some(Duration::from_millis(7)));
}
