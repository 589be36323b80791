//! What evidence covers, until when, and by which kind of evidence.

use std::time::{Duration, Instant};

use super::{Lead, MIN_PROMOTION_TIME, PrimaryEvidence, Replication, UNLISTED_EVIDENCE_LIFETIME};
use crate::position::Term;

/// The kind of evidence that covers a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceKind {
    /// A commit that the primary acknowledged.
    Commit,
    /// Reports that were answered while earlier evidence held.
    RenewedReports,
    /// Reports of enough replicas, with a replacement check.
    SomeReplicas,
    /// New reports of all replicas and of the primary, without a replacement check.
    UncheckedReplicas,
}

/// Evidence that stays valid for some time.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastingEvidence {
    /// When the requests were sent that yielded it.
    pub(super) requested_at: Instant,
    pub(super) kind: EvidenceKind,
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
    /// What covers the arrival of statements at the primary for longest. Decisions and their log
    /// lines both use this value, so they cannot differ.
    pub fn coverage(&self, lead: Lead, group: Replication, lifetime: Duration) -> Option<Coverage> {
        let lasting = self.lasting_coverage(lead, group, lifetime);
        let unchecked = self.unchecked_coverage(lead, group);
        lasting.into_iter().chain(unchecked).max_by_key(|coverage| coverage.until)
    }

    /// What covers answers of the primary. A commit whose answer arrives by then was received by a
    /// replica that had not been stopped: no promotion had released one, and a replica that forgets
    /// its stop in a restart is found by the coordinator's last check of the stops. That check comes
    /// [`MIN_PROMOTION_TIME`] before a successor can lead, so answers are covered for less time than
    /// arrivals.
    ///
    /// Evidence that was revoked counts as that of a node for which no coordinator waits: a
    /// coordinator releases no replica sooner than that, also if every node has reported.
    pub fn answer_coverage(
        &self,
        lead: Lead,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Coverage> {
        if self.is_outdated_term(lead.term) {
            return None;
        }
        let lifetime = match self.is_revoked(lead.term) {
            true => lifetime.min(UNLISTED_EVIDENCE_LIFETIME),
            false => lifetime,
        };
        let lifetime = lifetime.saturating_sub(MIN_PROMOTION_TIME);
        self.lasting_evidence(lead, group).map(|evidence| self.lasting(lead, evidence, lifetime))
    }

    /// The coverage by evidence that stays valid for `lifetime`.
    pub(super) fn lasting_coverage(
        &self,
        lead: Lead,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Coverage> {
        if !self.may_cover(lead.term) {
            return None;
        }
        self.lasting_evidence(lead, group).map(|evidence| self.lasting(lead, evidence, lifetime))
    }

    fn lasting(&self, lead: Lead, evidence: LastingEvidence, lifetime: Duration) -> Coverage {
        let LastingEvidence { requested_at, kind } = evidence;
        Coverage {
            term: lead.term,
            until: requested_at + lifetime,
            kind,
            requested_at,
            replacement_check_at: self.no_replacement_at,
        }
    }

    /// The newest evidence for the primary that stays valid for some time.
    pub(super) fn lasting_evidence(
        &self,
        lead: Lead,
        group: Replication,
    ) -> Option<LastingEvidence> {
        let may_count = group.synchronous > 0 && lead.term == self.term;
        let by_commit = self.last_commit.filter(|_| may_count);
        let by_claim = self.claim.as_ref().filter(|claim| claim.is_about(lead));
        let by_enough = self.checked_reports(lead, group);
        // The coordinator of a replacement that begins after the check need not stop these
        // replicas, so the reports show nothing about the time after the check.
        let by_enough = by_enough.min(self.no_replacement_at);
        let kinds = [
            (by_enough, EvidenceKind::SomeReplicas),
            (
                by_claim.map(|claim| claim.requested_at),
                by_claim.map_or(EvidenceKind::RenewedReports, |claim| claim.kind),
            ),
            (by_commit, EvidenceKind::Commit),
        ];
        let found = kinds.into_iter().filter_map(|(requested_at, kind)| {
            Some(LastingEvidence { requested_at: requested_at?, kind })
        });
        found.max_by_key(|evidence| evidence.requested_at)
    }

    /// The coverage by new reports of all replicas and of the primary itself, which ends with the
    /// first request for them: a replica that a promotion has released may confirm the successor's
    /// commits right after it has answered, and so may the primary once it has stepped down. With
    /// fewer reports, a successor that the node does not list may have had its commits confirmed by
    /// the other replicas.
    pub fn unchecked_coverage(&self, lead: Lead, group: Replication) -> Option<Coverage> {
        if !self.may_cover(lead.term) {
            return None;
        }
        let reported_at = self.oldest_of_newest(self.all_replicas(group), lead, |_| true)?;
        let primary = self.primaries.get(lead.instance)?;
        if primary.term != lead.term {
            return None;
        }
        let requested_at = reported_at.min(primary.queried_at);
        Some(Coverage {
            term: lead.term,
            until: requested_at,
            kind: EvidenceKind::UncheckedReplicas,
            requested_at,
            replacement_check_at: None,
        })
    }
}
