//! The checker: every invariant has a history that breaks it and is caught; a clean run passes.

mod cases;
mod histories;
mod run;
mod statements;

use kestrellock_lab::check::check;
use kestrellock_lab::check::violation::Invariant;

use cases::CASES;
use run::{CAPTION, clean};

#[test]
fn a_clean_run_passes() {
    assert_eq!(check(&clean().history, &clean().state).violations, []);
}

#[test]
fn every_way_to_bend_a_run_is_judged_right() {
    for case in CASES {
        let mut run = clean();
        (case.bend)(&mut run);
        let verdict = check(&run.history, &run.state);
        assert_eq!(run.broken(), case.breaks, "{}: {:?}", case.name, verdict.violations);
    }
}

#[test]
fn every_invariant_has_a_case_that_breaks_it() {
    for invariant in Invariant::ALL {
        assert!(CASES.iter().any(|case| case.breaks.contains(&invariant)), "{invariant:?}");
    }
}

#[test]
fn read_regressions_are_counted_and_not_judged() {
    let mut run = clean();
    run.read(9, CAPTION, "w1");
    run.read(9, CAPTION, "");
    let verdict = check(&run.history, &run.state);
    assert_eq!((verdict.read_regressions, verdict.violations), (1, Vec::new()));
}
