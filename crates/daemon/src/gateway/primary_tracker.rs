//! Tracks the primaries of groups whose primary the proxy replaces.
//!
//! When a replacement begins, exchanges queued for the old primary are returned to their fronts.
//! Its open leases are ended too, unless the replacement is planned. Once another instance leads,
//! both happen in any case.

use std::collections::HashSet;

use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::promotion::Reason;

use super::server::Purpose;
use super::{Gateway, GroupGateway};
use crate::event::Io;

/// The last known primary of a group, and the old primaries that have been handled.
#[derive(Debug, Default)]
pub struct PrimaryTracker {
    primary: Option<InstanceName>,
    /// Instances that are being replaced and whose work has been returned or ended.
    abandoned: HashSet<InstanceName>,
}

/// What to do with the work on an old primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OldPrimaryStep {
    /// Return queued exchanges to their fronts.
    GiveBack,
    /// Return queued exchanges, and close the connections of open leases.
    GiveUp,
}

impl PrimaryTracker {
    /// The steps that become due now that `primary` leads and `intent` is recorded: the reason of
    /// the replacement and the primary that it replaces.
    fn next_steps(
        &mut self,
        primary: Option<&InstanceName>,
        intent: Option<(Reason, Option<&InstanceName>)>,
    ) -> Vec<(InstanceName, OldPrimaryStep)> {
        let mut steps = Vec::new();
        if let Some(primary) = primary
            && self.primary.as_ref() != Some(primary)
        {
            if let Some(old) = self.primary.replace(primary.clone()) {
                steps.push((old, OldPrimaryStep::GiveUp));
            }
            self.abandoned.clear();
        }
        let Some((reason, Some(old_primary))) = intent else {
            self.abandoned.clear();
            return steps;
        };
        if self.abandoned.insert(old_primary.clone()) {
            let step = match reason {
                Reason::Leaving => OldPrimaryStep::GiveBack,
                Reason::Suspected | Reason::Missing | Reason::Unfinished => OldPrimaryStep::GiveUp,
            };
            steps.push((old_primary.clone(), step));
        }
        steps
    }
}

impl Gateway {
    /// Checks the primary and the replacement intent of each group, and leaves old primaries.
    pub(super) fn track_primaries(&mut self, io: &mut Io) {
        if !io.context.protocol.traits().positions_in_answers {
            return;
        }
        let catalog = io.context.catalog.load();
        let intents = io.context.intents.load();
        let mut steps: Vec<(GroupName, InstanceName, OldPrimaryStep)> = Vec::new();
        for (name, state) in &mut self.groups {
            let Some(group) = catalog.groups.get(name) else { continue };
            let primary = io.context.leader(name, group).map(|instance| &instance.name);
            let intent = intents.get(name).map(|intent| (intent.reason, intent.former.as_ref()));
            let due = state.primary_tracker.next_steps(primary, intent);
            steps.extend(due.into_iter().map(|(instance, step)| (name.clone(), instance, step)));
        }
        for (group, instance, step) in steps {
            self.leave_old_primary(&group, &instance, step, io);
        }
    }

    fn leave_old_primary(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        step: OldPrimaryStep,
        io: &mut Io,
    ) {
        log::info!(event = "primary_left", group = group.as_str(), instance = instance.as_str(), step:? = step; "ending work on the old primary");
        if let Some(state) = self.groups.get_mut(group) {
            GroupGateway::return_queued(state, instance, io);
        }
        if step == OldPrimaryStep::GiveBack {
            return;
        }
        let used: Vec<usize> = self
            .servers
            .iter()
            .filter(|(_, server)| server.purpose == Purpose::Pooled && server.lease().is_some())
            .filter(|(_, server)| server.group == *group && server.instance == *instance)
            .map(|(key, _)| key)
            .collect();
        for key in used {
            self.on_server_lost(key, Fault::Superseded, io);
        }
    }
}
