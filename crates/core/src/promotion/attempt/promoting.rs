//! Stops the replicas, compares their positions, and has one promoted that has every acknowledged
//! commit. Decides how many replicas must be stopped before that is certain, and when the promotion
//! may be sent: earlier, a commit could be acknowledged that the new primary does not have.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{Attempt, RetriedCommand, Stopped};
use crate::ids::InstanceName;
use crate::position::{Position, Term};
use crate::promotion::{Command, Phase, Reason};

impl Attempt {
    /// Stops the replicas until enough of them are stopped. Cancels the attempt if that takes too
    /// long while the old primary works.
    pub(super) fn stop(&mut self, since: Instant, now: Instant, commands: &mut Vec<Command>) {
        // While the old primary may continue, nothing is stopped before a promotion can follow. A
        // planned replacement releases what an earlier attempt has stopped, and begins again later.
        if !self.may_have_promoted() && !self.open_calls.callers().is_empty() {
            self.phase = match self.intent.reason {
                Reason::Leaving => Phase::Cancelling { until: now + self.timing.release_timeout },
                Reason::Suspected | Reason::Missing | Reason::Unfinished => {
                    Phase::Stopping { since: now }
                }
            };
            return;
        }
        self.update_waits(now);
        // A primary that answers can still serve reads, and if it lacks replicas that receive,
        // stopping more of them does not help.
        let answers = self
            .old_primary_state
            .last_answered
            .is_some_and(|sent| now < sent + self.timing.stopping_timeout);
        let works = !self.old_primary_state.is_replica
            && (self.intent.reason == Reason::Leaving || answers);
        let ends = works && !self.may_have_promoted();
        let has_timed_out = now >= since + self.timing.stopping_timeout;
        if ends && (has_timed_out || self.planned_stops_cannot_suffice()) {
            self.phase = Phase::Cancelling { until: now + self.timing.release_timeout };
            return;
        }
        // It is not known yet which of the replicas still have their logs.
        if !self.members.knows_restarts {
            return;
        }
        if self.stop_term <= self.highest_term && self.stopped.is_empty() {
            self.stop_term = Term(self.highest_term.0 + 1);
        }
        let term = self.stop_term;
        for replica in self.replicas() {
            if !self.has_usable_log(&replica.name) {
                self.allow_refill(&replica.name, now, commands);
                continue;
            }
            if self.stopped.contains_key(&replica.name) {
                continue;
            }
            if !self.reported.contains(&replica.name) {
                self.send(
                    &replica.name,
                    RetriedCommand::QueryStatus,
                    now,
                    commands,
                    Command::QueryStatus,
                );
                continue;
            }
            self.releases.on_stop_sent(replica.name.clone());
            self.send(&replica.name, RetriedCommand::Stop, now, commands, |instance| {
                Command::Stop { instance, term }
            });
        }
        self.query_old_primary(now, commands);
        if self.may_have_promoted() {
            self.demote_old_primary(now, commands);
        }
        if !self.enough_stopped() {
            self.record_log_wait(commands);
        } else if !self.is_log_wait_pending() {
            self.set_stopped_since(Some(now));
            self.phase = Phase::Lapsing { since: now };
            self.record_promoting(commands);
            self.has_current_incarnations(now, commands);
            // Query the old primary at once: if it refuses connections now, there is no need to
            // wait.
            self.last_sent.retain(|(instance, _), _| Some(instance) != self.intent.former.as_ref());
            self.query_old_primary(now, commands);
        }
    }

    /// Whether a planned replacement lacks a log that only the primary has, so that stopping the
    /// replicas would only delay commits. Owners find out within moments that the replicas hold the
    /// commits of an ended instance, unless the replicas receive nothing.
    fn planned_stops_cannot_suffice(&self) -> bool {
        self.intent.reason == Reason::Leaving
            && self.members.knows_restarts
            && self.replicas_cannot_suffice()
    }

    /// A replica that has lost its log does not count as stopped, and has to accept replication
    /// again. It is released, since a stop that was sent before its restart may have arrived after
    /// it.
    fn allow_refill(&mut self, replica: &InstanceName, now: Instant, commands: &mut Vec<Command>) {
        self.stopped.remove(replica);
        self.send(replica, RetriedCommand::QueryStatus, now, commands, Command::QueryStatus);
        if self.releases.is_stop_sent(replica) {
            self.send(replica, RetriedCommand::Release, now, commands, Command::Release);
        }
    }

    /// Whether one of the stopped replicas has every acknowledged commit, and no further commit can
    /// be acknowledged.
    fn enough_stopped(&self) -> bool {
        let stopped: Vec<&InstanceName> = self.stopped.keys().collect();
        self.members.knows_restarts && self.include_every_commit(&stopped)
    }

