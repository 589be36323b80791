//! Processes the events of an attempt: reports of the instances, the platform, the store and the
//! nodes. An answer may be late or come from an earlier process of an instance; the time at which
//! its query was sent decides what it still shows.

use std::time::Instant;

use super::{Attempt, RetriedCommand, Stopped, claimed_primaries};
use crate::ids::InstanceName;
use crate::incarnation::has_restarted;
use crate::position::Term;
use crate::promotion::{
    Event, Members, Phase, PromotionAnswer, Reason, ReplicationStatus, ReportingNodes,
    RestartReports, Successor,
};
use crate::routing::Role;

impl Attempt {
    /// Updates the attempt's knowledge with an event. The next [`Attempt::step`] acts on it.
    pub fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::IntentRecorded(intent) => {
                self.recorded = Some(intent);
                if self.phase == Phase::Recording {
                    self.on_recorded(now);
                }
            }
            Event::StatusReported { instance, status, sent } => {
                self.on_status(instance, status, sent)
            }
            Event::NoAnswer(_) => {}
            Event::Refused { instance, sent } => self.on_not_running(instance, sent),
            Event::Displaced { instance, sent } => {
                self.displaced.insert(instance.clone());
                self.on_not_running(instance, sent);
            }
            Event::Promoted { instance, answer } => {
                // A call that is not sent may have been held back because an earlier one is open, and
                // one without an answer may be about to take effect.
                let has_ended =
                    matches!(answer, PromotionAnswer::Accepted | PromotionAnswer::NotRunning);
                self.is_own_call_open &= !has_ended;
                self.on_promoted(&instance, answer, now);
            }
            Event::CallsEnded(caller) => self.open_calls.on_ended(&caller),
            Event::Members(members) => {
                let primaries = claimed_primaries(&members, self.old_primary());
                self.other_primaries.outdated.retain(|name| primaries.contains(name));
                self.forget_restarted(&members, now);
                self.ended.retain(|name| members.get(name).is_some_and(|member| member.has_left));
                self.members = members;
            }
            Event::Released(instance) => {
                let is_finishing =
                    matches!(self.phase, Phase::Settling { .. } | Phase::Cancelling { .. });
                match is_finishing {
                    true => self.releases.on_released(instance),
                    // The attempt continues: the replica was released to receive its lost log
                    // again.
                    false => self.releases.on_released_early(&instance),
                }
            }
            Event::Incarnations { by_instance, requested_at } => {
                self.incarnations.on_stored(by_instance, requested_at)
            }
            Event::IncarnationsUnavailable => self.incarnations.on_unavailable(now),
            Event::Refilled(refilled) => self.incarnations.on_refilled(refilled),
            Event::ReportsCombined(report) => self.incarnations.on_combined_report(report),
            Event::LogHoldersReported(holders) => self.log_evidence.on_log_holders(holders),
            Event::PositionReported(position) => self.log_evidence.on_reported_position(position),
            Event::AcknowledgedPosition(position) => {
                self.log_evidence.on_acknowledged_position(position)
            }
            Event::CommitLossAccepted => {
                self.log_evidence.on_commit_loss_accepted();
                self.open_calls.discard();
            }
            Event::EvidenceRevoked => self.evidence_revoked = true,
            Event::StillNeeded(still_needed) => self.still_needed = still_needed,
        }
    }

    /// Processes the reports received so far; `nodes` are those that may read at the old primary.
    /// Ignored until the intent is recorded, because the coordinator's list of nodes may be stale
    /// before that: it may lack a node that has registered since, and that relies on the
    /// coordinator to wait for its evidence to expire.
    pub fn on_reports(&mut self, reports: &RestartReports, nodes: &ReportingNodes, now: Instant) {
        if self.phase == Phase::Recording {
            return;
        }
        for refilled in reports.refilled() {
            self.on_event(Event::Refilled(refilled), now);
        }
        for holders in reports.log_holders() {
            self.on_event(Event::LogHoldersReported(holders.clone()), now);
        }
        if let Some(combined) = reports.combined(&nodes.current) {
            self.on_event(Event::ReportsCombined(combined), now);
        }
        if let Some(position) = reports.highest_position() {
            self.on_event(Event::PositionReported(position), now);
        }
        if reports.accept_commit_loss() {
            self.on_event(Event::CommitLossAccepted, now);
        }
        if let Some(position) = reports.acknowledged_position(nodes) {
            self.on_event(Event::AcknowledgedPosition(position), now);
        }
        if !nodes.current.is_empty() && reports.includes_all(&nodes.current) {
            self.on_event(Event::EvidenceRevoked, now);
        }
    }

    fn on_recorded(&mut self, now: Instant) {
        self.phase = match self.intent.reason {
            Reason::Leaving => Phase::Draining { until: now + self.timing.drain_time },
            Reason::Suspected | Reason::Missing | Reason::Unfinished => {
                Phase::Stopping { since: now }
            }
        };
    }

    /// Discards what restarted instances reported before: they have lost their logs and are no
    /// longer stopped.
    fn forget_restarted(&mut self, members: &Members, now: Instant) {
        let before = |name| self.members.get(name).and_then(|before| before.incarnation);
        let restarted: Vec<InstanceName> = members
            .all
            .iter()
            .filter(|member| has_restarted(before(&member.name), member.incarnation))
            .map(|member| member.name.clone())
            .collect();
        for name in &restarted {
            self.reported.remove(name);
            self.stopped.remove(name);
            let was_promoted = self.chosen.as_ref() == Some(name);
            if was_promoted && !matches!(self.phase, Phase::Settling { .. } | Phase::Over) {
                // The process that was to be promoted has terminated, and the log for which it was
                // chosen is lost. It may have been primary, so the attempt must not end here: nodes
                // would let the old primary acknowledge commits after a promotion.
                self.discard_choice(now);
            }
        }
    }

    fn on_not_running(&mut self, instance: InstanceName, sent: Instant) {
        if self.old_primary() == Some(&instance) {
            self.old_primary_state.last_refused = Some(sent);
        }
        if self.members.get(&instance).is_some_and(|member| member.has_left) {
            self.ended.insert(instance.clone());
        }
        // A replica that does not run is no longer stopped when it returns.
        if matches!(self.phase, Phase::Settling { .. } | Phase::Cancelling { .. }) {
            self.releases.on_released(instance);
        }
    }

    fn on_status(&mut self, instance: InstanceName, status: ReplicationStatus, sent: Instant) {
        self.displaced.remove(&instance);
        self.compare_with_combined_report(&instance, &status);
        let seen = status.term.max(status.min_term).max(status.received.term);
        self.highest_term = self.highest_term.max(seen);
        let is_primary = status.role == Role::Primary;
        if is_primary && self.chosen.as_ref() == Some(&instance) {
            self.on_chosen_is_primary(instance, status.term, sent);
            return;
        }
        if self.old_primary() == Some(&instance) {
            self.on_old_primary_status(&status, sent);
            if is_primary {
                return;
            }
        } else {
            self.classify_other_primary(&instance, &status);
        }
        // An instance runs again if it answers a query that was sent some time after the platform
        // reported that it did not run.
        let delay = self.timing.retry_interval;
        self.not_running.retain(|name, reported| *name != instance || sent < *reported + delay);
        // A stop has no effect if an instance has led its minimum term: the replica still accepts
        // replication.
        let led = status.term.max(status.received.term);
        let stopped_before =
            self.reported.insert(instance.clone()) && status.min_term >= self.stop_term;
        if (led >= self.stop_term || stopped_before) && !self.has_chosen() {
            self.raise_stop_term();
        }
        let is_stopped = status.min_term >= self.stop_term && status.role == Role::Replica;
        if is_stopped {
            let stopped = Stopped { received: status.received, confirmed_at: sent };
            if let Some(before) = self.stopped.insert(instance.clone(), stopped) {
                self.incarnations.on_position(&instance, before.received, status.received);
            }
        } else {
            self.stopped.remove(&instance);
            // Another coordinator stopped it with a higher term.
            if status.min_term > self.stop_term && !self.has_chosen() {
                self.raise_stop_term();
            }
        }
    }

    /// The chosen instance reports that it is primary. If the old primary was chosen, the report
    /// counts only if it is newer than the one that showed it as a replica: it may be from before
    /// the old primary stepped down.
    fn on_chosen_is_primary(&mut self, instance: InstanceName, term: Term, sent: Instant) {
        let is_newest =
            self.old_primary_state.last_answered.is_none_or(|answered| sent >= answered);
        let is_primary_again = self.old_primary_state.is_replica && is_newest;
        if self.old_primary() != Some(&instance) || is_primary_again {
            self.reported_successor = Some(Successor { instance, term: Some(term) });
        }
    }

    /// Stops all replicas again, with a term above every term seen.
    pub(super) fn raise_stop_term(&mut self) {
        self.stop_term = Term(self.highest_term.0 + 1);
        self.stopped.clear();
        self.last_sent.retain(|(_, kind), _| *kind != RetriedCommand::Stop);
    }

    fn on_promoted(&mut self, instance: &InstanceName, answer: PromotionAnswer, now: Instant) {
        if !matches!(self.phase, Phase::Promoting { .. }) || self.chosen.as_ref() != Some(instance)
        {
            return;
        }
        match answer {
            PromotionAnswer::Accepted => {
                self.phase = Phase::Promoting { again: now + self.timing.announcement_timeout };
            }
            PromotionAnswer::NotRunning => {
                // It has not been promoted and will not be, so another replica may be promoted.
                self.sent_promotions = self.sent_promotions.saturating_sub(1);
                self.stopped.remove(instance);
                self.not_running.insert(instance.clone(), now);
                self.chosen = None;
                self.set_stopped_since(None);
                self.phase = Phase::Stopping { since: now };
            }
            PromotionAnswer::NotSent => {
                self.sent_promotions = self.sent_promotions.saturating_sub(1);
                self.phase = Phase::Promoting { again: now + self.timing.retry_interval };
            }
            PromotionAnswer::Unknown => {
                self.phase = Phase::Promoting { again: now + self.timing.retry_interval };
            }
        }
    }
}
