//! Asks instances how they stand: whether replicas still follow their primary, which makes evidence
//! for reads at the primary. Questions that come while one is under way share the next one.

use std::collections::HashMap;

use kestrellock_core::catalog::Group;
use kestrellock_core::confirmation::ProbeNumber;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};

use super::Gateway;
use super::pool::Pool;
use super::server::ProbeAnswer;
use crate::event::Io;
use crate::metrics::ProbeEvent;

/// Questions to one instance.
#[derive(Debug, Default)]
struct Questions {
    /// Whether one waits to be sent.
    is_wanted: bool,
    /// The pooled connection that carries one.
    asked: Option<usize>,
    /// Whether that one has been answered by a row.
    is_answered: bool,
}

/// Questions to the instances of one group.
#[derive(Debug, Default)]
pub struct Standings {
    instances: HashMap<InstanceName, Questions>,
}

impl Standings {
    /// The instance is to be asked.
    pub fn want(&mut self, instance: InstanceName) {
        self.instances.entry(instance).or_default().is_wanted = true;
    }

    /// A pooled connection is idle again, or gone. Whether it carried a question that was not
    /// answered.
    pub fn on_ready(&mut self, instance: &InstanceName, key: usize, io: &Io) -> bool {
        let Some(questions) = self.instances.get_mut(instance) else { return false };
        if questions.asked != Some(key) {
            return false;
        }
        questions.asked = None;
        let failed = !questions.is_answered;
        if failed {
            io.context.metrics.probes.count(ProbeEvent::Failed);
        }
        failed
    }

    /// An instance said how it stands.
    pub fn on_answer(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        answer: &ProbeAnswer,
        io: &Io,
    ) {
        io.context.metrics.probes.count(ProbeEvent::Answered);
        if let Some(questions) = self.instances.get_mut(instance) {
            questions.is_answered = true;
        }
        io.context.statuses.on_standing(group, instance, &answer.report, answer.asked);
    }
}

impl Gateway {
    /// Asks instances in doubt how they stand, where connections to them are open: an answer takes the
    /// doubt back.
    pub(super) fn ask_in_doubt(&mut self, name: &GroupName, io: &mut Io) {
        let doubted = io.context.statuses.questions_in_doubt(name, io.now);
        let Some(state) = self.groups.get_mut(name).filter(|_| !doubted.is_empty()) else { return };
        for instance in doubted {
            let is_open = state.pools.get(&instance).is_some_and(|pool| pool.open() > 0);
            if is_open {
                state.standings.want(instance);
            }
        }
        self.ask_standings(name, io);
    }

    /// Answers commits that wait for the word of replicas, and asks those for it where some still do.
    pub(super) fn confirm_by_standings(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        state.confirmations.decide_by_standings(name, group, io);
        if !state.confirmations.should_ask_standings(io.now) {
            return;
        }
        let leader = io.context.leader(name, group).map(|leader| &leader.name);
        let replicas = group.instances.iter().filter(|one| leader != Some(&one.name));
        replicas.for_each(|replica| state.standings.want(replica.name.clone()));
        self.ask_standings(name, io);
    }

    /// Sends the questions that wait, over idle connections of the instances' pools.
    pub(super) fn ask_standings(&mut self, name: &GroupName, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        let mut broken = Vec::new();
        for (instance, questions) in &mut state.standings.instances {
            if !questions.is_wanted || questions.asked.is_some() {
                continue;
            }
            questions.is_wanted = false;
            let Some(key) = state.pools.get_mut(instance).and_then(Pool::borrow) else {
                // No connection is idle: another instance may be asked.
                state.questions.on_answer();
                continue;
            };
            let Some(server) = self.servers.get_mut(key) else { continue };
            questions.asked = Some(key);
            questions.is_answered = false;
            io.context.metrics.probes.count(ProbeEvent::Sent);
            server.ask_position(ProbeNumber::default());
            if server.flush(io).is_err() {
                broken.push(key);
            }
        }
        for key in broken {
            self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
    }
}
