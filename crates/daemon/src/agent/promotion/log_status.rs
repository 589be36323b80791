//! What this node knows about the logs of the instances: which instances have ended or restarted,
//! and which hold every acknowledged commit. Queries the instances where that is open, and reports
//! it to the coordinators of primary replacements.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::promotion::{Intent, KnownInstances, RestartReport};
use kestrellock_store::control::ControlTarget;

use super::ReplacementServices;
use super::status_queries::{ASSESSMENT_LIFETIME, QueryOutcome, StatusQueries, StatusReport};
use crate::context::NodeContext;

/// Shortest time between two queries to one instance for the commits of ended ones; their interval
/// is decided in `KnownInstances`.
const MIN_COVERAGE_QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// The known instances of all groups, and the status queries about their logs.
pub(super) struct LogStatus {
    known: KnownInstances,
    /// Queries to restarted instances and their primaries.
    refill_queries: StatusQueries,
    /// Queries about the commits of ended instances.
    coverage_queries: StatusQueries,
    started_at: Instant,
}

impl LogStatus {
    /// Starts without knowledge.
    pub fn new() -> Self {
        Self {
            known: KnownInstances::default(),
            refill_queries: StatusQueries::new(ASSESSMENT_LIFETIME),
            coverage_queries: StatusQueries::new(MIN_COVERAGE_QUERY_INTERVAL),
            started_at: Instant::now(),
        }
    }

    /// The known instances.
    pub fn known(&self) -> &KnownInstances {
        &self.known
    }

    /// Processes a newly activated catalog.
    pub fn apply_catalog(&mut self, catalog: &IndexedCatalog, now: Instant) {
        self.known.apply_catalog(catalog, now);
    }

    /// Applies the time that has passed since the last step.
    pub fn advance_time(&mut self, now: Instant) {
        self.known.advance_time(now);
    }

    /// Processes the outcomes of this node's queries, and those of other queries to instances.
    pub fn process_reports(&mut self, others: Vec<StatusReport>, now: Instant) {
        let own = self.refill_queries.step(now).into_iter().chain(self.coverage_queries.step(now));
        for report in others.into_iter().chain(own) {
            let (group, instance) = &report.subject;
            match report.outcome {
                QueryOutcome::Status(status) => {
                    self.known.on_status(group, instance, &status, report.sent_at);
                }
                QueryOutcome::Ended => self.known.on_ended(group, instance, now),
            }
        }
    }

    /// Queries the instances of the groups that this node owns, where the state of their logs is
    /// open. Other nodes send no requests to them; they would only take up their connections.
    pub fn query<'a>(
        &mut self,
        owned: impl Iterator<Item = &'a GroupName>,
        context: &NodeContext,
        services: &ReplacementServices,
        now: Instant,
    ) {
        for group in owned {
            if !self.known.has_status_targets(group) {
                continue;
            }
            self.known.on_answered_positions(group, &context.statuses.answered_positions(group));
            let highest = context.statuses.highest_led_term(group);
            for instance in self.known.refill_status_targets(group) {
                let Some(target) = self.target(group, &instance) else { continue };
                self.refill_queries.query(target, highest, services);
            }
            for instance in self.known.take_coverage_targets(group, now) {
                let Some(target) = self.target(group, &instance) else { continue };
                self.coverage_queries.query(target, highest, services);
            }
        }
    }

    /// Where to send a query or command to an instance.
    pub fn target(&self, group: &GroupName, instance: &InstanceName) -> Option<ControlTarget> {
        let address = self.known.address(group, instance)?;
        Some(ControlTarget { group: group.clone(), instance: instance.clone(), address })
    }

    /// This node's report to the coordinator that replaces the primary of a group.
    pub fn report(
        &self,
        group: &GroupName,
        intent: &Intent,
        context: &NodeContext,
        now: Instant,
    ) -> RestartReport {
        let accepts_commits = intent.former.as_ref().is_none_or(|old_primary| {
            context.replacements.may_acknowledge_commit(group, old_primary, now)
        });
        // Read after it is known that no more commits are acknowledged, to include all that were.
        let answered = context.statuses.answered_primary(group);
        let report = self.known.restart_report(group, answered.highest());
        RestartReport {
            has_ended_commits: !accepts_commits,
            position_age: answered.sample_age(report.primary_position, now),
            uptime: now.saturating_duration_since(self.started_at),
            accepts_commit_loss: context.accepts_commit_loss(group),
            ..report
        }
    }
}
