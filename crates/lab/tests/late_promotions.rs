//! Promotion calls that a partition holds back, with nodes that are processes of `kestrellockd`.
//!
//! A call that arrives late must not follow a successor's, and must not promote an instance that
//! lacks commits that were acknowledged in the meantime.

use std::ops::RangeInclusive;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

use kestrellock_lab::processes::late_promotion::{
    CoordinatorFate, Cut, Moment, Outcome, Scenario, run,
};
use rand::rngs::ChaCha8Rng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Longer than the coordinator's lease and two replacements of a primary.
const LONG_PARTITION: Duration = Duration::from_secs(11);
/// Longer than the coordinator's lease and one replacement of a primary.
const SHORT_PARTITION: Duration = Duration::from_secs(6);
/// Maximum number of runs at the same time. Each has three nodes.
const MAX_RUNS: usize = 3;

/// Range of the durations of partitions at other moments, in milliseconds.
const MOVED_PARTITION_MS: RangeInclusive<u64> = 4_000..=20_000;
/// Times from the first promotion call to the partition, in milliseconds.
const CALL_OFFSETS_MS: [u64; 3] = [5, 20, 50];
/// Range of the times from the coordinator's lease to the partition, in milliseconds. The first
/// promotion call is sent within it.
const LEASE_OFFSET_MS: RangeInclusive<u64> = 0..=150;

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

fn partition_at_call(name: &str, duration: Duration, coordinator: CoordinatorFate) -> Scenario {
    Scenario {
        name: name.to_owned(),
        cuts: vec![Cut { moment: Moment::Call(Duration::ZERO), duration }],
        coordinator,
        choice_falls_behind: true,
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
        choice_falls_behind: false,
        ..partition_at_call("short", SHORT_PARTITION, CoordinatorFate::Lives)
    });
}

/// The same crashes without a partition.
#[test]
fn promotions_without_a_partition_lose_nothing() {
    let outcome = assert_rules_hold(&Scenario {
        name: "undisturbed".to_owned(),
        cuts: Vec::new(),
        coordinator: CoordinatorFate::Lives,
        choice_falls_behind: true,
    });
    assert!(outcome.fences.len() >= 2, "both primaries were replaced: {:?}", outcome.fences);
}

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
    let mut cuts = vec![Cut { moment, duration: duration(&mut random) }];
    if random.random_bool(0.5) {
        // The successor's call is held back as well.
        cuts.push(Cut { moment: Moment::Call(Duration::ZERO), duration: duration(&mut random) });
    }
    let fates = [
        CoordinatorFate::Lives,
        CoordinatorFate::Killed,
        CoordinatorFate::Restarted,
        CoordinatorFate::Suspended,
    ];
    let coordinator = *fates.choose(&mut random).expect("a fate");
    let choice_falls_behind = random.random_bool(0.7);
    Scenario { name: format!("seed-{seed}"), cuts, coordinator, choice_falls_behind }
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays runs whose partitions begin and end at other moments: `SEEDS` of them from `FIRST_SEED`.
/// Takes up to half a minute for each run, three at a time.
#[test]
#[ignore = "takes minutes; run it with FIRST_SEED and SEEDS"]
fn no_promotion_arrives_after_its_successors_at_other_moments() {
    let first = number("FIRST_SEED", 1);
    let seeds: Vec<u64> = (first..first + number("SEEDS", 6)).collect();
    let failures = Mutex::new(Vec::new());
    let next = Mutex::new(seeds.into_iter());
    let take = || next.lock().expect("no holder of the lock panics").next();
    std::thread::scope(|scope| {
        for _ in 0..MAX_RUNS {
            scope.spawn(|| {
                while let Some(seed) = take() {
                    let scenario = moved(seed);
                    let failure = play_moved(&scenario);
                    failures.lock().expect("no holder of the lock panics").extend(failure);
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no holder of the lock panics");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Plays a run. Returns what failed in it.
fn play_moved(scenario: &Scenario) -> Option<String> {
    let _slot = RunSlot::take();
    let failure = match run(scenario) {
        Ok(outcome) => {
            println!("{scenario:?}\n{}\n", outcome.summary);
            let broken: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
            (!broken.is_empty()).then(|| broken.join("; "))
        }
        Err(error) => Some(format!("the run failed: {error}")),
    };
    failure.map(|failure| format!("{}: {failure}", scenario.name))
}
