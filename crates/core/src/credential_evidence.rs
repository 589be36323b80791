//! Evidence that the credentials of the active configuration are still valid. It serves deployments
//! in which a revoked credential must not be used after a fixed time, even at a node that is cut
//! off from the store and all other nodes.
//!
//! The revocation limit runs from the acknowledgement of the revocation to the moment at which a
//! request was *sent*. A node therefore needs to know that its configuration was still the newest
//! at some moment T, and that T lies no longer before the request's arrival than the limit: a
//! revocation acknowledged after T applies only to requests that are sent later than T plus the
//! limit. What happens to the request afterwards does not matter. It may be queued or delayed on
//! the network, or its sender may be suspended in between, because only the time at which it was
//! sent counts. Evidence that a node obtains after the request's arrival counts as well.
//!
//! T is always measured from when a query was *sent*: a node that reads the store takes the time
//! before its call, and a node that asks another node takes the time of its request less the age
//! stated in the answer. Late or duplicate answers therefore make evidence older, never younger,
//! and the nodes need no synchronized clocks.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::catalog::CatalogVersion;
use crate::distribution::{is_store_watcher, other_zone_watchers, store_watchers};
use crate::ids::NodeName;
use crate::rendezvous::Candidate;

/// Fraction of the limit that is reserved for clocks that run at different rates: one part in 20.
const MARGIN_DIVISOR: u32 = 20;
/// Fraction of the limit for which a read of the store waits for a change: its result is evidence
/// for the moment at which the call began. Together with [`REQUEST_INTERVAL_DIVISOR`] this keeps
/// evidence at most a third of the limit old, so that during an outage of the store no request is
/// refused before six tenths of the limit have passed.
const STORE_CALL_DIVISOR: u32 = 8;
/// Fraction of the limit after which a node requests newer evidence from another node.
const REQUEST_INTERVAL_DIVISOR: u32 = 8;
/// Fraction of the limit at which evidence is stale: a node that reads the store has newer
/// evidence, unless the store rejects its calls.
const STALE_AGE_DIVISOR: u32 = 3;
/// Fraction of the limit for which a node is skipped after it had stale evidence or did not answer.
const SKIP_DIVISOR: u32 = 2;
/// Time within which another node must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Most confirmations kept. Several are needed because some concern revisions that this node has
/// not received yet.
const MAX_CONFIRMATIONS: usize = 8;
/// Delay after which a client may retry a request that was refused for lack of evidence: the time
/// of two round trips to another node.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest time between the acknowledgement of a change that revokes a credential and the sending
/// of a request that may still use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationLimit(Duration);

impl RevocationLimit {
    /// The limit that the operators configured.
    pub fn new(limit: Duration) -> Self {
        Self(limit)
    }

    /// How long after its moment evidence covers arriving requests.
    pub fn lifetime(self) -> Duration {
        self.0 - self.0 / MARGIN_DIVISOR
    }

    /// Longest call to the store by a node that obtains evidence there.
    pub fn max_store_call(self) -> Duration {
        self.0 / STORE_CALL_DIVISOR
    }

    fn request_interval(self) -> Duration {
        self.0 / REQUEST_INTERVAL_DIVISOR
    }

    fn stale_age(self) -> Duration {
        self.0 / STALE_AGE_DIVISOR
    }

    fn skip_time(self) -> Duration {
        self.0 / SKIP_DIVISOR
    }
}

/// States that at some moment a configuration, or one with the same accounts, was the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Version of the configuration.
    pub version: CatalogVersion,
    /// That moment, or an earlier one.
    pub at: Instant,
}

/// A node's evidence that its configuration is the newest.
#[derive(Clone, Debug, Default)]
pub struct CredentialEvidence {
    /// Ordered by revision; later revisions have later moments.
    confirmations: Vec<Confirmation>,
}

impl CredentialEvidence {
    /// Adds a confirmation, unless a known one shows as much.
    pub fn add(&mut self, new: Confirmation) {
        let is_covered_by =
            |known: &Confirmation| new.version.covers(known.version) && known.at >= new.at;
        if self.confirmations.iter().any(is_covered_by) {
            return;
        }
        self.confirmations.retain(|known| !known.version.covers(new.version) || known.at > new.at);
        self.confirmations.push(new);
        self.confirmations.sort_by_key(|known| known.version.revision);
        if self.confirmations.len() > MAX_CONFIRMATIONS {
            self.confirmations.remove(0);
        }
    }

    /// The confirmation with the latest moment at which the configuration `active`, or an older
    /// one, was the newest.
    pub fn newest(&self, active: impl Into<CatalogVersion>) -> Option<Confirmation> {
        let active = active.into();
        let usable = self.confirmations.iter().filter(|known| active.covers(known.version));
        usable.max_by_key(|known| known.at).copied()
    }

