//! Messages that arrive late: after their sender has abandoned the request, was killed, was
//! suspended or has lost power.

use std::collections::BTreeMap;

use crate::aimed::{AimedFaults, Late, Sender};
use crate::checker::Violation;
use crate::plan::{Faults, PlantedFault};
use crate::world::{Outcome, World};
use crate::{FIRST_SEED, PLANTED_SEEDS, SEEDS_PER_BATCH, describe, run_worlds, seeds, violations};

/// Seeds in which a late promotion lost an acknowledged commit, by the sender's fate.
const LATE_PROMOTION_SEEDS: [(Sender, [u64; 5]); 3] = [
    (Sender::Lives, [4, 5, 9, 13, 15]),
    (Sender::Killed, [4, 5, 9, 15, 39]),
    (Sender::Suspended, [4, 5, 9, 15, 39]),
];

/// Seeds with many faults in which a late promotion lost an acknowledged commit.
const LATE_PROMOTION_SEEDS_MANY_FAULTS: [u64; 5] = [5, 9, 15, 25, 34];

/// Seeds in which an intent that was recorded late hid that a promotion had been sent: the next
/// coordinator cancelled the attempt, and the old primary acknowledged commits.
const LATE_INTENT_SEEDS: [u64; 2] = [2, 94];

/// A world whose promotion client resets the connection of a request that it abandons, and in which
/// each record of an intent requires the revision of the intent that it replaces.
fn world(seed: u64, faults: Faults, late: Late, sender: Option<Sender>) -> World {
    world_without_resets(seed, faults, late, sender).with_resets()
}

/// A world whose promotion client closes the connection without a reset.
fn world_without_resets(seed: u64, faults: Faults, late: Late, sender: Option<Sender>) -> World {
    unprotected_world(seed, faults, late, sender).with_conditional_intents()
}

/// A world without resets, in which the record of an intent that is not `promoting` requires the
/// lease only.
fn unprotected_world(seed: u64, faults: Faults, late: Late, sender: Option<Sender>) -> World {
    World::new(seed, faults.with_coordinator_notifications(), PlantedFault::None)
        .with_aimed_faults(AimedFaults::draw(seed, late, sender))
}

/// Runs the seeds and asserts that none violates a guarantee.
pub fn assert_no_violations(new_world: impl Fn(u64) -> World + Sync) {
    let outcomes = run_worlds(seeds(), new_world);
    let found = violations(&outcomes);
    let total = |count: fn(&Outcome) -> u64| outcomes.values().map(count).sum::<u64>();
    let mut seeds_by_violation: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (seed, violation) in &found {
        let text = format!("{violation:?}");
        let kind = text.split_once(" {").map_or(text.as_str(), |(kind, _)| kind);
        let seeds = seeds_by_violation.entry(kind.to_owned()).or_default();
        if !seeds.contains(seed) {
            seeds.push(*seed);
        }
    }
    println!(
        "{} seeds: {} writes acknowledged, {} promotions, {} late arrivals",
        outcomes.len(),
        total(|outcome| outcome.acknowledged),
        total(|outcome| outcome.promotions),
        total(|outcome| outcome.late_arrivals),
    );
    for (kind, seeds) in &seeds_by_violation {
        let first = &seeds[..seeds.len().min(10)];
        println!("{kind}: {} seeds, such as {first:?}", seeds.len());
    }
    assert!(found.is_empty(), "{}", describe(&outcomes));
}

/// Guards against a promotion that takes effect after its successor's because its sender closed the
/// connection without a reset.
#[test]
fn a_promotion_that_its_sender_has_abandoned_takes_effect_before_its_successors() {
    assert_no_violations(|seed| world(seed, Faults::all(), Late::Promotions, Some(Sender::Lives)));
}

/// Guards against a promotion that takes effect after its successor's although its sender was
/// killed.
#[test]
fn a_promotion_of_a_killed_sender_takes_effect_before_its_successors() {
    assert_no_violations(|seed| world(seed, Faults::all(), Late::Promotions, Some(Sender::Killed)));
}

/// Guards against a promotion that takes effect after its successor's while its sender is
/// suspended.
#[test]
fn a_promotion_of_a_suspended_sender_takes_effect_before_its_successors() {
    assert_no_violations(|seed| {
        world(seed, Faults::all(), Late::Promotions, Some(Sender::Suspended))
    });
}

