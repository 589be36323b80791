//! Completes an attempt: after a promotion, or without one if the attempt is cancelled. Decides
//! when the old primary has stepped down, so that no released replica follows it, and when the
//! intent can be removed from the store.

use std::time::Instant;

use super::{Attempt, RetriedCommand};
use crate::ids::InstanceName;
use crate::position::Term;
use crate::promotion::{Command, Phase, Successor};

impl Attempt {
    /// Demotes the old primary first and then releases the replicas: a replica that is released
    /// while the old primary is still primary, and that cannot reach the successor, would follow
    /// the old primary and report that.
    ///
    /// After the timeout the attempt finishes even if the old primary could not be demoted, because
    /// nodes reject it once they know the successor's term. Until the successor has reported that
    /// term, nodes could not recognize the old primary and would use it again, so the attempt goes
    /// on.
    pub(super) fn settle(&mut self, until: Instant, now: Instant, commands: &mut Vec<Command>) {
        if self.has_lost_successor() {
            // Commits of the successor may have been acknowledged, so another instance has to be
            // promoted in place of the old primary.
            self.discard_choice(now);
            return;
        }
        let since = until - self.timing.demotion_timeout;
        let old_primary_may_lead = self.old_primary_may_lead(since);
        let all_demoted = !old_primary_may_lead && self.other_primaries.returned.is_empty();
        if all_demoted || self.target_changed {
            self.release(now, commands);
        }
        if !all_demoted {
            self.demote_old_primary(now, commands);
            for name in self.other_primaries.returned.clone() {
                self.demote(&name, now, commands);
            }
        }
        let successor = self.chosen.clone().map(|instance| self.with_reported_term(instance));
        let has_term = successor.as_ref().is_none_or(|successor| successor.term.is_some());
        let has_timed_out = now >= until && (has_term || !old_primary_may_lead);
        if has_timed_out || (all_demoted && has_term && self.all_released()) {
            commands.push(Command::Finish { id: self.intent.id, successor });
            self.phase = Phase::Over;
        } else if let (false, Some(instance)) = (has_term, self.chosen.clone()) {
            self.send(&instance, RetriedCommand::QueryStatus, now, commands, Command::QueryStatus);
        }
    }

    /// Whether the successor no longer leads and has never reported its term: it was adopted
    /// because its entry showed it as primary, and the entry has changed or disappeared since.
    fn has_lost_successor(&self) -> bool {
        let has_term = self.successor_term().is_some();
        let leads = |name| self.members.get(name).is_some_and(|member| member.leads);
        !has_term && self.chosen.as_ref().is_some_and(|chosen| !leads(chosen))
    }

    /// The successor with the term that it reported. By this term nodes recognize old primaries
    /// that return later.
    fn with_reported_term(&self, instance: InstanceName) -> Successor {
        let reported =
            self.reported_successor.clone().filter(|reported| reported.instance == instance);
        reported.unwrap_or(Successor { instance, term: None })
    }

    /// Sends an old primary the command to step down.
    pub(super) fn demote(&mut self, old: &InstanceName, now: Instant, commands: &mut Vec<Command>) {
        let term = Term(self.highest_term.0.max(self.stop_term.0));
        self.send(old, RetriedCommand::Demote, now, commands, |instance| Command::Demote {
            instance,
            term,
        });
    }

    /// Releases the replicas. If that takes long, because a replica cannot be reached, the intent
    /// is recorded as cancelled, so that nodes continue with the old primary meanwhile.
    pub(super) fn cancel(&mut self, until: Instant, now: Instant, commands: &mut Vec<Command>) {
        self.release(now, commands);
        let since = until - self.timing.release_timeout;
        let mut is_write_pending = self.is_write_pending();
        if !self.all_released()
            && now >= since + self.timing.cancellation_notice_delay
            && !is_write_pending
        {
            self.intent.called_off = true;
            self.intent.promoting = false;
            self.intent.callers.clear();
            self.record_intent(commands);
            is_write_pending = self.is_write_pending();
        }
        if !is_write_pending && (now >= until || self.all_released()) {
            commands.push(Command::Finish { id: self.intent.id, successor: None });
            self.phase = Phase::Over;
        }
    }
}
