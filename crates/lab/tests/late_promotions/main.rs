//! Promotion calls that a partition holds back, with nodes that are processes of `kestrellockd`.
//!
//! A call that arrives late must not follow a successor's, and must not promote an instance that
//! lacks commits that were acknowledged in the meantime.

mod delays;
mod moments;
mod runs;
mod variants;

use std::time::Duration;

use kestrellock_lab::processes::late_promotion::{
    CoordinatorFate, Cut, CutEnd, Ending, Moment, Scenario,
};

use self::runs::assert_rules_hold;

/// Longer than the coordinator's lease and two replacements of a primary.
const LONG_PARTITION: Duration = Duration::from_secs(11);
/// Longer than the coordinator's lease and one replacement of a primary.
const SHORT_PARTITION: Duration = Duration::from_secs(6);

/// The coordinator is killed and started again.
const RESTARTED: CoordinatorFate = CoordinatorFate::Restarted { ending: Ending::Killed, times: 1 };

fn partition_at_call(name: &str, duration: Duration, coordinator: CoordinatorFate) -> Scenario {
    Scenario {
        cuts: vec![Cut { moment: Moment::Call(Duration::ZERO), end: CutEnd::After(duration) }],
        coordinator,
        choice_falls_behind: true,
        ..Scenario::new(name)
    }
}

fn long_partition(name: &str, coordinator: CoordinatorFate) -> Scenario {
    partition_at_call(name, LONG_PARTITION, coordinator)
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
    assert_rules_hold(&long_partition("restarted", RESTARTED));
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
        choice_falls_behind: false,
        ..partition_at_call("short", SHORT_PARTITION, CoordinatorFate::Lives)
    });
}

/// The same crashes without a partition.
#[test]
fn promotions_without_a_partition_lose_nothing() {
    let scenario = Scenario { choice_falls_behind: true, ..Scenario::new("undisturbed") };
    let outcome = assert_rules_hold(&scenario);
    assert!(outcome.fences.len() >= 2, "both primaries were replaced: {:?}", outcome.fences);
}
