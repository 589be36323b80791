//! What this node knows of the status of instances, and the evidence about each group's primary.
//!
//! The fronts and gateways of all shards record here what instances answer, so that one shard's
//! exchange with an instance is evidence for statements of all others. The decisions are made in
//! `core::primary_evidence`, `core::primary_samples` and `core::suspicion`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use crossbeam::sync::ShardedLock;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::{CheckSource, NewestEvidence, ReplicaTerms};
use kestrellock_core::primary_samples::PositionReport;
use kestrellock_core::promotion::{Intent, higher_position};
use kestrellock_core::routing::{InstanceStatus, Role};
use kestrellock_core::suspicion::HealthSignals;
use kestrellock_protocol::backend::Report;

pub use super::commit_evidence::{CommitConfirmation, CommitTimes, EvidenceScope, UncoveredAnswer};
use super::exchange_record::ExchangeRecord;
pub use super::exchange_record::{ConnectionOutcome, ExchangeResponse};
pub use super::group_statuses::{GroupStatuses, KnownStatus};

/// Newest status of every known instance, with a lock for each group.
#[derive(Debug, Default)]
pub struct StatusTable {
    groups: ShardedLock<HashMap<GroupName, Arc<ShardedLock<GroupStatuses>>>>,
}

impl StatusTable {
    /// The statuses of a group, which are created if they do not exist.
    pub fn group(&self, name: &GroupName) -> Arc<ShardedLock<GroupStatuses>> {
        const POISONED: &str = "a thread panicked while it held the status lock";
        if let Some(found) = self.groups.read().expect(POISONED).get(name) {
            return found.clone();
        }
        self.groups.write().expect(POISONED).entry(name.clone()).or_default().clone()
    }

    /// Calls `change` with the statuses of a group, under their write lock.
    pub(super) fn with_group(&self, group: &GroupName, change: impl FnOnce(&mut GroupStatuses)) {
        let statuses = self.group(group);
        change(&mut statuses.write().expect("a thread panicked while it held the status lock"));
    }

    /// Records that an exchange was sent to an instance; `commits` says whether it may commit.
    /// Returns its number.
    pub fn on_sent(&self, group: &GroupName, instance: &InstanceName, commits: bool) -> u64 {
        let mut number = 0;
        self.with_group(group, |known| {
            let record = known.exchange_records.entry(instance.clone()).or_default();
            number = record.on_sent(Instant::now(), commits);
        });
        number
    }

    /// Records the end of an exchange with an instance, with its response if there was one.
    pub fn on_ended(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        number: u64,
        response: Option<ExchangeResponse>,
    ) {
        self.with_group(group, |known| {
            let record = known.exchange_records.entry(instance.clone()).or_default();
            record.on_ended(number, response.as_ref());
            let Some(response) = response else { return };
            known.highest_commit = higher_position(known.highest_commit, response.commit_position);
            if let (Some(Role::Primary), Some(position)) = (response.role, response.position) {
                let led_term = record.current_led_term();
                known.primary_samples.record(PositionReport {
                    instance,
                    position,
                    led_term,
                    is_read_only: response.is_read_only,
                    may_be_earlier: response.continues_transaction,
                    queried_at: response.sent,
                    answered_at: response.completed_at,
                });
            }
        });
    }

    /// Records the outcome of a connection to an instance.
    pub fn on_connection(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        outcome: ConnectionOutcome,
    ) {
        self.with_group(group, |known| {
            known.exchange_records.entry(instance.clone()).or_default().on_connection(outcome);
        });
    }

    /// Drops the evidence of a group after a connection to it broke: the process that gave the
    /// evidence may have terminated.
    pub fn forget_evidence(&self, group: &GroupName) {
        self.with_group(group, |known| known.evidence.discard());
    }

    /// Whether the instance has refused connections since it last accepted one.
    pub fn is_known_to_refuse(&self, group: &GroupName, instance: &InstanceName) -> bool {
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        known.exchange_records.get(instance).is_some_and(ExchangeRecord::refuses_connections)
    }

