//! Decides when a restarted instance has every acknowledged commit again.
//!
//! A restart loses the log that the instance had received, so a commit that the primary
//! acknowledged because this instance had received it may now exist on the primary only. The
//! primary has every commit that was acknowledged before the restart. So once the instance has
//! received the log up to a position that the primary reported after the restart, it has all of
//! those commits as well. The time since the restart proves nothing: the instance may receive
//! nothing, or there may be no primary to receive from.

use std::time::Instant;

use super::ReplicationStatus;
use crate::position::{Position, Term};
use crate::routing::Role;

/// What a restarted instance has to receive.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refill {
    /// When the restart was first seen.
    restart_seen: Instant,
    /// Term and position that the primary reported after that.
    primary: Option<(Term, Position)>,
}

impl Refill {
    /// Begins at the moment when the restart was seen.
    pub fn since(restart_seen: Instant) -> Self {
        Self { restart_seen, primary: None }
    }

    /// Processes a status that was requested at `queried_at` from another instance of the group.
    /// The first status of a primary after the restart suffices. A status of a newer term replaces
    /// it, since commits of that term may have been acknowledged before the restart.
    pub fn on_primary(&mut self, status: &ReplicationStatus, queried_at: Instant) {
        let is_newer = self.primary.is_none_or(|(term, _)| status.term > term);
        if status.role == Role::Primary && queried_at >= self.restart_seen && is_newer {
            self.primary = Some((status.term, status.received));
        }
    }

    /// Whether the instance reports that it has received everything from that primary.
    pub fn is_complete(&self, status: &ReplicationStatus, queried_at: Instant) -> bool {
        let order = |position: Position| (position.term, position.offset);
        let has_received = |(term, received): (Term, Position)| {
            status.term == term && order(status.received) >= order(received)
        };
        status.role == Role::Replica
            && queried_at >= self.restart_seen
            && self.primary.is_some_and(has_received)
    }
}
