//! The gateway: pooled connections to the instances this node owns, and what is known of them.

pub mod confirmation;
pub mod current_position;
mod fencing;
pub mod hygiene;
pub mod monitor;
pub mod ownership;
pub mod pool;
pub mod prepared;
pub mod probe;
pub mod running;
pub mod server;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Group;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::routing::has_reached;
use kestrellock_peer::message::{Exchange, GatewayCall, LeaseEvent, ToFront, ToGateway};
use slab::Slab;

use crate::metrics::{ConnectionEvent, ProbeEvent};
use crate::net::connection::ReadOutcome;
use crate::ownership::OwnershipSnapshot;
use crate::shard::{Io, Outgoing};
use crate::stopping::Stage;

use self::confirmation::Confirmations;
use self::current_position::CurrentPositions;
use self::monitor::Monitor;
use self::pool::{Assigned, Assignment, Pool, PoolRole, RefusedExchange};

use self::server::{Server, ServerEvent, Use};

/// What one group needs on this shard.
#[derive(Debug)]
pub struct GroupGateway {
    monitor: Monitor,
    pools: HashMap<InstanceName, Pool>,
    confirmations: Confirmations,
    current_positions: CurrentPositions,
}

/// Back-end connections of one shard.
#[derive(Debug, Default)]
pub struct Gateway {
    servers: Slab<Server>,
    groups: HashMap<GroupName, GroupGateway>,
    leases: HashMap<LeaseId, usize>,
    followed: Option<Arc<OwnershipSnapshot>>,
    /// When another node's front last sent an exchange.
    last_forwarded: Option<Instant>,
}

/// Tells the front of `lease` what happened.
pub fn notify(lease: &LeaseId, sequence: u32, event: LeaseEvent, io: &mut Io) {
    let message = ToFront::Lease { lease: lease.clone(), sequence, event };
    io.outbox.push_back(Outgoing::Front {
        node: lease.node.clone(),
        shard: Some(lease.shard),
        message,
    });
}

fn refuse(exchange: &Exchange, code: ResultCode, detail: &str, io: &mut Io) {
    let event = LeaseEvent::Refused(Refusal::new(code, detail));
    notify(&exchange.lease, 0, event, io);
}

fn notify_refused(refused: RefusedExchange, io: &mut Io) {
    notify(&refused.exchange.lease, 0, LeaseEvent::Refused(refused.refusal), io);
}

impl Gateway {
    /// Whether nothing is under way or waits, and no work from other nodes has come for `quiet`.
    pub fn is_drained(&self, quiet: Duration) -> bool {
        let is_quiet = self.last_forwarded.is_none_or(|last| last.elapsed() >= quiet);
        let is_waiting = |state: &GroupGateway| {
            state.confirmations.is_waiting() || state.pools.values().any(|pool| pool.waiting() > 0)
        };
        is_quiet && self.leases.is_empty() && !self.groups.values().any(is_waiting)
    }

    /// Number of open back-end connections.
    pub fn connections(&self) -> usize {
        self.servers.len()
    }

    /// Handles a front's message.
    pub fn on_call(&mut self, message: ToGateway, io: &mut Io) {
        let catalog = io.context.catalog.load();
        let Some(group) = catalog.groups.get(&message.group) else {
            if let GatewayCall::Exchange(exchange) = message.call {
                refuse(&exchange, ResultCode::NotOwner, "the gateway does not know the group", io);
            }
            return;
        };
        if io.context.stage.load() == Stage::Closed {
            return;
        }
        self.follow_ownership(io);
        match message.call {
            GatewayCall::Exchange(exchange) => {
                self.on_exchange(&message.group, group, *exchange, io)
            }
            GatewayCall::Abandon(lease) => self.on_abandon(&lease, io),
            GatewayCall::Cancel(lease) => self.on_cancel(group, &lease, io),
            GatewayCall::CurrentPosition { shard, number } => {
                let state = self.group_state(&message.group, io.now);
                let first_probe = state.confirmations.coming_probe();
                state.current_positions.ask(message.from, shard, number, first_probe, io.now);
                self.probe(&message.group, group, io);
            }
            GatewayCall::Subscribe => {
                self.group_state(&message.group, io.now).monitor.subscribe(message.from, io);
            }
        }
    }

