//! Sends due probes: on ticks, and without delay while commits, held writes or requests for the
//! current position wait for their answers.

use std::time::Instant;

use kestrellock_core::catalog::Group;
use kestrellock_core::ids::GroupName;

use super::monitor::ProbeStep;
use super::server::{Purpose, Server};
use super::{Gateway, GroupGateway};
use crate::event::Io;
use crate::metrics::ProbeEvent;

impl Gateway {
    pub(super) fn send_due_probes(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        // With this protocol every answer carries the position, so no probes are necessary.
        if io.context.protocol.traits().positions_in_answers {
            return;
        }
        let Some(state) = self.groups.get_mut(name) else { return };
        let wanted = state.confirmations.wanted_probe().max(state.current_positions.wanted_probe());
        for instance in &group.instances {
            match state.monitor.next_step(&instance.name, wanted, io.now) {
                ProbeStep::Nothing => {}
                ProbeStep::Connect => {
                    let purpose = Purpose::Probe;
                    if let Ok(key) =
                        Server::connect(&mut self.servers, name, group, instance, None, purpose, io)
                    {
                        state.monitor.on_probe_connecting(&instance.name, key, io.now);
                    }
                }
                ProbeStep::Query(key) => {
                    if let Some(server) = self.servers.get_mut(key) {
                        let number = state.confirmations.next_probe();
                        state.monitor.on_probe_sent(&instance.name, number);
                        io.context.metrics.probes.count(ProbeEvent::Sent);
                        server.query_position(number);
                        // A broken connection becomes readable, and its loss is handled then.
                        let _ = server.flush(io);
                    }
                }
            }
        }
    }

    /// Whether due probes must be sent before the next tick, because statements wait for the
    /// answers.
    pub fn is_urgent(&self, now: Instant) -> bool {
        self.groups.values().any(|state| state.is_urgent(now))
    }

    /// Sends due probes in groups in which a statement waits for the answers.
    pub fn on_urgent(&mut self, io: &mut Io) {
        let catalog = io.context.catalog.load();
        let urgent = |(_, state): &(&GroupName, &GroupGateway)| state.is_urgent(io.now);
        let names: Vec<GroupName> =
            self.groups.iter().filter(urgent).map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(group) = catalog.groups.get(&name) {
                self.send_due_probes(&name, group, io);
            }
        }
    }
}

impl GroupGateway {
    fn is_urgent(&self, now: Instant) -> bool {
        self.confirmations.is_waiting()
            || self.current_positions.is_waiting()
            || self.monitor.is_searching(now)
    }
}
