//! Which actions are possible in a state.

use crate::node::Check;

use super::{
    Action, InstanceId, MIN_PROMOTION_TICKS, OLD_TERM, P, Phase, Query, R1, R2, STOP_TERM,
    SUCCESSOR_TERM, World, WriteState, X, Y, ticks_of,
};

impl World {
    pub(super) fn node_actions(&self, actions: &mut Vec<Action>) {
        for id in [P, R1, R2] {
            match self.node.queries[id as usize] {
                None if self.at(id).is_alive => {
                    actions.push(Action::Query(id));
                    if self.scope.has_late_answers {
                        actions.push(Action::SendQuery(id));
                    }
                }
                None => {}
                Some(Query { answer: None, .. }) if self.at(id).is_alive => {
                    actions.push(Action::AnswerQuery(id));
                }
                Some(Query { answer: None, .. }) => {}
                Some(Query { answer: Some(_), .. }) => actions.push(Action::ReceiveStatus(id)),
            }
        }
        self.check_actions(actions);
        let old = self.at(P);
        let is_due = self.now >= self.scope.first_write_tick;
        let runs_write =
            is_due && old.is_alive && old.status.leads && old.status.term == OLD_TERM.0;
        if self.node.write.is_none() && self.writes < self.scope.writes && runs_write {
            actions.push(Action::SendWrite);
        }
        if self.node.write.is_some_and(|write| write.state == WriteState::Answered) {
            actions.push(Action::ReceiveCommitAnswer);
        }
        let is_running = !matches!(self.coordinator.phase, Phase::Idle | Phase::Led(_));
        if let Some(revoked_at) = self.node.revoked_at {
            if self.now >= revoked_at + self.listed_ticks() {
                actions.push(Action::ExpireIntent);
            }
            if !is_running {
                actions.push(Action::LearnEnd);
            }
        }
        if is_running && self.scope.hears_of_intents && !self.has_revoked() {
            actions.push(Action::LearnIntent);
        }
        if self.node_restarts < self.scope.node_restarts {
            actions.push(Action::RestartNode);
        }
    }

    /// A check that shows a replacement changes nothing at the node, so only one that shows none is
    /// answered in the step in which it is sent.
    fn check_actions(&self, actions: &mut Vec<Action>) {
        let makes_checks = self.scope.has_store || self.scope.has_peers;
        let is_revoked = self.node.revoked_at.is_some();
        match self.node.check {
            None if makes_checks && !is_revoked => {
                if self.coordinator.phase == Phase::Idle {
                    actions.push(Action::CheckStore);
                }
                if self.scope.has_late_answers || self.scope.has_late_checks {
                    actions.push(Action::SendCheck);
                }
            }
            None => {}
            Some(Check { is_unreplaced: None, .. }) => actions.push(Action::AnswerCheck),
            Some(_) if !is_revoked => actions.push(Action::ReceiveCheck),
            Some(_) => {}
        }
    }

    pub(super) fn instance_actions(&self, actions: &mut Vec<Action>) {
        let old = self.at(P);
        for id in [P, R1, R2, X, Y] {
            let own = self.at(id);
            if !own.is_alive || own.status.leads {
                continue;
            }
            let is_from_old = old.is_alive && old.status.leads && old.status.term == OLD_TERM.0;
            let accepts = own.status.term <= OLD_TERM.0 && own.status.min_term <= OLD_TERM.0;
            if is_from_old && accepts && own.log != old.log {
                actions.push(Action::Replicate(id));
            }
            if let Some(successor) = self.successor() {
                let is_behind =
                    own.status.term < SUCCESSOR_TERM || own.log != self.at(successor).log;
                if is_behind && self.scope.has_early_followers {
                    actions.push(Action::Follow(id));
                }
                if self.successor_acknowledged.is_none() && self.scope.has_successor_commits {
                    actions.push(Action::CommitAtSuccessor(id));
                }
            }
            if id != P && own.status.min_term > 0 && self.may_restart(id) {
                actions.push(Action::RestartReplica(id));
            }
        }
        if old.is_alive && self.primary_crashes < self.scope.primary_crashes {
            actions.push(Action::CrashPrimary);
        }
        if !old.is_alive {
            actions.push(Action::ReturnPrimary);
        }
    }

    fn may_restart(&self, id: InstanceId) -> bool {
        // The platform refuses to promote an instance that does not run.
        let is_chosen =
            matches!(self.coordinator.phase, Phase::Promoting(chosen, _) if chosen == id);
        !is_chosen && self.replica_restarts < self.scope.replica_restarts
    }

