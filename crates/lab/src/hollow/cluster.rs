//! A cluster of hollow nodes, and the phases it is measured in.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Revision;
use miette::{IntoDiagnostic, ensure};
use mio::net::UdpSocket;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::catalog::{ZONES, catalog, changed};
use super::node::{Directory, HollowNode, Traffic, node_name};
use super::process;
use super::report::{ChangeTimes, Phase, SizeReport};
use super::worker::{self, NodeState, Order, Shared};

/// Threads that drive the nodes.
const WORKERS: usize = 4;
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(90);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a fresh cluster comes to rest before it is measured.
const REST: Duration = Duration::from_secs(12);
/// Time between two restarts under churn. A day of 180 restarts and 2 failures takes 182 s.
const RESTART_INTERVAL: Duration = Duration::from_secs(1);
/// How long a restarted machine is away.
const DOWNTIME: Duration = Duration::from_secs(2);
/// One restart in so many is a failure, without a good-bye.
const FAILURE_SHARE: usize = 10;
/// Time between two changes of the configuration under churn.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2500);
const POISONED: &str = "a holder of the lock panicked";
/// Second octet of the addresses of the first zone.
const FIRST_ZONE_OCTET: usize = 100;

/// A running cluster.
pub struct Cluster {
    shared: Arc<Shared>,
    workers: Vec<JoinHandle<io::Result<()>>>,
    databases: usize,
    random: StdRng,
}

impl Cluster {
    /// Starts `count` nodes at once.
    pub fn start(count: usize, databases: usize, seed: u64) -> miette::Result<Self> {
        catalog(databases).validate().into_diagnostic()?;
        let mut random = StdRng::seed_from_u64(seed);
        let sockets: Vec<UdpSocket> =
            (0..count).map(bind).collect::<io::Result<_>>().into_diagnostic()?;
        let addresses: Vec<SocketAddr> = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<_>>()
            .into_diagnostic()?;
        let by_name: HashMap<_, _> = (0..count).map(|index| (node_name(index), index)).collect();
        let shared = Arc::new(shared(Directory { addresses, by_name }, count, databases));
        let mut shares: Vec<Vec<HollowNode>> = (0..WORKERS).map(|_| Vec::new()).collect();
        for (index, socket) in sockets.into_iter().enumerate() {
            let own = StdRng::seed_from_u64(random.random());
            let node = HollowNode::new(index, socket, &shared.directory, own);
            shares[index % WORKERS].push(node);
        }
        let workers = shares.into_iter().map(|nodes| {
            let shared = shared.clone();
            std::thread::spawn(move || worker::run(nodes, &shared))
        });
        let workers = workers.collect();
        Ok(Self { shared, workers, databases, random })
    }

    /// Stops every node.
    pub fn stop(self) -> miette::Result<()> {
        self.shared.stopping.store(true, Ordering::Release);
        for worker in self.workers {
            let outcome = worker.join().map_err(|_| miette::miette!("a worker panicked"))?;
            outcome.into_diagnostic()?;
        }
        Ok(())
    }

    /// Measures boot, rest and churn, each of the last two for `time`.
    pub fn measure(&mut self, time: Duration) -> miette::Result<SizeReport> {
        let begun = Instant::now();
        self.wait_for_convergence()?;
        let boot_seconds = begun.elapsed().as_secs_f64();
        std::thread::sleep(REST);
        let (quiet, _) = self.phase(time, false)?;
        let resident = process::resident_bytes();
        let (churn, changes) = self.phase(time, true)?;
        self.wait_for_convergence()?;
        let nodes = self.shared.states.len();
        Ok(SizeReport {
            nodes,
            databases: self.databases,
            boot_seconds,
            resident_bytes_per_node: resident / nodes as u64,
            quiet,
            churn,
            changes,
        })
    }

    fn states(&self) -> Vec<NodeState> {
        self.shared.states.iter().map(|state| *state.lock().expect(POISONED)).collect()
    }

