//! A simulated network of nodes that only check whether they are isolated, with instances that
//! answer, network partitions in each direction, nodes without power, slow nodes and packet loss.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use kestrellock_core::ids::{InstanceName, NodeName, ZoneName};
use kestrellock_core::isolation::{Change, Isolation, ListedNode, Question, Surroundings};
use kestrellock_core::membership::RandomSource;

/// Interval between two ticks of a node at full speed.
const TICK: Duration = Duration::from_millis(50);
/// Network delay in one direction.
const DELAY: Duration = Duration::from_millis(4);
/// Instances in each zone that has any.
const INSTANCES: usize = 8;

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

/// A place in the network: a part of a zone. Usually zone and part are the same; a node that is cut
/// off alone is a part of its own.
pub type Part = usize;

struct Machine {
    isolation: Isolation,
    zone: usize,
    part: Part,
    is_running: bool,
    stands_still_until: Duration,
    /// Factor by which the node is slower than normal.
    slowness: u32,
    questions: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Ask { from: usize, to: usize },
    Answer { from: usize, to: usize },
    InstanceAnswer { zone: usize, number: usize, to: usize },
}

/// The network and its nodes.
pub struct World {
    pub now: Duration,
    pub random: SeededRandom,
    /// Percentage of messages that are lost.
    pub loss_percent: u64,
    /// Zones whose instances run.
    pub zones_with_instances: BTreeSet<usize>,
    /// Every change of a decision: when, of which node, and whether it is isolated since.
    pub changes: Vec<(Duration, usize, bool)>,
    zones: usize,
    machines: Vec<Machine>,
    /// Pairs of parts between which packets are lost in this direction.
    blocked: BTreeSet<(Part, Part)>,
    next_part: Part,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
}

pub fn node_name(index: usize) -> NodeName {
    NodeName::new(format!("node-{index:04}"))
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(format!("zone-{zone}"))
}

fn instance_name(zone: usize, number: usize) -> InstanceName {
    InstanceName::new(format!("instance-{zone}-{number}"))
}

