//! Ends the work of fronts at an owner that stops.
//!
//! A front of another node cannot tell from the end of a link whether its exchange has run. The
//! owner therefore says so before its process ends: an exchange that waits is refused as not run, so
//! that its front sends it to another owner; an idle transaction is rolled back; an exchange that
//! runs until the last answers of the stop ends with the code for what may have happened to it.

use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::ResultCode;
use kestrellock_core::planned_stop::StopSchedule;
use kestrellock_peer::message::Exchange;

use super::exchanges::{LOST_CONNECTION, chosen_instance};
use super::pool::{Pool, PoolRole};
use super::{Gateway, GroupGateway, ownership, refuse};
use crate::event::Io;
use crate::metrics::{ConnectionEvent, StoppedExchange};
use crate::shared::stage::Stage;

const TRANSACTION_DETAIL: &str = "the node of its connection is stopping";

/// Whether this owner runs no further exchanges, because its process is about to end.
pub(super) fn refuses_work(io: &Io) -> bool {
    has_passed(|stop| stop.final_refusals, io)
}

/// Whether this part of the planned stop has begun; the node may also have finished it earlier.
fn has_passed(part: impl Fn(&StopSchedule) -> std::time::Instant, io: &Io) -> bool {
    let stop = io.context.stop.load();
    let has_begun = stop.as_ref().as_ref().is_some_and(|stop| io.now >= part(stop));
    has_begun || io.context.stage.load() == Stage::Closed
}

/// Numbers of exchanges and transactions that the stop has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Ended {
    waiting: usize,
    transactions: usize,
    running: usize,
    unconfirmed: usize,
}

impl Ended {
    /// Counts and logs them: one line for all that were ended at once.
    fn report(self, io: &Io) {
        if self == Self::default() {
            return;
        }
        let counter = &io.context.metrics.stopped_exchanges;
        counter.add(StoppedExchange::NotRun, self.waiting as u64);
        counter.add(StoppedExchange::TransactionLost, self.transactions as u64);
        counter.add(StoppedExchange::CutOff, (self.running + self.unconfirmed) as u64);
        let stop = io.context.stop.load();
        let age = stop.as_ref().as_ref().map(|stop| io.now.saturating_duration_since(stop.began));
        log::info!(
            event = "work_ended_by_stop",
            waiting = self.waiting as u64,
            transactions = self.transactions as u64,
            running = self.running as u64,
            unconfirmed = self.unconfirmed as u64,
            since_stop_ms = age.map(|age| age.as_millis() as u64);
            "the stop of this node has ended work of fronts"
        );
    }
}

impl GroupGateway {
    fn is_owned(&self) -> bool {
        self.pools.values().any(|pool| pool.role() == PoolRole::Owner)
    }

    /// Removes the exchanges that no instance has been chosen for, or that wait for a connection.
    fn take_waiting(&mut self) -> Vec<Exchange> {
        let mut waiting: Vec<Exchange> = self.placements.take_all().collect();
        waiting.extend(self.pools.values_mut().flat_map(Pool::drain_queue));
        waiting
    }
}

impl Gateway {
    /// Refuses an exchange that arrives when this owner runs no more.
    pub(super) fn refuse_at_stop(&mut self, exchange: &Exchange, io: &mut Io) {
        if let Some(&key) = self.leases.get(&exchange.lease) {
            self.servers[key].refuse_unsent(exchange, Fault::NodeStopping, io);
            self.end_lease_for_stop(key, io);
        } else if self.refuse_of_ended_transaction(exchange, io) {
            // Its transaction has been counted.
            return;
        } else if exchange.number > 0 {
            refuse(exchange, ResultCode::TransactionLost, LOST_CONNECTION, io);
        } else {
            io.context.metrics.stopped_exchanges.count(StoppedExchange::NotRun);
            return self.refer(exchange, io);
        }
        io.context.metrics.stopped_exchanges.count(StoppedExchange::TransactionLost);
    }

    /// Refuses an exchange that has not run, and names the owner that can run it, if there is one.
    fn refer(&self, exchange: &Exchange, io: &mut Io) {
        let owner = chosen_instance(exchange).and_then(|instance| self.next_owner(instance, io));
        ownership::redirect(exchange, owner, io);
    }

    /// The owner of an instance unless that is this node, because all nodes are leaving.
    fn next_owner(&self, instance: &InstanceName, io: &Io) -> Option<NodeName> {
        self.owner_of_instance(instance).filter(|owner| *owner != io.context.identity.node)
    }

    /// Ends the work that this owner no longer finishes at this point of its planned stop.
    pub fn end_work_for_stop(&mut self, io: &mut Io) {
        if !io.context.is_leaving() {
            return;
        }
        let refuses_work = refuses_work(io);
        let mut ended = Ended { waiting: self.refer_waiting(refuses_work, io), ..Ended::default() };
        if refuses_work {
            ended.transactions = self.end_idle_transactions(io);
        }
        if has_passed(|stop| stop.last_answers, io) {
            ended.running = self.cut_off_running(io);
            let groups = self.groups.values_mut();
            ended.unconfirmed = groups.map(|state| state.confirmations.fail_for_stop(io)).sum();
        }
        ended.report(io);
    }

    /// Refuses the exchanges that wait in groups that this node no longer owns, or in `all` groups.
    fn refer_waiting(&mut self, all: bool, io: &mut Io) -> usize {
        let states = self.groups.values_mut().filter(|state| all || !state.is_owned());
        let waiting: Vec<Exchange> = states.flat_map(GroupGateway::take_waiting).collect();
        waiting.iter().for_each(|exchange| self.refer(exchange, io));
        waiting.len()
    }

    /// Rolls back the transactions that are idle. Their fronts learn of it with the next statement.
    fn end_idle_transactions(&mut self, io: &mut Io) -> usize {
        let leases = self.leases.iter().filter(|(_, key)| self.servers[**key].is_idle());
        let idle: Vec<(LeaseId, usize)> =
            leases.map(|(lease, key)| (lease.clone(), *key)).collect();
        let count = idle.len();
        for (lease, key) in idle {
            let sequence = self.servers[key].next_sequence();
            self.ended_transactions.record(lease, sequence, TRANSACTION_DETAIL, io.now);
            self.end_lease_for_stop(key, io);
        }
        count
    }

    /// Ends the exchanges that still run.
    fn cut_off_running(&mut self, io: &mut Io) -> usize {
        let running: Vec<usize> = self.leases.values().copied().collect();
        running.iter().for_each(|key| self.end_lease_for_stop(*key, io));
        running.len()
    }

    /// Closes the connection of a lease and reports what became of its exchange. Unlike a lost
    /// connection, this says nothing about the instance.
    fn end_lease_for_stop(&mut self, key: usize, io: &mut Io) {
        let Some(mut server) = self.servers.try_remove(key) else { return };
        io.context.metrics.instance_connections.count(ConnectionEvent::Closed);
        server.deregister(io);
        if let Some(lease) = server.fail_exchange(Fault::NodeStopping, io) {
            self.leases.remove(&lease);
        }
        let state = self.groups.get_mut(&server.group);
        if let Some(pool) = state.and_then(|state| state.pools.get_mut(&server.instance)) {
            pool.on_lost(key, io.now, rand::random());
        }
    }
}
