//! The running replacements that one node knows of, from the store and from the coordinator.
//!
//! A node that cannot reach the store would continue to use the old primary. So the coordinator
//! also notifies the nodes that serve the group directly, and repeats the notification until the
//! replacement has finished.
//!
//! If the notifications end without that of the end, the coordinator may have failed before it
//! stopped a replica, or after it had an instance promoted. The node returns to the old primary, so
//! that writes continue in the first case. It sends a write to the old primary only with evidence
//! that covers it, and acknowledges its commit only once replicas that were queried after the answer
//! confirm it ([`KnownReplacements::needs_confirmation`]), until it learns how the replacement
//! ended: from a newer copy of the store, or from a coordinator. Newer is a copy that was requested
//! from the store after the last notification arrived. When a copy arrives says nothing: its answer
//! may have been under way for longer than the notification, and an answer without changes counts
//! only once a later one confirms it. If a replica does not answer
//! meanwhile, no writes are served at this node.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Intent, Reason, ReplacementId, Timing};
use crate::ids::{GroupName, InstanceName};

/// Interval between two notifications of a replacement to one node.
pub const NOTIFY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a replacement that the store does not show counts as running after the coordinator's
/// last notification: the coordinator may have failed. Longer if a promotion is known to have been
/// possible ([`KnownReplacements::expire`]).
const NOTIFICATION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long acknowledgements of the old primary are still accepted once its replicas are being
/// stopped, since acknowledgements that it sent before that are still in transit. Half of the
/// shortest time that a coordinator waits before it checks the replicas for the last time, so that
/// no commit is acknowledged through a replica that has lost its stop since then.
const COMMIT_GRACE_PERIOD: Duration = Duration::from_millis(50);

/// The coordinator's last notification of a replacement.
#[derive(Clone, Debug)]
struct Notification {
    intent: Intent,
    /// When the node received it.
    at: Instant,
}

impl Notification {
    /// Whether a copy of the store that was requested then may lack the intent.
    fn is_newer_than(&self, requested_at: Option<Instant>) -> bool {
        requested_at.is_none_or(|requested_at| requested_at <= self.at)
    }
}

/// When a replacement began.
#[derive(Clone, Copy, Debug)]
struct Started {
    id: ReplacementId,
    /// When the coordinator learned that the intent was recorded, after which it begins. Without a
    /// notification, when this node first learned of the replacement.
    at: Instant,
    /// Whether the time is from a notification of the coordinator.
    from_coordinator: bool,
}

/// The replacements that one node knows of.
#[derive(Clone, Debug, Default)]
pub struct KnownReplacements {
    in_store: BTreeMap<GroupName, Intent>,
    notified: BTreeMap<GroupName, Notification>,
    /// Notified replacements that have expired while it was not known whether they had ended.
    unresolved: BTreeMap<GroupName, Notification>,
    /// When the newest replacement of each group began.
    started: BTreeMap<GroupName, Started>,
    /// The newest replacement of each group that is known to have finished.
    finished: BTreeMap<GroupName, ReplacementId>,
    /// When the newest copy of the store was requested.
    copy_requested_at: Option<Instant>,
}

impl KnownReplacements {
    /// Processes the intents in a copy of the store that arrived at `now` and was requested at
    /// `requested_at`; `None` if it is no evidence that another intent has ended.
    pub fn update_from_store(
        &mut self,
        intents: &BTreeMap<GroupName, Intent>,
        requested_at: Option<Instant>,
        now: Instant,
    ) {
        let removed: Vec<(GroupName, ReplacementId)> = self
            .in_store
            .iter()
            .filter(|(group, known)| intents.get(*group).is_none_or(|intent| intent.id > known.id))
            .map(|(group, known)| (group.clone(), known.id))
            .collect();
        for (group, id) in removed {
            self.on_finished(&group, id);
        }
        for (group, intent) in intents {
            let started = Started { id: intent.id, at: now, from_coordinator: false };
            self.record_start(group, started);
        }
        self.in_store.clone_from(intents);
        self.copy_requested_at = self.copy_requested_at.max(requested_at);
        let requested_at = self.copy_requested_at;
        // While the store shows a replacement, commits that were sent before this copy arrived still
        // need confirmation.
        self.unresolved.retain(|group, notification| {
            notification.is_newer_than(requested_at) || intents.contains_key(group)
        });
    }

    /// When the newest copy of the store was requested.
    pub fn store_copy_requested_at(&self) -> Option<Instant> {
        self.copy_requested_at
    }

