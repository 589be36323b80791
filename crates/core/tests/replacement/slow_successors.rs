//! Promotions that release a replica which does not reach the successor yet. The old primary then
//! answers commits that it has held back, and new ones, until the replica follows the successor.

use std::collections::BTreeSet;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::checker::Violation;
use crate::plan::{FaultKind, Faults, Planned, PlantedFault};
use crate::world::World;
use crate::{run_worlds, seeds, violations};

/// Separates the random draws of the partitions from those of the world with the same seed.
const SEED_MASK: u64 = 0x736c_6f77_7061_7468;

/// How long a coordinator requires the log of a primary that leaves.
const LOG_REQUIREMENT_MS: u64 = 3_000;

/// Nodes 1 to 3 replace a leaving primary that they do not reach. Node 0 reaches only the instances: it learns of
/// the replacement neither from the store nor from the coordinator. The replicas do not reach each
/// other while the successor begins to lead, about `requirement` milliseconds after the primary began
/// to leave: that long the coordinator requires the old primary's log.
fn lone_node(seed: u64, requirement: u64) -> Vec<Planned> {
    let rng = &mut StdRng::seed_from_u64(seed ^ SEED_MASK);
    let at = rng.random_range(600..2_000);
    let cut = |at, until, kind| Planned { at, until, kind };
    let until = at + requirement + rng.random_range(2_500..3_000);
    let apart_from = at + requirement + rng.random_range(1_000..1_400);
    let apart_until = apart_from + rng.random_range(50..900);
    let leave = cut(at, until, FaultKind::Leave);
    let links = (1..4).map(|node| cut(at, until, FaultKind::CutLink(node, 0)));
    let store = cut(at - 200, until, FaultKind::CutStore(0));
    let apart = cut(apart_from, apart_until, FaultKind::CutReplicasApart);
    let mut plan: Vec<Planned> = links.chain([store, apart, leave]).collect();
    if rng.random_bool(0.3) {
        let replica = rng.random_range(1..3);
        plan.push(cut(apart_from, apart_until, FaultKind::CutLink(0, replica)));
    }
    plan
}

fn world(seed: u64) -> World {
    let faults = Faults { max_faults: 1, ..Faults::without_primaries() }.with_releases();
    World::new(seed, faults, PlantedFault::None).with_faults(lone_node(seed, 0))
}

/// The same for so long that the coordinator no longer requires the old primary's log.
fn patient_world(seed: u64) -> World {
    let faults = Faults { max_faults: 1, ..Faults::without_primaries() }.with_releases();
    World::new(seed, faults, PlantedFault::None).with_faults(lone_node(seed, LOG_REQUIREMENT_MS))
}

/// Guards against stale reads and lost commits: a node that learns nothing of a replacement accepts a
/// commit that the old primary answers through a released replica after its successor leads. That
/// the instances themselves answer such commits is the nature of this world and no violation.
#[test]
fn a_commit_that_is_answered_after_a_successor_leads_is_no_evidence() {
    assert_no_stale_reads_or_lost_commits(world);
}

/// The same in worlds in which the successor is promoted without the old primary's log.
#[test]
fn a_commit_that_is_answered_after_a_late_successor_leads_is_no_evidence() {
    assert_no_stale_reads_or_lost_commits(patient_world);
}

fn assert_no_stale_reads_or_lost_commits(world: fn(u64) -> World) {
    let outcomes = run_worlds(seeds(), world);
    let mut found = violations(&outcomes);
    found.retain(|(_, violation)| !matches!(violation, Violation::TwoPrimaries { .. }));
    let violating: BTreeSet<u64> = found.iter().map(|(seed, _)| *seed).collect();
    let promotions: u64 = outcomes.values().map(|outcome| outcome.promotions).sum();
    println!("{} of {} seeds fail, {promotions} promotions", violating.len(), outcomes.len());
    assert!(found.is_empty(), "{:?}", found.first());
}

/// Prints the events of one seed that `TRACE_SEED` selects.
#[test]
#[ignore = "a tool: prints the events of the seed that TRACE_SEED selects"]
fn print_trace_of_a_slow_successor() {
    let seed = std::env::var("TRACE_SEED").expect("TRACE_SEED is not set");
    let seed = seed.parse().expect("TRACE_SEED is not a number");
    let (outcome, lines) = world(seed).traced().run_with_trace();
    println!("{:#?}\n{}\n{:?}", outcome.plan, lines.join("\n"), outcome.violations);
}
