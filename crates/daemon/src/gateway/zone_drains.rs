//! Ends open transactions at instances in zones that are being drained.
//!
//! New work goes to other zones as soon as this node has activated the operators' configuration. An
//! open transaction stays on its connection for a limited time. After that it is rolled back while
//! it is idle, and the answer to the client's next statement reports that.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Group, IndexedCatalog};
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{InstanceName, LeaseId, ZoneName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::{Exchange, LeaseEvent};

use super::{Gateway, event_log, notify_front};
use crate::event::Io;

/// Fraction of the configured drain limit for which open transactions may continue after this node
/// has learned of the drain. The limit counts from the operators' request; the remaining fraction,
/// 3 s of 5 s, covers the time until the configuration reaches a node.
const TRANSACTION_TIME_FRACTION: f64 = 0.4;
/// Delay after which a client may retry if its group has no instance outside drained zones.
/// Operators withdraw a drain after minutes, so that earlier retries would not succeed.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a transaction was rolled back.
const TRANSACTION_DETAIL: &str = "its zone is being drained";

/// Since when this node has known zones to be drained.
#[derive(Debug, Default)]
pub struct ZoneDrains {
    drained_since: BTreeMap<ZoneName, Instant>,
}

impl ZoneDrains {
    /// Updates the drained zones from a newly activated catalog.
    pub fn apply_catalog(&mut self, catalog: &IndexedCatalog, now: Instant) {
        let drained = catalog.drained_zones();
        self.drained_since.retain(|zone, _| drained.contains(zone));
        for zone in drained {
            self.drained_since.entry(zone.clone()).or_insert_with(|| {
                log::info!(event = "zone_drained", zone = zone.as_str(), revision = catalog.revision.0; "instances of the zone get no more work");
                now
            });
        }
    }

    /// Whether open transactions in a zone must end, given the configured drain `limit`.
    pub fn is_over(&self, zone: &ZoneName, limit: Duration, now: Instant) -> bool {
        let since = self.drained_since.get(zone);
        since.is_some_and(|since| now >= *since + limit.mul_f64(TRANSACTION_TIME_FRACTION))
    }

    /// Whether no zone is drained.
    pub fn is_empty(&self) -> bool {
        self.drained_since.is_empty()
    }
}

/// Refuses an exchange that no instance can run until the drain of a zone is withdrawn.
pub(super) fn refuse_without_zone(exchange: &Exchange, io: &mut Io) {
    let detail = "every instance of the group stands in a zone that is being drained";
    let refusal = Refusal::new(ResultCode::NoPrimary, detail).retry_after(RETRY_DELAY);
    notify_front(&exchange.lease, 0, LeaseEvent::Refused(refusal), io);
}

impl Gateway {
    /// Whether open transactions at an instance must end, because the time limit of its zone's
    /// drain has passed.
    pub(super) fn is_drain_over(&self, instance: &InstanceName, io: &Io) -> bool {
        !self.zone_drains.is_empty()
            && self.is_drain_over_at(instance, &io.context.catalog.load(), io)
    }

    fn is_drain_over_at(&self, instance: &InstanceName, catalog: &IndexedCatalog, io: &Io) -> bool {
        let Some(limit) = io.context.zone_drain_limit else { return false };
        let zone = catalog.instance(instance).map(|(_, instance)| &instance.zone);
        zone.is_some_and(|zone| self.zone_drains.is_over(zone, limit, io.now))
    }

    /// Rolls back open transactions whose drain limit has passed, by closing their connections. A
    /// transaction that runs a statement is left until the statement has ended.
    pub(super) fn end_drained_transactions(&mut self, io: &mut Io) {
        if self.zone_drains.is_empty() {
            return;
        }
        let catalog = io.context.catalog.load();
        let over: Vec<(LeaseId, usize)> = self
            .leases
            .iter()
            .filter(|(_, key)| self.servers[**key].is_idle())
            .filter(|(_, key)| self.is_drain_over_at(&self.servers[**key].instance, &catalog, io))
            .map(|(lease, key)| (lease.clone(), *key))
            .collect();
        for (lease, key) in over {
            event_log::log_drained(&lease, &self.servers[key].instance, io);
            let sequence = self.servers[key].next_sequence();
            self.ended_transactions.record(lease, sequence, TRANSACTION_DETAIL, io.now);
            self.on_server_lost(key, Fault::Superseded, io);
        }
    }

    /// Whether all instances of the group are in drained zones.
    pub(super) fn has_only_drained_zones(&self, group: &Group, io: &Io) -> bool {
        !self.zone_drains.is_empty() && io.context.catalog.load().is_fully_drained(group)
    }
}
