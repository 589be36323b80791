//! Replacement checks by other nodes, for a node to which the store does not answer: which nodes
//! have to confirm that a primary is not being replaced, and which groups their answers confirm.
//!
//! Only a node in the machine list becomes the coordinator. If each of them says, after the check
//! began, that it knows no replacement of a group and runs none, then every replacement that began
//! before is over and known. A coordinator that begins later records its intent first, and releases
//! no replica sooner than [`MIN_PROMOTION_TIME`](crate::primary_evidence::MIN_PROMOTION_TIME) after
//! that. So the check proves the same as one by the store that began at the same time.
//!
//! What a node answers is true only for what it can know ([`GroupKnowledge`]):
//!
//! * A process that has just started does not know the attempts of its predecessor until it has a
//!   copy of the store.
//! * A node may be the coordinator although the asker does not know it. So a node with another
//!   machine list than the asker's confirms nothing ([`nodes_digest`]).
//! * A replacement that is over has a successor. The asker has to know its term, by which nodes
//!   recognize the old primary.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use super::Successor;
use crate::ids::{GroupName, NodeName};
use crate::position::Term;

/// Time from the beginning of a check within which answers count.
pub const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Least interval between the beginnings of two checks.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// The same for each listed node: a check costs a message to each node and an answer of each.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(2);
/// Most groups that one check is for, which bounds the size of its messages.
pub const MAX_GROUPS_PER_CHECK: usize = 64;

/// Digest of the names of the listed nodes, in any order.
pub fn nodes_digest<'n>(listed: impl IntoIterator<Item = &'n NodeName>) -> u64 {
    let names: BTreeSet<&str> = listed.into_iter().map(NodeName::as_str).collect();
    let mut hasher = Xxh3::new();
    for name in names {
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
    }
    hasher.digest()
}

/// What a node knows of the replacements of one group.
#[derive(Clone, Copy, Debug)]
pub struct GroupKnowledge<'a> {
    /// Whether it knows of a replacement that is not known to have ended, or may run one itself.
    pub may_be_replaced: bool,
    /// Highest term that an instance is known to have led.
    pub highest_led: Term,
    /// The instance that was promoted last, in the node's copy of the store.
    pub promoted: Option<&'a Successor>,
}

impl GroupKnowledge<'_> {
    /// Whether the node confirms that no primary replaces the one that led `term`, the highest term
    /// that the asker knows.
    pub fn confirms(&self, term: Term) -> bool {
        let is_successor_known =
            self.promoted.is_none_or(|promoted| promoted.term.is_some_and(|led| led <= term));
        !self.may_be_replaced && self.highest_led <= term && is_successor_known
    }
}

/// An answer to a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAnswer {
    /// The node that has answered.
    pub from: NodeName,
    /// Number of the check.
    pub number: u64,
    /// Groups that the node confirms.
    pub unreplaced: BTreeSet<GroupName>,
    /// When the answer arrived.
    pub arrived: Instant,
}

/// A check that begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerQuery {
    /// Number of the check.
    pub number: u64,
    /// The groups that it is for.
    pub groups: BTreeSet<GroupName>,
    /// Whether the nodes are asked; not if one of them cannot answer.
    pub is_sent: bool,
}

/// How a check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerCheckOutcome {
    /// Every node has confirmed all groups.
    Confirmed,
    /// A node has not confirmed some groups.
    Refused,
    /// A node has not answered in time, or runs a version that cannot.
    Unanswered,
}

/// A check that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCheckResult {
    /// When the check began.
    pub started_at: Instant,
    /// The groups that it was for.
    pub groups: BTreeSet<GroupName>,
    /// The groups that every node has confirmed.
    pub confirmed: BTreeSet<GroupName>,
    /// Number of nodes that had to confirm them, including this one.
    pub nodes: usize,
    /// Nodes that have left out a group.
    pub refusing: BTreeSet<NodeName>,
    /// Nodes that have not answered.
    pub unanswered: BTreeSet<NodeName>,
}

impl PeerCheckResult {
    /// How the check ended.
    pub fn outcome(&self) -> PeerCheckOutcome {
        if !self.refusing.is_empty() {
            PeerCheckOutcome::Refused
        } else if !self.unanswered.is_empty() {
            PeerCheckOutcome::Unanswered
        } else {
            PeerCheckOutcome::Confirmed
        }
    }
}

