//! Evidence that credentials stand, before a simulated store and network: no request that was sent later
//! than the limit after a credential was taken away uses it, at any node, whatever befalls nodes, network
//! and store; nodes that the store turns away go on by what others know; planted faults are caught.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Revision;
use kestrellock_core::credential_evidence::{
    Confirmation, CredentialEvidence, EvidenceRequestId, EvidenceRequester, RequesterView,
    RevocationLimit,
};
use kestrellock_core::distribution::is_store_watcher;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::rendezvous::Candidate;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const LIMIT: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_secs(20);
const NODES: usize = 9;
const ZONES: usize = 3;
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks of a node that fetches newer configurations from others.
const FETCH: Duration = Duration::from_millis(200);

/// A way in which the decisions could be wrong, to see that the judge notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// Evidence counts from the arrival of an answer.
    AgeFromArrival,
    /// Evidence of a newer configuration counts for the one in force.
    OtherRevision,
    /// The store's answers count from their arrival.
    StoreFromArrival,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Call(usize),
    /// The store carries a call out, and the answer goes back.
    Read {
        node: usize,
        sent: Instant,
    },
    Answered {
        node: usize,
        sent: Instant,
        revision: u64,
    },
    Ask {
        from: usize,
        to: usize,
        number: u64,
    },
    Reply {
        from: usize,
        to: usize,
        number: u64,
        newest: Option<(u64, Duration)>,
    },
    Fetch(usize),
    Fetched {
        node: usize,
        revision: u64,
    },
    Request(usize),
    Revoke,
}

struct Node {
    candidate: Candidate,
    evidence: CredentialEvidence,
    seeker: EvidenceRequester,
    in_force: u64,
    frozen: Range<Instant>,
    cut: Range<Instant>,
    turned_away: Range<Instant>,
    held: Vec<Event>,
}

struct World {
    random: StdRng,
    start: Instant,
    now: Instant,
    serial: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    nodes: Vec<Node>,
    live: Vec<Candidate>,
    revision: u64,
    /// When each revision was acknowledged; each takes the credential in question away.
    acknowledged: Vec<Instant>,
    store_down: (Instant, Instant),
    planted: Planted,
    served: usize,
    refused: usize,
    violations: usize,
}

