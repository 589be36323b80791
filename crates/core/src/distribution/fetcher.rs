//! Decides when a node requests a newer configuration, and from which node.
//!
//! At most one request is open at a time. A node that is known to have a newer revision is asked at
//! once; if it does not answer in time, a store watcher is asked instead.

use std::time::{Duration, Instant};

use super::{POLL_INTERVAL, QUEUED_REQUEST_TIMEOUT, REQUEST_TIMEOUT, poll_targets};
use crate::catalog::Revision;
use crate::ids::NodeName;
use crate::rendezvous::Candidate;

/// Mean interval between polls by a node without any configuration.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Inputs of a [`Fetcher`] decision.
#[derive(Clone, Copy, Debug)]
pub struct FetcherView<'a> {
    /// Current time.
    pub now: Instant,
    /// Revision of this node's active configuration.
    pub active_revision: Revision,
    /// A node that is known to have a newer revision.
    pub newer_node: Option<&'a NodeName>,
    /// Live nodes.
    pub live: &'a [Candidate],
    /// Uniform in 0..1.
    pub random: f64,
}

/// Decides when to request a newer configuration, and from which node.
#[derive(Clone, Debug)]
pub struct Fetcher {
    own: Candidate,
    next_poll: Option<Instant>,
    pending: Option<OpenRequest>,
    /// The node whose request timed out last.
    timed_out: Option<NodeName>,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    node: NodeName,
    deadline: Instant,
    kind: RequestKind,
}

/// The kind of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    /// Asks for the revision of the node's active configuration.
    Revision,
    /// Asks for the entries that differ from those of the revision `have`.
    Fetch {
        have: Revision,
        /// Whether the node is known to have a newer revision.
        has_newer: bool,
    },
    /// No request: the configuration that the node sent could not be activated, and the fetcher
    /// waits before it requests another one.
    Backoff,
}

impl RequestKind {
    /// Whether the request stays open when the node announces `revision`. An announcement of a
    /// revision newer than `have` does not answer the request. Neither does an older one from a
    /// node that is known to have a newer revision: that announcement was sent before the request
    /// arrived.
    fn stays_open(self, revision: Revision) -> bool {
        match self {
            Self::Fetch { have, has_newer } => has_newer || have < revision,
            Self::Revision | Self::Backoff => false,
        }
    }
}

impl Fetcher {
    /// A fetcher without an open request.
    pub fn new(own: Candidate) -> Self {
        Self { own, next_poll: None, pending: None, timed_out: None }
    }

    /// Whether [`Self::next`] may return a node now, given whether a node with a newer revision is
    /// known.
    pub fn is_due(&self, is_newer_known: bool, now: Instant) -> bool {
        let is_pending = self.pending.as_ref().is_some_and(|pending| now < pending.deadline);
        !is_pending && (is_newer_known || self.pending.is_some() || self.is_poll_due(now))
    }

    /// The node to send a request to now, if any.
    pub fn next(&mut self, view: &FetcherView) -> Option<NodeName> {
        if self.pending.as_ref().is_some_and(|pending| view.now < pending.deadline) {
            return None;
        }
        if let Some(pending) = self.pending.take() {
            self.timed_out = Some(pending.node);
        }
        let node = match view.newer_node.filter(|node| self.timed_out.as_ref() != Some(*node)) {
            Some(node) => node.clone(),
            None if view.newer_node.is_some() || self.is_poll_due(view.now) => {
                self.poll_target(view)?
            }
            None => return None,
        };
        self.schedule_poll(view);
        self.timed_out = None;
        let kind = match view.newer_node {
            Some(newer) => {
                RequestKind::Fetch { have: view.active_revision, has_newer: *newer == node }
            }
            None => RequestKind::Revision,
        };
        self.open_request(&node, kind, view.now);
        Some(node)
    }

    /// Handles a repeated request to a node that has sent a newer revision; `have` is this node's
    /// revision now.
    pub fn on_refetch(&mut self, node: &NodeName, have: Revision, now: Instant) {
        self.open_request(node, RequestKind::Fetch { have, has_newer: true }, now);
    }

    fn open_request(&mut self, node: &NodeName, kind: RequestKind, now: Instant) {
        self.pending =
            Some(OpenRequest { node: node.clone(), deadline: now + REQUEST_TIMEOUT, kind });
    }

    /// Handles a message in which a node states its active revision. Returns whether that answers
    /// the open request, so that the node will send no configuration. If an announcement were taken
    /// for that answer, this node would repeat its request and receive the same configuration
    /// twice.
    pub fn on_revision(&mut self, node: &NodeName, revision: Revision) -> bool {
        let pending = self.pending.as_ref().filter(|pending| pending.node == *node);
        let is_announcement = pending.is_some_and(|pending| pending.kind.stays_open(revision));
        if !is_announcement {
            self.on_answer(node);
        }
        !is_announcement
    }

    /// Handles an answer, which closes the request to that node.
    pub fn on_answer(&mut self, node: &NodeName) {
        if self.pending.as_ref().is_some_and(|pending| pending.node == *node) {
            self.pending = None;
        }
    }

    /// Handles a chunk from a node: extends its deadline, so that the rest is not requested
    /// elsewhere.
    pub fn on_chunk(&mut self, node: &NodeName, now: Instant) {
        self.extend_deadline(node, now + REQUEST_TIMEOUT);
    }

    /// Handles a message that a node has queued the request behind those of other nodes.
    pub fn on_queued(&mut self, node: &NodeName, now: Instant) {
        self.extend_deadline(node, now + QUEUED_REQUEST_TIMEOUT);
    }

    fn extend_deadline(&mut self, node: &NodeName, deadline: Instant) {
        let pending = self.pending.as_mut().filter(|pending| pending.node == *node);
        if let Some(pending) = pending {
            pending.deadline = deadline;
        }
    }

    /// Handles a configuration that cannot be activated: no request is sent before the next poll.
    pub fn on_unusable(&mut self, node: &NodeName, now: Instant) {
        let deadline = now + POLL_INTERVAL;
        self.pending =
            Some(OpenRequest { node: node.clone(), deadline, kind: RequestKind::Backoff });
    }

    fn is_poll_due(&self, now: Instant) -> bool {
        self.next_poll.is_none_or(|at| now >= at)
    }

    fn poll_target(&mut self, view: &FetcherView) -> Option<NodeName> {
        let targets = poll_targets(&self.own, view.live);
        let index = (view.random * targets.len() as f64) as usize;
        let target = targets.get(index.min(targets.len().saturating_sub(1))).cloned();
        if target.is_none() {
            self.schedule_poll(view);
        }
        target
    }

    fn schedule_poll(&mut self, view: &FetcherView) {
        let interval = if view.active_revision == Revision::default() {
            FIRST_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        self.next_poll = Some(view.now + interval.mul_f64(0.75 + view.random / 2.0));
    }
}