impl World {
    /// Creates `count` nodes in `zones` zones, which know that all of them are live.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut world = Self::just_started(count, zones, seed);
        (0..count).for_each(|node| world.set_live(node, |_| true));
        world.run_for(Duration::from_secs(2));
        world
    }

    /// Creates nodes that know no live node but themselves.
    pub fn just_started(count: usize, zones: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            random: SeededRandom(seed),
            loss_percent: 0,
            zones_with_instances: (0..zones).collect(),
            changes: Vec::new(),
            zones,
            machines: Vec::new(),
            blocked: BTreeSet::new(),
            next_part: zones,
            queue: BinaryHeap::new(),
            order: 0,
        };
        for index in 0..count {
            let zone = index % zones;
            let isolation = Isolation::new(node_name(index), zone_name(zone), world.now);
            world.machines.push(Machine {
                isolation,
                zone,
                part: zone,
                is_running: true,
                stands_still_until: Duration::ZERO,
                slowness: 1,
                questions: 0,
            });
            let offset = Duration::from_millis(world.random.next_number() % 50);
            world.schedule(offset, Event::Tick(index));
        }
        (0..count).for_each(|node| world.set_live(node, |other| other == node));
        world
    }

    /// Sets which nodes `node` considers live.
    pub fn set_live(&mut self, node: usize, is_live: impl Fn(usize) -> bool) {
        let zones = self.zones;
        let nodes = (0..self.machines.len()).map(|index| ListedNode {
            node: node_name(index),
            zone: zone_name(index % zones),
            is_live: is_live(index),
        });
        let with_instances = self.zones_with_instances.iter();
        let instances = with_instances.flat_map(|zone| {
            (0..INSTANCES).map(|number| (instance_name(*zone, number), zone_name(*zone)))
        });
        let own_zone = zone_name(self.machines[node].zone);
        let surroundings = Surroundings::new(own_zone, nodes, instances.collect::<Vec<_>>());
        self.machines[node].isolation.set_surroundings(surroundings);
    }

    pub fn zone_of(&self, node: usize) -> usize {
        self.machines[node].zone
    }

    pub fn is_isolated(&self, node: usize) -> bool {
        self.machines[node].isolation.is_isolated()
    }

    /// Numbers of the isolated nodes.
    pub fn isolated(&self) -> BTreeSet<usize> {
        (0..self.machines.len()).filter(|node| self.is_isolated(*node)).collect()
    }

    /// Numbers of the nodes in these zones.
    pub fn nodes_in(&self, zones: &[usize]) -> BTreeSet<usize> {
        (0..self.machines.len()).filter(|node| zones.contains(&self.zone_of(*node))).collect()
    }

    /// Loses packets from the zones `from` to all zones but these.
    pub fn block_outgoing(&mut self, from: &[usize]) {
        self.block(from, |blocked, inside, outside| _ = blocked.insert((inside, outside)));
    }

    /// Loses packets to the zones `to` from all zones but these.
    pub fn block_incoming(&mut self, to: &[usize]) {
        self.block(to, |blocked, inside, outside| _ = blocked.insert((outside, inside)));
    }

    fn block(&mut self, zones: &[usize], insert: impl Fn(&mut BTreeSet<(Part, Part)>, Part, Part)) {
        for inside in zones {
            for outside in (0..self.zones).filter(|zone| !zones.contains(zone)) {
                insert(&mut self.blocked, *inside, outside);
            }
        }
    }

    /// Cuts these nodes off from all others, together.
    pub fn cut_off_nodes(&mut self, nodes: &[usize]) {
        let part = self.next_part;
        self.next_part += 1;
        for other in 0..part {
            self.blocked.extend([(part, other), (other, part)]);
        }
        nodes.iter().for_each(|node| self.machines[*node].part = part);
    }

    /// Removes every block.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    pub fn power_off(&mut self, node: usize) {
        self.machines[node].is_running = false;
    }

    pub fn set_slowness(&mut self, node: usize, slowness: u32) {
        self.machines[node].slowness = slowness;
    }

    /// Stops the process of a node for `period`; packets wait for it meanwhile.
    pub fn stand_still(&mut self, node: usize, period: Duration) {
        self.machines[node].stands_still_until = self.now + period;
    }

    /// Reports trouble to a node, as a link or a gateway does.
    pub fn report_trouble(&mut self, node: usize) {
        self.machines[node].isolation.on_trouble();
    }

    /// Number of questions that a node has asked.
    pub fn questions(&self, node: usize) -> u64 {
        self.machines[node].questions
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        let receiver = match &event {
            Event::Tick(node) => *node,
            Event::Ask { to, .. } | Event::Answer { to, .. } => *to,
            Event::InstanceAnswer { to, .. } => *to,
        };
        let machine = &self.machines[receiver];
        if !machine.is_running {
            return;
        }
        if self.now < machine.stands_still_until {
            // A process that resumes reads what has arrived before it handles its timers.
            let is_tick = matches!(event, Event::Tick(_));
            let delay = machine.stands_still_until - self.now;
            let delay = if is_tick { delay + Duration::from_micros(1) } else { delay };
            return self.schedule(delay, event);
        }
        match event {
            Event::Tick(node) => self.tick(node),
            Event::Ask { from, to } => self.send(to, from, Event::Answer { from: to, to: from }),
            Event::Answer { from, to } => {
                let now = self.now;
                self.machines[to].isolation.on_node_answer(&node_name(from), now);
            }
            Event::InstanceAnswer { zone, number, to } => {
                let (now, name) = (self.now, instance_name(zone, number));
                self.machines[to].isolation.on_instance_answer(&name, now);
            }
        }
    }

    fn tick(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        let (questions, change) = machine.isolation.on_tick(self.now, &mut self.random);
        machine.questions += questions.len() as u64;
        let delay = TICK * machine.slowness.div_ceil(3);
        match change {
            Some(Change::Isolated(_)) => self.changes.push((self.now, node, true)),
            Some(Change::Over(_)) => self.changes.push((self.now, node, false)),
            None => {}
        }
        for question in questions {
            self.ask(node, question);
        }
        self.schedule(delay, Event::Tick(node));
    }

    fn ask(&mut self, from: usize, question: Question) {
        match question {
            Question::Node(name) => {
                let number = name.as_str().trim_start_matches("node-");
                let to = number.parse().expect("only listed nodes are asked");
                self.send(from, to, Event::Ask { from, to });
            }
            Question::Instance(name) => {
                let parts: Vec<usize> =
                    name.as_str().split('-').filter_map(|part| part.parse().ok()).collect();
                let (zone, number) = (parts[0], parts[1]);
                let part = self.machines[from].part;
                let is_open =
                    !self.blocked.contains(&(part, zone)) && !self.blocked.contains(&(zone, part));
                if is_open && self.zones_with_instances.contains(&zone) {
                    // Connecting and the first answer take two round trips.
                    let event = Event::InstanceAnswer { zone, number, to: from };
                    self.schedule(DELAY * 4, event);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let path = (self.machines[from].part, self.machines[to].part);
        let is_lost = self.random.next_number() % 100 < self.loss_percent;
        if is_lost || self.blocked.contains(&path) {
            return;
        }
        // A slow receiver also handles messages late.
        let receiver = &self.machines[to];
        let handling = Duration::from_millis(u64::from(receiver.slowness - 1) * 5);
        self.schedule(DELAY + handling, event);
    }
}
