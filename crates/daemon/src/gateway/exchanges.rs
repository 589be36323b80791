//! Handles exchanges from their arrival until they are sent to an instance.
//!
//! An exchange of an open lease runs on the lease's connection. The first exchange of a lease is
//! queued in the pool of its instance until a connection is idle.

use std::time::Instant;

use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::outcome::ResultCode;
use kestrellock_core::routing::has_reached;
use kestrellock_peer::message::{Exchange, Placement};

use super::pool::{Assignment, Assignments, ConnectionToOpen, Pool};
use super::server::{Purpose, Server};
use super::{Gateway, event_log, notify_refused, ownership, queued_log, refuse, stopping};
use crate::event::Io;
use crate::metrics::{CapacityEvent, ConnectionEvent};

/// Why an exchange of a transaction without a connection is refused.
pub(super) const LOST_CONNECTION: &str = "the transaction's connection is gone";

/// The instance that has been chosen for an exchange, if any.
pub fn chosen_instance(exchange: &Exchange) -> Option<&InstanceName> {
    match &exchange.placement {
        Placement::Instance(instance) => Some(instance),
        Placement::Any(_) => None,
    }
}

impl Gateway {
    pub(super) fn on_exchange(
        &mut self,
        name: &GroupName,
        group: &Group,
        exchange: Exchange,
        io: &mut Io,
    ) {
        if exchange.lease.node != io.context.identity.node {
            self.last_remote_exchange = Some(io.now);
        }
        if self.reported_not_run.contains_key(&exchange.lease) {
            event_log::log_dropped(&exchange, io);
            return;
        }
        if stopping::refuses_work(io) {
            return self.refuse_at_stop(&exchange, io);
        }
        if let Some(&key) = self.leases.get(&exchange.lease) {
            if self.is_drain_over(&self.servers[key].instance, io) {
                // Closing the connection rolls back the transaction.
                self.servers[key].refuse_unsent(&exchange, Fault::Superseded, io);
                return self.on_server_lost(key, Fault::Superseded, io);
            }
            if let Some(pool) = self.pool_of(key) {
                pool.on_resumed(key, io.now);
            }
            self.run_on_connection(key, &exchange, io);
            return;
        }
        if self.refuse_of_ended_transaction(&exchange, io) {
            return;
        }
        if exchange.number > 0 {
            refuse(&exchange, ResultCode::TransactionLost, LOST_CONNECTION, io);
            return;
        }
        if let Placement::Any(need) = &exchange.placement {
            let need = need.clone();
            return self.place(name, group, exchange, need, io);
        }
        self.offer(name, group, exchange, io);
    }

    /// Queues the first exchange of a lease for its chosen instance.
    pub(super) fn offer(
        &mut self,
        name: &GroupName,
        group: &Group,
        exchange: Exchange,
        io: &mut Io,
    ) {
        let Some(instance) = chosen_instance(&exchange).and_then(|name| group.instance(name))
        else {
            refuse(&exchange, ResultCode::NotOwner, "the gateway does not know the instance", io);
            return;
        };
        let capacity = io.context.catalog.load().capacity(&exchange.tenant).unwrap_or(1);
        let state = self.group_state(name, io.now);
        if state.refuse_unconfirmable_write(&exchange, group, io) {
            return self.send_due_probes(name, group, io);
        }
        let pool = state.pools.get_mut(&instance.name);
        let Some(pool) = pool.filter(|pool| pool.accepts(io.now)) else {
            let owner = self.owner_of_instance(&instance.name);
            ownership::redirect(&exchange, owner, io);
            return;
        };
        if let Err(refused) = pool.offer(exchange, capacity, io.now) {
            notify_refused(*refused, io);
            return;
        }
        self.dispatch_queued(name, group, io);
    }

    /// Runs queued exchanges on idle connections, and opens connections that the pools need.
    pub(super) fn dispatch_queued(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        state.update_allocations(name, group, io);
        let mut assigned = Vec::new();
        let mut openings = Vec::new();
        for instance in &group.instances {
            let Some(pool) = state.pools.get_mut(&instance.name) else { continue };
            let Assignments { run, refused } = pool.assign(io.now);
            queued_log::log_waits(&instance.name, &pool.take_long_waits(), io);
            if pool.has_allocation() {
                io.context.metrics.capacity.add(CapacityEvent::Taken, run.len() as u64);
            }
            refused.into_iter().for_each(|refused| notify_refused(refused, io));
            assigned.extend(run);
            openings.extend(
                pool.connections_to_open(io.now).into_iter().map(|opening| (instance, opening)),
            );
        }
        state.report_demands(name, group, io);
        for (instance, opening) in openings {
            self.open_connection(name, group, instance, opening, io);
        }
        for Assignment { key, exchange } in assigned {
            self.leases.insert(exchange.lease.clone(), key);
            if let Some(server) = self.servers.get_mut(key) {
                server.begin_lease(exchange.lease.clone());
            }
            self.run_on_connection(key, &exchange, io);
        }
    }

