//! The session bound: the replication position that an instance must have reached to serve a read
//! of the session. It makes the session's reads see its own writes, and those of earlier sessions
//! of the client.

use kestrellock_core::ids::GroupName;
use kestrellock_core::position::Position;
use kestrellock_core::session::SessionBound;

use super::Session;
use crate::front::current_position::QueryNumber;

impl Session {
    /// Whether the session waits for this position query or an earlier one of its group.
    pub fn awaits_position(&self, group: &GroupName, number: QueryNumber) -> bool {
        let same = self.login.as_ref().is_some_and(|login| login.group == *group);
        same && self.awaited_query.is_some_and(|awaited_query| awaited_query <= number)
    }

    /// Raises the bound to the group's position at some time after the session began.
    pub fn on_current_position(&mut self, position: Position) {
        self.awaited_query = None;
        self.bound = Some(self.bound.map_or(position, |bound| bound.join(position)));
    }

    /// Joins a confirmed position into the bound and sends the new session token to the client.
    pub(super) fn raise_bound(&mut self, position: Position) {
        let Some(login) = &self.login else { return };
        let joined = self.bound.map_or(position, |bound| bound.join(position));
        self.bound = Some(joined);
        let bound = SessionBound { group: login.group.clone(), position: joined };
        self.protocol.put_session_bound(&bound, &mut self.connection.output);
    }
}