    /// Records that an instance answered a request that was sent at `sent` on a connection that was
    /// established at `established`.
    pub fn on_process_seen(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        established: Instant,
        sent: Instant,
    ) {
        let statuses = self.group(group);
        let is_news = {
            let known = statuses.read().expect("a thread panicked while it held the status lock");
            let process = known.processes.get(instance);
            process.is_none_or(|process| process.is_news(established, sent))
        };
        if is_news {
            self.with_group(group, |known| {
                let process = known.processes.entry(instance.clone()).or_default();
                process.on_seen(established, sent);
            });
        }
    }

    /// Records that the process of an instance may have ended, because the instance closed a
    /// connection.
    pub fn on_process_ended(&self, group: &GroupName, instance: &InstanceName) {
        self.with_group(group, |known| {
            known.exchange_records.entry(instance.clone()).or_default().on_lead_in_doubt();
        });
    }

    /// Records the instances in a list of a group that was requested at `requested_at`.
    pub fn on_instances_listed(
        &self,
        group: &GroupName,
        listed: BTreeSet<InstanceName>,
        requested_at: Instant,
    ) {
        self.with_group(group, |known| known.evidence.on_instances_listed(listed, requested_at));
    }

    /// Records the incarnation of an instance that the platform reports. State of an earlier
    /// incarnation is dropped.
    pub fn on_incarnation(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        incarnation: InstanceIncarnation,
    ) {
        let statuses = self.group(group);
        let is_known = {
            let known = statuses.read().expect("a thread panicked while it held the status lock");
            let record = known.exchange_records.get(instance);
            record.is_some_and(|record| record.incarnation() == Some(incarnation))
        };
        if is_known {
            return;
        }
        self.with_group(group, |known| {
            let record = known.exchange_records.entry(instance.clone()).or_default();
            if record.on_incarnation(incarnation) {
                known.evidence.on_restart(instance);
                log::info!(event = "instance_started_again", group = group.as_str(), instance = instance.as_str(); "an instance has restarted; its earlier state is dropped");
            }
        });
    }

    /// When the requests for the newest evidence of a group were sent.
    pub fn newest_evidence(&self, group: &GroupName) -> NewestEvidence {
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        known.evidence.newest_by_source()
    }

    /// Records that, as the store shows, an instance of the group has led `term`.
    pub fn on_led(&self, group: &GroupName, term: Term) {
        self.with_group(group, |known| known.evidence.on_term_led(term));
    }

    /// Revokes the evidence of groups with an active intent, and allows evidence again for all
    /// others.
    pub fn follow_replacements(&self, intents: &BTreeMap<GroupName, Intent>) {
        let groups: Vec<GroupName> = self
            .groups
            .read()
            .expect("a thread panicked while it held the status lock")
            .keys()
            .cloned()
            .collect();
        for group in groups.iter().chain(intents.keys()) {
            self.with_group(group, |known| match intents.get(group) {
                Some(intent) => known.evidence.revoke(intent.id),
                None => known.evidence.end_revocation(),
            });
        }
    }

    /// Records the replication status that an instance reported to a query sent at `queried_at`.
    pub fn on_replication_status(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        report: &Report,
        queried_at: Instant,
    ) {
        let term = report.flushed.term;
        let following = ReplicaTerms { term, min_term: report.min_term };
        self.with_group(group, |known| {
            let record = known.exchange_records.entry(instance.clone()).or_default();
            record.on_replication_status(report.role, term);
            if report.role == Role::Primary {
                let answered = Instant::now();
                known.evidence.on_primary_report(instance, term, queried_at, answered);
            }
            if report.role == Role::Replica {
                known.evidence.on_replica_report(instance, following, queried_at, Instant::now());
            }
        });
    }