    /// Has the stopped replicas confirm again that they are stopped, and promotes one once enough
    /// have.
    pub(super) fn check(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if !self.enough_stopped() {
            self.set_stopped_since(None);
            self.phase = Phase::Stopping { since: now };
            return;
        }
        // The next coordinator has to know that a promoted instance may have been primary.
        if !self.is_promoting_recorded() {
            return;
        }
        // The queries below have to be newer than the last promotion that may have taken effect.
        if !self.open_calls.callers().is_empty() {
            self.stop_check_since = None;
            return;
        }
        if !self.has_current_incarnations(now, commands) {
            return;
        }
        // Queried after the incarnations were read: a replica that has restarted since then reports
        // that it is not stopped.
        let check_began = self.begin_stop_check(now);
        if !self.step_down_old_primary(now, commands) {
            return;
        }
        let check_began = check_began.max(self.earliest_confirmation(check_began));
        let unconfirmed: Vec<InstanceName> = self
            .stopped
            .iter()
            .filter(|(_, stopped)| stopped.confirmed_at < check_began)
            .map(|(name, _)| name.clone())
            .collect();
        let confirmed: Vec<&InstanceName> =
            self.stopped.keys().filter(|name| !unconfirmed.contains(name)).collect();
        // Required even if the old primary refuses connections: the replica to be promoted may lose
        // its log before the promotion, and then the other stopped replicas have the acknowledged
        // commits.
        if self.include_every_commit(&confirmed) {
            if self.awaits_step_down() {
                self.has_awaited_step_down = true;
            } else if self.gives_up_step_down() {
                // The confirmations are as old as the wait. A replica that has restarted since then
                // has forgotten its stop, and receives commits of the old primary.
                self.stop_check_since = None;
            } else {
                self.promote(now, commands);
            }
            return;
        }
        for name in unconfirmed {
            self.send(&name, RetriedCommand::QueryStatus, now, commands, Command::QueryStatus);
        }
    }

    /// Begins the check that the stopped replicas are still stopped, unless one is in progress.
    /// Returns when the check began: only replicas that answer a query sent since then have
    /// confirmed it. The first queries of a check are sent at once, even if the replicas were
    /// queried within the retry interval, because writes wait for the promotion.
    fn begin_stop_check(&mut self, now: Instant) -> Instant {
        if self.stop_check_since.is_none() {
            self.last_sent.retain(|(_, kind), _| *kind != RetriedCommand::QueryStatus);
        }
        *self.stop_check_since.get_or_insert(now)
    }

    fn promote(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let Some(best) = self.best_candidate() else {
            self.set_stopped_since(None);
            self.phase = Phase::Stopping { since: now };
            return;
        };
        if self.would_need_another_replacement(&best) {
            self.phase = Phase::Cancelling { until: now + self.timing.release_timeout };
            return;
        }
        if self.chosen.as_ref().is_some_and(|chosen| !self.matches_best_position(chosen, &best)) {
            return self.discard_choice(now);
        }
        let chosen = self.chosen.get_or_insert(best).clone();
        // The promotion releases replicas that do not learn of the successor. If the successor
        // crashes at once, they would follow an old primary that has not stepped down, and it would
        // acknowledge commits.
        self.demote_old_primary(now, commands);
        self.phase = Phase::Promoting { again: now + self.timing.announcement_timeout };
        self.sent_promotions += 1;
        self.is_own_call_open = true;
        commands.push(Command::Promote(chosen));
    }

    /// Whether a planned replacement would promote an instance that is leaving as well, while
    /// another one that stays only has to receive the rest of the log. The promoted one would have
    /// to be replaced again.
    pub(super) fn would_need_another_replacement(&self, best: &InstanceName) -> bool {
        let is_planned = self.intent.reason == Reason::Leaving && !self.may_have_promoted();
        let mut replicas = self.members.replicas(self.intent.former.as_ref());
        is_planned && self.leaves(best) && replicas.any(|member| !member.leaving)
    }

    /// Whether an instance is leaving or no longer a member.
    fn leaves(&self, name: &InstanceName) -> bool {
        self.members.get(name).is_none_or(|member| member.leaving)
    }

    /// Whether the instance that was chosen earlier still has the highest position. If not, `best`
    /// was no longer stopped for some time, and may be the only replica that has some acknowledged
    /// commits.
    fn matches_best_position(&self, chosen: &InstanceName, best: &InstanceName) -> bool {
        let position = |name: &InstanceName| {
            self.stopped.get(name).map(|stopped| (stopped.received.term, stopped.received.offset))
        };
        position(chosen) == position(best)
    }

    /// Stops the replicas again with a higher term and chooses again. Nodes accept replicas that
    /// were stopped for a promotion as evidence for the instance that leads that term, and the
    /// earlier choice may still become primary with it.
    pub(super) fn discard_choice(&mut self, now: Instant) {
        self.chosen = None;
        self.reported_successor = None;
        self.target_changed = true;
        self.set_stopped_since(None);
        self.raise_stop_term();
        self.phase = Phase::Stopping { since: now };
    }

    /// The instance to promote: the stopped replica with the highest position; among equals, one
    /// that is not leaving. The old primary is a candidate only if too few other replicas are
    /// stopped, because there is a reason to replace it.
    pub(super) fn best_candidate(&self) -> Option<InstanceName> {
        let old_primary = self.intent.former.as_ref();
        let others: BTreeMap<&InstanceName, &Stopped> =
            self.stopped.iter().filter(|(name, _)| old_primary != Some(*name)).collect();
        let other_names: Vec<&InstanceName> = others.keys().copied().collect();
        let candidates = match self.include_every_commit(&other_names) {
            true => others,
            false => self.stopped.iter().collect(),
        };
        let order = |position: &Position| (position.term, position.offset);
        let highest = candidates.values().map(|stopped| order(&stopped.received)).max()?;
        let mut best: Vec<&InstanceName> = candidates
            .into_iter()
            .filter(|(_, stopped)| order(&stopped.received) == highest)
            .map(|(name, _)| name)
            .filter(|name| !self.not_running.contains_key(*name))
            .collect();
        best.sort_by_key(|name| (self.leaves(name), (*name).clone()));
        best.first().map(|name| (*name).clone())
    }
}
