//! Sends the probes that are due: on ticks, and at once where commits, held writes or questions wait
//! for their answers.

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
        // Where answers tell positions, nothing is asked for them.
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
                        // A broken connection shows as readable and is handled there.
                        let _ = server.flush(io);
                    }
                }
            }
        }
    }

    /// Whether probes must not wait for the next tick, because commits or held writes do.
    pub fn is_urgent(&self, now: Instant) -> bool {
        self.groups.values().any(|state| state.is_urgent(now))
    }

    /// Sends the probes that are due in groups for which something waits.
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
