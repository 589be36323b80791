//! The table of result codes in the documents agrees with the code.

use std::collections::HashSet;
use std::path::Path;

use kestrellock_core::outcome::{Execution, ResultCode};

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
