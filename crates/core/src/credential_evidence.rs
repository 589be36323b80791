//! Evidence that the credentials in force still stand, for deployments where a credential that was
//! taken away must not be used any more after a fixed time, also at a node that nothing reaches.
//!
//! The time runs from the acknowledgement of the change to the moment at which a request was *sent*. So
//! a node needs to know that its configuration was still the newest at some moment T, no longer before
//! the request's arrival than the limit: whatever was acknowledged after T binds only requests that are
//! sent later than T plus the limit. What becomes of the request afterwards does not matter: it may
//! wait, travel, or be sent by a process that stood still in between, since all that counts was settled
//! when it was sent. Evidence that comes after the arrival serves as well.
//!
//! T is always counted from when a question was *sent*: whoever reads the store takes the time before its
//! call, and whoever asks another node takes the time of its question less the age that it is told. So
//! answers that are late or repeated make evidence older, never younger, and no common clock is needed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::catalog::CatalogVersion;
use crate::distribution::{is_store_watcher, other_zone_watchers, store_watchers};
use crate::ids::NodeName;
use crate::rendezvous::Candidate;

/// Part of the limit that is left for clocks that run at different rates.
const MARGIN_PART: u32 = 20;
/// Part of the limit for which one who reads the store waits for a change: what its call shows is as old
/// as the call. With this and [`ASKED_AGAIN_PART`] evidence is at most a third of the limit old, so that
/// a store that is down stops nothing before six tenths of the limit.
const LONGEST_CALL_PART: u32 = 8;
/// Part of the limit after which a node asks another one for newer evidence.
const ASKED_AGAIN_PART: u32 = 8;
/// Part of the limit at which evidence is old: who reads the store has newer, unless that turns it away.
const OLD_PART: u32 = 3;
/// Part of the limit for which a node is passed over that had old evidence, or did not answer.
const PASSED_OVER_PART: u32 = 2;
/// Time in which another node must answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(200);
/// Confirmations kept: those of revisions that this node is still to get.
const KEPT: usize = 8;
/// When a caller may come back that was refused for want of evidence: a question and its answer, twice.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest time between the acknowledgement of a change that takes a credential away and the sending of a
/// request that may still use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationLimit(Duration);

impl RevocationLimit {
    /// The limit as the operators state it.
    pub fn new(limit: Duration) -> Self {
        Self(limit)
    }

    /// How long evidence covers arrivals.
    pub fn lifetime(self) -> Duration {
        self.0 - self.0 / MARGIN_PART
    }

    /// Longest call to the store of a node that gathers evidence there.
    pub fn max_store_call(self) -> Duration {
        self.0 / LONGEST_CALL_PART
    }

    fn asked_again(self) -> Duration {
        self.0 / ASKED_AGAIN_PART
    }

    fn old(self) -> Duration {
        self.0 / OLD_PART
    }

    fn passed_over(self) -> Duration {
        self.0 / PASSED_OVER_PART
    }
}

/// At some moment a configuration, or one that says the same of accounts, was the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Which one.
    pub version: CatalogVersion,
    /// The moment, or an earlier one.
    pub at: Instant,
}

/// What a node has heard of its configuration being the newest.
#[derive(Clone, Debug, Default)]
pub struct CredentialEvidence {
    /// By revision; later ones have later moments.
    kept: Vec<Confirmation>,
}

impl CredentialEvidence {
    /// Takes a confirmation in.
    pub fn add(&mut self, new: Confirmation) {
        let says_more =
            |known: &Confirmation| new.version.covers(known.version) && known.at >= new.at;
        if self.kept.iter().any(says_more) {
            return;
        }
        self.kept.retain(|known| !known.version.covers(new.version) || known.at > new.at);
        self.kept.push(new);
        self.kept.sort_by_key(|known| known.version.revision);
        if self.kept.len() > KEPT {
            self.kept.remove(0);
        }
    }

    /// The newest moment at which the configuration `in_force`, or an older one, was the newest.
    pub fn newest(&self, in_force: impl Into<CatalogVersion>) -> Option<Confirmation> {
        let in_force = in_force.into();
        let usable = self.kept.iter().filter(|known| in_force.covers(known.version));
        usable.max_by_key(|known| known.at).copied()
    }

