//! The gateway: pooled connections to the instances that this node owns, and their known state.
//!
//! This module defines the state of one shard's gateway and dispatches messages from fronts and
//! timer ticks. The submodules implement the reactions.

mod capacity;
mod choice_log;
pub mod confirmation;
mod connection_loss;
pub mod current_position;
mod ended_transactions;
pub mod event_log;
mod evidence_queries;
mod evidence_renewal;
mod exchanges;
mod fencing;
pub mod instance_choice;
mod leases;
pub mod monitor;
pub mod ownership;
mod placements;
pub mod pool;
mod prewarming;
mod primary_tracker;
mod probing;
pub mod queued_log;
pub mod running_exchange;
pub mod server;
mod server_events;
pub mod status_connection;
pub mod status_queries;
mod stopping;
mod zone_drains;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::{Exchange, GatewayCall, LeaseEvent, ToFront, ToGateway};
use slab::Slab;

use crate::event::{Io, Outgoing};
use crate::ownership::OwnershipSnapshot;
use crate::shared::stage::Stage;

use self::capacity::CapacityReports;
use self::confirmation::Confirmations;
use self::current_position::CurrentPositions;
use self::ended_transactions::EndedTransactions;
use self::evidence_queries::EvidenceQueries;
use self::evidence_renewal::EvidenceRenewal;
use self::monitor::Monitor;
use self::placements::Placements;
use self::pool::{Pool, RefusedExchange};
use self::primary_tracker::PrimaryTracker;
use self::server::Server;
use self::status_queries::StatusQueries;
use self::zone_drains::ZoneDrains;

/// State of one group on this shard.
#[derive(Debug)]
pub struct GroupGateway {
    monitor: Monitor,
    pools: HashMap<InstanceName, Pool>,
    confirmations: Confirmations,
    current_positions: CurrentPositions,
    placements: Placements,
    evidence_queries: EvidenceQueries,
    evidence_renewal: EvidenceRenewal,
    status_queries: StatusQueries,
    primary_tracker: PrimaryTracker,
    capacity_reports: CapacityReports,
}

/// Connections of one shard to instances, and the leases that use them.
#[derive(Debug, Default)]
pub struct Gateway {
    servers: Slab<Server>,
    groups: HashMap<GroupName, GroupGateway>,
    leases: HashMap<LeaseId, usize>,
    /// Leases whose exchange was reported to their front as not run, and when that was reported.
    reported_not_run: HashMap<LeaseId, Instant>,
    applied_snapshot: Option<Arc<OwnershipSnapshot>>,
    zone_drains: ZoneDrains,
    ended_transactions: EndedTransactions,
    /// When the front of another node last sent an exchange.
    last_remote_exchange: Option<Instant>,
}

/// Sends an event of `lease` to its front.
pub fn notify_front(lease: &LeaseId, sequence: u32, event: LeaseEvent, io: &mut Io) {
    let message = ToFront::Lease { lease: lease.clone(), sequence, event };
    io.outbox.push_back(Outgoing::Front {
        node: lease.node.clone(),
        shard: Some(lease.shard),
        message,
    });
}

fn refuse(exchange: &Exchange, code: ResultCode, detail: &str, io: &mut Io) {
    let event = LeaseEvent::Refused(Refusal::new(code, detail));
    notify_front(&exchange.lease, 0, event, io);
}

fn notify_refused(refused: RefusedExchange, io: &mut Io) {
    notify_front(&refused.exchange.lease, 0, LeaseEvent::Refused(refused.refusal), io);
}

impl Gateway {
    /// Whether no lease is open, no statement waits, and no exchange has arrived from another node
    /// for `quiet`.
    pub fn is_drained(&self, quiet: Duration) -> bool {
        let is_quiet = self.last_remote_exchange.is_none_or(|last| last.elapsed() >= quiet);
        is_quiet && self.leases.is_empty() && !self.is_waiting()
    }

    /// Whether any statement waits for an instance, a connection or the confirmation of its commit,
    /// or a demand for capacity has to be withdrawn.
    pub fn is_waiting(&self) -> bool {
        let is_waiting = |state: &GroupGateway| {
            let held = state.confirmations.is_waiting() || state.placements.is_waiting();
            let has_demand = |pool: &Pool| pool.waiting() > 0 || pool.has_reported_demand();
            held || state.pools.values().any(has_demand)
        };
        self.groups.values().any(is_waiting)
    }

    /// Number of open connections to instances.
    pub fn connection_count(&self) -> usize {
        self.servers.len()
    }

