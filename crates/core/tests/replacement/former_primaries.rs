//! Nodes that reach only the former primary while the rest of the system replaces it: no statement
//! may run there once the successor has acknowledged a commit to a client, whether it reads or
//! writes.

use std::collections::BTreeSet;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::checker::Violation;
use crate::plan::{FaultKind, Faults, Planned, PlantedFault};
use crate::world::{Outcome, World};
use crate::{describe, run_worlds, seeds, violations};

/// Separates the random draws of the partitions from those of the world with the same seed.
const SEED_MASK: u64 = 0x666f_726d_6572_7072;
const NODES: usize = 4;
/// Share of the worlds in which the clients of a partitioned node rest while its primary is
/// replaced.
const RESTING_SHARE: f64 = 0.5;
/// Share of the worlds in which a partitioned node is suspended meanwhile.
const SUSPENDED_SHARE: f64 = 0.4;

/// The first instance leaves while it and one or two nodes are partitioned from the other instances,
/// the store and the other nodes, for long enough that a successor leads and acknowledges commits:
/// for some seconds the coordinator requires the log of a primary that leaves.
fn partition(seed: u64) -> Vec<Planned> {
    let rng = &mut StdRng::seed_from_u64(seed ^ SEED_MASK);
    let at = rng.random_range(600..2_000);
    let until = at + rng.random_range(5_000..7_500);
    let lone_nodes = rng.random_range(1..3);
    let mut plan = vec![
        Planned { at, until, kind: FaultKind::CutReplication },
        Planned { at, until, kind: FaultKind::Leave },
    ];
    for node in 0..NODES {
        // The links fail within some milliseconds.
        let at = at + rng.random_range(0..20);
        let mut cut = |kind| plan.push(Planned { at, until, kind });
        if node >= lone_nodes {
            cut(FaultKind::CutLink(node, 0));
            continue;
        }
        cut(FaultKind::CutLink(node, 1));
        cut(FaultKind::CutLink(node, 2));
        cut(FaultKind::CutStore(node));
        cut(FaultKind::CutPeers(node));
        if rng.random_bool(RESTING_SHARE) {
            let until = at + rng.random_range(3_000..5_000);
            plan.push(Planned { at, until, kind: FaultKind::ClientsRest(node) });
        }
        if rng.random_bool(SUSPENDED_SHARE) {
            let at = at + rng.random_range(0..4_000);
            let until = at + rng.random_range(500..2_500);
            plan.push(Planned { at, until, kind: FaultKind::Freeze(node) });
        }
    }
    plan
}

fn world(seed: u64, planted_fault: PlantedFault) -> World {
    let faults = Faults { max_faults: 1, ..Faults::without_primaries() };
    let faults = if seed.is_multiple_of(2) { faults.with_releases() } else { faults };
    let faults = faults.with_coordinator_notifications();
    World::new(seed, faults, planted_fault).with_faults(partition(seed))
}

/// Guards against writes at a former primary: a node that reaches no other instance sent writes
/// there without evidence that it still leads, and they ran on a log without commits that the
/// successor had acknowledged.
#[test]
fn no_statement_runs_at_a_former_primary_that_a_partition_leaves_to_some_nodes() {
    let outcomes = run_worlds(seeds(), |seed| world(seed, PlantedFault::None));
    let total = |count: fn(&Outcome) -> u64| outcomes.values().map(count).sum::<u64>();
    let promotions = total(|outcome| outcome.promotions);
    let stale = violations(&outcomes);
    let stale = stale.iter().filter(|(_, found)| matches!(found, Violation::StaleWrite { .. }));
    let seeds: BTreeSet<u64> = stale.map(|(seed, _)| *seed).collect();
    println!(
        "{} of {} seeds with stale writes; {} writes acknowledged, {} reads, {promotions} promotions",
        seeds.len(),
        outcomes.len(),
        total(|outcome| outcome.acknowledged),
        total(|outcome| outcome.reads),
    );
    assert!(violations(&outcomes).is_empty(), "{}", describe(&outcomes));
    assert!(promotions >= outcomes.len() as u64 * 3 / 4, "too few promotions: {promotions}");
}

/// Planted fault: nodes send writes to the primary without evidence.
#[test]
fn detects_writes_without_evidence() {
    let new_world = |seed| world(seed, PlantedFault::WritesWithoutEvidence);
    let found = violations(&run_worlds(seeds(), new_world));
    let is_stale = |violation: &Violation| matches!(violation, Violation::StaleWrite { .. });
    assert!(found.iter().any(|(_, violation)| is_stale(violation)), "the fault is not detected");
}

/// Prints the events of one seed that `TRACE_SEED` selects.
#[test]
#[ignore = "a tool: prints the events of the seed that TRACE_SEED selects"]
fn print_trace_of_a_former_primary() {
    let seed = std::env::var("TRACE_SEED").expect("TRACE_SEED is not set");
    let seed = seed.parse().expect("TRACE_SEED is not a number");
    let (outcome, lines) = world(seed, PlantedFault::None).traced().run_with_trace();
    println!("{:#?}\n{}\n{:?}", outcome.plan, lines.join("\n"), outcome.violations);
}