    /// What this shard holds of a group.
    fn group_state(&mut self, name: &GroupName, now: Instant) -> &mut GroupGateway {
        self.groups.entry(name.clone()).or_insert_with(|| GroupGateway {
            monitor: Monitor::new(name.clone(), now),
            pools: HashMap::new(),
            confirmations: Confirmations::default(),
            current_positions: CurrentPositions::default(),
        })
    }

    fn on_exchange(&mut self, name: &GroupName, group: &Group, exchange: Exchange, io: &mut Io) {
        if exchange.lease.node != io.context.identity.node {
            self.last_forwarded = Some(io.now);
        }
        if let Some(&key) = self.leases.get(&exchange.lease) {
            if let Some(pool) = self.pool_of(key) {
                pool.on_resumed(key, io.now);
            }
            self.run_on(key, &exchange, io);
            return;
        }
        if exchange.number > 0 {
            refuse(
                &exchange,
                ResultCode::TransactionLost,
                "the transaction's connection is gone",
                io,
            );
            return;
        }
        let Some(instance) = group.instance(&exchange.instance) else {
            refuse(&exchange, ResultCode::NotOwner, "the gateway does not know the instance", io);
            return;
        };
        let capacity = io.context.catalog.load().capacity(&exchange.tenant).unwrap_or(1);
        let state = self.group_state(name, io.now);
        if state.refuses_write(&exchange, group, io) {
            return self.probe(name, group, io);
        }
        let pool = state.pools.get_mut(&instance.name);
        let Some(pool) = pool.filter(|pool| pool.accepts(io.now)) else {
            let owner = self.owner_of(&instance.name);
            ownership::refer(&exchange, owner, io);
            return;
        };
        if let Err(refused) = pool.offer(exchange, capacity, io.now) {
            notify_refused(*refused, io);
            return;
        }
        self.pump(name, group, io);
    }

    /// Gives waiting exchanges to idle connections, and opens connections where that helps.
    fn pump(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        let mut assigned = Vec::new();
        for instance in &group.instances {
            let Some(pool) = state.pools.get_mut(&instance.name) else { continue };
            let Assigned { run, refused } = pool.assign(io.now);
            refused.into_iter().for_each(|refused| notify_refused(refused, io));
            assigned.extend(run);
            for _ in 0..pool.connections_to_open(io.now) {
                let purpose = Use::Pooled;
                match Server::connect(&mut self.servers, name, group, instance, purpose, io) {
                    Ok(key) => pool.on_connecting(key, io.now),
                    Err(_) => {
                        pool.on_connect_failed(io.now, rand::random());
                        break;
                    }
                }
            }
        }
        for Assignment { key, exchange } in assigned {
            self.leases.insert(exchange.lease.clone(), key);
            if let Some(server) = self.servers.get_mut(key) {
                server.begin_lease(exchange.lease.clone());
            }
            self.run_on(key, &exchange, io);
        }
    }

    /// The pool that a connection belongs to.
    fn pool_of(&mut self, key: usize) -> Option<&mut Pool> {
        let server = self.servers.get(key)?;
        self.groups.get_mut(&server.group)?.pools.get_mut(&server.instance)
    }

    /// Whether the instance has reached the session bound, by its own last word. The front that
    /// chose it knew less.
    fn is_recent_enough(&self, key: usize, exchange: &Exchange) -> bool {
        if exchange.access.bound().is_none() {
            return true;
        }
        let server = &self.servers[key];
        let status = self.groups.get(&server.group).and_then(|state| {
            let status = state.monitor.status(&server.instance)?;
            (status.reachable || exchange.access.is_write()).then_some(status)
        });
        status.is_some_and(|status| has_reached(status, &exchange.access))
    }

