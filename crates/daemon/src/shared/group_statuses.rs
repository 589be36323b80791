//! What this node knows of one group: the statuses of its instances, what their answers show, and the
//! evidence about the group's primary.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::ids::InstanceName;
use kestrellock_core::observed_process::ObservedProcess;
use kestrellock_core::position::{Position, Term};
use kestrellock_core::primary_evidence::{Coverage, Lead, PrimaryEvidence, Replication};
use kestrellock_core::primary_samples::PrimarySamples;
use kestrellock_core::routing::{self, InstanceStatus};

use super::commit_evidence::EvidenceScope;
use super::exchange_record::ExchangeRecord;

/// Time that replicas have to respond before a replacement check replaces the answers of the
/// slowest. Zones are a few milliseconds apart, and a request to the store costs as much as dozens
/// of status queries.
pub(super) const REPLICA_RESPONSE_TIMEOUT: Duration = Duration::from_millis(10);

/// Last known status of an instance, and when it was received.
#[derive(Clone, Debug)]
pub struct KnownStatus {
    /// The status.
    pub status: InstanceStatus,
    /// When it was received; ages in `status` are as of this time.
    pub received: Instant,
}

/// What is known of one group.
#[derive(Debug, Default)]
pub struct GroupStatuses {
    /// Statuses of its instances, if probes report them.
    pub instances: HashMap<InstanceName, KnownStatus>,
    /// Records of the exchanges with its instances, if responses report positions.
    pub exchange_records: HashMap<InstanceName, ExchangeRecord>,
    /// Positions of its primary, as reported in responses.
    pub primary_samples: PrimarySamples,
    /// Evidence that no other instance is primary.
    pub evidence: PrimaryEvidence,
    /// What connections to its instances show about their processes.
    pub(super) processes: HashMap<InstanceName, ObservedProcess>,
    /// Highest position in answers to commits, of any instance: each of these commits may have been
    /// acknowledged to a client.
    pub highest_commit: Option<Position>,
    /// When its primary last answered a commit that wrote data.
    pub(super) last_commit: Option<Instant>,
}

impl GroupStatuses {
    /// Highest term that the instance has been shown to lead.
    pub fn led_term_of(&self, instance: &InstanceName) -> Option<Term> {
        self.exchange_records.get(instance)?.led_term()
    }

    /// Highest term that the current process of the instance has been shown to lead. Evidence that
    /// no other primary acknowledges commits shows nothing about reads at another process.
    pub fn current_led_term_of(&self, instance: &InstanceName) -> Option<Term> {
        self.exchange_records.get(instance)?.current_led_term()
    }

    /// Whether the instance, as the primary, may lack a commit of a session with this bound.
    pub fn may_lack_session_commits(
        &self,
        instance: &InstanceName,
        bound: Option<&Position>,
    ) -> bool {
        routing::may_lack_session_commits(self.led_term_of(instance), bound)
    }

    /// Returns whether the commit shows that the instance leads the term of the answer's position.
    /// That must be known from before: an instance that has led a lower term, or of which nothing
    /// is known, may have become a replica before it answered. It then reports the term of its
    /// successor, and has to show that it leads it.
    pub(super) fn on_commit_answered(&mut self, instance: &InstanceName, term: Term) -> bool {
        self.last_commit = Some(Instant::now());
        let record = self.exchange_records.entry(instance.clone()).or_default();
        let may_follow = record.led_term().is_none_or(|led| led < term);
        if may_follow {
            record.on_lead_in_doubt();
            self.evidence.on_term_led(term);
        } else {
            record.on_led_term(term);
        }
        !may_follow
    }

