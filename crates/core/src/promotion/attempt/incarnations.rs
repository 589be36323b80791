//! Decides which instances still have their logs.
//!
//! A restarted instance has lost the log that it had received. The coordinator's copy of the store
//! may not show the restart yet, so the store is read again once enough replicas have been stopped.
//! An instance that reports a lower position than before has lost its log, whatever the store
//! shows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::Attempt;
use crate::ids::InstanceName;
use crate::incarnation::InstanceIncarnation;
use crate::position::Position;
use crate::promotion::{CombinedReport, Command, Member, ObservedRestart, ReplicationStatus};

/// Time after which an attempt no longer waits for an answer of the store. Store requests time out
/// earlier.
const STORE_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// What is known about restarts, in addition to the members' entries.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownIncarnations {
    /// The incarnations that the store returned last.
    stored: BTreeMap<InstanceName, InstanceIncarnation>,
    /// When the request was sent that the store last answered.
    requested_at: Option<Instant>,
    /// When the last request was sent, if the store has not answered it.
    pending_since: Option<Instant>,
    /// When a request last failed.
    failed_at: Option<Instant>,
    /// Instances that reported a lower position than before while they were stopped.
    regressed: BTreeSet<InstanceName>,
    /// Incarnations in which nodes have seen an instance receive everything again.
    refilled: BTreeMap<InstanceName, InstanceIncarnation>,
    /// The combined reports of all nodes.
    combined_report: Option<CombinedReport>,
}

impl KnownIncarnations {
    /// The store answered a request that was sent at `requested_at`.
    pub fn on_stored(
        &mut self,
        stored: BTreeMap<InstanceName, InstanceIncarnation>,
        requested_at: Instant,
    ) {
        self.stored = stored;
        self.requested_at = self.requested_at.max(Some(requested_at));
        self.pending_since = None;
    }

    /// The store did not answer.
    pub fn on_unavailable(&mut self, now: Instant) {
        self.pending_since = None;
        self.failed_at = Some(now);
    }

    /// A node has seen an instance receive everything again after a restart.
    pub fn on_refilled(&mut self, refilled: ObservedRestart) {
        self.refilled.insert(refilled.instance, refilled.incarnation);
    }

    /// All nodes have sent their reports.
    pub fn on_combined_report(&mut self, report: CombinedReport) {
        self.combined_report = Some(report);
    }

    /// A stopped instance that had reported the position `before` reports `now`.
    pub fn on_position(&mut self, instance: &InstanceName, before: Position, now: Position) {
        if (now.term, now.offset) < (before.term, before.offset) {
            self.regressed.insert(instance.clone());
        }
    }
}

impl Attempt {
    /// Whether the store has answered a request that was sent after enough replicas were stopped.
    /// If not, a request is sent, unless one is pending.
    pub(super) fn has_current_incarnations(
        &mut self,
        now: Instant,
        commands: &mut Vec<Command>,
    ) -> bool {
        let since = self.stopped_since.unwrap_or(now);
        if self.incarnations.requested_at.is_some_and(|requested_at| requested_at >= since) {
            return true;
        }
        let delay = self.timing.store_retry_interval;
        let is_early = self.incarnations.failed_at.is_some_and(|failed| now < failed + delay);
        let is_waiting = self
            .incarnations
            .pending_since
            .is_some_and(|requested_at| now < requested_at + STORE_REQUEST_TIMEOUT);
        if !is_waiting && !is_early {
            self.incarnations.pending_since = Some(now);
            commands.push(Command::ReadIncarnations);
        }
        false
    }

    /// Whether an instance's position can be compared: it still has every commit that it received,
    /// or has received again what it lost, or all instances have lost their logs.
    pub(super) fn has_usable_log(&self, name: &InstanceName) -> bool {
        self.members
            .get(name)
            .is_some_and(|member| self.has_intact_log(member) || self.all_logs_lost())
    }

    /// Marks an instance whose restart all nodes have observed as refilled once it has received the
    /// log up to the highest position that any node knows: no node has acknowledged a commit beyond
    /// that position.
    pub(super) fn compare_with_combined_report(
        &mut self,
        instance: &InstanceName,
        status: &ReplicationStatus,
    ) {
        let Some(report) = &self.incarnations.combined_report else { return };
        let member = self.members.get(instance);
        let Some(incarnation) = member.and_then(|member| member.incarnation) else { return };
        let restart = ObservedRestart { instance: instance.clone(), incarnation };
        let received = (status.received.term, status.received.offset);
        let has_received =
            received >= (report.highest_position.term, report.highest_position.offset);
        if has_received && report.started_again.contains(&restart) {
            self.incarnations.on_refilled(restart);
        }
    }

    /// How many instances still have their logs, whether they can be reached or not.
    pub(super) fn usable_log_count(&self) -> usize {
        let may_run = |member: &&Member| !self.has_ended(member);
        let left = self.members.all.iter().filter(may_run);
        left.filter(|member| self.has_usable_log(&member.name)).count()
    }

    /// Whether all instances have lost their logs. The lost commits cannot be recovered by waiting.
    fn all_logs_lost(&self) -> bool {
        !self.members.all.iter().any(|member| self.has_intact_log(member))
    }

    fn has_intact_log(&self, member: &Member) -> bool {
        let stored = self.incarnations.stored.get(&member.name);
        let is_same_incarnation = stored.is_none_or(|stored| member.incarnation == Some(*stored));
        let refilled = self.incarnations.refilled.get(&member.name).copied();
        let is_refilled = refilled.is_some() && refilled == member.incarnation;
        let is_complete = !member.is_refilling || is_refilled;
        let is_known_start = is_refilled || !self.has_restarted_since_report(member);
        let has_regressed = self.incarnations.regressed.contains(&member.name);
        is_same_incarnation && is_complete && is_known_start && !has_regressed
    }
}
