//! Takes in what instances and the platform say.

use std::time::Instant;

use super::{Attempt, Repeated, Stopped, leading};
use crate::ids::{InstanceName, NodeName};
use crate::incarnation::has_restarted;
use crate::position::Term;
use crate::promotion::{
    Event, Members, Phase, PromotionAnswer, Reason, Standing, Successor, Witnesses,
};
use crate::routing::Role;

impl Attempt {
    /// Takes an event in.
    pub fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Recorded(intent) => {
                self.recorded = Some(intent);
                if self.phase == Phase::Recording {
                    self.on_recorded(now);
                }
            }
            Event::Stands { instance, standing, sent } => {
                self.on_standing(instance, standing, sent)
            }
            Event::Unanswered(_) => {}
            Event::Refused { instance, sent } => self.on_not_running(instance, sent),
            Event::Displaced { instance, sent } => {
                self.displaced.insert(instance.clone());
                self.on_not_running(instance, sent);
            }
            Event::Promoted { instance, answer } => self.on_promoted(&instance, answer, now),
            Event::Members(members) => {
                let leading = leading(&members, self.former());
                self.leaders.outdated.retain(|name| leading.contains(name));
                self.forget_ended_processes(&members, now);
                self.ended.retain(|name| members.get(name).is_some_and(|member| member.has_left));
                self.members = members;
            }
            Event::Released(instance) => {
                let is_ending =
                    matches!(self.phase, Phase::Settling { .. } | Phase::Cancelling { .. });
                match is_ending {
                    true => self.releases.on_released(instance),
                    // It was released to refill.
                    false => self.releases.on_not_stopped(&instance),
                }
            }
            Event::Starts { told, asked } => self.starts.on_told(told, asked),
            Event::StartsUnknown => self.starts.on_unknown(now),
            Event::Refilled(refilled) => self.starts.on_refilled(refilled),
            Event::HeardByAll(heard) => self.starts.on_heard_by_all(heard),
            Event::EvidenceGivenUp => self.given_up = true,
            Event::Wanted(wanted) => self.wanted = wanted,
        }
    }

    /// Takes in what `nodes`, those that may read at the old primary, have said so far. Before the intent has been
    /// recorded the holder does not know all of them: its own list may be old, and lack a node that has entered
    /// itself since and relies on being waited for.
    pub fn hear(&mut self, witnesses: &Witnesses, nodes: &[NodeName], now: Instant) {
        if self.phase == Phase::Recording {
            return;
        }
        for refilled in witnesses.refilled() {
            self.on_event(Event::Refilled(refilled), now);
        }
        if let Some(heard) = witnesses.heard_by_all(nodes) {
            self.on_event(Event::HeardByAll(heard), now);
        }
        if !nodes.is_empty() && witnesses.have_all_spoken(nodes) {
            self.on_event(Event::EvidenceGivenUp, now);
        }
    }

    fn on_recorded(&mut self, now: Instant) {
        self.phase = match self.intent.reason {
            Reason::Leaving => Phase::Draining { until: now + self.timing.drain },
            Reason::Suspected | Reason::Missing | Reason::Unfinished => {
                Phase::Stopping { since: now }
            }
        };
    }

    /// An instance that has started again holds nothing of what it said before, and has forgotten that it
    /// was stopped.
    fn forget_ended_processes(&mut self, members: &Members, now: Instant) {
        let before = |name| self.members.get(name).and_then(|before| before.incarnation);
        let started_again: Vec<InstanceName> = members
            .all
            .iter()
            .filter(|member| has_restarted(before(&member.name), member.incarnation))
            .map(|member| member.name.clone())
            .collect();
        for name in &started_again {
            self.told.remove(name);
            self.stopped.remove(name);
            let was_promoted = self.chosen.as_ref() == Some(name);
            if was_promoted && !matches!(self.phase, Phase::Settling { .. } | Phase::Over) {
                // The process that was to take over is gone, with what made it the best. It may have led:
                // nodes that ended this here would let the old primary answer commits after a promotion.
                self.choose_again(now);
            }
        }
    }

    fn on_not_running(&mut self, instance: InstanceName, sent: Instant) {
        if self.former() == Some(&instance) {
            self.former_word.refused = Some(sent);
        }
        if self.members.get(&instance).is_some_and(|member| member.has_left) {
            self.ended.insert(instance.clone());
        }
        // A replica that does not run has forgotten that it was stopped when it returns.
        if matches!(self.phase, Phase::Settling { .. } | Phase::Cancelling { .. }) {
            self.releases.on_released(instance);
        }
    }

    fn on_standing(&mut self, instance: InstanceName, standing: Standing, sent: Instant) {
        self.displaced.remove(&instance);
        self.compare_with_heard(&instance, &standing);
        let seen = standing.term.max(standing.held).max(standing.received.term);
        self.highest = self.highest.max(seen);
        let leads = standing.role == Role::Primary;
        if leads && self.chosen.as_ref() == Some(&instance) {
            self.on_chosen_leads(instance, standing.term, sent);
            return;
        }
        if self.former() == Some(&instance) {
            self.on_former(&standing, sent);
            if leads {
                return;
            }
        } else {
            self.judge_other_leader(&instance, &standing);
        }
        // One that answers a while after the platform had said so runs again.
        let pause = self.timing.retry;
        self.not_running.retain(|name, said| *name != instance || sent < *said + pause);
        // A stop with a term that somebody has led is none: the replica receives on.
        let led = standing.term.max(standing.received.term);
        let stopped_before = self.told.insert(instance.clone()) && standing.held >= self.term;
        if (led >= self.term || stopped_before) && !self.is_committed() {
            self.stop_with_a_higher_term();
        }
        let is_stopped = standing.held >= self.term && standing.role == Role::Replica;
        if is_stopped {
            let stopped = Stopped { received: standing.received, said: sent };
            if let Some(before) = self.stopped.insert(instance.clone(), stopped) {
                self.starts.on_position(&instance, before.received, standing.received);
            }
        } else {
            self.stopped.remove(&instance);
            // Somebody else stopped it with a term as high.
            if standing.held > self.term && !self.is_committed() {
                self.stop_with_a_higher_term();
            }
        }
    }

    /// The chosen one says that it leads. The old primary, if that is the chosen one, may have said so before it
    /// stepped down.
    fn on_chosen_leads(&mut self, instance: InstanceName, term: Term, sent: Instant) {
        let is_newest = self.former_word.answered.is_none_or(|answered| sent >= answered);
        let leads_again = self.former_word.follows && is_newest;
        if self.former() != Some(&instance) || leads_again {
            self.leads_by_its_word = Some(Successor { instance, term: Some(term) });
        }
    }

    pub(super) fn stop_with_a_higher_term(&mut self) {
        self.term = Term(self.highest.0 + 1);
        self.stopped.clear();
        self.last_sent.retain(|(_, kind), _| *kind != Repeated::Stop);
    }

    fn on_promoted(&mut self, instance: &InstanceName, answer: PromotionAnswer, now: Instant) {
        if !matches!(self.phase, Phase::Promoting { .. }) || self.chosen.as_ref() != Some(instance)
        {
            return;
        }
        match answer {
            PromotionAnswer::Accepted => {
                self.phase = Phase::Promoting { again: now + self.timing.announcement };
            }
            PromotionAnswer::NotRunning => {
                // It has not been promoted and will not be: another one may be.
                self.sent_promotions = self.sent_promotions.saturating_sub(1);
                self.stopped.remove(instance);
                self.not_running.insert(instance.clone(), now);
                self.chosen = None;
                self.set_complete(None);
                self.phase = Phase::Stopping { since: now };
            }
            PromotionAnswer::Unknown => {
                self.phase = Phase::Promoting { again: now + self.timing.retry };
            }
        }
    }
}
