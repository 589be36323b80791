//! What an attempt knows about the old primary, and the commands that it sends there. Decides from
//! its answers whether it may still be primary or serve reads.

use std::time::Instant;

use super::{Attempt, RetriedCommand};
use crate::position::Position;
use crate::promotion::{Command, Reason, ReplicationStatus};
use crate::routing::Role;

/// What the old primary has reported.
#[derive(Clone, Debug, Default)]
pub(super) struct OldPrimaryState {
    /// When it last refused a connection.
    pub last_refused: Option<Instant>,
    /// Whether it last reported that it is a replica. It then counts as one of the replicas, and
    /// has every commit that it acknowledged.
    pub is_replica: bool,
    /// When the query was sent that it last answered.
    pub last_answered: Option<Instant>,
    /// The end of its log, as it last reported.
    pub received: Option<Position>,
    /// When the query or command was sent in answer to which it first reported that it is a
    /// replica.
    pub replica_since: Option<Instant>,
}

impl Attempt {
    /// Queries the old primary if it was chosen again. It has to report itself that it is primary,
    /// since the role that the platform shows may be from before it stepped down.
    pub(super) fn query_old_primary_if_chosen(
        &mut self,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let old_primary = self.intent.former.clone();
        if let Some(chosen) = old_primary.filter(|name| self.chosen.as_ref() == Some(name)) {
            self.send(&chosen, RetriedCommand::QueryStatus, now, commands, Command::QueryStatus);
        }
    }

    /// Whether the old primary has refused a connection since enough replicas were stopped.
    pub(super) fn old_primary_refuses_connections(&self) -> bool {
        let Some(stopped_since) = self.stopped_since else { return false };
        self.old_primary_state.last_refused.is_some_and(|refused| refused >= stopped_since)
    }

    /// The old primary reported its status in answer to a query or command that was sent at `sent`.
    pub(super) fn on_old_primary_status(&mut self, status: &ReplicationStatus, sent: Instant) {
        let is_replica = status.role == Role::Replica;
        self.old_primary_state.is_replica = is_replica;
        self.old_primary_state.received = Some(status.received);
        let since = self.old_primary_state.replica_since;
        self.old_primary_state.replica_since = is_replica.then(|| since.unwrap_or(sent));
        self.old_primary_state.last_answered = Some(sent);
        // An old primary that answers again no longer refuses connections.
        if self.old_primary_state.last_refused.is_some_and(|refused| sent > refused) {
            self.old_primary_state.last_refused = None;
        }
        if status.term >= self.stop_term && !self.has_chosen() {
            self.raise_stop_term();
        }
    }

    /// Whether the old primary may still be primary. If it has refused a connection after `since`,
    /// when the successor was known, it returns as a replica.
    pub(super) fn old_primary_may_lead(&self, since: Instant) -> bool {
        let old_primary = self.old_primary().and_then(|name| self.members.get(name));
        let is_down = self.old_primary_state.last_refused.is_some_and(|refused| refused >= since);
        // The platform does not show the role of an old primary whose entry has disappeared.
        let may_lead =
            old_primary.is_some_and(|member| member.leads || self.intent.reason == Reason::Missing);
        may_lead && !self.old_primary_state.is_replica && !is_down
    }

    pub(super) fn demote_old_primary(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let Some(old_primary) =
            self.intent.former.clone().filter(|_| !self.old_primary_state.is_replica)
        else {
            return;
        };
        self.demote(&old_primary, now, commands);
    }

    pub(super) fn query_old_primary(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if let Some(old_primary) = self.intent.former.clone() {
            self.send(
                &old_primary,
                RetriedCommand::QueryStatus,
                now,
                commands,
                Command::QueryStatus,
            );
        }
    }
}
