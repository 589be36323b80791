//! An instance that takes the place of a primary which leaves. It receives commits and counts for
//! their acknowledgement before its entry is in the store, so no coordinator stops it.

use std::collections::BTreeSet;

use kestrellock_core::promotion::Need;
use kestrellock_core::routing::Role;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::checker::Violation;
use crate::plan::{FaultKind, Faults, Planned, PlantedFault};
use crate::world::World;
use crate::{describe, run_worlds, seeds, violations};

/// Separates the draws of the faults from those of the world with the same seed.
const SEED_MASK: u64 = 0x756e_6c69_7374_6564;
/// The same for the end of the coordinator's process.
const COORDINATOR_MASK: u64 = 0x636f_6f72_6469_6e61;
/// Share of the replication steps in which the instance receives.
const RECEIVING_SHARE: f64 = 0.7;
/// Time from the announcement of the first primary that it leaves to its end.
const LEAVING_MS: u64 = 6_000;
/// How long a node reaches only the instances: longer than the coordinator requires the log of a
/// primary that leaves.
const LONE_NODE_PARTITION_MS: u64 = 6_500;

/// The period in which the instance receives from the first primary.
#[derive(Clone, Copy, Debug)]
pub struct UnlistedInstance {
    from: u64,
    until: u64,
}

impl World {
    /// A world in which the first primary leaves while an unlisted instance receives from it, the
    /// listed replicas lag, and a part of the nodes is cut off from the store and from the others.
    pub fn with_unlisted_instance(seed: u64, planted_fault: PlantedFault) -> Self {
        let faults = Faults::all().with_releases().with_coordinator_notifications();
        let mut world = Self::new(seed, faults, planted_fault);
        let rng = &mut StdRng::seed_from_u64(seed ^ SEED_MASK);
        let leaves_at = rng.random_range(1_000..2_000);
        world.plan = draw(leaves_at, rng);
        let until = leaves_at + rng.random_range(1_000..4_000);
        world.unlisted = Some(UnlistedInstance { from: leaves_at - 200, until });
        world
    }

    /// The same world, in which the coordinator's process ends while it replaces the primary. A process
    /// of that name is back later.
    pub fn with_ending_coordinator(seed: u64, planted_fault: PlantedFault) -> Self {
        let world = Self::with_unlisted_instance(seed, planted_fault);
        let rng = &mut StdRng::seed_from_u64(seed ^ COORDINATOR_MASK);
        let leaves_at = world.plan[0].at;
        let at = leaves_at + rng.random_range(150..1_500);
        let until = at + rng.random_range(100..3_000);
        world.with_faults([Planned { at, until, kind: FaultKind::KillNode(0) }])
    }

    /// A primary leaves while an unlisted instance receives from it all the time. The nodes that
    /// replace it do not reach it, and one node reaches only the instances.
    fn with_lone_node_and_unlisted_instance(seed: u64) -> Self {
        let faults = Faults { max_faults: 1, ..Faults::without_primaries() }.with_releases();
        let mut world = Self::new(seed, faults, PlantedFault::None);
        let rng = &mut StdRng::seed_from_u64(seed ^ SEED_MASK);
        let at = rng.random_range(600..2_000);
        let until = at + LONE_NODE_PARTITION_MS;
        let cut = |from, kind| Planned { at: from, until, kind };
        let before = at - 200;
        let mut plan = vec![
            cut(at, FaultKind::Leave),
            cut(before, FaultKind::CutStore(3)),
            cut(before, FaultKind::CutPeers(3)),
        ];
        plan.extend((0..3).map(|node| cut(at, FaultKind::CutLink(node, 0))));
        world.unlisted = Some(UnlistedInstance { from: before, until });
        world.with_faults(plan)
    }

    /// Whether the unlisted instance receives the log of an instance now.
    pub fn unlisted_instance_receives(&mut self, instance: usize) -> bool {
        let leads = instance == 0 && self.instances[instance].role == Role::Primary;
        let now = self.now;
        let receives = |unlisted: UnlistedInstance| unlisted.from <= now && now < unlisted.until;
        leads && self.unlisted.is_some_and(receives) && self.rng.random_bool(RECEIVING_SHARE)
    }

