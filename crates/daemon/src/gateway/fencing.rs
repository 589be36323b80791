//! Keeps work away from a primary that has been replaced, or that no majority confirms.

use std::time::Duration;

use kestrellock_core::catalog::{Elector, Group};
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::routing::Role;
use kestrellock_peer::message::{Exchange, LeaseEvent};

use super::exchanges::chosen_instance;
use super::server::Purpose;
use super::{Gateway, GroupGateway, notify_front};
use crate::event::Io;
use crate::policy::Policy;

/// Delay after which a front may retry a write that its primary cannot run now.
const RETRY_DELAY: Duration = Duration::from_millis(20);

impl GroupGateway {
    /// Refuses the first exchange of a writing lease while no majority follows the instance: its
    /// commit could not be confirmed. Its front keeps the exchange, which has not been sent to the
    /// instance, and retries it. Returns whether the exchange was refused.
    pub(super) fn refuse_unconfirmable_write(
        &mut self,
        exchange: &Exchange,
        group: &Group,
        io: &mut Io,
    ) -> bool {
        self.monitor.on_statement(io.now);
        let unchecked = io.context.policy == Policy::NoConfirmation;
        if !exchange.access.is_write() || unchecked {
            return false;
        }
        if group.elector == Elector::Proxy {
            return self.refuse_write_at_replica(exchange, group, io);
        }
        let majority = group.majority();
        let instance = chosen_instance(exchange);
        if instance.is_some_and(|name| self.monitor.may_take_writes(name, majority, io.now)) {
            return false;
        }
        refuse_for_retry(exchange, "no majority follows the instance as primary", io);
        true
    }

    /// Refuses the first exchange of a writing lease at an instance that its platform no longer
    /// announces as the primary. Returns whether the exchange was refused.
    fn refuse_write_at_replica(&mut self, exchange: &Exchange, group: &Group, io: &mut Io) -> bool {
        let instance = chosen_instance(exchange).and_then(|name| group.instance(name));
        let announced = instance.and_then(|instance| instance.announced_role);
        let leads = announced == Some(Role::Primary);
        if !leads {
            refuse_for_retry(exchange, "the instance is not the primary", io);
        }
        !leads
    }

    /// Returns all exchanges queued for an instance to their fronts.
    pub(super) fn return_queued(&mut self, instance: &InstanceName, io: &mut Io) {
        let Some(pool) = self.pools.get_mut(instance) else { return };
        for exchange in pool.drain_queue() {
            refuse_for_retry(&exchange, "the primary has been replaced", io);
        }
    }
}

fn refuse_for_retry(exchange: &Exchange, detail: &str, io: &mut Io) {
    let refusal = Refusal::new(ResultCode::NotPrimary, detail).retry_after(RETRY_DELAY);
    notify_front(&exchange.lease, 0, LeaseEvent::Refused(refusal), io);
}

impl Gateway {
    /// Handles the appearance of a higher term: closes every connection to primaries of lower
    /// terms, and returns the exchanges queued for them.
    pub(super) fn fence_outdated_primaries(&mut self, name: &GroupName, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        let outdated = state.monitor.outdated_primaries();
        for instance in &outdated {
            log::info!("{instance} of {name} has been replaced as primary");
            state.return_queued(instance, io);
        }
        let fenced: Vec<usize> = self
            .servers
            .iter()
            .filter(|(_, server)| server.purpose == Purpose::Pooled)
            .filter(|(_, server)| server.group == *name && outdated.contains(&server.instance))
            .map(|(key, _)| key)
            .collect();
        for key in fenced {
            self.on_server_lost(key, Fault::Superseded, io);
        }
    }
}
