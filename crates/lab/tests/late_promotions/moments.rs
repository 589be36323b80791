//! Partitions that begin and end at other moments.

use std::ops::RangeInclusive;
use std::time::Duration;

use kestrellock_lab::processes::late_promotion::{CoordinatorFate, Cut, CutEnd, Moment, Scenario};
use rand::rngs::ChaCha8Rng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::RESTARTED;
use crate::runs::assert_rules_hold_for_seeds;

/// Range of the durations of partitions, in milliseconds.
const MOVED_PARTITION_MS: RangeInclusive<u64> = 4_000..=20_000;
/// Times from the first promotion call to the partition, in milliseconds.
const CALL_OFFSETS_MS: [u64; 3] = [5, 20, 50];
/// Range of the times from the coordinator's lease to the partition, in milliseconds. The first
/// promotion call is sent within it.
const LEASE_OFFSET_MS: RangeInclusive<u64> = 0..=150;

/// Partition of a run at another moment, drawn from `seed`.
fn moved(seed: u64) -> Scenario {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let duration =
        |random: &mut ChaCha8Rng| Duration::from_millis(random.random_range(MOVED_PARTITION_MS));
    let after = |milliseconds: u64| Duration::from_millis(milliseconds);
    let moment = match random.random_range(0..3) {
        0 => Moment::Call(Duration::ZERO),
        1 => Moment::Call(after(*CALL_OFFSETS_MS.choose(&mut random).expect("an offset"))),
        _ => Moment::Lease(after(random.random_range(LEASE_OFFSET_MS))),
    };
    let mut cuts = vec![Cut { moment, end: CutEnd::After(duration(&mut random)) }];
    if random.random_bool(0.5) {
        // The successor's call is held back as well.
        let end = CutEnd::After(duration(&mut random));
        cuts.push(Cut { moment: Moment::Call(Duration::ZERO), end });
    }
    let fates =
        [CoordinatorFate::Lives, CoordinatorFate::Killed, RESTARTED, CoordinatorFate::Suspended];
    let coordinator = *fates.choose(&mut random).expect("a fate");
    let choice_falls_behind = random.random_bool(0.7);
    let name = format!("seed-{seed}");
    Scenario { cuts, coordinator, choice_falls_behind, ..Scenario::new(&name) }
}

/// Guards against calls that arrive late after partitions at moments that no other test has.
#[test]
#[ignore = "takes minutes; run it with FIRST_SEED and SEEDS"]
fn no_promotion_arrives_after_its_successors_at_other_moments() {
    assert_rules_hold_for_seeds(moved);
}