    /// What a node needs if a fault is planted. No planned replacement then requires the old
    /// primary's log: the requirement prevents what most planted faults lead to, and each of them
    /// must still be detected.
    pub fn with_planted_fault_in(&self, need: Need) -> Need {
        match self.planted_fault {
            PlantedFault::None => need,
            _ => Need { old_primary_required_until: None, ..need },
        }
    }
}

fn draw(leaves_at: u64, rng: &mut StdRng) -> Vec<Planned> {
    let mut fault = |kind, begin: std::ops::Range<u64>, length: std::ops::Range<u64>| {
        let at = leaves_at - 200 + rng.random_range(begin);
        Planned { at, until: at + rng.random_range(length), kind }
    };
    let mut plan = vec![
        fault(FaultKind::Leave, 200..201, LEAVING_MS..LEAVING_MS + 1),
        fault(FaultKind::ReplicationStalled(1), 0..600, 100..1_500),
        fault(FaultKind::ReplicationStalled(2), 0..600, 100..1_500),
        fault(FaultKind::CutStore(3), 100..600, 500..3_500),
        fault(FaultKind::CutPeers(3), 100..600, 500..3_500),
    ];
    plan.extend((0..3).map(|node| fault(FaultKind::CutLink(node, 0), 0..900, 1..600)));
    plan
}

/// Guards against a promotion that rolls commits back which the old primary has acknowledged
/// through an instance that the store does not list, and against reads on such a commit as evidence.
#[test]
fn no_seed_violates_a_guarantee_while_an_unlisted_instance_receives() {
    let new_world = |seed| World::with_unlisted_instance(seed, PlantedFault::None);
    let outcomes = run_worlds(seeds(), new_world);
    let promotions: u64 = outcomes.values().map(|outcome| outcome.promotions).sum();
    println!("{} seeds, {promotions} promotions", outcomes.len());
    assert!(violations(&outcomes).is_empty(), "{}", describe(&outcomes));
    assert!(promotions >= outcomes.len() as u64, "too few promotions");
}

/// Guards against the same if another coordinator continues the replacement: the old primary may have
/// stepped down for it, with commits that the replicas lack.
#[test]
fn no_seed_violates_a_guarantee_while_a_coordinator_ends_and_an_unlisted_instance_receives() {
    let new_world = |seed| World::with_ending_coordinator(seed, PlantedFault::None);
    let outcomes = run_worlds(seeds(), new_world);
    let promotions: u64 = outcomes.values().map(|outcome| outcome.promotions).sum();
    println!("{} seeds, {promotions} promotions", outcomes.len());
    assert!(violations(&outcomes).is_empty(), "{}", describe(&outcomes));
    assert!(promotions >= outcomes.len() as u64, "too few promotions");
}

/// The limit for the old primary's log passed while evidence expired: an earlier replacement, in which
/// the leaving primary was promoted again, had taken most of the time.
#[test]
fn fixed_seed_with_an_unlisted_instance_violates_no_guarantee() {
    let outcome = World::with_unlisted_instance(1_923, PlantedFault::None).run();
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations.first());
}

/// Planted fault: a planned replacement compares only the logs of the instances that it stops.
#[test]
fn detects_planned_replacements_without_the_old_primarys_log() {
    let new_world = |seed| World::with_unlisted_instance(seed, PlantedFault::OldPrimaryNotRequired);
    let found = violations(&run_worlds(seeds(), new_world));
    let is_loss = |violation: &Violation| matches!(violation, Violation::LostCommit { .. });
    assert!(found.iter().any(|(_, violation)| is_loss(violation)), "{found:?}");
}

/// Guards against a chain of commits without an end: an instance that nobody lists confirms commits
/// of the old primary while a successor leads, and each commit covers the answer of the next. That the
/// instances themselves answer such commits is the nature of this world and no violation.
#[test]
fn commits_that_only_an_unlisted_instance_confirms_are_no_evidence() {
    let outcomes = run_worlds(seeds(), World::with_lone_node_and_unlisted_instance);
    let mut found = violations(&outcomes);
    found.retain(|(_, violation)| !matches!(violation, Violation::TwoPrimaries { .. }));
    let violating: BTreeSet<u64> = found.iter().map(|(seed, _)| *seed).collect();
    println!("{} of {} seeds fail", violating.len(), outcomes.len());
    assert!(found.is_empty(), "{:?}", found.first());
}