    /// Whether a credential of the configuration `active` may be used for a request that arrived at
    /// `arrived`.
    pub fn covers(
        &self,
        active: impl Into<CatalogVersion>,
        arrived: Instant,
        limit: RevocationLimit,
    ) -> bool {
        self.newest(active).is_some_and(|known| arrived <= known.at + limit.lifetime())
    }
}

/// Identifies one request for evidence among those of the same node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EvidenceRequestId(pub u64);

/// Inputs of an [`EvidenceRequester`] decision.
#[derive(Clone, Copy, Debug)]
pub struct RequesterView<'a> {
    /// Current time.
    pub now: Instant,
    /// This node.
    pub own: &'a Candidate,
    /// Live nodes.
    pub live: &'a [Candidate],
    /// The latest moment for which this node has evidence.
    pub newest: Option<Instant>,
    /// Uniform in 0..1.
    pub random: f64,
}

/// Decides when a node requests newer evidence, and from which node.
///
/// Store watchers have the newest evidence, so they are asked at fixed intervals, those of the
/// node's own zone first. A node that does not answer, or whose evidence is stale because the store
/// rejects its calls, is skipped for some time, and another node is asked at once. A store watcher
/// sends requests only while its own evidence is stale. The number of calls to the store therefore
/// does not grow with the number of nodes.
#[derive(Clone, Debug)]
pub struct EvidenceRequester {
    limit: RevocationLimit,
    open: Option<OpenRequest>,
    /// When the last request with a useful answer was sent.
    last_useful: Option<Instant>,
    next_id: u64,
    skipped: HashMap<NodeName, Instant>,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    node: NodeName,
    id: EvidenceRequestId,
    at: Instant,
}

impl EvidenceRequester {
    /// A requester that has sent no request yet.
    pub fn new(limit: RevocationLimit) -> Self {
        Self { limit, open: None, last_useful: None, next_id: 0, skipped: HashMap::new() }
    }

    /// The node to send a request to now, if any, and the id of that request.
    pub fn next(&mut self, view: &RequesterView) -> Option<(NodeName, EvidenceRequestId)> {
        if let Some(asked) = &self.open {
            if view.now < asked.at + ANSWER_TIMEOUT {
                return None;
            }
            let node = asked.node.clone();
            self.skip(node, view.now);
            self.open = None;
        }
        if !self.is_due(view) {
            return None;
        }
        let node = self.target(view)?;
        let id = EvidenceRequestId(self.next_id);
        self.next_id += 1;
        self.open = Some(OpenRequest { node: node.clone(), id, at: view.now });
        Some((node, id))
    }

    fn is_due(&self, view: &RequesterView) -> bool {
        let is_stale = view.newest.is_none_or(|at| view.now >= at + self.limit.stale_age());
        let interval_passed =
            self.last_useful.is_none_or(|at| view.now >= at + self.limit.request_interval());
        if is_store_watcher(view.own, view.live) {
            is_stale && interval_passed
        } else {
            interval_passed
        }
    }

    /// Handles an answer. Returns when its request was sent, if that request is still open.
    pub fn on_answer(&mut self, node: &NodeName, id: EvidenceRequestId) -> Option<Instant> {
        let matches = |asked: &mut OpenRequest| asked.node == *node && asked.id == id;
        self.open.take_if(matches).map(|asked| asked.at)
    }

    /// Handles the evidence in an answer: the node that was asked at `asked` has evidence for the
    /// moment `newest`. A node with stale evidence is skipped from then on.
    pub fn on_evidence(&mut self, node: &NodeName, asked: Instant, newest: Option<Instant>) {
        match newest.is_some_and(|newest| asked < newest + self.limit.stale_age()) {
            true => self.last_useful = Some(asked),
            false => self.skip(node.clone(), asked),
        }
    }

    fn skip(&mut self, node: NodeName, now: Instant) {
        self.skipped.retain(|_, until| *until > now);
        self.skipped.insert(node, now + self.limit.skip_time());
    }

    fn target(&self, view: &RequesterView) -> Option<NodeName> {
        let is_candidate = |node: &NodeName| {
            let is_skipped = self.skipped.get(node).is_some_and(|until| view.now < *until);
            *node != view.own.node && !is_skipped
        };
        let same_zone = store_watchers(&view.own.zone, view.live);
        let other_zones = || other_zone_watchers(view.own, view.live);
        let all = || view.live.iter().map(|other| other.node.clone()).collect();
        let choose_from = |nodes: Vec<NodeName>| {
            let nodes: Vec<NodeName> = nodes.into_iter().filter(&is_candidate).collect();
            let index = (view.random * nodes.len() as f64) as usize;
            nodes.get(index.min(nodes.len().saturating_sub(1))).cloned()
        };
        choose_from(same_zone).or_else(|| choose_from(other_zones())).or_else(|| choose_from(all()))
    }
}
