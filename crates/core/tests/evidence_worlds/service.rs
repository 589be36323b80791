//! The worlds in which a node acknowledges a write, so that rules of evidence do not refuse all.

use crate::explorer::{Goal, Search};
use crate::model::{FIRST_TICK, InstanceId, MAX_AGE_TICKS, Scope, Start};
use crate::node::PlantedUse;
use crate::scopes::{PLAIN, with_planted};
use crate::search;

/// A group that works, without any coordinator.
const CALM: Scope = Scope { has_coordinator: false, ..PLAIN };

fn finds_acknowledgement(name: &str, scope: Scope) -> bool {
    let Search { found, .. } = search(name, scope, 8, Goal::Acknowledgement);
    found.is_some()
}

/// The same for a write that is sent once the evidence from the beginning has expired.
fn finds_late_acknowledgement(name: &str, scope: Scope) -> bool {
    let scope = Scope { first_write_tick: FIRST_TICK + MAX_AGE_TICKS, ..scope };
    let Search { found, .. } = search(name, scope, 16, Goal::Acknowledgement);
    found.is_some()
}

/// Guards against rules under which a node that was idle never acknowledges a write.
#[test]
fn idle_node_acknowledges_a_write() {
    assert!(finds_acknowledgement("calm", CALM));
}

/// Guards against loss of service while a replica is dead.
#[test]
fn idle_node_acknowledges_a_write_with_a_dead_replica_and_a_replacement_check() {
    let scope = Scope { dead: &[InstanceId::R2], ..CALM };
    assert!(finds_acknowledgement("dead replica", scope));
}

/// Guards against loss of service while the store is away, at a node that reaches the other nodes.
#[test]
fn idle_node_acknowledges_a_write_without_the_store_if_all_replicas_answer() {
    let scope = Scope { has_store: false, has_peers: true, ..CALM };
    assert!(finds_acknowledgement("store away", scope));
}

/// Guards against loss of service while neither the store nor the other nodes are in reach: reports
/// renew evidence that still holds, as long as it has not expired.
#[test]
fn node_whose_evidence_holds_acknowledges_a_write_without_the_store_and_other_nodes() {
    for dead in [&[][..], &[InstanceId::R2]] {
        let scope = Scope { start: Start::Reports, has_store: false, dead, ..CALM };
        assert!(finds_acknowledgement("store and other nodes away, recent reports", scope));
        assert!(finds_late_acknowledgement("the same, once those have expired", scope));
    }
}

/// Guards against acknowledgements that nothing shows to be safe: replicas that the promotion of an
/// instance which the node does not list has released report the same.
#[test]
fn idle_node_acknowledges_no_write_without_the_store_and_other_nodes() {
    let scope = Scope { has_store: false, ..CALM };
    assert!(!finds_acknowledgement("store and other nodes away, idle", scope));
}

/// Guards against loss of service while a replica is dead and the store is away, as long as writes
/// follow each other.
#[test]
fn working_node_acknowledges_a_write_without_the_store_and_with_a_dead_replica() {
    let scope = Scope { start: Start::Commit, has_store: false, dead: &[InstanceId::R2], ..CALM };
    assert!(finds_acknowledgement("store away, dead replica, recent commit", scope));
}

/// Guards against acknowledgements that nothing shows to be safe: a released replica reports the
/// same as the only one that answers here.
#[test]
fn idle_node_acknowledges_no_write_without_the_store_and_with_a_dead_replica() {
    let scope = Scope { has_store: false, dead: &[InstanceId::R2], ..CALM };
    assert!(!finds_acknowledgement("store away, dead replica, idle", scope));
}

/// A statement that arrives once the evidence from the beginning has expired.
fn finds_read(name: &str, scope: Scope) -> bool {
    let scope = Scope { first_write_tick: FIRST_TICK + MAX_AGE_TICKS, writes: 0, ..scope };
    let Search { found, .. } = search(name, scope, 16, Goal::Read);
    found.is_some()
}

/// Guards against loss of reads while neither the store nor the other nodes are in reach. Nothing but
/// new reports of all replicas covers them there.
#[test]
fn idle_node_reads_without_the_store_and_other_nodes_if_all_replicas_answer() {
    let scope = Scope { has_store: false, ..CALM };
    assert!(finds_read("read, store and other nodes away", scope));
    let lasting = with_planted(scope, PlantedUse::WithoutUnchecked);
    assert!(!finds_read("the same, lasting evidence only", lasting));
}

/// Guards against loss of reads where a replacement check is possible: they need no unchecked
/// reports.
#[test]
fn idle_node_reads_by_a_replacement_check() {
    let lasting = with_planted(CALM, PlantedUse::WithoutUnchecked);
    assert!(finds_read("read, with the store", lasting));
    let peers = Scope { has_store: false, has_peers: true, dead: &[InstanceId::R2], ..lasting };
    assert!(finds_read("read, with the other nodes, dead replica", peers));
}
