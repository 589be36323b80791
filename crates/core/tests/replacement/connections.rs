//! Connections of nodes to instances. A pool opens further connections from time to time. A node
//! that cannot reach an instance while its process ends does not learn that its connections are
//! broken, and a new connection may lead to the next process.

use kestrellock_core::observed_process::ObservedProcess;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::checker::Violation;
use crate::messages::{Connection, Exchange, Message, Reply, Work};
use crate::node::Node;
use crate::plan::{FaultKind, Faults, Planned, PlantedFault};
use crate::world::World;
use crate::{FIRST_SEED, PLANTED_SEEDS, SEEDS_PER_BATCH, run_worlds, violations};

/// Share of a node's steps in which it opens a connection.
const OPENING_SHARE: f64 = 0.05;
/// Connections to an instance that a node keeps.
const MAX_CONNECTIONS: usize = 3;
/// Separates the random draws of the partitions from those of the world with the same seed.
const SEED_MASK: u64 = 0x7061_7274_6974_696f;

impl Node {
    /// Handles the end of the connections to a process of an instance.
    pub fn on_connections_closed(&mut self, instance: usize, process: u32) {
        let connections = self.connections.entry(instance).or_default();
        connections.retain(|connection| connection.process > process);
        self.evidence.discard();
    }
}

impl World {
    /// The connection that carries a node's next request to an instance.
    pub fn connection_for(&mut self, node: usize, instance: usize) -> Connection {
        let open = self.nodes[node].connections.get(&instance).cloned().unwrap_or_default();
        match open.len() {
            0 => Connection::default(),
            1 => open[0],
            count => open[self.rng.random_range(0..count)],
        }
    }

    /// Opens another connection to a random instance now and then.
    pub fn open_connections(&mut self, node: usize) {
        if self.opens_connections && self.rng.random_bool(OPENING_SHARE) {
            let instance = self.rng.random_range(0..self.instances.len());
            let request = self.next_number();
            self.send_request(node, instance, request, Work::Connect);
        }
    }

    /// Records what an answer shows about the process of the instance.
    pub fn observe_process(&mut self, exchange: &Exchange, reply: &Reply) {
        let (sent, now) = (self.at(exchange.sent), self.at(self.now));
        let established = self.at(exchange.connection.established);
        let opened = self.now;
        let own = &mut self.nodes[exchange.node];
        let mut observe = |established, sent| {
            let observed = own.processes.entry(exchange.instance).or_default();
            ObservedProcess::on_seen(observed, established, sent);
        };
        match reply {
            Reply::Refused => {}
            Reply::Broken(_) => observe(now, now),
            Reply::Connected(process) => {
                observe(now, now);
                let connection = Connection { process: *process, established: opened };
                let open = own.connections.entry(exchange.instance).or_default();
                if open.is_empty() {
                    open.push(Connection::default());
                }
                open.push(connection);
                if open.len() > MAX_CONNECTIONS {
                    open.remove(0);
                }
            }
            _ => observe(established, sent),
        }
    }

    /// Closes the connections to the process of an instance that ends. Nodes that cannot reach it
    /// do not learn of that.
    pub fn close_connections(&mut self, instance: usize) {
        if !self.opens_connections {
            return;
        }
        let instance_process = self.instances[instance].process;
        for node in 0..self.nodes.len() {
            if !self.is_cut(node, instance) {
                let process = self.nodes[node].process;
                self.send(Message::ConnectionsClosed { node, process, instance, instance_process });
            }
        }
    }
}

/// A primary crashes and is back before its successor leads. Node 0 reaches neither the store nor,
/// around the crash, the primary; the others reach the primary only until they have seen that it
/// refuses connections.
fn unnoticed_crash(seed: u64) -> Vec<Planned> {
    let rng = &mut StdRng::seed_from_u64(seed ^ SEED_MASK);
    let crash = rng.random_range(600..2_500);
    let back = crash + rng.random_range(150..550);
    let cut_from = crash - rng.random_range(1..60);
    let cut_until = back + rng.random_range(0..150);
    let others_cut_from = crash + rng.random_range(130..350);
    let others_cut_until = crash + rng.random_range(1_000..2_500);
    let cut_others = (1..4).map(|node| Planned {
        at: others_cut_from,
        until: others_cut_until,
        kind: FaultKind::CutLink(node, 0),
    });
    let until = crash + 2_000;
    let store = Planned { at: crash - 300, until, kind: FaultKind::CutStore(0) };
    let link = Planned { at: cut_from, until: cut_until, kind: FaultKind::CutLink(0, 0) };
    let crash = Planned { at: crash, until: back, kind: FaultKind::Crash(0) };
    cut_others.chain([store, link, crash]).collect()
}

fn quiet() -> Faults {
    Faults { max_faults: 1, ..Faults::without_primaries() }.with_new_connections()
}

fn world(seed: u64, faults: Faults) -> World {
    World::new(seed, faults, PlantedFault::None).with_faults(unnoticed_crash(seed))
}

/// Guards against stale reads on a new connection to a primary that crashed and returned while the
/// node could not reach it: the evidence was gathered before the crash.
#[test]
fn a_crash_that_a_node_does_not_notice_violates_no_guarantee() {
    crate::late_calls::assert_no_violations(|seed| world(seed, quiet()));
}

#[test]
fn a_crash_that_a_node_does_not_notice_violates_no_guarantee_with_many_faults() {
    crate::late_calls::assert_no_violations(|seed| {
        world(seed, Faults::dense().with_releases().with_new_connections())
    });
}

#[test]
fn no_seed_violates_a_guarantee_while_nodes_open_connections() {
    crate::assert_no_violations(Faults::all().with_releases().with_new_connections());
}

/// Planted fault: evidence counts for reads at a process that started after it was gathered.
#[test]
fn detects_evidence_from_before_the_start_of_the_process() {
    let batches = (FIRST_SEED..FIRST_SEED + PLANTED_SEEDS).step_by(SEEDS_PER_BATCH as usize);
    let detected = batches.into_iter().find_map(|first| {
        let outcomes = run_worlds(first..first + SEEDS_PER_BATCH, |seed| {
            world(seed, quiet()).with_planted_fault(PlantedFault::ProcessesIgnored)
        });
        let found = violations(&outcomes);
        let stale = |violation: &Violation| matches!(violation, Violation::StaleRead { .. });
        found.into_iter().find(|(_, violation)| stale(violation))
    });
    println!("{detected:?}");
    assert!(detected.is_some(), "the planted fault is not detected");
}
