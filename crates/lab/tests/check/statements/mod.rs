//! The check of statements at instances: every rule has a record that breaks it and is caught, and a
//! clean record passes. It guards against a check that accepts a statement that no client sent, a
//! changed text, a commit that no client asked for, or a statement on an old log.

mod cases;
mod run;

use kestrellock_lab::check::statements::violation::StatementRule;

use cases::CASES;
use run::clean;

#[test]
fn a_clean_record_of_statements_passes() {
    assert_eq!(clean().check(), []);
}

#[test]
fn every_way_to_bend_a_record_of_statements_is_judged_right() {
    for case in CASES {
        let mut run = clean();
        (case.bend)(&mut run);
        assert_eq!(run.broken(), case.breaks, "{}: {:?}", case.name, run.check());
    }
}

#[test]
fn every_statement_rule_has_a_case_that_breaks_it() {
    for rule in StatementRule::ALL {
        assert!(CASES.iter().any(|case| case.breaks.contains(&rule)), "{rule:?}");
    }
}