/// Guards against a group without a primary after the sender of a promotion has lost power. Writes
/// are acknowledged again within 9 s of the last fault's end; if the machine never returns, within
/// 39 s of its loss, since the coordinator waits for 30 s.
#[test]
fn a_group_recovers_after_the_sender_of_a_promotion_loses_power() {
    assert_no_violations(|seed| {
        world(seed, Faults::all(), Late::Promotions, Some(Sender::LosesPower))
    });
}

/// Guards against faults of this world that have another cause than a late message.
#[test]
fn a_coordinator_that_is_cut_off_as_it_sends_a_promotion_violates_no_guarantee() {
    assert_no_violations(|seed| world(seed, Faults::all(), Late::Nothing, None));
}

/// Guards against the same with many faults.
#[test]
fn a_coordinator_that_is_cut_off_with_many_faults_violates_no_guarantee() {
    assert_no_violations(|seed| world(seed, Faults::dense().with_releases(), Late::Nothing, None));
}

/// Guards against a late promotion that meets other faults.
#[test]
fn a_late_promotion_with_many_faults_violates_no_guarantee() {
    assert_no_violations(|seed| {
        world(seed, Faults::dense().with_releases(), Late::Promotions, None)
    });
}

/// Guards against a stop, demotion or release that an instance receives late.
#[test]
fn a_late_command_to_an_instance_violates_no_guarantee() {
    assert_no_violations(|seed| world(seed, Faults::all(), Late::Requests, None));
}

/// Guards against a late command that meets other faults.
#[test]
fn a_late_command_to_an_instance_with_many_faults_violates_no_guarantee() {
    assert_no_violations(|seed| world(seed, Faults::dense().with_releases(), Late::Requests, None));
}

/// Guards against store calls that a partition holds until their sender has been replaced.
#[test]
fn held_store_calls_of_a_coordinator_violate_no_guarantee() {
    assert_no_violations(|seed| world(seed, Faults::all(), Late::StoreCalls, None));
}

/// Guards against changes that the store executes seconds after they were sent.
#[test]
fn changes_that_the_store_executes_late_violate_no_guarantee() {
    assert_no_violations(|seed| world(seed, Faults::all(), Late::StoreWrites, None));
}

/// Guards against late changes of the store that meet other faults.
#[test]
fn changes_that_the_store_executes_late_with_many_faults_violate_no_guarantee() {
    assert_no_violations(|seed| {
        world(seed, Faults::dense().with_releases(), Late::StoreWrites, None)
    });
}

/// Guards against an intent that is recorded late, replaces the one that says that a promotion may
/// have been sent, and lets the next coordinator cancel the attempt.
#[test]
fn an_intent_that_is_recorded_late_violates_no_guarantee() {
    assert_no_violations(|seed| world(seed, Faults::all(), Late::Intent, None));
}

/// Guards against the loss of commits that a promotion lacks because it takes effect late.
#[test]
fn seeds_with_a_late_promotion_violate_no_guarantee() {
    for (sender, seeds) in LATE_PROMOTION_SEEDS {
        for seed in seeds {
            let outcome = world(seed, Faults::all(), Late::Promotions, Some(sender)).run();
            let found = outcome.violations.first();
            assert!(found.is_none(), "seed {seed}, the sender {sender:?}: {found:?}");
        }
    }
    for seed in LATE_PROMOTION_SEEDS_MANY_FAULTS {
        let outcome = world(seed, Faults::dense().with_releases(), Late::Promotions, None).run();
        let found = outcome.violations.first();
        assert!(found.is_none(), "seed {seed} with many faults: {found:?}");
    }
}

/// Guards against the cancellation of an attempt whose promotion takes effect, after an older
/// intent was recorded late.
#[test]
fn seeds_with_a_late_intent_violate_no_guarantee() {
    for seed in LATE_INTENT_SEEDS {
        let outcome = world(seed, Faults::all(), Late::Intent, None).run();
        let found = outcome.violations.first();
        assert!(found.is_none(), "seed {seed}: {found:?}");
    }
}

/// Guards against an owner that cannot reach the store and returns to the old primary: the
/// coordinator is killed within the interval of its notifications after it has recorded that a
/// promotion may be sent. The owner has heard only of the intent before that.
#[test]
fn an_owner_that_has_not_heard_of_the_promotion_does_not_return_to_the_old_primary() {
    let outcome = world(443, Faults::dense().with_releases(), Late::Nothing, None).run();
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations.first());
}

