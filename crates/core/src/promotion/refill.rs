//! An instance that has started again, and when it holds everything again.
//!
//! It lost what it had received, so a commit that it had let the primary answer may stand at the primary alone.
//! Whatever was answered by then the primary holds: once the instance has received as much as the primary had at
//! any time after the start, it holds that too. How long it has run says nothing: it may receive nothing, or
//! there may be no primary to receive from.

use std::time::Instant;

use super::ReplicationStatus;
use crate::position::{Position, Term};
use crate::routing::Role;

/// What an instance that has lost its log has to receive.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refill {
    /// When its start was first seen.
    seen: Instant,
    /// What the primary had received after that, and the term that it led.
    primary: Option<(Term, Position)>,
}

impl Refill {
    /// Its start has been seen.
    pub fn since(seen: Instant) -> Self {
        Self { seen, primary: None }
    }

    /// The primary was asked at `asked` how it stands. The first answer will do; one of a newer term replaces
    /// it, since commits of that term may have been answered before the start.
    pub fn on_primary(&mut self, standing: &ReplicationStatus, asked: Instant) {
        let is_newer = self.primary.is_none_or(|(term, _)| standing.term > term);
        if standing.role == Role::Primary && asked >= self.seen && is_newer {
            self.primary = Some((standing.term, standing.received));
        }
    }

    /// Whether the instance, by its own word, has received all of that from that primary.
    pub fn is_complete(&self, standing: &ReplicationStatus, asked: Instant) -> bool {
        let order = |position: Position| (position.term, position.offset);
        let has_received = |(term, received): (Term, Position)| {
            standing.term == term && order(standing.received) >= order(received)
        };
        standing.role == Role::Replica
            && asked >= self.seen
            && self.primary.is_some_and(has_received)
    }
}
