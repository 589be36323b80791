//! A thread that drives many hollow nodes, and what it shares with the one that directs it.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Revision, VersionedCatalog};
use mio::{Events, Interest, Poll, Token};

use super::node::{Directory, HollowNode, Parcel, Traffic};
use super::process;

/// Time between two ticks of a node, as in the daemon.
const TICK: Duration = Duration::from_millis(50);
const POLL_LIMIT: Duration = Duration::from_millis(5);
const POISONED: &str = "a holder of the lock panicked";

/// What the director wants a node to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Say good-bye and stop.
    Leave,
    /// Stop at once.
    Kill,
    /// Start again.
    Restart,
}

/// What a node last said of itself.
#[derive(Clone, Copy, Debug)]
pub struct NodeState {
    /// Whether it runs.
    pub running: bool,
    /// Live nodes in its view.
    pub live: usize,
    /// Revision in force.
    pub revision: Revision,
    /// When it came into force.
    pub in_force_at: Instant,
    /// What it sent and received.
    pub traffic: Traffic,
}

/// State shared by the workers and the director.
pub struct Shared {
    /// Where nodes are found.
    pub directory: Directory,
    /// Configuration messages on their way, by receiver.
    pub parcels: Vec<Mutex<VecDeque<Parcel>>>,
    /// Orders of the director, by node.
    pub orders: Vec<Mutex<Option<Order>>>,
    /// What the nodes said last.
    pub states: Vec<Mutex<NodeState>>,
    /// The store: the newest catalog.
    pub stored: Mutex<VersionedCatalog>,
    /// Reads of the store.
    pub store_reads: AtomicU64,
    /// Processor time of all workers, in nanoseconds.
    pub processor_nanoseconds: AtomicU64,
    /// Tells the workers to end.
    pub stopping: AtomicBool,
}

/// Drives `nodes` until told to stop.
pub fn run(mut nodes: Vec<HollowNode>, shared: &Shared) -> std::io::Result<()> {
    let mut poll = Poll::new()?;
    for (token, node) in nodes.iter_mut().enumerate() {
        poll.registry().register(&mut node.socket, Token(token), Interest::READABLE)?;
    }
    let mut events = Events::with_capacity(nodes.len());
    let step = TICK / nodes.len().max(1) as u32;
    let begun = Instant::now();
    let mut next: Vec<Instant> =
        (0..nodes.len()).map(|number| begun + step * number as u32).collect();
    let mut counted = Duration::ZERO;
    while !shared.stopping.load(Ordering::Acquire) {
        poll.poll(&mut events, Some(POLL_LIMIT))?;
        for event in &events {
            nodes[event.token().0].receive();
        }
        for (node, due) in nodes.iter_mut().zip(&mut next) {
            drive(node, due, shared);
        }
        let used = process::thread_time();
        let more = used.saturating_sub(counted).as_nanos() as u64;
        shared.processor_nanoseconds.fetch_add(more, Ordering::AcqRel);
        counted = used;
    }
    Ok(())
}

fn drive(node: &mut HollowNode, due: &mut Instant, shared: &Shared) {
    let parcels = std::mem::take(&mut *shared.parcels[node.index].lock().expect(POISONED));
    for parcel in parcels {
        let answers = node.on_parcel(&parcel, &shared.directory);
        post(answers, shared);
    }
    let now = Instant::now();
    if now < *due {
        return;
    }
    *due = now + TICK;
    if let Some(order) = shared.orders[node.index].lock().expect(POISONED).take() {
        obey(node, order, shared);
    }
    if node.running {
        let sent = node.tick(&shared.directory);
        post(sent, shared);
        follow_store(node, shared);
    }
    *shared.states[node.index].lock().expect(POISONED) = NodeState {
        running: node.running,
        live: node.live_count(),
        revision: node.revision(),
        in_force_at: node.in_force_at,
        traffic: node.traffic,
    };
}

fn obey(node: &mut HollowNode, order: Order, shared: &Shared) {
    match order {
        Order::Leave => {
            node.announce_left();
            node.running = false;
        }
        Order::Kill => node.running = false,
        Order::Restart => node.restart(&shared.directory),
    }
}

/// A follower sees a change in the store within a tick and reads it.
fn follow_store(node: &mut HollowNode, shared: &Shared) {
    if !node.is_follower() {
        return;
    }
    let stored = shared.stored.lock().expect(POISONED);
    if stored.revision <= node.revision() {
        return;
    }
    let catalog = stored.clone();
    drop(stored);
    shared.store_reads.fetch_add(1, Ordering::AcqRel);
    let sent = node.on_stored(catalog, &shared.directory);
    post(sent, shared);
}

fn post(parcels: Vec<(usize, Parcel)>, shared: &Shared) {
    for (to, parcel) in parcels {
        shared.parcels[to].lock().expect(POISONED).push_back(parcel);
    }
}
