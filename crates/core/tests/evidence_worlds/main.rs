//! Searches all short sequences of events for worlds in which evidence that a primary leads is
//! false. The evidence is the product's [`PrimaryEvidence`], used as the daemon uses it; the
//! instances, the coordinator and the network are small models.
//!
//! Time passes in steps of 100 ms. Evidence lasts for three steps at a listed node and for two at
//! an unlisted one, so that a whole replacement fits into a short sequence.
//!
//! The promises: a statement that would run at the old primary sees every commit that was
//! acknowledged before it arrived, and every commit that the observed node acknowledges is in the
//! successor's log.
//!
//! [`PrimaryEvidence`]: kestrellock_core::primary_evidence::PrimaryEvidence

mod explorer;
mod model;
mod node;

use std::time::Duration;

use explorer::{Goal, Search, explore};
use kestrellock_core::primary_evidence::UNLISTED_EVIDENCE_LIFETIME;
use model::{InstanceId, Scope};
use node::{NodeKind, PlantedUse};

/// The most general world that the design promises to serve: no instance has joined, and no
/// instance restarts while it is stopped.
const PLAIN: Scope = Scope {
    node: NodeKind {
        is_listed: true,
        listed_lifetime: Duration::from_millis(300),
        unlisted_lifetime: UNLISTED_EVIDENCE_LIFETIME,
        answer_margin: Duration::ZERO,
        planted: PlantedUse::None,
    },
    has_joined_instance: false,
    coordinator_lists_joined: true,
    dead: &[],
    has_store: true,
    has_coordinator: true,
    has_late_answers: false,
    has_staggered_stops: false,
    has_cancellations: false,
    has_early_followers: false,
    hears_of_intents: true,
    replica_restarts: 0,
    primary_crashes: 0,
    node_restarts: 0,
    writes: 1,
};

fn planted(planted: PlantedUse) -> NodeKind {
    NodeKind { planted, ..PLAIN.node }
}

fn search(name: &str, scope: Scope, depth: usize, goal: Goal) -> Search {
    let search = explore(scope, depth, goal);
    let Search { states, depth, is_complete, elapsed, found } = &search;
    let seconds = elapsed.as_secs_f64();
    println!("{name}: {states} states, depth {depth}, complete {is_complete}, {seconds:.2} s");
    if let Some(found) = found {
        println!("  {:?} ({})", found.violation, found.belief);
        for (number, action) in found.trace.iter().enumerate() {
            println!("  {:>2} {action:?}", number + 1);
        }
    }
    search
}

#[test]
#[ignore = "a tool: explores VARIANT to DEPTH"]
fn tool() {
    let depth = std::env::var("DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(10);
    let variant = std::env::var("VARIANT").unwrap_or_default();
    let scope = match variant.as_str() {
        "plain" => PLAIN,
        "deaf" => Scope { hears_of_intents: false, ..PLAIN },
        "cut" => Scope { hears_of_intents: false, has_store: false, ..PLAIN },
        "early" => Scope { has_early_followers: true, ..PLAIN },
        "staggered" => Scope { has_staggered_stops: true, ..PLAIN },
        "cancelled" => Scope { has_cancellations: true, ..PLAIN },
        "dead" => Scope { dead: &[InstanceId::R2], ..PLAIN },
        "a" => Scope { node: planted(PlantedUse::CommitsWithoutCoverage), hears_of_intents: false, ..PLAIN },
        "b" => Scope { node: planted(PlantedUse::UncheckedWithoutPrimary), hears_of_intents: false, ..PLAIN },
        "c" => Scope { node: planted(PlantedUse::FormerPrimaryRenamed), hears_of_intents: false, ..PLAIN },
        "restart" => Scope { replica_restarts: 1, hears_of_intents: false, ..PLAIN },
        "joined" => Scope { has_joined_instance: true, ..PLAIN },
        "joined-unknown" => {
            Scope { has_joined_instance: true, coordinator_lists_joined: false, ..PLAIN }
        }
        "late" => Scope { has_late_answers: true, ..PLAIN },
        "crash" => Scope { primary_crashes: 1, ..PLAIN },
        "node-restart" => Scope { node_restarts: 1, ..PLAIN },
        "unlisted" => Scope { node: NodeKind { is_listed: false, ..PLAIN.node }, ..PLAIN },
        _ => panic!("no such variant"),
    };
    let search = search(&variant, scope, depth, Goal::Violation);
    assert!(search.found.is_none());
}
