//! The session bound: the position that every later read of the session must have reached.

use kestrellock_core::ids::GroupName;
use kestrellock_core::position::Position;
use kestrellock_core::session::SessionBound;

use super::Session;
use crate::front::current_position::QueryNumber;

impl Session {
    /// Whether the session's bound waits for an answer to this question of its group.
    pub fn awaits_position(&self, group: &GroupName, number: QueryNumber) -> bool {
        let same = self.login.as_ref().is_some_and(|login| login.group == *group);
        same && self.awaited_query.is_some_and(|awaited_query| awaited_query <= number)
    }

    /// The group's position, as of some time after the session began.
    pub fn on_current_position(&mut self, position: Position) {
        self.awaited_query = None;
        self.bound = Some(self.bound.map_or(position, |bound| bound.join(position)));
    }

    /// Joins a confirmed position into the bound and gives the caller the new session token.
    pub(super) fn raise_bound(&mut self, position: Position) {
        let Some(login) = &self.login else { return };
        let joined = self.bound.map_or(position, |bound| bound.join(position));
        self.bound = Some(joined);
        let bound = SessionBound { group: login.group.clone(), position: joined };
        self.protocol.put_session_bound(&bound, &mut self.connection.output);
    }
}
