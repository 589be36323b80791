//! Stops the replicas, compares them, and has the one promoted that holds everything answered.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{Attempt, Repeated, Stopped};
use crate::ids::InstanceName;
use crate::position::{Position, Term};
use crate::promotion::{Command, Phase, Reason};

impl Attempt {
    pub(super) fn stop(&mut self, since: Instant, now: Instant, commands: &mut Vec<Command>) {
        // A primary that answers can still read, and one without replicas that receive cannot be
        // helped by stopping those.
        let answers =
            self.former_word.answered.is_some_and(|sent| now < sent + self.timing.stopping_timeout);
        let works = !self.former_word.follows && (self.intent.reason == Reason::Leaving || answers);
        let ends = works && !self.may_have_promoted();
        if ends && now >= since + self.timing.stopping_timeout {
            self.phase = Phase::Cancelling { until: now + self.timing.release_timeout };
            return;
        }
        // Which of them still have their logs is not known yet.
        if !self.members.knows_restarts {
            return;
        }
        if self.term <= self.highest && self.stopped.is_empty() {
            self.term = Term(self.highest.0 + 1);
        }
        let term = self.term;
        for replica in self.replicas() {
            if !self.has_its_log(&replica.name) {
                self.let_refill(&replica.name, now, commands);
                continue;
            }
            if self.stopped.contains_key(&replica.name) {
                continue;
            }
            if !self.told.contains(&replica.name) {
                self.send(&replica.name, Repeated::Ask, now, commands, Command::QueryStatus);
                continue;
            }
            self.releases.on_stop_sent(replica.name.clone());
            self.send(&replica.name, Repeated::Stop, now, commands, |instance| Command::Stop {
                instance,
                term,
            });
        }
        self.ask_former(now, commands);
        if self.may_have_promoted() {
            self.demote_former(now, commands);
        }
        if self.enough_stopped() {
            self.set_complete(Some(now));
            self.phase = Phase::Lapsing { since: now };
            self.intent.promoting = true;
            self.record(commands);
            self.knows_starts(now, commands);
            // Whether the old primary refuses connections now.
            self.last_sent.retain(|(instance, _), _| Some(instance) != self.intent.former.as_ref());
            self.ask_former(now, commands);
        }
    }

    /// A replica that has lost its log does not count, and goes on receiving: a stop that was under way while it
    /// started again may have reached it.
    fn let_refill(&mut self, replica: &InstanceName, now: Instant, commands: &mut Vec<Command>) {
        self.stopped.remove(replica);
        self.send(replica, Repeated::Ask, now, commands, Command::QueryStatus);
        if self.releases.was_stopped(replica) {
            self.send(replica, Repeated::Release, now, commands, Command::Release);
        }
    }

    /// Whether one of those stopped holds every answered commit, and no further one is answered.
    fn enough_stopped(&self) -> bool {
        let stopped = self.stopped.keys().filter(|name| self.has_its_log(name)).count();
        self.members.knows_restarts && stopped >= self.needed()
    }

    pub(super) fn check(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if !self.enough_stopped() {
            self.set_complete(None);
            self.phase = Phase::Stopping { since: now };
            return;
        }
        // Whoever goes on after this holder has to know that somebody may have led.
        if !self.recorded.as_ref().is_some_and(|recorded| recorded.promoting) {
            return;
        }
        if !self.knows_starts(now, commands) {
            return;
        }
        // Asked after that, so that one that has started again meanwhile does not say that it is stopped.
        let since = self.begin_checks(now);
        let unchecked: Vec<InstanceName> = self
            .stopped
            .iter()
            .filter(|(_, stopped)| stopped.said < since)
            .map(|(name, _)| name.clone())
            .collect();
        let has_said = |name: &&InstanceName| !unchecked.contains(name) && self.has_its_log(name);
        let checked = self.stopped.keys().filter(has_said).count();
        // Also where nobody reads at the old primary: whoever is promoted may lose its log until then, and the
        // others hold what it held.
        if checked >= self.needed() {
            self.promote(now, commands);
            return;
        }
        for name in unchecked {
            self.send(&name, Repeated::Ask, now, commands, Command::QueryStatus);
        }
    }

