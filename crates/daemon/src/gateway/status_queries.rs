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
struct InstanceQuery {
    /// Whether one waits to be sent.
    is_requested: bool,
    /// The pooled connection that carries one.
    in_flight: Option<usize>,
    /// Whether that one has been answered by a row.
    is_answered: bool,
}

/// Questions to the instances of one group.
#[derive(Debug, Default)]
pub struct StatusQueries {
    instances: HashMap<InstanceName, InstanceQuery>,
}

impl StatusQueries {
    /// The instance is to be asked.
    pub fn request(&mut self, instance: InstanceName) {
        self.instances.entry(instance).or_default().is_requested = true;
    }

    /// A pooled connection is idle again, or gone. Whether it carried a question that was not
    /// answered.
    pub fn on_connection_ready(&mut self, instance: &InstanceName, key: usize, io: &Io) -> bool {
        let Some(questions) = self.instances.get_mut(instance) else { return false };
        if questions.in_flight != Some(key) {
            return false;
        }
        questions.in_flight = None;
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
    pub(super) fn query_instances_in_doubt(&mut self, name: &GroupName, io: &mut Io) {
        let doubted = io.context.statuses.questions_in_doubt(name, io.now);
        let Some(state) = self.groups.get_mut(name).filter(|_| !doubted.is_empty()) else { return };
        for instance in doubted {
            let is_open =
                state.pools.get(&instance).is_some_and(|pool| pool.open_connections() > 0);
            if is_open {
                state.status_queries.request(instance);
            }
        }
        self.send_status_queries(name, io);
    }

    /// Answers commits that wait for the word of replicas, and asks those for it where some still do.
    pub(super) fn confirm_by_replica_statuses(
        &mut self,
        name: &GroupName,
        group: &Group,
        io: &mut Io,
    ) {
        let Some(state) = self.groups.get_mut(name) else { return };
        state.confirmations.resolve_by_replica_statuses(name, group, io);
        if !state.confirmations.should_query_replicas(io.now) {
            return;
        }
        let leader = io.context.leader(name, group).map(|leader| &leader.name);
        let replicas = group.instances.iter().filter(|one| leader != Some(&one.name));
        replicas.for_each(|replica| state.status_queries.request(replica.name.clone()));
        self.send_status_queries(name, io);
    }

    /// Sends the questions that wait, over idle connections of the instances' pools.
    pub(super) fn send_status_queries(&mut self, name: &GroupName, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        let mut broken = Vec::new();
        for (instance, questions) in &mut state.status_queries.instances {
            if !questions.is_requested || questions.in_flight.is_some() {
                continue;
            }
            questions.is_requested = false;
            let Some(key) = state.pools.get_mut(instance).and_then(Pool::borrow_idle) else {
                // No connection is idle: another instance may be asked.
                state.evidence_queries.on_answer();
                continue;
            };
            let Some(server) = self.servers.get_mut(key) else { continue };
            questions.in_flight = Some(key);
            questions.is_answered = false;
            io.context.metrics.probes.count(ProbeEvent::Sent);
            server.query_position(ProbeNumber::default());
            if server.flush(io).is_err() {
                broken.push(key);
            }
        }
        for key in broken {
            self.on_server_lost(key, Fault::BackendLost, io);
        }
    }
}
