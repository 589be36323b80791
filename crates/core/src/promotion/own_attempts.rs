//! The attempts that the coordinator of this process runs or has run, for nodes that ask whether a
//! primary is being replaced (`peer_checks`).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::ids::GroupName;

/// The attempts of one process, by group.
#[derive(Clone, Debug, Default)]
pub struct OwnAttempts {
    running: BTreeSet<GroupName>,
    /// When the last attempt of each group ended.
    ended: BTreeMap<GroupName, Instant>,
}

impl OwnAttempts {
    /// An attempt begins; nothing has been submitted to the store yet.
    pub fn begin(&mut self, group: &GroupName) {
        self.running.insert(group.clone());
    }

    /// The running attempt of a group has ended at `now`: it sends no more commands.
    pub fn end(&mut self, group: &GroupName, now: Instant) {
        if let Some(group) = self.running.take(group) {
            self.ended.insert(group, now);
        }
    }

    /// All running attempts have ended at `now`.
    pub fn end_all(&mut self, now: Instant) {
        let running = std::mem::take(&mut self.running);
        self.ended.extend(running.into_iter().map(|group| (group, now)));
    }

    /// Whether an attempt of a group runs, or has ended and left traces in the store that a copy
    /// lacks which was requested at `copy_requested_at`.
    pub fn may_be_unknown_to_copy(&self, group: &GroupName, copy_requested_at: Instant) -> bool {
        let has_ended_since = |ended: &Instant| copy_requested_at <= *ended;
        self.running.contains(group) || self.ended.get(group).is_some_and(has_ended_since)
    }
}
