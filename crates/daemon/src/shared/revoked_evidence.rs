//! Which nodes have revoked their evidence of a primary that this node replaces, and what they know
//! of restarted instances.
//!
//! A coordinator has to wait until all evidence of the old primary has expired, unless every node
//! has reported that it revoked its evidence.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::{ReplacementId, RestartReport, RestartReports};

/// The nodes' reports by group, for the newest replacement of each group.
#[derive(Debug, Default)]
pub struct RevokedEvidence {
    groups: Mutex<HashMap<GroupName, (ReplacementId, RestartReports)>>,
}

impl RevokedEvidence {
    /// Records that a node has revoked its evidence for the replacement `id`, and what it knows.
    pub fn add(
        &self,
        group: &GroupName,
        id: ReplacementId,
        node: &NodeName,
        report: RestartReport,
        received_at: Instant,
    ) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let reports =
            groups.entry(group.clone()).or_insert_with(|| (id, RestartReports::default()));
        if reports.0 < id {
            *reports = (id, RestartReports::default());
        }
        if reports.0 == id {
            reports.1.add(node, report, received_at);
        }
    }

    /// The reports for the replacement `id`.
    pub fn for_replacement(&self, group: &GroupName, id: ReplacementId) -> Option<RestartReports> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let reports = groups.get(group).filter(|(newest, _)| *newest == id);
        reports.map(|(_, reports)| reports.clone())
    }
}