    /// Whether a credential of the configuration `in_force` may be used for a request that arrived at
    /// `arrived`.
    pub fn covers(
        &self,
        in_force: impl Into<CatalogVersion>,
        arrived: Instant,
        limit: RevocationLimit,
    ) -> bool {
        self.newest(in_force).is_some_and(|known| arrived <= known.at + limit.lifetime())
    }
}

/// Number of a question for evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EvidenceRequestId(pub u64);

/// What [`EvidenceRequester`] decides by.
#[derive(Clone, Copy, Debug)]
pub struct RequesterView<'a> {
    /// The time.
    pub now: Instant,
    /// This node.
    pub own: &'a Candidate,
    /// Live nodes.
    pub live: &'a [Candidate],
    /// The newest moment that this node has evidence of.
    pub newest: Option<Instant>,
    /// Uniform in 0..1.
    pub random: f64,
}

/// Decides whom a node asks for newer evidence, and when.
///
/// Followers of the store have the newest, so they are asked, at fixed intervals: those of the node's own
/// zone first. One whose evidence is old, because the store turns it away, or that does not answer, is
/// passed over for a while, and another one asked at once. A follower asks only if its own is old. The
/// calls to the store do not grow with the nodes.
#[derive(Clone, Debug)]
pub struct EvidenceRequester {
    limit: RevocationLimit,
    asked: Option<Asked>,
    /// When the last question was asked whose answer was of use.
    served: Option<Instant>,
    next_number: u64,
    passed_over: HashMap<NodeName, Instant>,
}

#[derive(Clone, Debug)]
struct Asked {
    node: NodeName,
    number: EvidenceRequestId,
    at: Instant,
}

impl EvidenceRequester {
    /// A seeker that has not asked yet.
    pub fn new(limit: RevocationLimit) -> Self {
        Self { limit, asked: None, served: None, next_number: 0, passed_over: HashMap::new() }
    }

    /// The node to ask now, if any, and the number of the question.
    pub fn next(&mut self, view: &RequesterView) -> Option<(NodeName, EvidenceRequestId)> {
        if let Some(asked) = &self.asked {
            if view.now < asked.at + ANSWER_LIMIT {
                return None;
            }
            let node = asked.node.clone();
            self.pass_over(node, view.now);
            self.asked = None;
        }
        if !self.is_due(view) {
            return None;
        }
        let node = self.target(view)?;
        let number = EvidenceRequestId(self.next_number);
        self.next_number += 1;
        self.asked = Some(Asked { node: node.clone(), number, at: view.now });
        Some((node, number))
    }

    fn is_due(&self, view: &RequesterView) -> bool {
        let old = view.newest.is_none_or(|at| view.now >= at + self.limit.old());
        let served = self.served.is_none_or(|at| view.now >= at + self.limit.asked_again());
        if is_store_watcher(view.own, view.live) { old && served } else { served }
    }

    /// A node answered. Returns when it was asked, if that is the question that is open.
    pub fn on_answer(&mut self, node: &NodeName, number: EvidenceRequestId) -> Option<Instant> {
        let fits = |asked: &mut Asked| asked.node == *node && asked.number == number;
        self.asked.take_if(fits).map(|asked| asked.at)
    }

    /// A node that was asked at `asked` had evidence of the moment `newest`.
    pub fn on_evidence(&mut self, node: &NodeName, asked: Instant, newest: Option<Instant>) {
        match newest.is_some_and(|newest| asked < newest + self.limit.old()) {
            true => self.served = Some(asked),
            false => self.pass_over(node.clone(), asked),
        }
    }

    fn pass_over(&mut self, node: NodeName, now: Instant) {
        self.passed_over.retain(|_, until| *until > now);
        self.passed_over.insert(node, now + self.limit.passed_over());
    }

    fn target(&self, view: &RequesterView) -> Option<NodeName> {
        let asks = |node: &NodeName| {
            let waits = self.passed_over.get(node).is_some_and(|until| view.now < *until);
            *node != view.own.node && !waits
        };
        let near = store_watchers(&view.own.zone, view.live);
        let far = || other_zone_watchers(view.own, view.live);
        let any = || view.live.iter().map(|other| other.node.clone()).collect();
        let one_of = |nodes: Vec<NodeName>| {
            let nodes: Vec<NodeName> = nodes.into_iter().filter(&asks).collect();
            let index = (view.random * nodes.len() as f64) as usize;
            nodes.get(index.min(nodes.len().saturating_sub(1))).cloned()
        };
        one_of(near).or_else(|| one_of(far())).or_else(|| one_of(any()))
    }
}
