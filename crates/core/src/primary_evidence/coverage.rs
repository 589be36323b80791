//! What evidence covers, until when, and by which kind of evidence.

use std::time::{Duration, Instant};

use super::{PrimaryEvidence, Replication, UNLISTED_EVIDENCE_LIFETIME};
use crate::position::Term;

/// The kind of evidence that covers a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceKind {
    /// A commit that the primary acknowledged.
    Commit,
    /// Reports of all replicas.
    AllReplicas,
    /// Reports of enough replicas, with a replacement check.
    SomeReplicas,
    /// Reports of enough replicas without a replacement check.
    UncheckedReplicas,
}

/// The evidence for the primary of a term, and what it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// The term of the primary.
    pub term: Term,
    /// Until when arriving reads are covered.
    pub until: Instant,
    /// The kind of evidence that covers them for longest.
    pub kind: EvidenceKind,
    /// When the requests were sent that yielded this evidence.
    pub requested_at: Instant,
    /// When the store was queried that last showed no replacement of the primary.
    pub replacement_check_at: Option<Instant>,
}

impl PrimaryEvidence {
    /// What covers the arrival of statements at the primary of `term` for longest. Decisions and
    /// their log lines both use this value, so they cannot differ.
    pub fn coverage(&self, term: Term, group: Replication, lifetime: Duration) -> Option<Coverage> {
        let lasting = self.lasting_coverage(term, group, lifetime);
        let unchecked = self.unchecked_coverage(term, group);
        lasting.into_iter().chain(unchecked).max_by_key(|coverage| coverage.until)
    }

    /// What covers answers of the primary of `term`. A commit whose answer arrives by then was
    /// received by a replica that had not been stopped, because no promotion had released one.
    ///
    /// Evidence that was revoked counts as that of a node on which no coordinator waits: a
    /// coordinator releases no replica sooner than that, whatever the nodes have reported.
    pub fn answer_coverage(
        &self,
        term: Term,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Coverage> {
        let lifetime = match self.is_revoked(term) {
            true => lifetime.min(UNLISTED_EVIDENCE_LIFETIME),
            false => lifetime,
        };
        if self.is_outdated_term(term) {
            return None;
        }
        let (requested_at, kind) = self.lasting_evidence(term, group)?;
        let until = requested_at + lifetime;
        let replacement_check_at = self.no_replacement_at;
        Some(Coverage { term, until, kind, requested_at, replacement_check_at })
    }

    /// The coverage by evidence that stays valid for `lifetime`.
    pub(super) fn lasting_coverage(
        &self,
        term: Term,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Coverage> {
        if !self.may_cover(term) {
            return None;
        }
        let (requested_at, kind) = self.lasting_evidence(term, group)?;
        let until = requested_at + lifetime;
        let replacement_check_at = self.no_replacement_at;
        Some(Coverage { term, until, kind, requested_at, replacement_check_at })
    }

    /// The newest evidence for the primary of `term` that stays valid for some time: when it was
    /// requested, and its kind.
    fn lasting_evidence(&self, term: Term, group: Replication) -> Option<(Instant, EvidenceKind)> {
        let by_commit = self.last_commit.filter(|_| group.synchronous > 0 && term == self.term);
        let by_all = self.oldest_of_newest(group.replicas(), term, |_| true);
        let by_enough = self.oldest_of_newest(group.replicas_needed(), term, |report| {
            self.is_confirmed_by_store(report)
        });
        let kinds = [
            (by_enough, EvidenceKind::SomeReplicas),
            (by_all, EvidenceKind::AllReplicas),
            (by_commit, EvidenceKind::Commit),
        ];
        let found = kinds.into_iter().filter_map(|(seen, kind)| Some((seen?, kind)));
        found.max_by_key(|(seen, _)| *seen)
    }

    /// The coverage by reports of enough replicas, which ends with the request for the reports: a
    /// replica that a promotion has released may confirm the successor's commits right after it has
    /// answered.
    pub fn unchecked_coverage(&self, term: Term, group: Replication) -> Option<Coverage> {
        let requested_at = self.would_cover_until(term, group, Duration::ZERO)?;
        let kind = EvidenceKind::UncheckedReplicas;
        Some(Coverage { term, until: requested_at, kind, requested_at, replacement_check_at: None })
    }
}