    fn run_on(&mut self, key: usize, exchange: &Exchange, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if !server.accepts(exchange) {
            server.refuse_unsent(exchange, Fault::AnswerLost, io);
            return self.on_server_lost(key, Fault::BackendLost, io);
        }
        if exchange.number == 0 && !self.is_recent_enough(key, exchange) {
            let code = match exchange.access.is_write() {
                true => ResultCode::NotPrimary,
                false => ResultCode::NoFreshInstance,
            };
            refuse(exchange, code, "the instance has not reached the session's position", io);
            return self.release(key, io);
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        let deadline = io.now + exchange.time_left;
        // Read again: this process may have been paused since the event was taken up.
        if Instant::now() >= deadline {
            server.refuse_unsent(exchange, Fault::Deadline, io);
            return self.release(key, io);
        }
        server.run(exchange, deadline);
        if server.flush(io).is_err() {
            self.on_server_lost(key, Fault::BackendLost, io);
        }
    }

    fn on_abandon(&mut self, lease: &LeaseId, io: &mut Io) {
        for state in self.groups.values_mut() {
            state.pools.values_mut().for_each(|pool| pool.forget(lease));
            state.confirmations.forget(lease);
        }
        if let Some(&key) = self.leases.get(lease) {
            self.release(key, io);
        }
    }

    /// Ends the lease of a connection that nobody waits for. An open transaction is rolled back
    /// before the connection is used again; with an exchange under way it is closed instead.
    fn release(&mut self, key: usize, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if let Some(lease) = server.lease() {
            self.leases.remove(lease);
        }
        if !server.reset(io) || server.flush(io).is_err() {
            self.on_server_lost(key, Fault::BackendLost, io);
        }
    }

    /// Gives up everything on behalf of a node that cannot be reached: its fronts have told their
    /// callers, and no message from them will end what they began.
    pub fn on_peer_lost(&mut self, node: &NodeName, io: &mut Io) {
        for state in self.groups.values_mut() {
            state.pools.values_mut().for_each(|pool| pool.forget_node(node));
            state.confirmations.forget_node(node);
        }
        let orphans: Vec<usize> = self
            .leases
            .iter()
            .filter(|(lease, _)| lease.node == *node)
            .map(|(_, key)| *key)
            .collect();
        for key in orphans {
            self.release(key, io);
        }
    }

    /// Handles readiness of a back-end connection.
    pub fn on_ready(&mut self, key: usize, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let outcome = server.fill();
        let events = server.take_events(io);
        let broken = server.flush(io).is_err() || outcome == ReadOutcome::Closed;
        for event in events {
            self.on_server_event(key, event, io);
        }
        if broken {
            self.on_server_lost(key, Fault::BackendLost, io);
        }
    }

    fn on_server_event(&mut self, key: usize, event: ServerEvent, io: &mut Io) {
        let Some(server) = self.servers.get(key) else { return };
        let (group, instance) = (server.group.clone(), server.instance.clone());
        let catalog = io.context.catalog.load();
        let Some(state) = self.groups.get_mut(&group) else { return };
        let Some(configured) = catalog.groups.get(&group) else { return };
        match event {
            ServerEvent::Ready if server.purpose == Use::Pooled => {
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_idle(key, io.now);
                }
            }
            ServerEvent::Ready => state.monitor.on_probe_ready(key, &instance),
            ServerEvent::Unusable => self.on_server_lost(key, Fault::BackendLost, io),
            ServerEvent::Refused => {
                io.context.metrics.backends.count(ConnectionEvent::Refused);
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_refused(io.now, rand::random());
                }
                self.on_server_lost(key, Fault::BackendLost, io);
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
                state.confirmations.wait_for(commit, configured, io);
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
        self.pump_group(&group, io);
    }

    fn pump_group(&mut self, name: &GroupName, io: &mut Io) {
        let catalog = io.context.catalog.load();
        if let Some(group) = catalog.groups.get(name) {
            self.pump(name, group, io);
            self.probe(name, group, io);
        }
    }

    fn probe(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        let wanted = state.confirmations.wanted_probe().max(state.current_positions.wanted_probe());
        for instance in &group.instances {
            match state.monitor.next_step(&instance.name, wanted, io.now) {
                monitor::Step::Nothing => {}
                monitor::Step::Connect => {
                    let purpose = Use::Probe;
                    if let Ok(key) =
                        Server::connect(&mut self.servers, name, group, instance, purpose, io)
                    {
                        state.monitor.on_probe_connecting(&instance.name, key, io.now);
                    }
                }
                monitor::Step::Ask(key) => {
                    if let Some(server) = self.servers.get_mut(key) {
                        let number = state.confirmations.next_probe();
                        state.monitor.on_asked(&instance.name, number);
                        io.context.metrics.probes.count(ProbeEvent::Sent);
                        server.ask_position(number, io);
                        // A broken connection shows as readable and is handled there.
                        let _ = server.flush(io);
                    }
                }
            }
        }
    }

    /// Asks the back end to cancel what runs on a lease.
    fn on_cancel(&mut self, group: &Group, lease: &LeaseId, io: &mut Io) {
        let Some(&key) = self.leases.get(lease) else { return };
        let Some(instance) = group.instance(&self.servers[key].instance) else { return };
        Server::cancel(&mut self.servers, key, instance.address, io);
    }

    /// Handles the loss of a connection: whoever used it is told what that means.
    fn on_server_lost(&mut self, key: usize, fault: Fault, io: &mut Io) {
        let Some(mut server) = self.servers.try_remove(key) else { return };
        io.context.metrics.backends.count(ConnectionEvent::Closed);
        server.deregister(io);
        if let Some(lease) = server.fail_exchange(fault, io) {
            self.leases.remove(&lease);
        }
        let Some(state) = self.groups.get_mut(&server.group) else { return };
        match server.purpose {
            Use::Pooled => {
                state.monitor.on_connection_lost(&server.instance, io.now);
                if let Some(pool) = state.pools.get_mut(&server.instance) {
                    pool.on_lost(key, io.now, rand::random());
                }
            }
            Use::Probe => {
                let pool = state.pools.get(&server.instance);
                let owned = pool.is_some_and(|pool| pool.role() == PoolRole::Owner);
                state.monitor.on_probe_lost(&server.instance, owned, io);
            }
            Use::Cancel => {}
        }
    }

    /// Opens what this node owns, ends what is late, probes what is due.
    pub fn on_tick(&mut self, io: &mut Io) {
        self.follow_ownership(io);
        self.give_up_overdue(io);
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            if let Some(state) = self.groups.get_mut(&name) {
                state.confirmations.expire(io);
                state.current_positions.expire(io.now);
                let late = state.pools.values_mut().flat_map(|pool| pool.give_up_late(io.now));
                late.collect::<Vec<_>>().into_iter().for_each(|late| notify_refused(late, io));
                let mut overdue = state.monitor.overdue(io.now);
                overdue.extend(state.pools.values().flat_map(|pool| pool.overdue(io.now)));
                for key in overdue {
                    self.on_server_lost(key, Fault::Deadline, io);
                }
            }
            self.pump_group(&name, io);
        }
        self.close_surplus(io);
    }

    /// Closes a connection that has nothing under way.
    fn close_idle(&mut self, key: usize, io: &mut Io) {
        self.on_server_lost(key, Fault::BackendLost, io);
    }

    /// Closes connections whose back end has not answered in time.
    fn give_up_overdue(&mut self, io: &mut Io) {
        let overdue: Vec<usize> = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_overdue(io.now))
            .map(|(key, _)| key)
            .collect();
        for key in overdue {
            self.on_server_lost(key, Fault::Deadline, io);
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
                self.probe(&name, group, io);
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
