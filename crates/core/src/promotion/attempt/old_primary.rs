//! The old primary: what it has said, and what it is told.

use std::time::Instant;

use super::{Attempt, Repeated};
use crate::promotion::{Command, Reason, ReplicationStatus};
use crate::routing::Role;

/// What the old primary has said.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerWord {
    /// When it last refused a connection.
    pub refused: Option<Instant>,
    /// Whether it said last that it follows somebody: then it is one of the replicas, and holds whatever it has
    /// answered.
    pub follows: bool,
    /// When the question was sent that it last answered.
    pub answered: Option<Instant>,
}

impl Attempt {
    /// The old primary that is promoted again has to say itself that it leads: what the platform tells of it may
    /// be from before it stepped down.
    pub(super) fn question_former_if_chosen(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let former = self.intent.former.clone();
        if let Some(former) = former.filter(|former| self.chosen.as_ref() == Some(former)) {
            self.send(&former, Repeated::Ask, now, commands, Command::QueryStatus);
        }
    }

    /// Whether the old primary has refused a connection since enough replicas were stopped.
    pub(super) fn nobody_reads_there(&self) -> bool {
        let Some(complete) = self.complete else { return false };
        self.former_word.refused.is_some_and(|refused| refused >= complete)
    }

    /// It has answered.
    pub(super) fn on_former(&mut self, standing: &ReplicationStatus, sent: Instant) {
        self.former_word.follows = standing.role == Role::Replica;
        self.former_word.answered = Some(sent);
        // An old primary that answers again does not refuse any more.
        if self.former_word.refused.is_some_and(|refused| sent > refused) {
            self.former_word.refused = None;
        }
        if standing.term >= self.term && !self.is_committed() {
            self.stop_with_a_higher_term();
        }
    }

    /// Whether the old primary may lead. One that has refused a connection since its successor led
    /// returns as a replica.
    pub(super) fn former_still_leads(&self, since: Instant) -> bool {
        let former = self.old_primary().and_then(|name| self.members.get(name));
        let is_down = self.former_word.refused.is_some_and(|refused| refused >= since);
        // One that has vanished tells nobody whether it leads.
        let may_lead =
            former.is_some_and(|member| member.leads || self.intent.reason == Reason::Missing);
        may_lead && !self.former_word.follows && !is_down
    }

    pub(super) fn demote_former(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let Some(former) = self.intent.former.clone().filter(|_| !self.former_word.follows) else {
            return;
        };
        self.demote(&former, now, commands);
    }

    pub(super) fn ask_former(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if let Some(former) = self.intent.former.clone() {
            self.send(&former, Repeated::Ask, now, commands, Command::QueryStatus);
        }
    }
}
