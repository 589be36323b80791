//! Claims that reports of instances yield, and how each renews the one before it.

use std::time::{Duration, Instant};

use super::{EvidenceKind, Lead, MIN_PROMOTION_TIME, PrimaryEvidence, Replication};
use crate::ids::InstanceName;
use crate::observed_process::ObservedProcess;
use crate::position::Term;

/// The claim that no successor leads before the lifetime of evidence has passed since a time. It
/// stays true when later reports replace those that yielded it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Claim {
    /// The primary.
    pub(super) instance: InstanceName,
    /// The term that it leads.
    pub(super) term: Term,
    /// When the requests were sent that yielded it.
    pub(super) requested_at: Instant,
    /// The kind of evidence that yielded it.
    pub(super) kind: EvidenceKind,
}

impl Claim {
    pub(super) fn is_about(&self, lead: Lead) -> bool {
        self.instance == *lead.instance && self.term == lead.term
    }
}

impl PrimaryEvidence {
    /// Keeps the claim that reports and a replacement check yield. Has to be called after each of
    /// them.
    pub fn keep_checked_claim(&mut self, lead: Lead, group: Replication) {
        if !self.may_cover(lead.term) {
            return;
        }
        let evidence = self.lasting_evidence(lead, group);
        if let Some(evidence) = evidence.filter(|found| found.kind == EvidenceKind::SomeReplicas) {
            self.keep_claim(lead, evidence.requested_at, evidence.kind);
        }
    }

    /// Keeps the claim that the newest reports yield. Has to be called after each report, before
    /// another one replaces it, and after each replacement check.
    ///
    /// While an earlier claim holds, no promotion has released a replica. So an instance that
    /// reports by then that it is not stopped, or that it leads, has yet to be stopped by any
    /// replacement that may follow. If as many report that as hold each commit, the stops of no
    /// replacement are complete, even if instances have joined, and its coordinator waits for a
    /// lifetime from then on. Such reports show the same as a commit.
    ///
    /// That holds only at a node for which each coordinator waits that long, and in a group whose
    /// coordinators stop that many. Elsewhere [`PrimaryEvidence::keep_checked_claim`] is to be used.
    ///
    /// `process` is what is known of the process of the primary.
    pub fn renew_claim(
        &mut self,
        lead: Lead,
        group: Replication,
        lifetime: Duration,
        process: Option<&ObservedProcess>,
    ) {
        self.keep_checked_claim(lead, group);
        if !self.may_cover(lead.term) {
            return;
        }
        let Some(evidence) = self.lasting_evidence(lead, group) else { return };
        let lifetime = lifetime.saturating_sub(MIN_PROMOTION_TIME);
        let holds_until = match process {
            Some(process) => process.covers_until(evidence.requested_at, lifetime),
            None => evidence.requested_at + lifetime,
        };
        if let Some(requested_at) = self.reported_since(holds_until, lead, group) {
            self.keep_claim(lead, requested_at, EvidenceKind::RenewedReports);
        }
    }

    /// Whether all replicas have reported since the evidence was requested that the node has for the
    /// primary, and their reports yield none for want of earlier evidence or of a replacement check.
    pub fn lacks_claim(&self, lead: Lead, group: Replication) -> bool {
        let reported = self.oldest_of_newest(self.all_replicas(group), lead, |_| true);
        let evidence = self.lasting_evidence(lead, group).map(|evidence| evidence.requested_at);
        reported.is_some() && reported > evidence
    }

    /// When the requests were sent that yielded the newest claim about the primary.
    pub(super) fn claimed_at(&self, lead: Lead) -> Option<Instant> {
        let claim = self.claim.as_ref().filter(|claim| claim.is_about(lead))?;
        Some(claim.requested_at)
    }

    fn keep_claim(&mut self, lead: Lead, requested_at: Instant, kind: EvidenceKind) {
        if self.claimed_at(lead).is_none_or(|known| known < requested_at) {
            let Lead { instance, term } = lead;
            self.claim = Some(Claim { instance: instance.clone(), term, requested_at, kind });
        }
    }

    /// Since when the primary and as many replicas as hold each commit beside it have answered by
    /// `limit` that it leads and that they are not stopped: the oldest of the newest such queries.
    /// The primary's own report is required, since it shows which of its processes runs: a
    /// coordinator that sees the end of an earlier one does not wait for evidence to expire.
    fn reported_since(&self, limit: Instant, lead: Lead, group: Replication) -> Option<Instant> {
        let primary = self.primaries.get(lead.instance)?;
        let count = (group.synchronous as usize).max(1);
        let replicas = self.oldest_of_newest(count, lead, |report| report.answered <= limit)?;
        let is_evidence = primary.term == lead.term && primary.answered <= limit;
        is_evidence.then(|| replicas.min(primary.queried_at))
    }
}
