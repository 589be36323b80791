//! Which nodes have given their evidence of a primary up, so that whoever replaces it need not wait
//! for it to lapse, and what they have seen of instances that have started again.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::{ReplacementId, RestartReport, RestartReports};

/// What nodes have said by group, for the newest replacement of each.
#[derive(Debug, Default)]
pub struct EvidenceGivenUp {
    groups: Mutex<HashMap<GroupName, (ReplacementId, RestartReports)>>,
}

impl EvidenceGivenUp {
    /// A node has given its evidence up for the replacement with `id`, and says what it knows.
    pub fn add(
        &self,
        group: &GroupName,
        id: ReplacementId,
        node: &NodeName,
        witness: RestartReport,
    ) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let said = groups.entry(group.clone()).or_insert_with(|| (id, RestartReports::default()));
        if said.0 < id {
            *said = (id, RestartReports::default());
        }
        if said.0 == id {
            said.1.add(node, witness);
        }
    }

    /// What has been said for the replacement with `id`.
    pub fn for_replacement(&self, group: &GroupName, id: ReplacementId) -> Option<RestartReports> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let said = groups.get(group).filter(|(newest, _)| *newest == id);
        said.map(|(_, witnesses)| witnesses.clone())
    }
}