    /// Handles a message from a front.
    pub fn on_call(&mut self, message: ToGateway, io: &mut Io) {
        let catalog = io.context.catalog.load();
        let Some(group) = catalog.groups.get(&message.group) else {
            match message.call {
                GatewayCall::Exchange(exchange) => {
                    let detail = "the gateway does not know the group";
                    refuse(&exchange, ResultCode::NotOwner, detail, io);
                }
                GatewayCall::Abandon(lease) => self.on_abandon(&lease, io),
                GatewayCall::Withdraw(lease) => self.on_withdraw(&lease, io),
                _ => {}
            }
            return;
        };
        self.apply_ownership(io);
        let is_closed = io.context.stage.load() == Stage::Closed;
        match message.call {
            GatewayCall::Exchange(exchange) => {
                self.on_exchange(&message.group, group, *exchange, io)
            }
            GatewayCall::Abandon(lease) => self.on_abandon(&lease, io),
            GatewayCall::Withdraw(lease) => self.on_withdraw(&lease, io),
            _ if is_closed => {}
            GatewayCall::Cancel(lease) => self.on_cancel(group, &lease, io),
            GatewayCall::CurrentPosition { shard, number } => {
                let state = self.group_state(&message.group, io.now);
                let first_probe = state.confirmations.upcoming_probe();
                state.current_positions.add_request(
                    message.from,
                    shard,
                    number,
                    first_probe,
                    io.now,
                );
                self.send_due_probes(&message.group, group, io);
            }
            GatewayCall::Subscribe => {
                self.group_state(&message.group, io.now).monitor.subscribe(message.from, io);
            }
            GatewayCall::Prewarm { account, at_primary } => {
                self.on_prewarm(&message.group, group, account, at_primary, io);
            }
            GatewayCall::CapacityDemand(demands) => {
                self.on_capacity_demand(&message.group, group, &message.from, &demands, io);
            }
        }
    }

    /// The shard's state of a group; creates it if necessary.
    fn group_state(&mut self, name: &GroupName, now: Instant) -> &mut GroupGateway {
        self.groups.entry(name.clone()).or_insert_with(|| GroupGateway {
            monitor: Monitor::new(name.clone(), now),
            pools: HashMap::new(),
            confirmations: Confirmations::default(),
            current_positions: CurrentPositions::default(),
            placements: Placements::default(),
            evidence_queries: EvidenceQueries::default(),
            evidence_renewal: EvidenceRenewal::default(),
            status_queries: StatusQueries::default(),
            primary_tracker: PrimaryTracker::default(),
            capacity_reports: CapacityReports::default(),
        })
    }

    /// Retries placements, runs queued exchanges and sends due probes.
    fn advance_group(&mut self, name: &GroupName, io: &mut Io) {
        let catalog = io.context.catalog.load();
        if let Some(group) = catalog.groups.get(name) {
            self.retry_placements(name, group, io);
            self.dispatch_queued(name, group, io);
            self.prewarm_connections(name, group, io);
            self.send_due_probes(name, group, io);
        }
    }

    fn confirm_waiting_commits(&mut self, name: &GroupName, io: &mut Io) {
        let catalog = io.context.catalog.load();
        let is_waiting = |state: &GroupGateway| state.confirmations.is_waiting();
        if let Some(group) = catalog.groups.get(name)
            && self.groups.get(name).is_some_and(is_waiting)
        {
            self.confirm_by_replica_statuses(name, group, io);
        }
    }

    /// Applies changes of ownership and primaries, fails overdue exchanges and connections, and
    /// retries those that wait.
    pub fn on_tick(&mut self, io: &mut Io) {
        self.apply_ownership(io);
        self.end_work_for_stop(io);
        self.track_primaries(io);
        self.end_drained_transactions(io);
        self.close_overdue(io);
        let catalog = io.context.catalog.load();
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            if let Some(state) = self.groups.get_mut(&name) {
                state.confirmations.expire(&name, catalog.groups.get(&name), io);
                state.current_positions.expire(io.now);
                let mut late = Vec::new();
                for (instance, pool) in &mut state.pools {
                    late.extend(pool.remove_late(io.now));
                    queued_log::log_waits(instance, &pool.take_long_waits(), io);
                }
                late.into_iter().for_each(|late| notify_refused(late, io));
                let mut timed_out = state.monitor.timed_out_probes(io.now);
                timed_out.extend(
                    state.pools.values().flat_map(|pool| pool.timed_out_connections(io.now)),
                );
                for key in timed_out {
                    self.on_server_lost(key, Fault::Deadline, io);
                }
            }
            self.query_unresponsive_instances(&name, io);
            self.renew_evidence(&name, io);
            self.send_waiting_status_queries(&name, io);
            self.confirm_waiting_commits(&name, io);
            self.advance_group(&name, io);
        }
        self.close_surplus(io);
    }
}
