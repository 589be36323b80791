//! Links that delay promotion calls without losing anything: the reset with which a sender gives a
//! call up travels behind the call.

use std::ops::RangeInclusive;
use std::time::Duration;

use kestrellock_lab::processes::late_promotion::{CoordinatorFate, Cut, CutEnd, Moment, Scenario};
use rand::rngs::ChaCha8Rng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::runs::{assert_rules_hold, assert_rules_hold_for_seeds};

/// Range of the delays of a link, in milliseconds.
const LINK_DELAY_MS: RangeInclusive<u64> = 2_000..=8_000;
/// Shorter than the coordinator's lease.
const SHORT_DELAY: Duration = Duration::from_secs(2);
/// Longer than the coordinator's lease and one replacement of a primary.
const LONG_DELAY: Duration = Duration::from_secs(8);
/// For how long after the call a link delays what is sent on it.
const DELAY_PERIOD: Duration = Duration::from_secs(10);

fn delayed_call(name: &str, delay: Duration, coordinator: CoordinatorFate) -> Scenario {
    let moment = Moment::Call(Duration::ZERO);
    Scenario {
        cuts: vec![Cut { moment, end: CutEnd::After(DELAY_PERIOD) }],
        link_delay: Some(delay),
        coordinator,
        ..Scenario::new(name)
    }
}

fn delayed(seed: u64) -> Scenario {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let fates = [CoordinatorFate::Lives, CoordinatorFate::Killed, CoordinatorFate::Suspended];
    let delay = Duration::from_millis(random.random_range(LINK_DELAY_MS));
    let coordinator = *fates.choose(&mut random).expect("a fate");
    Scenario {
        choice_falls_behind: random.random_bool(0.7),
        ..delayed_call(&format!("delay-{seed}"), delay, coordinator)
    }
}

/// The call arrives before the lease of its coordinator ends.
#[test]
fn a_promotion_that_a_link_delays_for_less_than_a_lease_does_not_arrive_after_its_successors() {
    assert_rules_hold(&delayed_call("short-delay", SHORT_DELAY, CoordinatorFate::Lives));
}

/// The call arrives after the sender has given it up and its lease has ended.
#[test]
fn a_promotion_that_a_link_delays_for_long_does_not_arrive_after_its_successors() {
    assert_rules_hold(&delayed_call("long-delay", LONG_DELAY, CoordinatorFate::Lives));
}

/// Links with other delays, and coordinators that live, are killed or are suspended.
#[test]
#[ignore = "takes minutes; run it with FIRST_SEED and SEEDS"]
fn no_promotion_that_a_link_delays_arrives_after_its_successors() {
    assert_rules_hold_for_seeds(delayed);
}
