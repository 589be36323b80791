//! The whole path: the demonstration, driven through a PostgreSQL client library.

use kestrellock_lab::demo::{Demo, check};

fn run() -> check::Verdict {
    let demo = Demo::start().expect("the demonstration starts");
    let verdict = check::run(&demo);
    demo.stop();
    verdict
}

fn failures(verdict: &check::Verdict, wanted: impl Fn(&str) -> bool) -> Vec<&check::Failure> {
    verdict.failures.iter().filter(|failure| wanted(failure.check)).collect()
}

#[test]
fn the_path_answers_prepared_transactional_failing_and_cancelled_statements() {
    let verdict = run();
    let failed = failures(&verdict, |check| check != check::WITHOUT_TOKEN);
    assert!(failed.is_empty(), "{failed:?}");
    let checked = verdict.checked;
    let counts = [
        ("writes", checked.writes),
        ("reads", checked.reads),
        ("with token", checked.with_token),
        ("prepared", checked.prepared),
        ("transactions", checked.transactions),
        ("errors", checked.errors),
        ("cancelled", checked.cancelled),
        ("templates", checked.templates),
    ];
    for (what, count) in counts {
        assert!(count > 0, "no {what} were checked");
    }
}

#[test]
fn sessions_that_move_without_a_token_see_their_own_writes() {
    let verdict = run();
    let failed = failures(&verdict, |check| check == check::WITHOUT_TOKEN);
    assert!(failed.is_empty(), "{failed:?}");
    assert!(verdict.checked.without_token > 0);
}
