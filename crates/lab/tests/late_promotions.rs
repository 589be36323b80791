//! Promotion calls that a partition holds back, with nodes that are processes of `kestrellockd`.
//!
//! A call that arrives late must not follow a successor's, and must not promote an instance that
//! lacks commits that were acknowledged in the meantime.

use std::sync::{Condvar, Mutex};
use std::time::Duration;

use kestrellock_lab::processes::late_promotion::{CoordinatorFate, Outcome, Scenario, run};

/// Longer than the coordinator's lease and two replacements of a primary.
const LONG_PARTITION: Duration = Duration::from_secs(11);
/// Longer than the coordinator's lease and one replacement of a primary.
const SHORT_PARTITION: Duration = Duration::from_secs(6);
/// Maximum number of runs at the same time. Each has three nodes.
const MAX_RUNS: usize = 3;

/// Limits the number of runs at the same time.
static RUNNING: Mutex<usize> = Mutex::new(0);
static RUN_ENDED: Condvar = Condvar::new();

/// One of the runs at the same time.
struct RunSlot;

impl RunSlot {
    fn take() -> Self {
        let running = RUNNING.lock().expect("no holder of the lock panics");
        let running = RUN_ENDED.wait_while(running, |running| *running >= MAX_RUNS);
        *running.expect("no holder of the lock panics") += 1;
        Self
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder of the lock panics") -= 1;
        RUN_ENDED.notify_one();
    }
}

fn play(scenario: &Scenario) -> Outcome {
    let _slot = RunSlot::take();
    let outcome = run(scenario).unwrap_or_else(|error| panic!("the run failed: {error}"));
    println!("{}", outcome.journal);
    outcome
}

fn assert_rules_hold(scenario: &Scenario) -> Outcome {
    let outcome = play(scenario);
    let violations: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    outcome
}

fn long_partition(name: &'static str, coordinator: CoordinatorFate) -> Scenario {
    Scenario { name, partition: Some(LONG_PARTITION), coordinator, choice_falls_behind: true }
}

/// The coordinator has given the call up, and the call arrives after the partition.
#[test]
fn a_promotion_that_was_given_up_does_not_arrive_after_its_successors() {
    assert_rules_hold(&long_partition("lives", CoordinatorFate::Lives));
}

/// The operating system closes the connections of the killed process, and the call arrives.
#[test]
fn a_promotion_of_a_killed_coordinator_does_not_arrive_after_its_successors() {
    assert_rules_hold(&long_partition("killed", CoordinatorFate::Killed));
}

/// The coordinator comes back under its name while the call of its earlier process is held back.
#[test]
fn a_promotion_of_a_restarted_coordinator_does_not_arrive_after_its_successors() {
    assert_rules_hold(&long_partition("restarted", CoordinatorFate::Restarted));
}

/// The coordinator can do nothing about its call before it arrives.
#[test]
fn a_promotion_of_a_suspended_coordinator_does_not_arrive_after_its_successors() {
    assert_rules_hold(&long_partition("suspended", CoordinatorFate::Suspended));
}

/// All instances live, so that the late call may name the instance that leads by then.
#[test]
fn a_promotion_held_back_for_a_short_time_does_not_arrive_after_its_successors() {
    assert_rules_hold(&Scenario {
        name: "short",
        partition: Some(SHORT_PARTITION),
        coordinator: CoordinatorFate::Lives,
        choice_falls_behind: false,
    });
}

/// The same crashes without a partition.
#[test]
fn promotions_without_a_partition_lose_nothing() {
    let outcome = assert_rules_hold(&Scenario {
        name: "undisturbed",
        partition: None,
        coordinator: CoordinatorFate::Lives,
        choice_falls_behind: true,
    });
    assert!(outcome.fences.len() >= 2, "both primaries were replaced: {:?}", outcome.fences);
}
