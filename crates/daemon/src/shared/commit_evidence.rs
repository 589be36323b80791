//! Which answers of commits are covered by evidence that this node had before, and which of the
//! others replicas have confirmed.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::{EvidenceKind, Lead, MIN_PROMOTION_TIME, Replication};

use super::group_statuses::REPLICA_RESPONSE_TIMEOUT;
use super::statuses::StatusTable;

/// When a commit was sent to its primary and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitTimes {
    /// When it was sent.
    pub sent: Instant,
    /// When this process had received the answer, by a clock that it read after that.
    pub answered: Instant,
}

/// The group to which evidence applies, and how long evidence lasts at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceScope {
    /// How the group replicates.
    pub replication: Replication,
    /// How long evidence lasts.
    pub lifetime: Duration,
}

/// The answer of a commit that no evidence covered when it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UncoveredAnswer {
    /// When this process had received the answer, by a clock that it read after that.
    pub answered: Instant,
    /// How long evidence lasts at this node, if evidence that was requested before the answer
    /// counts. `None` if only reports count that were requested after it.
    pub lifetime: Option<Duration>,
}

/// What the evidence shows about a commit that the primary has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitConfirmation {
    /// Evidence that arrived after the answer covers it, so the commit may be acknowledged.
    Covered,
    /// Reports that were requested after the answer show that no other instance was about to be
    /// promoted, so the commit may be acknowledged.
    Confirmed,
    /// Enough replicas show that, the others have had time to respond, and a replacement check is
    /// missing.
    LacksReplacementCheck,
    /// Too few replicas have reported their status.
    Unconfirmed,
    /// The primary is being replaced, or has been.
    Replaced,
}

impl StatusTable {
    /// Records that `instance`, as the primary of `term`, answered a commit that wrote data. Returns
    /// the earlier evidence that covers the answer. Without such evidence the commit is none, because
    /// another instance may lead, and replicas have yet to confirm it.
    pub fn on_commit_answer(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        term: Term,
        commit: CommitTimes,
        scope: EvidenceScope,
    ) -> Option<EvidenceKind> {
        let EvidenceScope { replication, lifetime } = scope;
        let mut evidence = None;
        self.with_group(group, |known| {
            let coverage = known.answer_coverage(instance, term, replication, lifetime);
            let covering = coverage.filter(|coverage| commit.answered <= coverage.until);
            evidence = covering.map(|coverage| coverage.kind);
            if known.on_commit_answered(instance, term) && evidence.is_some() {
                known.evidence.on_commit(term, commit.sent);
            }
        });
        evidence
    }

    /// Records that `instance`, as the primary of `term`, answered a commit that is no evidence,
    /// whatever covers it: another instance may have been promoted meanwhile.
    pub fn on_commit_without_evidence(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        term: Term,
    ) {
        self.with_group(group, |known| {
            known.on_commit_answered(instance, term);
        });
    }

    /// What the evidence shows at `now` about a commit that the primary `lead` has answered.
    ///
    /// Evidence covers the answer by the time of its request, whichever of the two arrives first. If
    /// instances respond slowly, the answers of a commit and of the queries that were sent before it
    /// arrive together, often too late for another round of queries.
    pub fn commit_confirmation(
        &self,
        group: &GroupName,
        lead: Lead,
        replication: Replication,
        answer: UncoveredAnswer,
        now: Instant,
    ) -> CommitConfirmation {
        let UncoveredAnswer { answered, lifetime } = answer;
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        let evidence = &known.evidence;
        // Commits of the successor are confirmed while its replacement is still recorded as running.
        if !evidence.may_cover(lead.term) {
            return CommitConfirmation::Replaced;
        }
        // An instance that has become a replica since it was sent the commit answers with the term of
        // its successor.
        if known.led_term_of(lead.instance) != Some(lead.term) {
            return CommitConfirmation::Unconfirmed;
        }
        if evidence.confirms_commit(lead, replication, answered) {
            return CommitConfirmation::Confirmed;
        }
        let coverage = lifetime.and_then(|lifetime| {
            known.answer_coverage(lead.instance, lead.term, replication, lifetime)
        });
        if coverage.is_some_and(|coverage| answered <= coverage.until) {
            return CommitConfirmation::Covered;
        }
        let lifetime = lifetime.unwrap_or_default().saturating_sub(MIN_PROMOTION_TIME);
        let covered_until = evidence.would_cover_until(lead, replication, lifetime);
        let has_waited = now >= answered + REPLICA_RESPONSE_TIMEOUT;
        match has_waited && covered_until.is_some_and(|until| answered <= until) {
            true => CommitConfirmation::LacksReplacementCheck,
            false => CommitConfirmation::Unconfirmed,
        }
    }
}