    /// Opens a connection, and closes the idle connection that it replaces, if any.
    fn open_connection(
        &mut self,
        name: &GroupName,
        group: &Group,
        instance: &Instance,
        opening: ConnectionToOpen,
        io: &mut Io,
    ) {
        let ConnectionToOpen { account, replaces } = opening;
        if let Some(key) = replaces {
            io.context.metrics.instance_connections.count(ConnectionEvent::Replaced);
            self.close_idle(key, io);
        }
        let purpose = Purpose::Pooled;
        let account_name = account.as_ref();
        let opened =
            Server::connect(&mut self.servers, name, group, instance, account_name, purpose, io);
        let Some(pool) =
            self.groups.get_mut(name).and_then(|state| state.pools.get_mut(&instance.name))
        else {
            return;
        };
        match opened {
            Ok(key) => pool.on_connecting(key, account, io.now),
            Err(_) => pool.on_connect_failed(io.now, rand::random()),
        }
    }

    /// The pool that a connection belongs to.
    fn pool_of(&mut self, key: usize) -> Option<&mut Pool> {
        let server = self.servers.get(key)?;
        self.groups.get_mut(&server.group)?.pools.get_mut(&server.instance)
    }

    /// Whether the instance has reached the position that the session requires, according to its
    /// last report. The front that chose the instance may have used an older report.
    fn has_reached_bound(&self, key: usize, exchange: &Exchange, io: &Io) -> bool {
        let checked_by_instance = io.context.protocol.traits().positions_in_answers;
        if exchange.access.bound().is_none() || checked_by_instance {
            return true;
        }
        let server = &self.servers[key];
        let status = self.groups.get(&server.group).and_then(|state| {
            let status = state.monitor.status(&server.instance)?;
            (status.reachable || exchange.access.is_write()).then_some(status)
        });
        status.is_some_and(|status| has_reached(status, &exchange.access))
    }

    /// Whether the evidence on which the choice of the instance relied still covers the exchange. The
    /// process may have ended while the exchange waited in the queue, and another one of the same
    /// instance may lack the commits that the exchange must see. On a connection that was established
    /// after the choice, the evidence must cover the process to which that connection leads.
    fn has_required_lead(&self, key: usize, exchange: &Exchange, io: &Io) -> bool {
        let Some(required) = exchange.required_lead else { return true };
        let server = &self.servers[key];
        let catalog = io.context.catalog.load();
        let Some(configured) = catalog.groups.get(&server.group) else { return false };
        let (established, _) = server.times();
        let group_statuses = io.context.statuses.group(&server.group);
        let known = group_statuses.read().expect("a thread panicked while it held the status lock");
        let is_covered = || {
            let lifetime = io.context.evidence_lifetime(&server.group);
            let covered_until =
                known.covered_until(&server.instance, configured.replication(), lifetime);
            covered_until.is_some_and(|covered_until| required.must_cover <= covered_until)
        };
        let leads = known.current_led_term_of(&server.instance) >= Some(required.term);
        leads && (established <= required.chosen_at || is_covered())
    }

    fn run_on_connection(&mut self, key: usize, exchange: &Exchange, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if !server.can_run(exchange) {
            server.refuse_unsent(exchange, Fault::AnswerLost, io);
            return self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
        let deadline = io.now + exchange.time_left;
        if !self.may_send(key, exchange, deadline, io) {
            return;
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        let (group, instance) = (server.group.clone(), server.instance.clone());
        if !server.prepare(exchange, deadline, io) {
            server.send(exchange, deadline, io);
        }
        self.flush_connection(key, io);
        if exchange.commits_write {
            self.ask_for_answer_evidence(&group, &instance, io);
        }
    }

    /// Sends the exchange whose session state the instance has confirmed. Time has passed since its
    /// instance was chosen, so everything that may have changed is checked again.
    pub(super) fn send_prepared(&mut self, key: usize, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some((exchange, deadline)) = server.take_prepared() else { return };
        if stopping::refuses_work(io) {
            return self.refuse_at_stop(&exchange, io);
        }
        if self.is_drain_over(&self.servers[key].instance, io) {
            self.servers[key].refuse_unsent(&exchange, Fault::Superseded, io);
            return self.on_server_lost(key, Fault::Superseded, io);
        }
        if !self.may_send(key, &exchange, deadline, io) {
            return;
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        server.send(&exchange, deadline, io);
        self.flush_connection(key, io);
    }

    /// Whether an exchange may be sent on its connection now. If not, it is refused and its lease
    /// ends.
    fn may_send(
        &mut self,
        key: usize,
        exchange: &Exchange,
        deadline: Instant,
        io: &mut Io,
    ) -> bool {
        if exchange.number == 0 && !self.has_reached_bound(key, exchange, io) {
            let code = match exchange.access.is_write() {
                true => ResultCode::NotPrimary,
                false => ResultCode::NoFreshInstance,
            };
            refuse(exchange, code, "the instance has not reached the session's position", io);
            self.terminate_lease(key, io);
            return false;
        }
        if exchange.number == 0 && !self.has_required_lead(key, exchange, io) {
            let detail = "the instance's process may have ended since it was chosen";
            refuse(exchange, ResultCode::NoFreshInstance, detail, io);
            self.terminate_lease(key, io);
            return false;
        }
        // Read the clock again: this process may have been paused since it received the event.
        if Instant::now() >= deadline {
            self.servers[key].refuse_unsent(exchange, Fault::Deadline, io);
            self.terminate_lease(key, io);
            return false;
        }
        true
    }

    fn flush_connection(&mut self, key: usize, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if server.flush(io).is_err() {
            self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
    }
}
