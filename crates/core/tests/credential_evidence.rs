//! Credential evidence with a simulated store and network. A request that is sent later than the
//! limit after the revocation of a credential must not use it at any node, whatever faults affect
//! nodes, network and store. Nodes whose calls the store rejects continue with the evidence of
//! other nodes. Deliberate mistakes in the logic must be detected by the check.

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
/// Interval at which a node fetches newer configurations from other nodes.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);

/// A deliberate mistake in the logic, to verify that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    Nothing,
    /// The age of evidence counts from the arrival of an answer.
    AgeFromArrival,
    /// Evidence for a newer configuration counts for the active one.
    OtherRevision,
    /// Evidence from the store counts from the arrival of its answer.
    StoreFromArrival,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Call(usize),
    /// The store executes a call and sends the answer.
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
    requester: EvidenceRequester,
    active: u64,
    suspended: Range<Instant>,
    partitioned: Range<Instant>,
    rejected: Range<Instant>,
    pending: Vec<Event>,
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
    /// When each revision was acknowledged; each revokes the credential in question.
    acknowledged: Vec<Instant>,
    store_down: (Instant, Instant),
    mistake: Mistake,
    accepted: usize,
    refused: usize,
    violations: usize,
}

impl World {
    fn new(seed: u64, mistake: Mistake) -> Self {
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
                requester: EvidenceRequester::new(limit),
                active: 1,
                suspended: start..start,
                partitioned: start..start,
                rejected: start..start,
                pending: Vec::new(),
            })
            .collect();
        let down = start + Duration::from_millis(random.random_range(0..15_000));
        let length = Duration::from_millis(random.random_range(0..8_000));
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
            store_down: (down, down + length),
            mistake,
            accepted: 0,
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
            world.inject_fault();
        }
        world
    }

    /// Injects a fault at a random node for a random time.
    fn inject_fault(&mut self) {
        let node = self.random.random_range(0..NODES);
        let from = self.start + Duration::from_millis(self.random.random_range(0..15_000));
        let span = from..from + Duration::from_millis(self.random.random_range(200..9_000));
        match self.random.random_range(0..3) {
            0 => self.nodes[node].suspended = span,
            1 => self.nodes[node].partitioned = span,
            _ => self.nodes[node].rejected = span,
        }
    }

    fn after(&mut self, milliseconds: std::ops::Range<u64>, event: Event) {
        let wait = Duration::from_millis(self.random.random_range(milliseconds));
        self.serial += 1;
        self.events.push(Reverse((self.now + wait, self.serial, event)));
    }

    /// Delivers an event over the network: usually after a short delay, sometimes after seconds or
    /// never.
    fn send(&mut self, event: Event) {
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

    fn is_watcher(&self, node: usize) -> bool {
        is_store_watcher(&self.nodes[node].candidate, &self.live)
    }

    fn on_event(&mut self, event: Event) {
        let target = match &event {
            Event::Tick(node) | Event::Call(node) | Event::Fetch(node) | Event::Request(node) => {
                Some(*node)
            }
            Event::Answered { node, .. } | Event::Fetched { node, .. } => Some(*node),
            Event::Ask { to, .. } | Event::Reply { to, .. } => Some(*to),
            Event::Read { .. } | Event::Revoke => None,
        };
        if let Some(node) = target.filter(|node| self.nodes[*node].suspended.contains(&self.now)) {
            // A suspended process handles all pending events when it resumes.
            if self.nodes[node].pending.is_empty() {
                let wait = self.nodes[node].suspended.end - self.now;
                let wait = wait.as_millis() as u64 + 1;
                self.after(wait..wait + 1, Event::Tick(node));
            }
            return self.nodes[node].pending.push(event);
        }
        if let Some(node) = target {
            for pending in std::mem::take(&mut self.nodes[node].pending) {
                self.handle(pending);
            }
        }
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node) => self.tick(node),
            Event::Call(node) => {
                let wait = RevocationLimit::new(LIMIT).max_store_call().as_millis() as u64;
                self.after(wait..wait + 5, Event::Call(node));
                let rejected = self.nodes[node].rejected.contains(&self.now);
                if self.is_watcher(node) && !rejected {
                    let sent = self.now;
                    self.send(Event::Read { node, sent });
                }
            }
            Event::Read { node, sent } => {
                let (from, until) = self.store_down;
                if !(from..until).contains(&self.now) {
                    let revision = self.revision;
                    self.send(Event::Answered { node, sent, revision });
                }
            }
            Event::Answered { node, sent, revision } => self.on_store(node, sent, revision),
            Event::Ask { from, to, number } => {
                let known = &self.nodes[to];
                let newest = known.evidence.newest(Revision(known.active));
                let newest = newest.map(|known| (known.version.revision.0, self.now - known.at));
                if !self.is_partitioned(from, to) {
                    self.send(Event::Reply { from: to, to: from, number, newest });
                }
            }
            Event::Reply { from, to, number, newest } => self.on_reply(from, to, number, newest),
            Event::Fetch(node) => {
                self.after(
                    FETCH_INTERVAL.as_millis() as u64..FETCH_INTERVAL.as_millis() as u64 + 5,
                    Event::Fetch(node),
                );
                let from = self.random.random_range(0..NODES);
                if !self.is_partitioned(node, from) {
                    let revision = self.nodes[from].active;
                    self.send(Event::Fetched { node, revision });
                }
            }
            Event::Fetched { node, revision } => {
                let known = &mut self.nodes[node].active;
                *known = revision.max(*known);
            }
            Event::Request(node) => {
                self.after(20..60, Event::Request(node));
                // The request was sent some time before its arrival, and is handled when the
                // process runs.
                let late = self.random.random_range(0..50);
                self.check_request(node, self.now - Duration::from_millis(late));
            }
            Event::Revoke => {
                self.revision += 1;
                self.acknowledged.push(self.now);
            }
        }
    }

    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        [one, other].iter().any(|node| self.nodes[*node].partitioned.contains(&self.now))
    }

    fn tick(&mut self, node: usize) {
        self.after(TICK.as_millis() as u64..TICK.as_millis() as u64 + 5, Event::Tick(node));
        let random = self.random.random();
        let known = &mut self.nodes[node];
        let newest = known.evidence.newest(Revision(known.active)).map(|known| known.at);
        let own = known.candidate.clone();
        let view = RequesterView { now: self.now, own: &own, live: &self.live, newest, random };
        let Some((to, number)) = known.requester.next(&view) else { return };
        let to = self.live.iter().position(|other| other.node == to).expect("the node is live");
        if !self.is_partitioned(node, to) {
            self.send(Event::Ask { from: node, to, number: number.0 });
        }
    }

    fn on_store(&mut self, node: usize, sent: Instant, revision: u64) {
        let at = if self.mistake == Mistake::StoreFromArrival { self.now } else { sent };
        let known = &mut self.nodes[node];
        known.active = known.active.max(revision);
        known.evidence.add(Confirmation { version: Revision(revision).into(), at });
    }

    fn on_reply(&mut self, from: usize, to: usize, number: u64, newest: Option<(u64, Duration)>) {
        let from = self.nodes[from].candidate.node.clone();
        let known = &mut self.nodes[to];
        let Some(asked) = known.requester.on_answer(&from, EvidenceRequestId(number)) else {
            return;
        };
        let counted = if self.mistake == Mistake::AgeFromArrival { self.now } else { asked };
        let newest = newest.map(|(revision, age)| (revision, counted - age));
        known.requester.on_evidence(&from, asked, newest.map(|(_, at)| at));
        if let Some((revision, at)) = newest {
            known.evidence.add(Confirmation { version: Revision(revision).into(), at });
        }
    }

    fn check_request(&mut self, node: usize, sent: Instant) {
        let known = &self.nodes[node];
        let active = match self.mistake {
            Mistake::OtherRevision => Revision(u64::MAX),
            _ => Revision(known.active),
        };
        let arrived = self.now;
        if !known.evidence.covers(active, arrived, RevocationLimit::new(LIMIT)) {
            self.refused += 1;
            return;
        }
        self.accepted += 1;
        // The revisions that the node has not received revoked credentials without its knowledge.
        let unknown_revocations =
            &self.acknowledged[(known.active as usize - 1).min(self.acknowledged.len())..];
        self.violations += usize::from(unknown_revocations.iter().any(|at| sent > *at + LIMIT));
    }
}

