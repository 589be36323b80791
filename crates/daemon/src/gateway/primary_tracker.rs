//! Follows who leads a group whose primary the proxy replaces: work on an old primary is given up,
//! and what waits for it goes back to its front.

use std::collections::HashSet;

use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::promotion::Reason;

use super::server::Purpose;
use super::{Gateway, GroupGateway};
use crate::event::Io;

/// Who led a group when it was last looked at.
#[derive(Debug, Default)]
pub struct PrimaryTracker {
    primary: Option<InstanceName>,
    /// Instances whose work was given up, because they are being replaced.
    abandoned: HashSet<InstanceName>,
}

/// What becomes of the work on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OldPrimaryStep {
    /// What waits goes back to its front.
    GiveBack,
    /// So it does, and what is under way is given up.
    GiveUp,
}

impl PrimaryTracker {
    /// What to do about which instance, now that `primary` leads and `intent` is recorded.
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
        let Some((reason, Some(former))) = intent else {
            self.abandoned.clear();
            return steps;
        };
        if self.abandoned.insert(former.clone()) {
            let step = match reason {
                Reason::Leaving => OldPrimaryStep::GiveBack,
                Reason::Suspected | Reason::Missing | Reason::Unfinished => OldPrimaryStep::GiveUp,
            };
            steps.push((former.clone(), step));
        }
        steps
    }
}

impl Gateway {
    /// Looks who leads each group whose primary the proxy replaces.
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
            let followed = state.primary_tracker.next_steps(primary, intent);
            steps.extend(followed.into_iter().map(|(one, step)| (name.clone(), one, step)));
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
        log::info!(event = "primary_left", group = group.as_str(), instance = instance.as_str(), step:? = step; "work on the old primary ends");
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