    /// The coordinator notifies this node that a replacement is running, and that it learned `age`
    /// ago that the intent was recorded.
    pub fn on_notification(
        &mut self,
        group: &GroupName,
        intent: Intent,
        age: Duration,
        now: Instant,
    ) {
        let has_finished = self.finished.get(group).is_some_and(|over| intent.id <= *over);
        let is_outdated =
            self.notified.get(group).is_some_and(|notification| intent.id < notification.intent.id);
        if has_finished || is_outdated {
            return;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        self.record_start(group, Started { id: intent.id, at, from_coordinator: true });
        self.notified.insert(group.clone(), Notification { intent, at: now });
    }

    /// A replacement has finished, and so have the earlier ones of its group.
    pub fn on_finished(&mut self, group: &GroupName, id: ReplacementId) {
        let newest = self.finished.entry(group.clone()).or_insert(id);
        *newest = id.max(*newest);
        let newest = *newest;
        let is_running = |name: &GroupName, notification: &mut Notification| {
            name != group || notification.intent.id > newest
        };
        self.notified.retain(is_running);
        self.unresolved.retain(is_running);
    }

    /// Drops replacements of which the coordinator has sent no notification within
    /// `NOTIFICATION_TIMEOUT`. Returns whether there were any.
    ///
    /// A replacement that is known to have been about to promote an instance is kept until a newer
    /// copy of the store arrives: it ends with a successor even if its coordinator has failed, and a
    /// node that cannot reach the store would return to the old primary. Any other may have promoted
    /// an instance after the last notification, so commits of the old primary need confirmation.
    pub fn expire(&mut self, now: Instant) -> bool {
        let requested_at = self.copy_requested_at;
        let expired: Vec<(GroupName, Notification)> = self
            .notified
            .extract_if(.., |_, notification| {
                let may_have_promoted =
                    notification.intent.promoting && notification.is_newer_than(requested_at);
                !may_have_promoted && now >= notification.at + NOTIFICATION_TIMEOUT
            })
            .collect();
        let has_expired = !expired.is_empty();
        let unresolved = expired.into_iter().filter(|(_, expired)| {
            expired.is_newer_than(requested_at) && !expired.intent.called_off
        });
        self.unresolved.extend(unresolved);
        has_expired
    }

    /// Whether writes at `instance` need evidence as reads do, and its commits are acknowledged only
    /// once replicas that were queried after the answer confirm them: the notifications of its
    /// replacement have ended, and another instance may have been promoted. A commit that has not
    /// been confirmed is no evidence.
    pub fn needs_confirmation(&self, group: &GroupName, instance: &InstanceName) -> bool {
        self.unresolved
            .get(group)
            .is_some_and(|notification| notification.intent.former.as_ref() == Some(instance))
    }

    /// Whether any replacement of the group is known that is not known to have ended, including
    /// cancelled ones.
    pub fn knows_replacement(&self, group: &GroupName) -> bool {
        self.in_store.contains_key(group)
            || self.notified.contains_key(group)
            || self.unresolved.contains_key(group)
    }

    /// Whether it is not known how a replacement of the group's primary ended. A coordinator may
    /// still rely on this node's report that it has revoked its evidence.
    pub fn is_unresolved(&self, group: &GroupName) -> bool {
        self.unresolved.contains_key(group)
    }

    /// The intents of all running replacements, including cancelled ones.
    pub fn intents(&self) -> BTreeMap<GroupName, Intent> {
        let mut intents = self.in_store.clone();
        for (group, notification) in &self.notified {
            let is_newer = |shown: &Intent| notification.intent.id > shown.id;
            if intents.get(group).is_none_or(is_newer) {
                intents.insert(group.clone(), notification.intent.clone());
            }
        }
        intents
    }

    /// Whether a commit that `instance` acknowledged at `now` is accepted. It is rejected if the
    /// instance has been under replacement for so long that another instance without that commit
    /// may have been chosen.
    pub fn accepts_commit(&self, group: &GroupName, instance: &InstanceName, now: Instant) -> bool {
        let notification = self.notified.get(group).map(|notification| &notification.intent);
        let newest =
            self.in_store.get(group).into_iter().chain(notification).max_by_key(|intent| intent.id);
        let Some(intent) = newest.filter(|intent| !intent.called_off) else { return true };
        if intent.former.as_ref() != Some(instance) {
            return true;
        }
        let drain = match intent.reason {
            Reason::Leaving => Timing::default().drain_time,
            Reason::Suspected | Reason::Missing | Reason::Unfinished => Duration::ZERO,
        };
        let started = self.started.get(group).filter(|started| started.id == intent.id);
        started.is_none_or(|started| now <= started.at + drain + COMMIT_GRACE_PERIOD)
    }

    /// Records when a replacement began. A time from the coordinator takes precedence over the time
    /// at which this node learned of it. Of several notifications the earliest time counts, from
    /// the one with the lowest latency.
    fn record_start(&mut self, group: &GroupName, started: Started) {
        let known = self.started.entry(group.clone()).or_insert(started);
        let is_better = match (known.from_coordinator, started.from_coordinator) {
            (false, true) => true,
            (true, false) => false,
            _ => started.at < known.at,
        };
        if known.id < started.id || (known.id == started.id && is_better) {
            *known = started;
        }
    }
}
