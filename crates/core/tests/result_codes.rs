//! Checks that the documented table of result codes matches the code.

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
fn every_code_is_documented() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");
    let table = std::fs::read_to_string(page).expect("docs/ERRORS.md is readable");
    for code in ResultCode::ALL {
        assert!(table.contains(&row(*code)), "docs/ERRORS.md lacks: {} meaning |", row(*code));
    }
    let rows = table.lines().filter(|line| line.starts_with("| KL")).count();
    assert_eq!(
        rows,
        ResultCode::ALL.len(),
        "docs/ERRORS.md has rows of codes that no longer exist"
    );
}

#[test]
fn transient_refusals_get_a_default_retry_hint() {
    let hint = |code| Refusal::new(code, "").with_default_retry_hint().retry_after;
    assert_eq!(hint(ResultCode::ReadInterrupted), Some(DEFAULT_RETRY_HINT));
    assert_eq!(hint(ResultCode::TransactionLost), Some(DEFAULT_RETRY_HINT));
    assert_eq!(hint(ResultCode::SupersededInDoubt), None);
    assert_eq!(hint(ResultCode::StoppedInDoubt), None);
    assert_eq!(hint(ResultCode::DatabaseNotAllowed), None);
    let hinted = Refusal::new(ResultCode::NotSent, "").retry_after(Duration::from_millis(7));
    assert_eq!(hinted.with_default_retry_hint().retry_after, Some(Duration::from_millis(7)));
}

/// Guards against a client that repeats a write which a stopping node had sent to an instance.
#[test]
fn a_write_that_a_stop_leaves_unanswered_is_in_doubt() {
    assert_eq!(ResultCode::StoppedInDoubt.to_string(), "KL1606");
    assert_eq!(ResultCode::StoppedInDoubt.execution(), Execution::InDoubt);
    assert_eq!(ResultCode::Stopping.execution(), Execution::NotRun);
}