    pub(super) fn coordinator_actions(&self, actions: &mut Vec<Action>) {
        match self.coordinator.phase {
            Phase::Idle if self.coordinator.attempt < 2 => actions.push(Action::RecordIntent),
            Phase::Idle => {}
            Phase::Stopping => {
                let is_due = |id: &InstanceId| !self.coordinator.stopped[*id as usize];
                let due: Vec<InstanceId> = self.stoppable().filter(is_due).collect();
                if self.scope.has_staggered_stops {
                    actions.extend(due.iter().copied().map(Action::Stop));
                } else if !due.is_empty() {
                    actions.push(Action::StopAll);
                }
            }
            Phase::Lapsing(since) => {
                if !self.at(P).is_alive && !self.coordinator.saw_refusal {
                    actions.push(Action::SeeRefusal);
                }
                if self.coordinator.saw_refusal || self.now >= since + self.wait_ticks() {
                    match self.are_stops_kept() {
                        true => actions.extend(self.candidates().map(Action::Promote)),
                        false => actions.push(Action::FailCheck),
                    }
                }
            }
            Phase::Promoting(_, since) => {
                if self.now >= since + MIN_PROMOTION_TICKS {
                    actions.push(Action::TakeLead);
                }
            }
            Phase::Led(_) => {}
        }
        let is_cancellable = matches!(self.coordinator.phase, Phase::Stopping | Phase::Lapsing(_));
        if self.scope.has_cancellations && is_cancellable && !self.coordinator.has_demoted {
            actions.push(Action::CallOff);
        }
        let may_count = match self.scope.node.proposed.revocations_follow_stops {
            true => matches!(self.coordinator.phase, Phase::Lapsing(_)),
            false => is_cancellable,
        };
        let hears = may_count && !self.coordinator.knows_revocation;
        let all_revoked = !self.node.kind.is_listed || self.has_revoked();
        if hears && all_revoked {
            actions.push(Action::HearRevocation);
        }
        let old = self.at(P);
        let may_demote = match self.coordinator.phase {
            Phase::Idle => false,
            Phase::Stopping => self.scope.has_early_demotion,
            Phase::Lapsing(_) if self.scope.has_early_demotion => true,
            Phase::Lapsing(since) => self.now >= since + self.wait_ticks(),
            Phase::Promoting(..) | Phase::Led(_) => true,
        };
        if may_demote && old.is_alive && old.status.leads && old.status.term == OLD_TERM.0 {
            actions.push(Action::Demote);
        }
    }

    /// Instances that the coordinator can stop.
    pub(super) fn stoppable(&self) -> impl Iterator<Item = InstanceId> {
        let has_joined = self.scope.has_joined_instance && self.scope.coordinator_lists_joined;
        [P, R1, R2, X, Y].into_iter().filter(move |id| {
            let own = self.at(*id);
            own.is_alive && !own.status.leads && (!matches!(*id, X | Y) || has_joined)
        })
    }

    pub(super) fn are_enough_stopped(&self) -> bool {
        let stopped = self.coordinator.stopped.iter().filter(|stopped| **stopped);
        stopped.count() >= self.needed_stops()
    }

    /// All instances that the coordinator lists but one hold every acknowledged commit between
    /// them.
    fn needed_stops(&self) -> usize {
        let joined = [self.scope.has_joined_instance, self.scope.has_second_joined];
        let count = joined.into_iter().filter(|has_joined| *has_joined).count();
        if self.scope.coordinator_lists_joined { 2 + count } else { 2 }
    }

    /// Stopped instances with the longest log. The old primary is one only if the others are not
    /// enough.
    fn candidates(&self) -> impl Iterator<Item = InstanceId> {
        let is_stopped = |id: &InstanceId| self.coordinator.stopped[*id as usize];
        let others = [R1, R2, X, Y].into_iter().filter(is_stopped).count();
        let stopped = [P, R1, R2, X, Y].into_iter().filter(is_stopped);
        let compared: Vec<InstanceId> =
            stopped.filter(|id| *id != P || others < self.needed_stops()).collect();
        let length = |id: &InstanceId| self.at(*id).log.count_ones();
        let longest = compared.iter().map(length).max();
        compared.into_iter().filter(move |id| Some(length(id)) == longest)
    }

    fn are_stops_kept(&self) -> bool {
        let mut kept = self.coordinator.stopped.iter().zip(&self.instances);
        kept.all(|(stopped, own)| !stopped || own.is_alive && own.status.min_term == STOP_TERM)
    }

    /// Whether the node has revoked its evidence for the present attempt.
    fn has_revoked(&self) -> bool {
        let revoked_for = self.node.evidence.revoked_for();
        revoked_for.is_some_and(|id| id.attempt == u32::from(self.coordinator.attempt))
    }

    fn listed_ticks(&self) -> u8 {
        ticks_of(self.scope.node.listed_lifetime)
    }

    /// Time steps from the last stop to the check of the stops.
    fn wait_ticks(&self) -> u8 {
        let lifetime = match self.coordinator.knows_revocation {
            true => ticks_of(self.scope.node.unlisted_lifetime),
            false => self.listed_ticks(),
        };
        lifetime - MIN_PROMOTION_TICKS
    }
}
