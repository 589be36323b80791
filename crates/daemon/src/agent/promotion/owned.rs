//! The groups that this node owns, collected when the owners change and not at each step.

use std::sync::Arc;

use kestrellock_core::ids::GroupName;

use crate::context::NodeContext;
use crate::ownership::OwnershipSnapshot;

/// The groups that this node is an owner of.
#[derive(Debug, Default)]
pub(super) struct OwnedGroups {
    owners: Arc<OwnershipSnapshot>,
    groups: Arc<[GroupName]>,
}

impl OwnedGroups {
    /// The groups by the current owners.
    pub fn refresh(&mut self, context: &NodeContext) -> Arc<[GroupName]> {
        let owners = context.ownerships();
        if !Arc::ptr_eq(&owners, &self.owners) {
            self.groups = owners.owned_by(&context.identity.node).cloned().collect();
            self.owners = owners;
        }
        self.groups.clone()
    }
}
