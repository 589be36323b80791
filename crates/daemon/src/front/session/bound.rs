//! The session bound: the replication position that an instance must have reached to serve a read
//! of the session. It makes the session's reads see its own writes, and those of earlier sessions
//! of the client.
//!
//! A session keeps the bound of each group that it has used, because a change of the configuration
//! may lead it to another group and back. Where the bound of a group is not known, because an
//! earlier session of the client may have written there or because the session has used too many
//! groups since, a read must cover every commit acknowledged before it.

use std::time::Duration;

use kestrellock_core::group_bounds::Bound;
use kestrellock_core::ids::GroupName;
use kestrellock_core::position::Position;
use kestrellock_core::routing::Access;
use kestrellock_core::session::SessionBound;

use super::Session;
use crate::event::Io;
use crate::front::baseline;
use crate::front::current_position::{PositionQueries, QueryNumber};
use crate::front::target::Subscriptions;
use crate::metrics::SessionBoundEvent;

/// What the session knows of its current group's position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GroupEntry {
    /// The session's requests may be sent.
    Complete,
    /// The session has moved to the group: it must subscribe to the group's statuses, and, if
    /// `needs_position`, request the group's current position. Requests wait.
    Entered {
        /// Whether the bound is not known.
        needs_position: bool,
    },
    /// The answer to this query, or a later one, becomes the bound. Requests wait for it.
    AwaitsPosition(QueryNumber),
}

impl Session {
    /// Whether the session waits for this position query or an earlier one of its group.
    pub fn awaits_position(&self, group: &GroupName, number: QueryNumber) -> bool {
        let same = self.login.as_ref().is_some_and(|login| login.group == *group);
        same && matches!(self.group_entry, GroupEntry::AwaitsPosition(awaited) if awaited <= number)
    }

    /// Raises the bound to the group's position at some time after the session entered it.
    pub fn on_current_position(&mut self, position: Position, io: &Io) {
        self.group_entry = GroupEntry::Complete;
        self.join_bound(position, io);
    }

    /// Joins a confirmed position into the bound and sends the new session token to the client.
    pub(super) fn raise_bound(&mut self, position: Position, io: &Io) {
        self.join_bound(position, io);
        self.put_session_token();
    }

    fn join_bound(&mut self, position: Position, io: &Io) {
        let Some(login) = &self.login else { return };
        let (_, has_dropped) = self.bounds.raise(&login.group, position);
        if has_dropped {
            io.context.metrics.session_bounds.count(SessionBoundEvent::Dropped);
        }
    }

    /// Sends the session token of the current group, if the session has a bound there.
    fn put_session_token(&mut self) {
        let Some(login) = &self.login else { return };
        if let Some(position) = self.bound().position() {
            let bound = SessionBound { group: login.group.clone(), position };
            self.protocol.put_session_bound(&bound, &mut self.connection.output);
        }
    }

    /// What the session's reads must have reached in its current group.
    pub(super) fn bound(&self) -> Bound {
        self.login.as_ref().map_or(Bound::None, |login| self.bounds.bound(&login.group))
    }

    /// The access of a read whose route promises the session's own writes.
    pub(super) fn session_read(&self, max_staleness: Duration) -> Access {
        match self.bound() {
            Bound::Unknown => Access::Read { bound: None, max_staleness: Duration::ZERO },
            known => Access::Read { bound: known.position(), max_staleness },
        }
    }

    /// Begins to use the group of the login: at the login itself, or after a move.
    pub(super) fn enter_group(&mut self, io: &Io) {
        let is_known = self.bound().position().is_some();
        let needs_position = !is_known && needs_current_position(io);
        self.group_entry = GroupEntry::Entered { needs_position };
    }

    /// Handles a configuration that has moved the session's database to another group. The client's
    /// token names one group, so the client gets that of the new one.
    pub(super) fn on_moved(&mut self, io: &Io) {
        self.enter_group(io);
        if self.bound().position().is_some() {
            io.context.metrics.session_bounds.count(SessionBoundEvent::Restored);
            self.put_session_token();
        }
    }

    /// Subscribes to the statuses of a group that the session has just entered, and requests the
    /// group's position if the session needs it.
    pub(super) fn complete_entry(
        &mut self,
        subscriptions: &mut Subscriptions,
        position_queries: &mut PositionQueries,
        io: &mut Io,
    ) {
        let GroupEntry::Entered { needs_position } = self.group_entry else { return };
        let Some(login) = &self.login else { return };
        subscriptions.ensure(&login.group, io);
        self.group_entry = match needs_position {
            true => GroupEntry::AwaitsPosition(position_queries.request(&login.group, io)),
            false => GroupEntry::Complete,
        };
    }

    /// Whether the session's bound in its current group is still being determined.
    pub(super) fn lacks_bound(&self) -> bool {
        match self.group_entry {
            GroupEntry::Complete => false,
            GroupEntry::Entered { needs_position } => needs_position,
            GroupEntry::AwaitsPosition(_) => true,
        }
    }
}

/// Whether a session must read at least the group's current position when it has no bound there:
/// the protocol lets a client continue in a new session, so an earlier one may have written, and the
/// policy uses session bounds.
fn needs_current_position(io: &Io) -> bool {
    io.context.protocol.traits().sessions_resume && baseline::uses_session_bounds(io.context.policy)
}