    /// Since when the replicas are being asked once more. The first time they are asked at once, however short a
    /// time ago they were asked before: writes wait for what follows.
    fn begin_checks(&mut self, now: Instant) -> Instant {
        if self.checks_since.is_none() {
            self.last_sent.retain(|(_, kind), _| *kind != Repeated::Ask);
        }
        *self.checks_since.get_or_insert(now)
    }

    fn promote(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let Some(best) = self.best() else {
            self.set_complete(None);
            self.phase = Phase::Stopping { since: now };
            return;
        };
        if self.would_only_move(&best) {
            self.phase = Phase::Cancelling { until: now + self.timing.release_timeout };
            return;
        }
        if self.chosen.as_ref().is_some_and(|chosen| !self.is_as_good(chosen, &best)) {
            return self.choose_again(now);
        }
        let chosen = self.chosen.get_or_insert(best).clone();
        // A successor that dies at once has released replicas that have not heard of it: they would
        // follow an old primary that still leads, and it would answer commits.
        self.demote_former(now, commands);
        self.phase = Phase::Promoting { again: now + self.timing.announcement_timeout };
        self.sent_promotions += 1;
        commands.push(Command::Promote(chosen));
    }

    /// Whether a planned replacement would promote an instance that is to go as well, while one that stays
    /// has yet to receive what that one holds: it had to be replaced again.
    fn would_only_move(&self, best: &InstanceName) -> bool {
        let is_planned = self.intent.reason == Reason::Leaving && !self.may_have_promoted();
        let mut replicas = self.members.replicas(self.intent.former.as_ref());
        is_planned && self.leaves(best) && replicas.any(|member| !member.leaving)
    }

    fn leaves(&self, name: &InstanceName) -> bool {
        self.members.get(name).is_none_or(|member| member.leaving)
    }

    /// Whether the one that was chosen before holds as much as the best by now. If not, the other one
    /// had forgotten meanwhile that it was stopped, and may hold answered commits alone.
    fn is_as_good(&self, chosen: &InstanceName, best: &InstanceName) -> bool {
        let position = |name: &InstanceName| {
            self.stopped.get(name).map(|one| (one.received.term, one.received.offset))
        };
        position(chosen) == position(best)
    }

    /// Begins again with a higher term: nodes take replicas that were stopped for a promotion as
    /// evidence for the one promoted, which the one chosen before may be yet.
    pub(super) fn choose_again(&mut self, now: Instant) {
        self.chosen = None;
        self.leads_by_its_word = None;
        self.chosen_again = true;
        self.set_complete(None);
        self.stop_with_a_higher_term();
        self.phase = Phase::Stopping { since: now };
    }

    /// The stopped replica with the highest position; among equals one that stays. The old primary only where
    /// the others are not enough: there is a reason to replace it.
    fn best(&self) -> Option<InstanceName> {
        let former = self.intent.former.as_ref();
        let others: BTreeMap<&InstanceName, &Stopped> =
            self.stopped.iter().filter(|(name, _)| former != Some(*name)).collect();
        let with_log = others.keys().filter(|name| self.has_its_log(name)).count();
        let compared = match with_log >= self.needed() {
            true => others,
            false => self.stopped.iter().collect(),
        };
        let order = |position: &Position| (position.term, position.offset);
        let highest = compared.values().map(|stopped| order(&stopped.received)).max()?;
        let mut best: Vec<&InstanceName> = compared
            .into_iter()
            .filter(|(_, stopped)| order(&stopped.received) == highest)
            .map(|(name, _)| name)
            .filter(|name| !self.not_running.contains_key(*name))
            .collect();
        best.sort_by_key(|name| (self.leaves(name), (*name).clone()));
        best.first().map(|name| (*name).clone())
    }
}
