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

/// The newest report of a replica, and an earlier one that a replacement check in progress can
/// confirm.
///
/// A check confirms only reports that were answered near its begin. While statements or commits wait
/// for its result, the replica is queried again, so that its newest report is usually too new by the
/// time at which the result arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecentReports {
    newest: ReplicaReport,
    /// The last report before `newest` that the check in progress can confirm.
    for_check: Option<ReplicaReport>,
}

impl RecentReports {
    pub(super) fn new(report: ReplicaReport) -> Self {
        Self { newest: report, for_check: None }
    }

    pub(super) fn newest(&self) -> &ReplicaReport {
        &self.newest
    }

    /// Adds a report, unless a newer one is known. A check in progress confirms reports that were
    /// answered by `check_limit`.
    pub(super) fn add(&mut self, report: ReplicaReport, check_limit: Option<Instant>) {
        if report.queried_at < self.newest.queried_at {
            return;
        }
        let replaced = std::mem::replace(&mut self.newest, report);
        if replaced.term != report.term {
            // The earlier reports no longer hold.
            self.for_check = None;
        } else if check_limit.is_some_and(|limit| replaced.answered <= limit) {
            self.for_check = Some(replaced);
        }
    }

    /// Another check begins, which confirms the newest report.
    pub(super) fn on_check_started(&mut self) {
        self.for_check = None;
    }

    /// The newest report of those that a condition accepts.
    pub(super) fn newest_of(
        &self,
        accepts: impl Fn(&ReplicaReport) -> bool,
    ) -> Option<&ReplicaReport> {
        [Some(&self.newest), self.for_check.as_ref()]
            .into_iter()
            .flatten()
            .find(|report| accepts(report))
    }
}