impl World {
    fn new(seed: u64, planted: Planted) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let candidate = |number: usize| Candidate {
            node: NodeName::new(format!("node-{number}")),
            zone: ZoneName::new(format!("zone-{}", number % ZONES)),
            link_mbps: 10,
        };
        let limit = RevocationLimit::new(LIMIT);
        let nodes = (0..NODES)
            .map(|number| Node {
                candidate: candidate(number),
                evidence: CredentialEvidence::default(),
                seeker: EvidenceRequester::new(limit),
                in_force: 1,
                frozen: start..start,
                cut: start..start,
                turned_away: start..start,
                held: Vec::new(),
            })
            .collect();
        let down = start + Duration::from_millis(random.random_range(0..15_000));
        let lasts = Duration::from_millis(random.random_range(0..8_000));
        let mut world = Self {
            random,
            start,
            now: start,
            serial: 0,
            events: BinaryHeap::new(),
            nodes,
            live: (0..NODES).map(candidate).collect(),
            revision: 1,
            acknowledged: Vec::new(),
            store_down: (down, down + lasts),
            planted,
            served: 0,
            refused: 0,
            violations: 0,
        };
        for node in 0..NODES {
            world.after(0..100, Event::Tick(node));
            world.after(0..600, Event::Call(node));
            world.after(0..200, Event::Fetch(node));
            world.after(0..100, Event::Request(node));
        }
        for _ in 0..3 {
            world.after(1_000..15_000, Event::Revoke);
        }
        for _ in 0..6 {
            world.befall();
        }
        world
    }

    /// Something befalls a node for a while.
    fn befall(&mut self) {
        let node = self.random.random_range(0..NODES);
        let from = self.start + Duration::from_millis(self.random.random_range(0..15_000));
        let span = from..from + Duration::from_millis(self.random.random_range(200..9_000));
        match self.random.random_range(0..3) {
            0 => self.nodes[node].frozen = span,
            1 => self.nodes[node].cut = span,
            _ => self.nodes[node].turned_away = span,
        }
    }

    fn after(&mut self, milliseconds: std::ops::Range<u64>, event: Event) {
        let wait = Duration::from_millis(self.random.random_range(milliseconds));
        self.serial += 1;
        self.events.push(Reverse((self.now + wait, self.serial, event)));
    }

    /// Time on the way: mostly short, now and then seconds.
    fn on_the_way(&mut self, event: Event) {
        match self.random.random_range(0..100) {
            0 => {}
            1..4 => self.after(500..7_000, event),
            _ => self.after(1..5, event),
        }
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= self.start + RUN {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        self
    }

    fn is_follower(&self, node: usize) -> bool {
        is_store_watcher(&self.nodes[node].candidate, &self.live)
    }

    fn on_event(&mut self, event: Event) {
        let of = match &event {
            Event::Tick(node) | Event::Call(node) | Event::Fetch(node) | Event::Request(node) => {
                Some(*node)
            }
            Event::Answered { node, .. } | Event::Fetched { node, .. } => Some(*node),
            Event::Ask { to, .. } | Event::Reply { to, .. } => Some(*to),
            Event::Read { .. } | Event::Revoke => None,
        };
        if let Some(node) = of.filter(|node| self.nodes[*node].frozen.contains(&self.now)) {
            // A process that stands still finds everything when it goes on.
            if self.nodes[node].held.is_empty() {
                let wait = self.nodes[node].frozen.end - self.now;
                let wait = wait.as_millis() as u64 + 1;
                self.after(wait..wait + 1, Event::Tick(node));
            }
            return self.nodes[node].held.push(event);
        }
        if let Some(node) = of {
            for held in std::mem::take(&mut self.nodes[node].held) {
                self.carry_out(held);
            }
        }
        self.carry_out(event);
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::Tick(node) => self.tick(node),
            Event::Call(node) => {
                let wait = RevocationLimit::new(LIMIT).max_store_call().as_millis() as u64;
                self.after(wait..wait + 5, Event::Call(node));
                let turned_away = self.nodes[node].turned_away.contains(&self.now);
                if self.is_follower(node) && !turned_away {
                    let sent = self.now;
                    self.on_the_way(Event::Read { node, sent });
                }
            }
            Event::Read { node, sent } => {
                let (from, until) = self.store_down;
                if !(from..until).contains(&self.now) {
                    let revision = self.revision;
                    self.on_the_way(Event::Answered { node, sent, revision });
                }
            }
            Event::Answered { node, sent, revision } => self.on_store(node, sent, revision),
            Event::Ask { from, to, number } => {
                let known = &self.nodes[to];
                let newest = known.evidence.newest(Revision(known.in_force));
                let newest = newest.map(|known| (known.version.revision.0, self.now - known.at));
                if !self.is_cut(from, to) {
                    self.on_the_way(Event::Reply { from: to, to: from, number, newest });
                }
            }
            Event::Reply { from, to, number, newest } => self.on_reply(from, to, number, newest),
            Event::Fetch(node) => {
                self.after(
                    FETCH.as_millis() as u64..FETCH.as_millis() as u64 + 5,
                    Event::Fetch(node),
                );
                let from = self.random.random_range(0..NODES);
                if !self.is_cut(node, from) {
                    let revision = self.nodes[from].in_force;
                    self.on_the_way(Event::Fetched { node, revision });
                }
            }
            Event::Fetched { node, revision } => {
                let known = &mut self.nodes[node].in_force;
                *known = revision.max(*known);
            }
            Event::Request(node) => {
                self.after(20..60, Event::Request(node));
                // Sent a while before it arrives, and looked at when the process gets to it.
                let late = self.random.random_range(0..50);
                self.judge(node, self.now - Duration::from_millis(late));
            }
            Event::Revoke => {
                self.revision += 1;
                self.acknowledged.push(self.now);
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        [one, other].iter().any(|node| self.nodes[*node].cut.contains(&self.now))
    }

    fn tick(&mut self, node: usize) {
        self.after(TICK.as_millis() as u64..TICK.as_millis() as u64 + 5, Event::Tick(node));
        let random = self.random.random();
        let known = &mut self.nodes[node];
        let newest = known.evidence.newest(Revision(known.in_force)).map(|known| known.at);
        let own = known.candidate.clone();
        let view = RequesterView { now: self.now, own: &own, live: &self.live, newest, random };
        let Some((to, number)) = known.seeker.next(&view) else { return };
        let to = self.live.iter().position(|other| other.node == to).expect("it lives");
        if !self.is_cut(node, to) {
            self.on_the_way(Event::Ask { from: node, to, number: number.0 });
        }
    }

    fn on_store(&mut self, node: usize, sent: Instant, revision: u64) {
        let at = if self.planted == Planted::StoreFromArrival { self.now } else { sent };
        let known = &mut self.nodes[node];
        known.in_force = known.in_force.max(revision);
        known.evidence.add(Confirmation { version: Revision(revision).into(), at });
    }

    fn on_reply(&mut self, from: usize, to: usize, number: u64, newest: Option<(u64, Duration)>) {
        let from = self.nodes[from].candidate.node.clone();
        let known = &mut self.nodes[to];
        let Some(asked) = known.seeker.on_answer(&from, EvidenceRequestId(number)) else { return };
        let counted = if self.planted == Planted::AgeFromArrival { self.now } else { asked };
        let newest = newest.map(|(revision, age)| (revision, counted - age));
        known.seeker.on_evidence(&from, asked, newest.map(|(_, at)| at));
        if let Some((revision, at)) = newest {
            known.evidence.add(Confirmation { version: Revision(revision).into(), at });
        }
    }

    fn judge(&mut self, node: usize, sent: Instant) {
        let known = &self.nodes[node];
        let in_force = match self.planted {
            Planted::OtherRevision => Revision(u64::MAX),
            _ => Revision(known.in_force),
        };
        let arrived = self.now;
        if !known.evidence.covers(in_force, arrived, RevocationLimit::new(LIMIT)) {
            self.refused += 1;
            return;
        }
        self.served += 1;
        // The credentials of revisions that the node does not have were taken away without its knowing.
        let gone = &self.acknowledged[(known.in_force as usize - 1).min(self.acknowledged.len())..];
        self.violations += usize::from(gone.iter().any(|at| sent > *at + LIMIT));
    }
}

fn seeds(usual: u64) -> u64 {
    let wanted = std::env::var("KESTRELLOCK_SEEDS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

#[test]
fn no_request_uses_a_credential_after_the_limit() {
    let (mut served, mut refused) = (0, 0);
    for seed in 0..seeds(300) {
        let world = World::new(seed, Planted::Nothing).run();
        assert_eq!(world.violations, 0, "seed {seed}");
        served += world.served;
        refused += world.refused;
    }
    println!("{served} requests served, {refused} refused");
    assert!(served > 5 * refused, "{served} served, {refused} refused");
}

#[test]
fn planted_faults_are_caught() {
    for planted in [Planted::AgeFromArrival, Planted::OtherRevision, Planted::StoreFromArrival] {
        let caught = (0..6_000).any(|seed| World::new(seed, planted).run().violations > 0);
        assert!(caught, "{planted:?}");
    }
}

#[test]
fn a_node_that_the_store_turns_away_goes_on_by_what_others_know() {
    let mut world = World::new(1, Planted::Nothing);
    for node in &mut world.nodes {
        node.frozen = world.start..world.start;
        node.cut = world.start..world.start;
        node.turned_away = world.start..world.start;
    }
    world.store_down = (world.start, world.start);
    let follower = (0..NODES).find(|node| world.is_follower(*node)).expect("somebody follows");
    world.nodes[follower].turned_away = world.start..world.start + RUN;
    let world = world.run();
    let refused_at_start = 9 * 50;
    assert!(world.refused < refused_at_start, "{} refused, {} served", world.refused, world.served);
}

#[test]
fn evidence_covers_arrivals_for_the_limit_less_a_margin() {
    let limit = RevocationLimit::new(LIMIT);
    let at = Instant::now();
    let mut evidence = CredentialEvidence::default();
    assert!(!evidence.covers(Revision(5), at, limit), "nothing is known yet");
    evidence.add(Confirmation { version: Revision(5).into(), at });
    assert!(evidence.covers(Revision(5), at + limit.lifetime(), limit));
    assert!(!evidence.covers(Revision(5), at + limit.lifetime() + Duration::from_millis(1), limit));
    assert!(limit.lifetime() < LIMIT);
    assert!(
        evidence.covers(Revision(6), at, limit),
        "a newer configuration says what that one said"
    );
    assert!(!evidence.covers(Revision(4), at, limit), "an older one may lack a change");
}

#[test]
fn evidence_of_a_revision_to_come_waits_for_it() {
    let limit = RevocationLimit::new(LIMIT);
    let at = Instant::now();
    let mut evidence = CredentialEvidence::default();
    evidence.add(Confirmation { version: Revision(5).into(), at });
    evidence.add(Confirmation { version: Revision(7).into(), at: at + Duration::from_secs(4) });
    let arrived = at + Duration::from_secs(6);
    assert!(!evidence.covers(Revision(5), arrived, limit));
    assert!(evidence.covers(Revision(7), arrived, limit));
}