    /// Unresponsive instances for which a status query is due. The queries are recorded as sent, so
    /// each instance is due again after an interval.
    pub fn take_due_status_queries(&self, group: &GroupName, now: Instant) -> Vec<InstanceName> {
        let statuses = self.group(group);
        let is_due = {
            let known = statuses.read().expect("a thread panicked while it held the status lock");
            known.exchange_records.values().any(|record| record.is_status_query_due(now))
        };
        if !is_due {
            return Vec::new();
        }
        let mut known = statuses.write().expect("a thread panicked while it held the status lock");
        let due =
            known.exchange_records.iter_mut().filter(|(_, record)| record.is_status_query_due(now));
        let queried = due.map(|(instance, record)| {
            record.on_status_query(now);
            instance.clone()
        });
        queried.collect()
    }

    /// Records that a replacement check of the group begins.
    pub fn on_check_started(&self, group: &GroupName, source: CheckSource, started_at: Instant) {
        self.with_group(group, |known| known.evidence.on_check_started(source, started_at));
    }

    /// Records the result of a replacement check: the store confirmed at `queried_at` that no
    /// replacement of the primary that this node uses was running.
    pub fn on_replacement_check(&self, group: &GroupName, queried_at: Instant) {
        self.with_group(group, |known| known.evidence.on_no_replacement(queried_at));
    }

    /// Keeps the claim that the newest reports of the group yield about `primary`
    /// ([`PrimaryEvidence::renew_claim`]).
    ///
    /// [`PrimaryEvidence::renew_claim`]: kestrellock_core::primary_evidence::PrimaryEvidence::renew_claim
    pub fn renew_claim(&self, group: &GroupName, primary: &InstanceName, scope: EvidenceScope) {
        self.with_group(group, |known| known.renew_claim(primary, scope));
    }

    /// Keeps the claim that reports and a replacement check yield about `primary`
    /// ([`PrimaryEvidence::keep_checked_claim`]).
    ///
    /// [`PrimaryEvidence::keep_checked_claim`]: kestrellock_core::primary_evidence::PrimaryEvidence::keep_checked_claim
    pub fn keep_checked_claim(
        &self,
        group: &GroupName,
        primary: &InstanceName,
        scope: EvidenceScope,
    ) {
        self.with_group(group, |known| known.keep_checked_claim(primary, scope));
    }

    /// Signs of an instance's health from this node's exchanges with it.
    pub fn signs(&self, group: &GroupName, instance: &InstanceName) -> HealthSignals {
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        let signs =
            known.exchange_records.get(instance).map(ExchangeRecord::signs).unwrap_or_default();
        let is_outdated = known.evidence.is_outdated(known.led_term_of(instance));
        HealthSignals { last_commit: known.last_commit, is_outdated, ..signs }
    }

    /// Highest term that the instance has been shown to lead.
    pub fn led_term_of(&self, group: &GroupName, instance: &InstanceName) -> Option<Term> {
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        known.led_term_of(instance)
    }

    /// Highest term of a group that an instance is known to have led.
    pub fn highest_led_term(&self, group: &GroupName) -> Term {
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        let terms = known.exchange_records.values().filter_map(ExchangeRecord::term);
        terms.max().unwrap_or_default().max(known.evidence.highest_led())
    }

    /// Highest known term of a group.
    pub fn highest_term(&self, group: &GroupName) -> Term {
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        let terms = known.exchange_records.values().filter_map(ExchangeRecord::term);
        terms.max().unwrap_or_default().max(known.evidence.term())
    }

    /// Updates the statuses of instances of a group.
    pub fn update(&self, group: &GroupName, statuses: impl IntoIterator<Item = InstanceStatus>) {
        let shared = self.group(group);
        let mut known_statuses =
            shared.write().expect("a thread panicked while it held the status lock");
        for mut status in statuses {
            // Only the owner of an instance knows its queue. Other gateways probe the instance too,
            // and their statuses must not clear the queue wait.
            let known = known_statuses
                .instances
                .get(&status.instance)
                .and_then(|known| known.status.queue_wait);
            status.queue_wait = status.queue_wait.or(known);
            let received = Instant::now();
            known_statuses
                .instances
                .insert(status.instance.clone(), KnownStatus { status, received });
        }
    }
}
