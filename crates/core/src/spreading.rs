//! How a node learns of a new configuration: who follows the store, and whom the others ask.
//!
//! Two nodes a zone follow the store. A node that has put a new revision in force tells its zone
//! and the followers of the others; who hears of a newer one asks for it. As nothing of that is
//! certain to arrive, every node also asks a follower now and then.

use std::time::{Duration, Instant};

use crate::catalog::Revision;
use crate::ids::{InstanceName, NodeName, ZoneName};
use crate::rendezvous::{Candidate, ownership};

/// Key under which followers are chosen, as if following were an instance to own.
const FOLLOWING: &str = "configuration";
/// Time after which an unanswered request is taken for lost.
pub const REQUEST_LIMIT: Duration = Duration::from_millis(500);
/// Mean time between requests without cause.
pub const POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Mean time between requests of a node without any configuration.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Part of the pause between two looks at the store for each node of the cluster, and the longest one:
/// each change wakes every node that watches, and each call is paid for, so that what many nodes write
/// at once would cost the square of their number.
const WATCH_PAUSE_FOR_EACH: Duration = Duration::from_millis(4);
const LONGEST_WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a node of a cluster of `nodes` lets changes of the store gather, once it has taken
/// some in. The first change after a quiet time is taken in at once.
pub fn watch_pause(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    WATCH_PAUSE_FOR_EACH.saturating_mul(nodes).min(LONGEST_WATCH_PAUSE)
}

/// The nodes of a zone that follow the store: at most two.
pub fn followers(zone: &ZoneName, live: &[Candidate]) -> Vec<NodeName> {
    let of_zone = live.iter().filter(|candidate| candidate.zone == *zone);
    match ownership(&InstanceName::new(FOLLOWING), zone, of_zone) {
        None => Vec::new(),
        Some(chosen) => std::iter::once(chosen.owner).chain(chosen.standby).collect(),
    }
}

/// Whether a node follows the store.
pub fn is_follower(own: &Candidate, live: &[Candidate]) -> bool {
    followers(&own.zone, live).contains(&own.node)
}

/// Whom a follower tells of a new revision: its zone, and the followers of the others.
pub fn audience(own: &Candidate, live: &[Candidate]) -> Vec<NodeName> {
    let same_zone = live.iter().filter(|other| other.zone == own.zone);
    let mut nodes: Vec<NodeName> = same_zone.map(|other| other.node.clone()).collect();
    nodes.extend(other_followers(own, live));
    nodes.retain(|node| *node != own.node);
    nodes
}

fn other_followers(own: &Candidate, live: &[Candidate]) -> Vec<NodeName> {
    let mut zones: Vec<&ZoneName> = live.iter().map(|other| &other.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|zone| **zone != own.zone);
    zones.into_iter().flat_map(|zone| followers(zone, live)).collect()
}

/// Whom a node asks without cause: a follower of its zone, or for a follower one elsewhere.
fn poll_targets(own: &Candidate, live: &[Candidate]) -> Vec<NodeName> {
    let mut targets = match is_follower(own, live) {
        true => other_followers(own, live),
        false => followers(&own.zone, live),
    };
    if targets.is_empty() {
        targets = live.iter().map(|other| other.node.clone()).collect();
    }
    targets.retain(|node| *node != own.node);
    targets
}

/// What a [`Puller`] decides by.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Instant,
    /// Revision that this node has in force.
    pub have: Revision,
    /// A node that is known to have a newer one.
    pub newer: Option<&'a NodeName>,
    /// Live nodes.
    pub live: &'a [Candidate],
    /// Uniform in 0..1.
    pub random: f64,
}

/// Decides when to ask whom for a newer configuration.
#[derive(Clone, Debug)]
pub struct Puller {
    own: Candidate,
    next_poll: Option<Instant>,
    waiting: Option<Waiting>,
    /// The node that did not answer last.
    silent: Option<NodeName>,
}

#[derive(Clone, Debug)]
struct Waiting {
    node: NodeName,
    until: Instant,
}

impl Puller {
    /// A puller that has not asked yet.
    pub fn new(own: Candidate) -> Self {
        Self { own, next_poll: None, waiting: None, silent: None }
    }

    /// Whether [`Self::next`] may name a node now, given whether one is known to have a newer revision.
    pub fn is_due(&self, is_newer_known: bool, now: Instant) -> bool {
        let waits = self.waiting.as_ref().is_some_and(|waiting| now < waiting.until);
        !waits && (is_newer_known || self.waiting.is_some() || self.poll_is_due(now))
    }

    /// The node to ask now, if any.
    pub fn next(&mut self, view: &View) -> Option<NodeName> {
        if self.waiting.as_ref().is_some_and(|waiting| view.now < waiting.until) {
            return None;
        }
        if let Some(waiting) = self.waiting.take() {
            self.silent = Some(waiting.node);
        }
        let node = match view.newer.filter(|node| self.silent.as_ref() != Some(*node)) {
            Some(node) => node.clone(),
            None if view.newer.is_some() || self.poll_is_due(view.now) => self.poll_target(view)?,
            None => return None,
        };
        self.plan_poll(view);
        self.silent = None;
        self.waiting = Some(Waiting { node: node.clone(), until: view.now + REQUEST_LIMIT });
        Some(node)
    }

    /// A node answered.
    pub fn on_answer(&mut self, node: &NodeName) {
        if self.waiting.as_ref().is_some_and(|waiting| waiting.node == *node) {
            self.waiting = None;
        }
    }

    /// What a node sent cannot be put in force: ask nobody before the next poll.
    pub fn on_refused(&mut self, node: &NodeName, now: Instant) {
        let until = now + POLL_INTERVAL;
        self.waiting = Some(Waiting { node: node.clone(), until });
    }

    fn poll_is_due(&self, now: Instant) -> bool {
        self.next_poll.is_none_or(|at| now >= at)
    }

    fn poll_target(&mut self, view: &View) -> Option<NodeName> {
        let targets = poll_targets(&self.own, view.live);
        let index = (view.random * targets.len() as f64) as usize;
        let target = targets.get(index.min(targets.len().saturating_sub(1))).cloned();
        if target.is_none() {
            self.plan_poll(view);
        }
        target
    }

    fn plan_poll(&mut self, view: &View) {
        let interval =
            if view.have == Revision::default() { FIRST_POLL_INTERVAL } else { POLL_INTERVAL };
        self.next_poll = Some(view.now + interval.mul_f64(0.75 + view.random / 2.0));
    }
}