/// A check in progress.
#[derive(Clone, Debug)]
struct OpenCheck {
    number: u64,
    /// Whether the nodes were asked.
    is_sent: bool,
    /// The nodes that had to confirm the groups when the check began.
    asked: BTreeSet<NodeName>,
    /// The result so far; `confirmed` holds what no node has left out.
    result: PeerCheckResult,
}

/// The checks of one node, one at a time.
#[derive(Clone, Debug)]
pub struct PeerChecks {
    next_number: u64,
    open: Option<OpenCheck>,
    /// When the last check began.
    last_start: Option<Instant>,
    /// Last group, in the order of names, of the last check.
    last_group: Option<GroupName>,
}

impl PeerChecks {
    /// A node without checks. Answers to an earlier process may still arrive, so `first_number` has
    /// to be random.
    pub fn new(first_number: u64) -> Self {
        Self { next_number: first_number, open: None, last_start: None, last_group: None }
    }

    /// Whether a check is in progress.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Whether the next check may begin, with that many listed nodes.
    pub fn is_due(&self, listed: usize, now: Instant) -> bool {
        let listed = u32::try_from(listed).unwrap_or(u32::MAX);
        let interval = MIN_INTERVAL.max(INTERVAL_PER_NODE.saturating_mul(listed));
        let has_passed = |start: Instant| now >= start + interval;
        self.open.is_none() && self.last_start.is_none_or(has_passed)
    }

    /// Begins a check at `now` and takes groups for it out of `waiting`. All `nodes` have to confirm
    /// them; the `unable` ones of these cannot answer.
    pub fn begin(
        &mut self,
        waiting: &mut BTreeSet<GroupName>,
        nodes: &BTreeSet<NodeName>,
        unable: BTreeSet<NodeName>,
        now: Instant,
    ) -> PeerQuery {
        let groups = self.take_next(waiting);
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        self.last_start = Some(now);
        let is_sent = unable.is_empty();
        let result = PeerCheckResult {
            started_at: now,
            groups: groups.clone(),
            confirmed: groups.clone(),
            nodes: nodes.len(),
            refusing: BTreeSet::new(),
            unanswered: if is_sent { nodes.clone() } else { unable },
        };
        self.open = Some(OpenCheck { number, is_sent, asked: nodes.clone(), result });
        PeerQuery { number, groups, is_sent }
    }

    /// Takes the groups that follow those of the last check in the order of names, so that each
    /// waiting group has its turn.
    fn take_next(&mut self, waiting: &mut BTreeSet<GroupName>) -> BTreeSet<GroupName> {
        let is_after = |name: &&GroupName| self.last_group.as_ref().is_none_or(|last| *name > last);
        let (after, before): (Vec<&GroupName>, Vec<&GroupName>) =
            waiting.iter().partition(is_after);
        let next = after.into_iter().chain(before).take(MAX_GROUPS_PER_CHECK);
        let next: Vec<GroupName> = next.cloned().collect();
        self.last_group = next.last().cloned();
        waiting.retain(|name| !next.contains(name));
        next.into_iter().collect()
    }

    /// Processes an answer. Answers to earlier checks and late ones do not count.
    pub fn on_answer(&mut self, answer: &PeerAnswer) {
        let Some(open) = self.open.as_mut().filter(|open| open.number == answer.number) else {
            return;
        };
        let result = &mut open.result;
        let is_late = answer.arrived > result.started_at + PEER_ANSWER_TIMEOUT;
        if is_late || !result.unanswered.remove(&answer.from) {
            return;
        }
        if !result.groups.is_subset(&answer.unreplaced) {
            result.refusing.insert(answer.from.clone());
        }
        result.confirmed.retain(|group| answer.unreplaced.contains(group));
    }

    /// The result of the check in progress, once all nodes have answered, no group can be confirmed
    /// any more, or the time for answers is over. `nodes` have to confirm the groups now: one that
    /// has been added since the check began was not asked.
    pub fn take_result(
        &mut self,
        nodes: &BTreeSet<NodeName>,
        now: Instant,
    ) -> Option<PeerCheckResult> {
        let is_over = |open: &OpenCheck| {
            let result = &open.result;
            result.unanswered.is_empty()
                || result.confirmed.is_empty()
                || !open.is_sent
                || now > result.started_at + PEER_ANSWER_TIMEOUT
        };
        let OpenCheck { asked, mut result, .. } = self.open.take_if(|open| is_over(open))?;
        result.unanswered.extend(nodes.difference(&asked).cloned());
        if !result.unanswered.is_empty() {
            result.confirmed.clear();
        }
        Some(result)
    }
}
