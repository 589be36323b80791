//! Membership over a simulated network: convergence, failure detection, refutation, and merging
//! after partitions.

mod virtual_network;

use std::time::Duration;

use kestrellock_core::catalog::Revision;
use kestrellock_core::membership::Health;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use virtual_network::{Network, name};

const LIMIT: Duration = Duration::from_secs(120);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn converged(count: usize, zones: usize, seed: u64) -> Network {
    let mut network = Network::new(count, zones, seed);
    network.run_until(LIMIT, Network::has_converged).expect("a fresh cluster converges");
    network
}

#[test]
fn a_cluster_whose_nodes_start_together_converges() {
    for (count, limit) in [(1, 1), (2, 3), (3, 3), (60, 10), (520, 15)] {
        let mut network = Network::new(count, 5, 7);
        let took = network.run_until(LIMIT, Network::has_converged);
        let took = took.expect("the cluster converges");
        assert!(took <= seconds(limit), "{count} nodes took {took:?}");
        assert!(network.deaths.is_empty(), "no node may be declared dead: {:?}", network.deaths);
    }
}

#[test]
fn all_nodes_detect_a_crashed_node_within_seconds() {
    let mut network = converged(100, 5, 11);
    network.run_for(seconds(5));
    network.kill(42);
    let took = network.run_until(LIMIT, Network::has_converged).expect("all learn of the death");
    assert!(took < seconds(9), "took {took:?}");
    assert!(network.deaths.iter().all(|death| death.node == 42));
}

#[test]
fn the_crash_of_a_zone_of_the_design_size_is_detected_within_seconds() {
    let mut network = converged(520, 5, 3);
    network.run_for(seconds(5));
    for node in (0..520).filter(|node| node % 5 == 2) {
        network.kill(node);
    }
    let took = network.run_until(LIMIT, Network::has_converged).expect("all learn of the deaths");
    assert!(took < seconds(15), "took {took:?}");
    assert!(!network.deaths.iter().any(|death| death.is_false), "no live node was declared dead");
}

#[test]
fn ten_percent_packet_loss_causes_no_false_deaths() {
    let mut network = converged(60, 3, 5);
    network.loss_percent = 10;
    network.run_for(seconds(600));
    let false_deaths = network.deaths.iter().filter(|death| death.is_false).count();
    assert_eq!(false_deaths, 0, "over 60 nodes and 600 s: {:?}", network.deaths);
}

#[test]
fn the_cluster_recovers_from_heavy_packet_loss() {
    let mut network = converged(60, 3, 5);
    network.loss_percent = 40;
    network.run_for(seconds(60));
    network.loss_percent = 0;
    network.run_until(LIMIT, Network::has_converged).expect("all nodes are live again");
}

#[test]
fn a_paused_node_is_declared_dead_and_recovers_by_refutation() {
    let mut network = converged(50, 3, 13);
    network.set_paused(7, true);
    network.run_until(LIMIT, Network::has_converged).expect("the paused node is dead to others");
    network.run_for(seconds(30));
    let before = network.deaths.len();
    network.set_paused(7, false);
    network.run_until(LIMIT, Network::has_converged).expect("it is live again");
    assert!(network.machines[7].state.counters().refutations > 0);
    assert_eq!(network.machines[7].state.counters().pauses, 1);
    let others: Vec<_> = network.deaths[before..].iter().filter(|death| death.by == 7).collect();
    assert!(others.is_empty(), "the resumed node declares no node dead: {others:?}");
}

#[test]
fn zones_merge_without_new_deaths_after_a_partition() {
    let mut network = converged(60, 3, 17);
    for other in [0, 1] {
        network.set_cut(2, other, true);
    }
    network.run_for(seconds(120));
    let deaths = network.deaths.len();
    assert_eq!(deaths, 2 * 20 * 40, "each side declares the other dead");
    for other in [0, 1] {
        network.set_cut(2, other, false);
    }
    let took = network.run_until(LIMIT, Network::has_converged).expect("the parts merge");
    assert!(took < seconds(15), "took {took:?}");
    let late = &network.deaths[deaths..];
    assert!(late.is_empty(), "merging must declare no node dead: {} deaths", late.len());
}

#[test]
fn a_third_of_the_nodes_rejoins_with_new_incarnations_after_a_restart() {
    let mut network = converged(90, 3, 19);
    for node in 0..30 {
        network.kill(node);
    }
    network.run_for(seconds(2));
    for node in 0..30 {
        network.restart(node);
    }
    network.run_until(LIMIT, Network::has_converged).expect("all rejoin");
    let observer = &network.machines[80].state;
    let restarted = observer.members().find(|record| record.node == name(3)).expect("known");
    assert_eq!(restarted.incarnation.process, 2);
}

#[test]
fn a_leaving_node_departs_without_suspicion() {
    let mut network = converged(40, 3, 23);
    network.begin_leaving(9);
    let all_know = |network: &Network| {
        network.machines.iter().enumerate().filter(|(index, _)| *index != 9).all(|(_, machine)| {
            machine.state.members().any(|record| record.node == name(9) && record.leaving)
        })
    };
    let took = network.run_until(LIMIT, all_know).expect("all learn that the node is leaving");
    assert!(took <= seconds(3), "took {took:?}");
    network.leave(9);
    network.run_until(LIMIT, Network::has_converged).expect("all learn that the node has left");
    assert!(network.deaths.is_empty());
    let gone = network.machines[3].state.members().find(|record| record.node == name(9));
    assert_eq!(gone.map(|record| record.health), Some(Health::Left));
}

#[test]
fn a_new_revision_is_active_on_every_node_within_seconds() {
    let mut network = converged(520, 5, 29);
    network.run_for(seconds(5));
    network.set_revision(100, Revision(9));
    let all_active = |network: &Network| {
        let mut own = network.machines.iter().map(|machine| machine.state.own().revision);
        own.all(|revision| revision == Revision(9))
    };
    let took = network.run_until(LIMIT, all_active).expect("all nodes activate the revision");
    assert!(took < seconds(5), "took {took:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default() })]

    /// After any sequence of faults, all running nodes see each other soon after the faults end.
    #[test]
    fn the_cluster_recovers_from_any_mix_of_faults(
        seed in any::<u64>(),
        loss in 0_u64..30,
        faults in prop::collection::vec((0_usize..4, 0_usize..24, 1_u64..15), 1..12),
    ) {
        let mut network = converged(24, 3, seed);
        network.loss_percent = loss;
        for (kind, node, wait) in faults {
            match kind {
                0 => network.kill(node),
                1 => network.restart(node),
                2 => network.set_paused(node, true),
                _ => network.set_cut(node % 3, (node + 1) % 3, true),
            }
            network.run_for(seconds(wait));
        }
        network.loss_percent = 0;
        network.cuts.clear();
        for node in 0..24 {
            network.set_paused(node, false);
        }
        if !network.machines[0].running {
            network.restart(0);
        }
        let took = network.run_until(LIMIT, Network::has_converged);
        prop_assert!(took.is_some(), "not converged after {LIMIT:?}");
    }
}
