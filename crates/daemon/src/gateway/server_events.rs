//! What back-end connections report, passed on to the pool, the monitor and the confirmations of
//! their group.

use std::time::Instant;

use kestrellock_core::catalog::Group;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};

use super::Gateway;
use super::confirmation::refuse_late;
use super::pool::Pool;
use super::server::{ServerEvent, Use};
use crate::event::Io;
use crate::metrics::{ConnectionEvent, ProbeEvent};
use crate::net::connection::ReadOutcome;
use crate::shared::statuses::Reachability;

/// An instance has accepted a connection under its name: whoever else is told at its address has ended.
fn note_occupant(name: &GroupName, group: &Group, instance: &InstanceName, io: &Io) {
    let Some(configured) = group.instance(instance) else { return };
    let before = io.context.occupants.on_answered(configured.address, instance);
    if let Some(before) = before.filter(|before| group.instance(before).is_some()) {
        log::info!(
            event = "instance_displaced",
            group = name.as_str(),
            instance = before.as_str(),
            by = instance.as_str();
            "another instance answers at the address of one that is still told"
        );
    }
}

impl Gateway {
    /// Handles readiness of a back-end connection.
    pub fn on_ready(&mut self, key: usize, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let outcome = server.fill();
        let events = server.take_events(io);
        let flushed = server.flush(io);
        let broken = flushed.is_err() || outcome.is_over();
        let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        if outcome == ReadOutcome::Refused || flushed.is_err_and(refused) {
            server.mark_refused();
        }
        for event in events {
            self.on_server_event(key, event, io);
        }
        if broken {
            self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
    }

    fn on_server_event(&mut self, key: usize, event: ServerEvent, io: &mut Io) {
        let Some(server) = self.servers.get(key) else { return };
        let (group, instance) = (server.group.clone(), server.instance.clone());
        let catalog = io.context.catalog.load();
        let Some(state) = self.groups.get_mut(&group) else { return };
        let Some(configured) = catalog.groups.get(&group) else { return };
        match event {
            ServerEvent::Started(position) => {
                let made = Reachability::Made(position);
                io.context.statuses.on_connection(&group, &instance, made);
                note_occupant(&group, configured, &instance, io);
                return;
            }
            ServerEvent::Answered | ServerEvent::NoRoom => {
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_answer(matches!(event, ServerEvent::Answered), io.now);
                }
                return;
            }
            ServerEvent::Probed(answer) if server.purpose == Use::Pooled => {
                state.standings.on_answer(&group, &instance, &answer, io);
                state.questions.on_answer();
                self.confirm_by_standings(&group, configured, io);
                return self.retry_placements(&group, configured, io);
            }
            ServerEvent::Ready if server.purpose == Use::Pooled => {
                if state.standings.on_ready(&instance, key, io) {
                    state.questions.on_answer();
                }
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_idle(key, io.now);
                }
            }
            ServerEvent::Ready => state.monitor.on_probe_ready(key, &instance),
            ServerEvent::Unusable => self.on_server_lost(key, Fault::InstanceConnectionLost, io),
            ServerEvent::Refused => {
                io.context.metrics.backends.count(ConnectionEvent::Refused);
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_refused(io.now, rand::random());
                }
                self.on_server_lost(key, Fault::InstanceConnectionLost, io);
            }
            ServerEvent::Displaced => {
                if let Some(server) = self.servers.get_mut(key) {
                    server.mark_refused();
                }
                self.on_server_lost(key, Fault::InstanceConnectionLost, io);
                let state = self.groups.get_mut(&group);
                if let Some(pool) = state.and_then(|state| state.pools.get_mut(&instance)) {
                    pool.on_displaced(io.now);
                }
            }
            ServerEvent::TransactionOpen => {
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_paused(key, io.now);
                }
            }
            ServerEvent::LeaseEnded { lease } => {
                self.leases.remove(&lease);
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_idle(key, io.now);
                }
            }
            ServerEvent::CommitAnswered(commit) => {
                let (answered, now) = (&commit.instance, Instant::now());
                match io.context.replacements.answer_counts(&group, answered, now) {
                    true => state.confirmations.wait_for(commit, configured, io),
                    false => refuse_late(&group, commit, io),
                }
                self.confirm_by_standings(&group, configured, io);
            }
            ServerEvent::Probed(report) => {
                io.context.metrics.probes.count(ProbeEvent::Answered);
                let wait = state.pools.get(&instance).map(Pool::expected_wait);
                let majority = configured.majority();
                let replaced = state.monitor.on_report(&instance, &report, wait, majority, io);
                state.confirmations.on_report(&instance, &report, configured, io);
                let questions = &mut state.current_positions;
                questions.on_report(&group, &instance, &report, configured, io);
                if replaced {
                    self.fence(&group, io);
                }
            }
        }
        self.ask_standings(&group, io);
        self.pump_group(&group, io);
    }
}