fn seeds(default: u64) -> u64 {
    let configured = std::env::var("KESTRELLOCK_SEEDS").ok();
    configured.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_request_uses_a_credential_after_the_limit() {
    let (mut accepted, mut refused) = (0, 0);
    for seed in 0..seeds(300) {
        let world = World::new(seed, Mistake::Nothing).run();
        assert_eq!(world.violations, 0, "seed {seed}");
        accepted += world.accepted;
        refused += world.refused;
    }
    println!("{accepted} requests accepted, {refused} refused");
    assert!(accepted > 5 * refused, "{accepted} accepted, {refused} refused");
}

#[test]
fn mistakes_in_the_logic_are_detected() {
    for mistake in [Mistake::AgeFromArrival, Mistake::OtherRevision, Mistake::StoreFromArrival] {
        let is_detected = (0..6_000).any(|seed| World::new(seed, mistake).run().violations > 0);
        assert!(is_detected, "{mistake:?}");
    }
}

#[test]
fn a_node_rejected_by_the_store_uses_evidence_of_other_nodes() {
    let mut world = World::new(1, Mistake::Nothing);
    for node in &mut world.nodes {
        node.suspended = world.start..world.start;
        node.partitioned = world.start..world.start;
        node.rejected = world.start..world.start;
    }
    world.store_down = (world.start, world.start);
    let watcher =
        (0..NODES).find(|node| world.is_watcher(*node)).expect("a node watches the store");
    world.nodes[watcher].rejected = world.start..world.start + RUN;
    let world = world.run();
    let refused_at_start = 9 * 50;
    assert!(
        world.refused < refused_at_start,
        "{} refused, {} accepted",
        world.refused,
        world.accepted
    );
}

#[test]
fn evidence_covers_arrivals_for_the_limit_less_a_margin() {
    let limit = RevocationLimit::new(LIMIT);
    let at = Instant::now();
    let mut evidence = CredentialEvidence::default();
    assert!(!evidence.covers(Revision(5), at, limit), "there is no evidence yet");
    evidence.add(Confirmation { version: Revision(5).into(), at });
    assert!(evidence.covers(Revision(5), at + limit.lifetime(), limit));
    assert!(!evidence.covers(Revision(5), at + limit.lifetime() + Duration::from_millis(1), limit));
    assert!(limit.lifetime() < LIMIT);
    assert!(
        evidence.covers(Revision(6), at, limit),
        "a newer configuration includes the confirmed one"
    );
    assert!(!evidence.covers(Revision(4), at, limit), "an older one may lack a change");
}

#[test]
fn evidence_for_a_later_revision_counts_once_that_revision_is_active() {
    let limit = RevocationLimit::new(LIMIT);
    let at = Instant::now();
    let mut evidence = CredentialEvidence::default();
    evidence.add(Confirmation { version: Revision(5).into(), at });
    evidence.add(Confirmation { version: Revision(7).into(), at: at + Duration::from_secs(4) });
    let arrived = at + Duration::from_secs(6);
    assert!(!evidence.covers(Revision(5), arrived, limit));
    assert!(evidence.covers(Revision(7), arrived, limit));
}
