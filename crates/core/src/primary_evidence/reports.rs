//! The reports of a replica that may be evidence.

use std::time::Instant;

use crate::position::Term;

/// A report of a replica, which shows that it was not stopped above a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReplicaReport {
    pub(super) term: Term,
    /// When the query was sent.
    pub(super) queried_at: Instant,
    /// When the answer arrived.
    pub(super) answered: Instant,
}

/// Who makes a replacement check. One check of each kind may be in progress at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckSource {
    /// The store.
    Store,
    /// The other nodes.
    Nodes,
}

/// Something that is kept for the check in progress of each source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PerCheck<T> {
    pub(super) store: T,
    pub(super) nodes: T,
}

impl<T> PerCheck<T> {
    pub(super) fn of(&mut self, source: CheckSource) -> &mut T {
        match source {
            CheckSource::Store => &mut self.store,
            CheckSource::Nodes => &mut self.nodes,
        }
    }
}

/// The newest report of a replica, and earlier ones that the replacement checks in progress can
/// confirm.
///
/// A check confirms only reports that were answered near its begin. While statements or commits wait
/// for its result, the replica is queried again, so that its newest report is usually too new by the
/// time at which the result arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecentReports {
    newest: ReplicaReport,
    /// The last report before `newest` that each check in progress can confirm.
    for_checks: PerCheck<Option<ReplicaReport>>,
}

impl RecentReports {
    pub(super) fn new(report: ReplicaReport) -> Self {
        Self { newest: report, for_checks: PerCheck::default() }
    }

    pub(super) fn newest(&self) -> &ReplicaReport {
        &self.newest
    }

    /// Adds a report, unless a newer one is known. Each check in progress confirms reports that were
    /// answered by its limit.
    pub(super) fn add(&mut self, report: ReplicaReport, check_limits: PerCheck<Option<Instant>>) {
        if report.queried_at < self.newest.queried_at {
            return;
        }
        let replaced = std::mem::replace(&mut self.newest, report);
        if replaced.term != report.term {
            // The earlier reports no longer hold.
            self.for_checks = PerCheck::default();
            return;
        }
        let is_within =
            |limit: Option<Instant>| limit.is_some_and(|limit| replaced.answered <= limit);
        if is_within(check_limits.store) {
            self.for_checks.store = Some(replaced);
        }
        if is_within(check_limits.nodes) {
            self.for_checks.nodes = Some(replaced);
        }
    }

    /// Another check begins, which confirms the newest report.
    pub(super) fn on_check_started(&mut self, source: CheckSource) {
        *self.for_checks.of(source) = None;
    }

    /// The most recently queried report of those that a condition accepts.
    pub(super) fn newest_of(
        &self,
        accepts: impl Fn(&ReplicaReport) -> bool,
    ) -> Option<&ReplicaReport> {
        let PerCheck { store, nodes } = &self.for_checks;
        [Some(&self.newest), store.as_ref(), nodes.as_ref()]
            .into_iter()
            .flatten()
            .filter(|report| accepts(report))
            .max_by_key(|report| report.queried_at)
    }
}
