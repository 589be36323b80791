//! A deterministic simulated network of membership state machines, with delay, packet loss,
//! partitions, and nodes that pause or crash.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::membership::{
    Change, Health, Incarnation, MemberRecord, Membership, Message, RandomSource, Seed, Timing,
};

/// Simulated time to fetch and activate a revision from another member.
const FETCH_TIME: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_millis(100);
/// Most datagrams that the socket of a paused node buffers.
const SOCKET_BUFFER: usize = 200;

/// SplitMix64.
pub struct SeededRandom(pub u64);

impl RandomSource for SeededRandom {
    fn next_number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

enum Event {
    Tick { node: usize, restarts: u32 },
    Activate { node: usize, revision: Revision },
    Deliver { from_zone: usize, to: usize, process: Option<u64>, message: Box<Message> },
}

struct Entry {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One simulated machine.
pub struct Machine {
    pub state: Membership,
    pub zone: usize,
    pub running: bool,
    paused: bool,
    restarts: u32,
    socket: Vec<Message>,
}

/// A declaration of one node that another is dead.
#[derive(Clone, Debug)]
pub struct Death {
    pub by: usize,
    pub node: usize,
    pub is_false: bool,
}

/// The network and its machines.
pub struct Network {
    pub now: Duration,
    pub machines: Vec<Machine>,
    pub loss_percent: u64,
    pub cuts: BTreeSet<(usize, usize)>,
    pub deaths: Vec<Death>,
    pub datagrams: u64,
    random: SeededRandom,
    queue: BinaryHeap<Reverse<Entry>>,
    order: u64,
    by_name: BTreeMap<NodeName, usize>,
    zones: usize,
    timing: Timing,
}

pub fn name(index: usize) -> NodeName {
    NodeName::new(format!("node-{index}"))
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (index / 250) as u8, (index % 250) as u8 + 1], 7000))
}

