//! Partitions of platforms with more groups, more nodes, and coordinators that are ended twice.

use std::ops::RangeInclusive;
use std::time::Duration;

use kestrellock_lab::processes::late_promotion::{
    CoordinatorFate, Cut, CutEnd, Ending, Moment, Scenario,
};
use rand::rngs::ChaCha8Rng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::RESTARTED;
use crate::runs::{assert_rules_hold, assert_rules_hold_for_seeds};

/// Nodes of the larger platform: two in each zone.
const MANY_NODES: usize = 6;
/// Range of the durations of partitions, in milliseconds.
const PARTITION_MS: RangeInclusive<u64> = 6_000..=16_000;
/// Range of the durations of partitions in which a coordinator is ended twice, in milliseconds.
const TWICE_ENDED_PARTITION_MS: RangeInclusive<u64> = 9_000..=18_000;
/// Range of the times between the crashes of the primaries of two groups, in milliseconds. The
/// second crash comes before or after the end of the first coordinator's lease.
const SECOND_CRASH_MS: RangeInclusive<u64> = 0..=4_500;
/// Range of the times between the ends of two partitions, in milliseconds.
const END_OFFSET_MS: RangeInclusive<u64> = 0..=50;

const FATES: [CoordinatorFate; 4] =
    [CoordinatorFate::Lives, CoordinatorFate::Killed, RESTARTED, CoordinatorFate::Suspended];

fn draw(random: &mut ChaCha8Rng, range: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

fn at_call(end: CutEnd) -> Cut {
    Cut { moment: Moment::Call(Duration::ZERO), end }
}

/// The calls of two coordinators for two groups are open.
fn two_groups(seed: u64) -> Scenario {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cut = || at_call(CutEnd::After(draw(&mut random, PARTITION_MS)));
    let cuts = vec![cut(), cut()];
    Scenario {
        crashes: vec![Duration::ZERO, draw(&mut random, SECOND_CRASH_MS)],
        cuts,
        coordinator: *FATES.choose(&mut random).expect("a fate"),
        choice_falls_behind: random.random_bool(0.7),
        ..Scenario::new(&format!("groups-{seed}"))
    }
}

/// The partitions of two coordinators end within a moment of each other, in either order.
fn overlapping_partitions(seed: u64) -> Scenario {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let first = CutEnd::After(draw(&mut random, PARTITION_MS));
    let offset = draw(&mut random, END_OFFSET_MS);
    let second = match random.random_bool(0.5) {
        true => CutEnd::AfterFirst(offset),
        false => CutEnd::BeforeFirst(offset),
    };
    Scenario {
        nodes: MANY_NODES,
        cuts: vec![at_call(first), at_call(second)],
        coordinator: *FATES.choose(&mut random).expect("a fate"),
        choice_falls_behind: random.random_bool(0.7),
        ..Scenario::new(&format!("overlap-{seed}"))
    }
}

/// The coordinator is ended and started again twice while its call is held back.
fn ended_twice(seed: u64, ending: Ending) -> Scenario {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = CutEnd::After(draw(&mut random, TWICE_ENDED_PARTITION_MS));
    Scenario {
        cuts: vec![at_call(end)],
        coordinator: CoordinatorFate::Restarted { ending, times: 2 },
        choice_falls_behind: random.random_bool(0.7),
        ..Scenario::new(&format!("{ending:?}-twice-{seed}").to_lowercase())
    }
}

fn ended_twice_either_way(seed: u64) -> Scenario {
    let endings = [Ending::Killed, Ending::Stopped];
    ended_twice(seed, endings[usize::from(seed.is_multiple_of(2))])
}

/// The call of a coordinator for one group arrives after its successor's for that group, while the
/// successor's call for another group is held back as well.
#[test]
fn promotions_of_two_groups_do_not_arrive_after_their_successors() {
    assert_rules_hold(&two_groups(1));
}

/// A third coordinator goes on while the calls of two others are held back, and both arrive.
#[test]
fn promotions_of_two_partitions_that_end_together_do_not_arrive_after_a_successors() {
    assert_rules_hold(&overlapping_partitions(1));
}

/// The second process of a killed coordinator answers for the first one and is killed as well.
#[test]
fn a_promotion_of_a_coordinator_that_is_killed_twice_does_not_arrive_after_its_successors() {
    assert_rules_hold(&ended_twice(1, Ending::Killed));
}

/// A coordinator that is asked to stop ends while its call is held back, and so does the next
/// process of its node.
#[test]
fn a_promotion_of_a_coordinator_that_is_stopped_twice_does_not_arrive_after_its_successors() {
    assert_rules_hold(&ended_twice(1, Ending::Stopped));
}

/// Two groups, with other moments and fates of the coordinator.
#[test]
#[ignore = "takes minutes; run it with FIRST_SEED and SEEDS"]
fn no_promotion_of_two_groups_arrives_after_its_successors() {
    assert_rules_hold_for_seeds(two_groups);
}

/// Partitions that end together, with other moments and fates of the coordinator.
#[test]
#[ignore = "takes minutes; run it with FIRST_SEED and SEEDS"]
fn no_promotion_arrives_after_its_successors_when_partitions_end_together() {
    assert_rules_hold_for_seeds(overlapping_partitions);
}

/// Coordinators that are killed or stopped twice, with other durations of the partition.
#[test]
#[ignore = "takes minutes; run it with FIRST_SEED and SEEDS"]
fn no_promotion_of_a_coordinator_that_ends_twice_arrives_after_its_successors() {
    assert_rules_hold_for_seeds(ended_twice_either_way);
}