    /// Waits until every running node sees exactly the running ones and has the newest revision.
    fn wait_for_convergence(&self) -> miette::Result<()> {
        let end = Instant::now() + CONVERGENCE_LIMIT;
        loop {
            let states = self.states();
            let running: Vec<&NodeState> = states.iter().filter(|state| state.running).collect();
            let newest = self.shared.stored.lock().expect(POISONED).revision;
            let agreed =
                |state: &&&NodeState| state.live == running.len() && state.revision == newest;
            let agreeing = running.iter().filter(agreed).count();
            if agreeing == running.len() {
                return Ok(());
            }
            ensure!(
                Instant::now() < end,
                "{agreeing} of {} nodes agree after {CONVERGENCE_LIMIT:?}; the first sees {} live \
                 and has revision {} of {}",
                running.len(),
                running.first().map_or(0, |state| state.live),
                running.first().map_or(0, |state| state.revision.0),
                newest.0,
            );
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Measures for `time`, with or without churn.
    fn phase(&mut self, time: Duration, churn: bool) -> miette::Result<(Phase, ChangeTimes)> {
        let before = self.total();
        let processor = self.shared.processor_nanoseconds.load(Ordering::Acquire);
        let reads = self.shared.store_reads.load(Ordering::Acquire);
        let begun = Instant::now();
        let (restarts, changes) = match churn {
            true => self.churn(time)?,
            false => {
                std::thread::sleep(time);
                (0, ChangeTimes::default())
            }
        };
        let seconds = begun.elapsed().as_secs_f64();
        let used = self.shared.processor_nanoseconds.load(Ordering::Acquire) - processor;
        let traffic = difference(&self.total(), &before);
        let store_reads = self.shared.store_reads.load(Ordering::Acquire) - reads;
        let nodes = self.shared.states.len() as f64;
        let each = |total: u64| total as f64 / nodes / seconds;
        let phase = Phase {
            seconds,
            restarts,
            configuration_changes: changes.count,
            processor_percent: used as f64 / 1e9 / seconds / nodes * 100.0,
            datagrams_per_second: each(traffic.datagrams),
            datagram_bytes_per_second: each(traffic.datagram_bytes),
            received_bytes_per_second: each(traffic.received_bytes),
            configuration_messages_per_second: each(traffic.messages),
            configuration_bytes_per_second: each(traffic.message_bytes),
            refused_datagrams: traffic.refused,
            deaths_declared: traffic.deaths,
            ownership_updates_per_second: each(traffic.ownership_updates),
            store_reads,
        };
        Ok((phase, changes))
    }

    /// Restarts machines and changes the configuration at a steady rate.
    fn churn(&mut self, time: Duration) -> miette::Result<(usize, ChangeTimes)> {
        let end = Instant::now() + time;
        let mut next_restart = Instant::now();
        let mut next_change = Instant::now();
        let mut away: VecDeque<(Instant, usize)> = VecDeque::new();
        let mut restarts = 0;
        let mut seconds = Vec::new();
        while Instant::now() < end {
            let now = Instant::now();
            while away.front().is_some_and(|(back, _)| *back <= now) {
                let Some((_, node)) = away.pop_front() else { break };
                self.order(node, Order::Restart);
            }
            if now >= next_restart {
                next_restart = now + RESTART_INTERVAL;
                restarts += 1;
                let node = self.random.random_range(0..self.shared.states.len());
                if !away.iter().any(|(_, gone)| *gone == node) {
                    let failed = restarts % FAILURE_SHARE == 0;
                    self.order(node, if failed { Order::Kill } else { Order::Leave });
                    away.push_back((now + DOWNTIME, node));
                }
            }
            if now >= next_change {
                next_change = now + CHANGE_INTERVAL;
                seconds.extend(self.change()?);
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        for (_, node) in away {
            self.order(node, Order::Restart);
        }
        std::thread::sleep(DOWNTIME);
        Ok((restarts, ChangeTimes::of(seconds)))
    }

    fn order(&self, node: usize, order: Order) {
        *self.shared.orders[node].lock().expect(POISONED) = Some(order);
    }

    /// Writes a change to the store, and waits until it is in force on every node that runs from
    /// its acceptance on; seconds that each took.
    fn change(&mut self) -> miette::Result<Vec<f64>> {
        let number = self.random.random_range(0..self.databases.max(1));
        let running: Vec<usize> = (0..self.shared.states.len())
            .filter(|index| self.shared.states[*index].lock().expect(POISONED).running)
            .collect();
        let mut stored = self.shared.stored.lock().expect(POISONED);
        let next = changed(&stored, number);
        let revision = next.revision;
        let accepted = Instant::now();
        *stored = next;
        drop(stored);
        let end = accepted + CONVERGENCE_LIMIT;
        loop {
            let states = self.states();
            let waiting =
                |index: &usize| states[*index].running && states[*index].revision < revision;
            if !running.iter().any(waiting) {
                let done = running.iter().filter(|index| states[**index].revision >= revision);
                let took = |state: &NodeState| state.in_force_at.duration_since(accepted);
                return Ok(done.map(|index| took(&states[*index]).as_secs_f64()).collect());
            }
            ensure!(Instant::now() < end, "revision {} not in force everywhere", revision.0);
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    fn total(&self) -> Traffic {
        let mut total = Traffic::default();
        for state in self.states() {
            let one = state.traffic;
            total.datagrams += one.datagrams;
            total.datagram_bytes += one.datagram_bytes;
            total.received_bytes += one.received_bytes;
            total.messages += one.messages;
            total.message_bytes += one.message_bytes;
            total.refused += one.refused;
            total.ownership_updates += one.ownership_updates;
            total.deaths += one.deaths;
        }
        total
    }
}

fn difference(after: &Traffic, before: &Traffic) -> Traffic {
    Traffic {
        datagrams: after.datagrams - before.datagrams,
        datagram_bytes: after.datagram_bytes - before.datagram_bytes,
        received_bytes: after.received_bytes - before.received_bytes,
        messages: after.messages - before.messages,
        message_bytes: after.message_bytes - before.message_bytes,
        refused: after.refused - before.refused,
        ownership_updates: after.ownership_updates - before.ownership_updates,
        deaths: after.deaths - before.deaths,
    }
}

/// Each node has an address of its own in the range of its zone.
fn bind(index: usize) -> io::Result<UdpSocket> {
    let zone = FIRST_ZONE_OCTET + index % ZONES;
    let (high, low) = (index / 200, index % 200 + 1);
    UdpSocket::bind(([127, zone as u8, high as u8, low as u8], 0).into())
}

fn shared(directory: Directory, count: usize, databases: usize) -> Shared {
    let state = NodeState {
        running: true,
        live: 0,
        revision: Revision::default(),
        in_force_at: Instant::now(),
        traffic: Traffic::default(),
    };
    Shared {
        directory,
        parcels: (0..count).map(|_| Mutex::default()).collect(),
        orders: (0..count).map(|_| Mutex::default()).collect(),
        states: (0..count).map(|_| Mutex::new(state)).collect(),
        stored: Mutex::new(catalog(databases)),
        store_reads: AtomicU64::new(0),
        processor_nanoseconds: AtomicU64::new(0),
        stopping: AtomicBool::new(false),
    }
}