    /// What covers the arrival of reads at the primary `instance`: a read that arrives until then
    /// sees every acknowledged commit.
    pub fn coverage(
        &self,
        instance: &InstanceName,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Coverage> {
        let lead = Lead { instance, term: self.current_led_term_of(instance)? };
        let coverage = self.evidence.coverage(lead, group, lifetime)?;
        let lifetime = coverage.until.saturating_duration_since(coverage.requested_at);
        let until = self.covers_until(Some(instance), coverage.requested_at, lifetime);
        Some(Coverage { until, ..coverage })
    }

    /// What covers the answer of a commit of `term` that `instance` has answered: the commit
    /// reached a replica before a promotion can have released one. `None` if the instance has not
    /// been shown to lead that term.
    pub fn answer_coverage(
        &self,
        instance: &InstanceName,
        term: Term,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Coverage> {
        if self.led_term_of(instance) != Some(term) {
            return None;
        }
        let coverage = self.evidence.answer_coverage(Lead { instance, term }, group, lifetime)?;
        let lifetime = coverage.until.saturating_duration_since(coverage.requested_at);
        let until = self.covers_until(Some(instance), coverage.requested_at, lifetime);
        Some(Coverage { until, ..coverage })
    }

    /// Keeps the claim that the newest reports yield about the instance `primary`.
    pub(super) fn renew_claim(&mut self, primary: &InstanceName, scope: EvidenceScope) {
        let Some(term) = self.led_term_of(primary) else { return };
        let EvidenceScope { replication, lifetime } = scope;
        let process = self.processes.get(primary);
        let lead = Lead { instance: primary, term };
        self.evidence.renew_claim(lead, replication, lifetime, process);
    }

    /// Keeps the claim that reports and a replacement check yield about the instance `primary`.
    pub(super) fn keep_checked_claim(&mut self, primary: &InstanceName, scope: EvidenceScope) {
        let Some(term) = self.led_term_of(primary) else { return };
        self.evidence.keep_checked_claim(Lead { instance: primary, term }, scope.replication);
    }

    /// Whether reports of all replicas yield no evidence for the instance for want of earlier evidence
    /// or of a replacement check.
    pub fn lacks_claim(&self, instance: &InstanceName, group: Replication) -> bool {
        let term = self.led_term_of(instance);
        term.is_some_and(|term| self.evidence.lacks_claim(Lead { instance, term }, group))
    }

    /// Until when evidence about the instance covers answers, if reports that arrive by then renew it.
    pub fn renewable_until(
        &self,
        instance: &InstanceName,
        scope: EvidenceScope,
    ) -> Option<Instant> {
        let term = self.current_led_term_of(instance)?;
        if !self.evidence.may_cover(term) {
            return None;
        }
        let coverage = self.answer_coverage(instance, term, scope.replication, scope.lifetime);
        coverage.map(|coverage| coverage.until)
    }

    /// Whether evidence covers answers of the instance until `moment`, so that it does not have to be
    /// requested for each statement.
    pub fn has_lasting_evidence(
        &self,
        instance: &InstanceName,
        scope: EvidenceScope,
        moment: Instant,
    ) -> bool {
        let Some(term) = self.led_term_of(instance) else { return false };
        let coverage = self.answer_coverage(instance, term, scope.replication, scope.lifetime);
        coverage.is_some_and(|coverage| moment <= coverage.until)
    }

    /// Until when the evidence covers the arrival of reads at the primary `instance`.
    pub fn covered_until(
        &self,
        instance: &InstanceName,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Instant> {
        self.coverage(instance, group, lifetime).map(|coverage| coverage.until)
    }

    /// Until when evidence that was gathered at `evidence` covers arrivals at the process that the
    /// primary runs now.
    pub fn covers_until(
        &self,
        primary: Option<&InstanceName>,
        evidence: Instant,
        lifetime: Duration,
    ) -> Instant {
        match primary.and_then(|primary| self.processes.get(primary)) {
            Some(process) => process.covers_until(evidence, lifetime),
            None => evidence + lifetime,
        }
    }

    /// Whether a replacement check is all that is missing for the evidence to cover arrivals until
    /// `moment`, and the replicas have had time to respond.
    pub fn lacks_only_replacement_check(
        &self,
        instance: &InstanceName,
        group: Replication,
        lifetime: Duration,
        moment: Instant,
        now: Instant,
    ) -> bool {
        let Some(term) = self.current_led_term_of(instance) else { return false };
        let queried_at = self.evidence.newest();
        let waited =
            queried_at.is_some_and(|queried_at| now >= queried_at + REPLICA_RESPONSE_TIMEOUT);
        let lead = Lead { instance, term };
        let evidence = self.evidence.would_cover_until(lead, group, Duration::ZERO);
        let until = evidence.map(|at| self.covers_until(Some(instance), at, lifetime));
        waited && until.is_some_and(|until| moment <= until)
    }
}
