//! The requirements over all owners, on many seeds. By hand on more of them:
//! `SEEDS=20000 cargo test --release -p kestrellock-core --test capacity -- --nocapture`.

use std::time::Duration;

use kestrellock_core::capacity::DEMAND_LIFETIME;

use super::simulation::{Failure, PlantedFault, Simulation, Verdict};

const SEEDS: u64 = 24;
const FIRST_SEED: u64 = 71_000_000;

fn from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("a number"))
}

/// Runs all seeds and adds up the violations; the first few seeds with violations are printed.
fn run(planted_fault: PlantedFault, failure: Failure, extra: Duration) -> Verdict {
    run_seeds(SEEDS, planted_fault, failure, extra)
}

fn run_seeds(
    seeds: u64,
    planted_fault: PlantedFault,
    failure: Failure,
    extra: Duration,
) -> Verdict {
    let first = from_environment("FIRST_SEED", FIRST_SEED);
    let seeds = from_environment("SEEDS", seeds);
    let mut total = Verdict::default();
    let mut faulty = Vec::new();
    for seed in first..first + seeds {
        let verdict = Simulation::new(seed, planted_fault, failure, extra).run();
        if verdict.overtaken + verdict.idle + verdict.starved + verdict.over_limit > 0 {
            faulty.push(seed);
        }
        total.overtaken += verdict.overtaken;
        total.idle += verdict.idle;
        total.starved += verdict.starved;
        total.over_limit += verdict.over_limit;
        total.stuck += verdict.stuck;
        total.started += verdict.started;
    }
    let some = &faulty[..faulty.len().min(5)];
    println!(
        "{planted_fault:?} {failure:?}: {} of {seeds} seeds, {some:?}, {total:?}",
        faulty.len()
    );
    total
}

/// Without a division, the owners' statements compete at the instance, whose queue knows no
/// priority; with one that errs, urgent statements wait, slots stay idle, or browsing starves.
#[test]
fn all_owners_together_keep_the_order_of_priorities_and_use_all_slots() {
    let verdict = run(PlantedFault::None, Failure::None, Duration::ZERO);
    assert_eq!((verdict.overtaken, verdict.idle, verdict.starved), (0, 0, 0));
    assert_eq!((verdict.over_limit, verdict.stuck), (0, 0));
    assert!(verdict.started > 0);
}

/// The same on more seeds. Guards against new urgent statements that take a slot which is kept for
/// another owner, before that owner hears of it.
#[test]
fn the_order_holds_on_more_seeds() {
    let verdict = run_seeds(200, PlantedFault::None, Failure::None, Duration::ZERO);
    assert_eq!((verdict.overtaken, verdict.idle, verdict.starved), (0, 0, 0));
}

/// Each check must catch the fault that it guards against.
#[test]
fn the_checks_catch_faults_that_are_introduced_deliberately() {
    let ignored = run(PlantedFault::PrioritiesIgnored, Failure::None, Duration::ZERO);
    assert!(ignored.overtaken > 0, "the oldest statements go first, urgent or not");
    let overstated = run(PlantedFault::Overstated, Failure::None, Duration::ZERO);
    assert!(overstated.idle > 0, "slots are kept for statements that do not wait");
    let hidden = run(PlantedFault::StartsHidden, Failure::None, Duration::ZERO);
    assert!(hidden.starved > 0, "starts elsewhere do not count against starvation");
}

/// What is known of an owner that fails must not keep slots idle for longer than it is valid, and
/// no owner may run more than without sharing.
#[test]
fn a_failed_owner_blocks_capacity_only_until_its_demand_expires() {
    let failures = [
        Failure::Dies,
        Failure::Vanishes,
        Failure::Freezes,
        Failure::NotHeard,
        Failure::HearsNothing,
        Failure::CountsDifferently,
        Failure::Resigns,
        Failure::InstanceRestarts,
    ];
    for failure in failures {
        let verdict = run(PlantedFault::None, failure, DEMAND_LIFETIME);
        assert_eq!((verdict.idle, verdict.over_limit, verdict.stuck), (0, 0, 0), "{failure:?}");
    }
}
