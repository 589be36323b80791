//! Puts the group in order after a promotion, or as it was if nobody is promoted.

use std::time::Instant;

use super::{Attempt, Repeated};
use crate::ids::InstanceName;
use crate::position::Term;
use crate::promotion::{Command, Phase, Successor};

impl Attempt {
    /// The old primary first, then the replicas: one that receives again while the old primary still
    /// leads, and that cannot hear of the successor, would follow it and say so.
    pub(super) fn settle(&mut self, until: Instant, now: Instant, commands: &mut Vec<Command>) {
        let since = until - self.timing.demotion_timeout;
        let is_in_order = !self.former_still_leads(since) && self.leaders.returned.is_empty();
        if is_in_order || self.chosen_again {
            self.release(now, commands);
        }
        if !is_in_order {
            self.demote_former(now, commands);
            for name in self.leaders.returned.clone() {
                self.demote(&name, now, commands);
            }
        }
        let successor = self.chosen.clone().map(|instance| self.with_its_term(instance));
        let has_term = successor.as_ref().is_none_or(|successor| successor.term.is_some());
        if now >= until || (is_in_order && has_term && self.all_released()) {
            commands.push(Command::Finish { id: self.intent.id, successor });
            self.phase = Phase::Over;
        } else if let (false, Some(instance)) = (has_term, self.chosen.clone()) {
            self.send(&instance, Repeated::Ask, now, commands, Command::QueryStatus);
        }
    }

    /// A successor with the term that it said it leads: by that nodes tell old primaries that come back later.
    fn with_its_term(&self, instance: InstanceName) -> Successor {
        let told = self.leads_by_its_word.clone().filter(|told| told.instance == instance);
        told.unwrap_or(Successor { instance, term: None })
    }

    /// Has an old primary step down.
    pub(super) fn demote(&mut self, old: &InstanceName, now: Instant, commands: &mut Vec<Command>) {
        let term = Term(self.highest.0.max(self.term.0));
        self.send(old, Repeated::Demote, now, commands, |instance| Command::Demote {
            instance,
            term,
        });
    }

    /// Releases the replicas. Where that takes a while, because one cannot be reached, nodes are told
    /// to go on with the old primary meanwhile.
    pub(super) fn cancel(&mut self, until: Instant, now: Instant, commands: &mut Vec<Command>) {
        self.release(now, commands);
        let since = until - self.timing.release_timeout;
        // One change of the store at a time.
        let mut is_changing = self.given != self.recorded;
        if !self.all_released()
            && now >= since + self.timing.cancellation_notice_delay
            && !is_changing
        {
            self.intent.called_off = true;
            self.intent.promoting = false;
            self.record(commands);
            is_changing = self.given != self.recorded;
        }
        if !is_changing && (now >= until || self.all_released()) {
            commands.push(Command::Finish { id: self.intent.id, successor: None });
            self.phase = Phase::Over;
        }
    }
}
