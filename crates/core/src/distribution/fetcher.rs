//! When a node asks whom for a newer configuration.

use std::time::{Duration, Instant};

use super::{POLL_INTERVAL, QUEUED_REQUEST_TIMEOUT, REQUEST_TIMEOUT, poll_targets};
use crate::catalog::Revision;
use crate::ids::NodeName;
use crate::rendezvous::Candidate;

/// Mean time between requests of a node without any configuration.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// What a [`Fetcher`] decides by.
#[derive(Clone, Copy, Debug)]
pub struct FetcherView<'a> {
    /// The time.
    pub now: Instant,
    /// Revision that this node has in force.
    pub active_revision: Revision,
    /// A node that is known to have a newer one.
    pub newer_node: Option<&'a NodeName>,
    /// Live nodes.
    pub live: &'a [Candidate],
    /// Uniform in 0..1.
    pub random: f64,
}

/// Decides when to ask whom for a newer configuration.
#[derive(Clone, Debug)]
pub struct Fetcher {
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
    question: Question,
}

/// What a node was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Question {
    /// Which revision it has.
    Revision,
    /// To send what a node that has the revision `have` lacks.
    Fetch {
        have: Revision,
        /// Whether the node is known to have a newer one.
        has_newer: bool,
    },
    /// Nothing: what it sent cannot be put in force.
    Refused,
}

impl Question {
    /// Whether a node that says it has `revision` has not answered by that: a newer one than that with which it was
    /// asked is news, and an older one of a node that has more was sent before.
    fn is_left_open(self, revision: Revision) -> bool {
        match self {
            Self::Fetch { have, has_newer } => has_newer || have < revision,
            Self::Revision | Self::Refused => false,
        }
    }
}

impl Fetcher {
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
    pub fn next(&mut self, view: &FetcherView) -> Option<NodeName> {
        if self.waiting.as_ref().is_some_and(|waiting| view.now < waiting.until) {
            return None;
        }
        if let Some(waiting) = self.waiting.take() {
            self.silent = Some(waiting.node);
        }
        let node = match view.newer_node.filter(|node| self.silent.as_ref() != Some(*node)) {
            Some(node) => node.clone(),
            None if view.newer_node.is_some() || self.poll_is_due(view.now) => {
                self.poll_target(view)?
            }
            None => return None,
        };
        self.plan_poll(view);
        self.silent = None;
        let question = match view.newer_node {
            Some(newer) => {
                Question::Fetch { have: view.active_revision, has_newer: *newer == node }
            }
            None => Question::Revision,
        };
        self.wait_for(&node, question, view.now);
        Some(node)
    }

    /// The node that has sent a newer revision is asked once more, by a node that has `have` now.
    pub fn on_refetch(&mut self, node: &NodeName, have: Revision, now: Instant) {
        self.wait_for(node, Question::Fetch { have, has_newer: true }, now);
    }

    fn wait_for(&mut self, node: &NodeName, question: Question, now: Instant) {
        self.waiting = Some(Waiting { node: node.clone(), until: now + REQUEST_TIMEOUT, question });
    }

    /// A node says which revision it has in force. Returns whether it will send nothing: whoever took an
    /// announcement for that answer would ask again and be sent the same twice.
    pub fn on_revision(&mut self, node: &NodeName, revision: Revision) -> bool {
        let waiting = self.waiting.as_ref().filter(|waiting| waiting.node == *node);
        let is_announcement =
            waiting.is_some_and(|waiting| waiting.question.is_left_open(revision));
        if !is_announcement {
            self.on_answer(node);
        }
        !is_announcement
    }

    /// A node answered.
    pub fn on_answer(&mut self, node: &NodeName) {
        if self.waiting.as_ref().is_some_and(|waiting| waiting.node == *node) {
            self.waiting = None;
        }
    }

    /// Part of the configuration has arrived from a node: the rest is not asked for elsewhere.
    pub fn on_chunk(&mut self, node: &NodeName, now: Instant) {
        self.wait_on(node, now + REQUEST_TIMEOUT);
    }

    /// A node serves others first.
    pub fn on_queued(&mut self, node: &NodeName, now: Instant) {
        self.wait_on(node, now + QUEUED_REQUEST_TIMEOUT);
    }

    fn wait_on(&mut self, node: &NodeName, until: Instant) {
        let waiting = self.waiting.as_mut().filter(|waiting| waiting.node == *node);
        if let Some(waiting) = waiting {
            waiting.until = until;
        }
    }

    /// What a node sent cannot be put in force: ask nobody before the next poll.
    pub fn on_unusable(&mut self, node: &NodeName, now: Instant) {
        let until = now + POLL_INTERVAL;
        self.waiting = Some(Waiting { node: node.clone(), until, question: Question::Refused });
    }

    fn poll_is_due(&self, now: Instant) -> bool {
        self.next_poll.is_none_or(|at| now >= at)
    }

    fn poll_target(&mut self, view: &FetcherView) -> Option<NodeName> {
        let targets = poll_targets(&self.own, view.live);
        let index = (view.random * targets.len() as f64) as usize;
        let target = targets.get(index.min(targets.len().saturating_sub(1))).cloned();
        if target.is_none() {
            self.plan_poll(view);
        }
        target
    }

    fn plan_poll(&mut self, view: &FetcherView) {
        let interval = if view.active_revision == Revision::default() {
            FIRST_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        self.next_poll = Some(view.now + interval.mul_f64(0.75 + view.random / 2.0));
    }
}
