//! Zones that are being drained: how long transactions that are open there may go on.
//!
//! New work goes elsewhere as soon as the word of operators is in force. A transaction stays on the connection
//! that it began on; at the end of its time it is rolled back, and its caller is told when it goes on.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Group, IndexedCatalog};
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{InstanceName, LeaseId, ZoneName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::{Exchange, LeaseEvent};

use super::{Gateway, notify};
use crate::event::Io;

/// Share of the limit of the settings for which open transactions go on, from the moment at which this node
/// heard of the drain. The limit runs from the operators' word: the rest of it, 3 s of 5, covers the time that
/// the word may take to a node.
const TRANSACTIONS_SHARE: f64 = 0.4;
/// When callers may come back whose group has no instance outside drained zones: operators take a zone back
/// after minutes, and one that comes back sooner gains nothing.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long it is remembered that a transaction was rolled back: longer than platforms let one rest.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);

/// Since when zones have been drained, by this node's clock, and the transactions that ended with that.
#[derive(Debug, Default)]
pub struct ZoneDrains {
    since: BTreeMap<ZoneName, Instant>,
    /// Leases of transactions that were rolled back at rest.
    ended: HashMap<LeaseId, Ended>,
}

/// A transaction that was rolled back while its caller rested.
#[derive(Debug)]
struct Ended {
    at: Instant,
    /// Number of the next message to its front.
    sequence: u32,
}

impl ZoneDrains {
    /// Takes in a catalog that has come into force.
    pub fn follow(&mut self, catalog: &IndexedCatalog, now: Instant) {
        let drained = catalog.drained_zones();
        self.since.retain(|zone, _| drained.contains(zone));
        for zone in drained {
            self.since.entry(zone.clone()).or_insert_with(|| {
                log::info!(event = "zone_drained", zone = zone.as_str(), revision = catalog.revision.0; "instances of the zone get no more work");
                now
            });
        }
    }

    /// Whether open transactions in a zone have had their time, of which `limit` is the whole.
    pub fn is_over(&self, zone: &ZoneName, limit: Duration, now: Instant) -> bool {
        let since = self.since.get(zone);
        since.is_some_and(|since| now >= *since + limit.mul_f64(TRANSACTIONS_SHARE))
    }

    /// Whether any zone is drained.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// The caller of a transaction that was rolled back goes on with it, or has left. Returns the number of the
    /// next message to its front, if there was such a transaction.
    pub fn take_ended(&mut self, lease: &LeaseId) -> Option<u32> {
        self.ended.remove(lease).map(|ended| ended.sequence)
    }

    fn remember(&mut self, lease: LeaseId, sequence: u32, now: Instant) {
        self.ended.retain(|_, ended| now < ended.at + REMEMBERED_FOR);
        self.ended.insert(lease, Ended { at: now, sequence });
    }
}

/// Refuses at once what no instance can run until a zone is taken back.
pub(super) fn refuse_drained_out(exchange: &Exchange, io: &mut Io) {
    let detail = "every instance of the group stands in a zone that is being drained";
    let refusal = Refusal::new(ResultCode::NoPrimary, detail).retry_after(RETRY_AFTER);
    notify(&exchange.lease, 0, LeaseEvent::Refused(refusal), io);
}

impl Gateway {
    /// Whether a transaction at an instance must not go on, because its zone has been drained for long.
    pub(super) fn has_drained(&self, instance: &InstanceName, io: &Io) -> bool {
        !self.zone_drains.is_empty() && self.is_over_at(instance, &io.context.catalog.load(), io)
    }

    fn is_over_at(&self, instance: &InstanceName, catalog: &IndexedCatalog, io: &Io) -> bool {
        let Some(limit) = io.context.zone_drain_limit else { return false };
        let zone = catalog.instance(instance).map(|(_, instance)| &instance.zone);
        zone.is_some_and(|zone| self.zone_drains.is_over(zone, limit, io.now))
    }

    /// Rolls back open transactions that have had their time: closing the connection does so. One that has a
    /// statement under way is looked at again when that has ended.
    pub(super) fn end_drained_transactions(&mut self, io: &mut Io) {
        if self.zone_drains.is_empty() {
            return;
        }
        let catalog = io.context.catalog.load();
        let over: Vec<(LeaseId, usize)> = self
            .leases
            .iter()
            .filter(|(_, key)| self.servers[**key].is_idle())
            .filter(|(_, key)| self.is_over_at(&self.servers[**key].instance, &catalog, io))
            .map(|(lease, key)| (lease.clone(), *key))
            .collect();
        for (lease, key) in over {
            log::info!(event = "transaction_drained", lease:? = lease, instance = self.servers[key].instance.as_str(); "an open transaction is rolled back: its zone is being drained");
            let sequence = self.servers[key].next_sequence();
            self.zone_drains.remember(lease, sequence, io.now);
            self.on_server_lost(key, Fault::Superseded, io);
        }
    }

    /// Says that a transaction has been rolled back at rest, if that is so.
    pub(super) fn tell_drained(&mut self, exchange: &Exchange, io: &mut Io) -> bool {
        let Some(sequence) = self.zone_drains.take_ended(&exchange.lease) else { return false };
        let refusal = Refusal::new(ResultCode::TransactionLost, "its zone is being drained");
        notify(&exchange.lease, sequence, LeaseEvent::Refused(refusal), io);
        true
    }

    /// Whether no instance of the group may run anything now.
    pub(super) fn is_drained_out(&self, group: &Group, io: &Io) -> bool {
        !self.zone_drains.is_empty() && io.context.catalog.load().is_fully_drained(group)
    }
}
