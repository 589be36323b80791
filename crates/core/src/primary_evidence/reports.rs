//! The recent reports of a replica.

use std::time::{Duration, Instant};

use crate::position::Term;

/// Least time between the answers of two reports that are kept beside the newest one. A replacement
/// check confirms reports that were answered up to [`MIN_PROMOTION_TIME`](super::MIN_PROMOTION_TIME) after it began, so some of
/// those are always left.
const KEPT_INTERVAL: Duration = Duration::from_millis(50);
/// Number of reports that are kept. They reach back for 800 ms; a slower check confirms none.
const MAX_KEPT: usize = 16;

/// A report of a replica, which shows that it was not stopped above a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReplicaReport {
    pub(super) term: Term,
    /// When the query was sent.
    pub(super) queried_at: Instant,
    /// When the answer arrived.
    pub(super) answered: Instant,
}

/// The newest report of a replica and earlier ones for the same term.
///
/// A replacement check confirms only reports that were answered near its begin. While statements or
/// commits wait for its result, the replica is queried again, so that its newest report is usually
/// too new for the check that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecentReports {
    newest: ReplicaReport,
    /// In order of time.
    earlier: Vec<ReplicaReport>,
}

impl RecentReports {
    pub(super) fn new(report: ReplicaReport) -> Self {
        Self { newest: report, earlier: Vec::new() }
    }

    pub(super) fn newest(&self) -> &ReplicaReport {
        &self.newest
    }

    /// Adds a report, unless a newer one is known. A report for another term shows that the earlier
    /// ones no longer hold.
    pub(super) fn add(&mut self, report: ReplicaReport) {
        if report.queried_at < self.newest.queried_at {
            return;
        }
        if report.term != self.newest.term {
            *self = Self::new(report);
            return;
        }
        let replaced = std::mem::replace(&mut self.newest, report);
        let is_spaced = |last: &ReplicaReport| replaced.answered >= last.answered + KEPT_INTERVAL;
        if self.earlier.last().is_none_or(is_spaced) {
            self.earlier.push(replaced);
        }
        if self.earlier.len() >= MAX_KEPT {
            self.earlier.remove(0);
        }
    }

    /// The newest report of those that a condition accepts.
    pub(super) fn newest_of(
        &self,
        accepts: impl Fn(&ReplicaReport) -> bool,
    ) -> Option<&ReplicaReport> {
        let from_newest = std::iter::once(&self.newest).chain(self.earlier.iter().rev());
        from_newest.into_iter().find(|report| accepts(report))
    }
}
