//! Reads the platform's machine list to find more seeds for membership. The list lags and may be
//! wrong, so its entries are contacted, but do not count as live until they respond.

use std::time::Duration;

use kestrellock_core::membership::Seed;
use kestrellock_core::rendezvous::Candidate;
use kestrellock_store::backoff::Backoff;
use kestrellock_store::machines::{Machine, MachineList, MachineState};

use crate::context::NodeContext;
use crate::shared::live::LiveNode;
use crate::supervisor::StopFlag;

/// Mean time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Number of first reads, which follow each other quickly: other nodes may be starting at the same
/// time, and the store watchers are chosen by the list until the other nodes are known. A read
/// costs no request where the list is a local copy.
const FAST_READS: u32 = 10;
const FAST_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Reads up to this number, the first ones included, are one second apart.
const EARLY_READS: u32 = 15;
const EARLY_READ_INTERVAL: Duration = Duration::from_secs(1);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Adds this node to the list, where nodes add themselves, and reads the list at intervals until
/// `stop` is set. `peers` are seeds in addition to the listed ones.
pub fn poll(
    list: &dyn MachineList,
    own: &Machine,
    peers: &[Seed],
    context: &NodeContext,
    stop: &StopFlag,
) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut reads = 0;
    while !stop.is_stopping() {
        stop.wait_while_paused();
        match list.machines() {
            Ok(machines) => {
                publish(machines, own, peers, context);
                if let Err(error) = list.enter(own) {
                    log::debug!("machine list not written: {error}");
                    stop.sleep(backoff.wait(rand::random()));
                    continue;
                }
                backoff.reset();
                reads += 1;
                stop.sleep(interval_after(reads).mul_f64(0.75 + rand::random::<f64>() / 2.0));
            }
            Err(error) => {
                log::debug!("machine list not read: {error}");
                stop.sleep(backoff.wait(rand::random()));
            }
        }
    }
    if context.is_stopping()
        && let Err(error) = list.leave(own)
    {
        log::debug!("entry in the machine list not removed: {error}");
    }
}

fn interval_after(reads: u32) -> Duration {
    match reads {
        _ if reads <= FAST_READS => FAST_READ_INTERVAL,
        _ if reads <= EARLY_READS => EARLY_READ_INTERVAL,
        _ => READ_INTERVAL,
    }
}

fn publish(machines: Vec<Machine>, own: &Machine, peers: &[Seed], context: &NodeContext) {
    let listed: Vec<LiveNode> = machines.iter().map(listed_node).collect();
    if listed != *context.listed_nodes.load() {
        context.listed_nodes.store(listed);
    }
    context.listed_seeds.put(seeds(own, peers, machines));
}

fn listed_node(machine: &Machine) -> LiveNode {
    LiveNode {
        candidate: Candidate {
            node: machine.node.clone(),
            zone: machine.zone.clone(),
            link_mbps: machine.link_mbps,
        },
        peer_address: machine.peer_address,
        accepts_work: machine.state == MachineState::Live,
    }
}

fn seeds(own: &Machine, peers: &[Seed], machines: Vec<Machine>) -> Vec<Seed> {
    let others = machines.into_iter().filter(|machine| machine.node != own.node);
    let live = others.filter(|machine| machine.state == MachineState::Live);
    let listed = live.map(|machine| Seed { node: machine.node, address: machine.peer_address });
    let mut all = peers.to_vec();
    for seed in listed {
        if !all.contains(&seed) {
            all.push(seed);
        }
    }
    all
}