/// Planted fault: the silence of a coordinator counts as evidence that it promotes no instance. The
/// owner that it has notified acknowledges commits of the old primary without confirmation.
#[test]
fn detects_silence_as_evidence_that_a_replacement_has_ended() {
    let outcome = world(443, Faults::dense().with_releases(), Late::Nothing, None)
        .with_planted_fault(PlantedFault::SilenceEndsReplacements)
        .run();
    let is_lost = |violation: &Violation| matches!(violation, Violation::LostCommit { .. });
    assert!(outcome.violations.iter().any(is_lost), "the planted fault is not detected");
}

/// Runs worlds with a planted fault in batches and asserts that a late promotion shows it.
fn assert_detected(new_world: impl Fn(u64) -> World + Sync) {
    let batches = (FIRST_SEED..FIRST_SEED + PLANTED_SEEDS).step_by(SEEDS_PER_BATCH as usize);
    let detected = batches.into_iter().find_map(|first| {
        let outcomes = run_worlds(first..first + SEEDS_PER_BATCH, &new_world);
        let is_expected = |violation: &Violation| {
            matches!(violation, Violation::Fence { .. } | Violation::LostCommit { .. })
        };
        violations(&outcomes).into_iter().find(|(_, violation)| is_expected(violation))
    });
    println!("{detected:?}");
    assert!(detected.is_some(), "the planted fault is not detected");
}

/// Planted fault: the promotion client closes the connection of an abandoned request without a
/// reset, and the kernel does so when the process is killed.
#[test]
fn detects_connections_that_are_closed_without_a_reset() {
    for sender in [Sender::Lives, Sender::Killed] {
        assert_detected(|seed| {
            world_without_resets(seed, Faults::all(), Late::Promotions, Some(sender))
        });
    }
}

/// Planted fault: the record of an intent that is not `promoting` requires the lease only, so that a
/// late one replaces the intent that says that a promotion may have been sent.
#[test]
fn detects_intents_that_are_recorded_on_the_lease_alone() {
    assert_detected(|seed| {
        unprotected_world(seed, Faults::all(), Late::Intent, None)
            .with_resets()
            .with_uncovered_answers()
    });
}

/// Planted fault: a coordinator does not wait for the end of earlier promotions.
#[test]
fn detects_a_coordinator_that_does_not_wait_for_earlier_promotions() {
    assert_detected(|seed| {
        world(seed, Faults::all(), Late::Promotions, Some(Sender::Suspended))
            .with_planted_fault(PlantedFault::NoWaitForOpenCalls)
    });
}

/// Planted fault: an earlier coordinator that is silent for a second counts as one without open
/// promotions.
#[test]
fn detects_silence_as_evidence_that_promotions_have_ended() {
    assert_detected(|seed| {
        world(seed, Faults::all(), Late::Promotions, Some(Sender::Suspended))
            .with_planted_fault(PlantedFault::SilenceEndsCalls)
    });
}

/// Prints the events of one seed: `TRACE_SEED=2 TRACE_KIND=intent cargo test --release -p
/// kestrellock-core --test replacement print_trace_of_a_late -- --ignored --nocapture`.
#[test]
#[ignore = "a tool: prints the events of the seed that TRACE_SEED and TRACE_KIND select"]
fn print_trace_of_a_late_message() {
    let seed = std::env::var("TRACE_SEED").expect("TRACE_SEED is not set");
    let seed = seed.parse().expect("TRACE_SEED is not a number");
    let kind = std::env::var("TRACE_KIND").expect("TRACE_KIND is not set");
    let (few, many) = (Faults::all(), Faults::dense().with_releases());
    let (faults, late, sender) = match kind.as_str() {
        "lives" => (few, Late::Promotions, Some(Sender::Lives)),
        "killed" => (few, Late::Promotions, Some(Sender::Killed)),
        "suspended" => (few, Late::Promotions, Some(Sender::Suspended)),
        "power" => (few, Late::Promotions, Some(Sender::LosesPower)),
        "many" => (many, Late::Promotions, None),
        "requests" => (few, Late::Requests, None),
        "many_requests" => (many, Late::Requests, None),
        "store_calls" => (few, Late::StoreCalls, None),
        "store_writes" => (few, Late::StoreWrites, None),
        "many_store_writes" => (many, Late::StoreWrites, None),
        "intent" => (few, Late::Intent, None),
        "nothing" => (few, Late::Nothing, None),
        "many_nothing" => (many, Late::Nothing, None),
        other => panic!("unknown TRACE_KIND: {other}"),
    };
    let (outcome, lines) = world(seed, faults, late, sender).traced().run_with_trace();
    println!("{:#?}\n{}\n{:?}", outcome.plan, lines.join("\n"), outcome.violations);
}