impl Network {
    /// Creates `count` machines distributed over `zones` zones, which all boot now and know three
    /// seeds.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut network = Self {
            now: Duration::from_secs(1),
            machines: Vec::new(),
            loss_percent: 0,
            cuts: BTreeSet::new(),
            deaths: Vec::new(),
            datagrams: 0,
            random: SeededRandom(seed),
            queue: BinaryHeap::new(),
            order: 0,
            by_name: (0..count).map(|index| (name(index), index)).collect(),
            zones,
            timing: Timing::default(),
        };
        for index in 0..count {
            let state = network.boot(index, 1);
            let zone = index % zones;
            let machine = Machine {
                state,
                zone,
                running: true,
                paused: false,
                restarts: 0,
                socket: Vec::new(),
            };
            network.machines.push(machine);
            network.schedule_tick(index, Duration::from_millis(index as u64 % 100));
        }
        network
    }

    fn boot(&mut self, index: usize, process: u64) -> Membership {
        let own = MemberRecord {
            node: name(index),
            zone: ZoneName::new(format!("zone-{}", index % self.zones)),
            peer_address: address(index),
            admin_address: address(index),
            incarnation: Incarnation { process, refutation: 0 },
            health: Health::Alive,
            leaving: false,
            revision: Revision(0),
            link_mbps: 0,
        };
        let seeds = (0..3).map(|seed| Seed { node: name(seed), address: address(seed) }).collect();
        Membership::new(own, self.timing.clone(), seeds, self.now, &mut self.random)
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Entry { at, order: self.order, event }));
    }

    fn schedule_tick(&mut self, node: usize, delay: Duration) {
        let restarts = self.machines[node].restarts;
        self.schedule(self.now + delay, Event::Tick { node, restarts });
    }

    /// Crashes the machine.
    pub fn kill(&mut self, node: usize) {
        self.machines[node].running = false;
    }

    /// Restarts the machine with a new process.
    pub fn restart(&mut self, node: usize) {
        let process = self.machines[node].state.own().incarnation.process + 1;
        let state = self.boot(node, process);
        let machine = &mut self.machines[node];
        machine.state = state;
        machine.running = true;
        machine.paused = false;
        machine.restarts += 1;
        machine.socket.clear();
        self.schedule_tick(node, TICK);
    }

    /// Pauses or resumes the machine.
    pub fn set_paused(&mut self, node: usize, paused: bool) {
        self.machines[node].paused = paused;
        if paused {
            return;
        }
        for message in std::mem::take(&mut self.machines[node].socket) {
            self.receive(node, message);
        }
    }

    /// Cuts or restores the connection between zones `a` and `b`.
    pub fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Sets the active revision on one machine.
    pub fn set_revision(&mut self, node: usize, revision: Revision) {
        self.machines[node].state.set_revision(revision, &mut self.random);
        self.flush(node);
    }

    /// Lets the machine begin to leave.
    pub fn begin_leaving(&mut self, node: usize) {
        self.machines[node].state.begin_leaving(&mut self.random);
        self.flush(node);
    }

    /// Lets the machine send its leave message and stop.
    pub fn leave(&mut self, node: usize) {
        self.machines[node].state.announce_left(&mut self.random);
        self.flush(node);
        self.kill(node);
    }

    /// Runs the simulation for `time`.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|entry| entry.0.at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until `done` returns true; returns the time this took, or `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run_for(TICK);
        }
        None
    }

    fn step(&mut self) {
        let Some(Reverse(entry)) = self.queue.pop() else { return };
        self.now = entry.at;
        match entry.event {
            Event::Tick { node, restarts } => self.tick(node, restarts),
            Event::Activate { node, revision } => self.set_revision(node, revision),
            Event::Deliver { from_zone, to, process, message } => {
                self.deliver(from_zone, to, process, *message);
            }
        }
    }

    fn tick(&mut self, node: usize, restarts: u32) {
        let machine = &mut self.machines[node];
        if machine.restarts != restarts || !machine.running {
            return;
        }
        if !machine.paused {
            machine.state.on_tick(self.now, &mut self.random);
            self.flush(node);
        }
        self.schedule_tick(node, TICK);
    }

    fn deliver(&mut self, from_zone: usize, to: usize, process: Option<u64>, message: Message) {
        let machine = &mut self.machines[to];
        let cut = self.cuts.contains(&(from_zone, machine.zone));
        let own = machine.state.own().incarnation.process;
        if cut || !machine.running || process.is_some_and(|process| process != own) {
            return;
        }
        if !machine.paused {
            self.receive(to, message);
        } else if machine.socket.len() < SOCKET_BUFFER {
            machine.socket.push(message);
        }
    }

    fn receive(&mut self, node: usize, message: Message) {
        self.machines[node].state.on_message(message, self.now, &mut self.random);
        self.flush(node);
    }

    /// Sends the outgoing messages of a machine, and records the deaths that it declared.
    fn flush(&mut self, node: usize) {
        let from_zone = self.machines[node].zone;
        for outgoing in self.machines[node].state.take_outgoing() {
            self.datagrams += 1;
            let Some(&to) = self.by_name.get(&outgoing.to.node) else { continue };
            if self.random.next_number() % 100 < self.loss_percent {
                continue;
            }
            let delay = self.delay(from_zone, self.machines[to].zone);
            let message = Box::new(outgoing.message);
            let process = outgoing.to.process;
            self.schedule(self.now + delay, Event::Deliver { from_zone, to, process, message });
        }
        for change in self.machines[node].state.take_changes() {
            match change {
                Change::Gone(gone, Health::Dead) => self.record_death(node, &gone),
                Change::RevisionSeen(_, revision) => {
                    self.schedule(self.now + FETCH_TIME, Event::Activate { node, revision });
                }
                _ => {}
            }
        }
    }

    fn record_death(&mut self, by: usize, gone: &NodeName) {
        let node = self.by_name[gone];
        let (dead, observer) = (&self.machines[node], &self.machines[by]);
        let is_false =
            dead.running && !dead.paused && !self.cuts.contains(&(dead.zone, observer.zone));
        self.deaths.push(Death { by, node, is_false });
    }

    /// Network delay: 0.5 ms within a zone, 2 ms between zones, and up to 1 ms more at random.
    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let base = if from == to { 500 } else { 2000 };
        Duration::from_micros(base + self.random.next_number() % 1000)
    }

    /// Whether every running machine considers exactly the running machines live.
    pub fn has_converged(&self) -> bool {
        let running: BTreeSet<NodeName> = self
            .machines
            .iter()
            .enumerate()
            .filter(|(_, machine)| machine.running && !machine.paused)
            .map(|(index, _)| name(index))
            .collect();
        self.machines.iter().filter(|machine| machine.running && !machine.paused).all(|machine| {
            let own = machine.state.own().node.clone();
            let live = machine.state.members().filter(|record| record.health.is_live());
            let seen: BTreeSet<NodeName> =
                live.map(|record| record.node.clone()).chain([own]).collect();
            seen == running
        })
    }
}
