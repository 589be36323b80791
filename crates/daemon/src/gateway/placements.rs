//! First exchanges of leases for which this gateway chooses the instance: each goes to one at once,
//! or is held until one qualifies, or until its caller had better try again elsewhere.

use std::collections::HashMap;
use std::time::Instant;

use kestrellock_core::catalog::Group;
use kestrellock_core::exchange_state::{Effect, ExchangeImpact, Fault, Progress, failure_code};
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::placement_deadline::placement_deadline;
use kestrellock_core::routing::Access;
use kestrellock_peer::message::{Exchange, LeaseEvent, Placement, PlacementNeed};

use super::placing::{self, Found, StatementNeeds};
use super::pool::{Pool, PoolRole};
use super::{Gateway, notify, ownership, zone_drains};
use crate::event::Io;

/// An exchange that was never sent puts nothing at stake.
const NOTHING_AT_STAKE: ExchangeImpact =
    ExchangeImpact { effect: Effect::Read, continues_transaction: false };

/// An exchange without an instance.
#[derive(Debug)]
struct Held {
    exchange: Exchange,
    need: PlacementNeed,
    /// When the request arrived, or later: what needs the more evidence.
    arrived: Instant,
    deadline: Instant,
    /// When it is given back.
    until: Instant,
    /// Whether the log tells that it waits.
    is_told: bool,
}

impl Held {
    fn new(exchange: Exchange, need: PlacementNeed, io: &Io) -> Self {
        // Read again: this process may have been paused since the event was taken up.
        let now = Instant::now();
        let arrived = now.checked_sub(need.waited).unwrap_or(now);
        let deadline = now + exchange.time_left;
        let repeats = io.context.protocol.traits().callers_repeat;
        let until = placement_deadline(arrived, deadline, repeats);
        Self { exchange, need, arrived, deadline, until, is_told: false }
    }

    fn find(
        &mut self,
        name: &GroupName,
        group: &Group,
        pools: &HashMap<InstanceName, Pool>,
        io: &Io,
    ) -> Found {
        let needs = StatementNeeds {
            arrived: self.arrived,
            staleness: self.need.staleness,
            passed_over: self.need.passed_over.as_ref(),
            pools,
        };
        let mut access = self.exchange.access.clone();
        let found = placing::find(name, group, &mut access, needs, io);
        if let (Found::Instance(_), Access::Read { .. }) = (&found, &access) {
            self.exchange.access = access;
        }
        found
    }

    /// The exchange for the instance that was found.
    fn placed_at(self, instance: InstanceName, now: Instant) -> Exchange {
        let time_left = self.deadline.saturating_duration_since(now);
        Exchange { placement: Placement::Instance(instance), time_left, ..self.exchange }
    }

    fn tell(&mut self, name: &GroupName, found: &Found, io: &Io) {
        if std::mem::replace(&mut self.is_told, true) {
            return;
        }
        let reason = match found {
            Found::NeedsEvidence => "no evidence that the primary leads",
            Found::NeedsStore => "the store has not said that nobody replaces the primary",
            Found::Nowhere | Found::Instance(_) => "no instance qualifies",
        };
        let evidence = io.context.evidence_age(name, io.now);
        log::info!(
            event = "held",
            id = self.exchange.request.as_deref().unwrap_or("-"),
            tenant = self.exchange.tenant.as_str(),
            group = name.as_str(),
            reason = reason,
            evidence_age_ms = evidence.map(|age| age.as_millis() as u64),
            revision = io.context.catalog.load().revision.0;
            "waits for an instance"
        );
    }

    fn give_back(self, io: &mut Io) {
        let code = failure_code(NOTHING_AT_STAKE, Progress::AtFront, Fault::Deadline);
        let refusal = Refusal::new(code, "no instance could take the statement");
        notify(&self.exchange.lease, 0, LeaseEvent::Refused(refusal), io);
    }
}

/// Exchanges of one group that are held.
#[derive(Debug, Default)]
pub struct Placements {
    held: Vec<Held>,
}

impl Placements {
    /// Whether any is held.
    pub fn is_waiting(&self) -> bool {
        !self.held.is_empty()
    }

    /// Leases whose first exchange is held.
    pub fn leases(&self) -> impl Iterator<Item = &LeaseId> {
        self.held.iter().map(|held| &held.exchange.lease)
    }

    /// Drops an exchange whose caller is gone.
    pub fn forget(&mut self, lease: &LeaseId) {
        self.held.retain(|held| held.exchange.lease != *lease);
    }

    /// Drops the exchanges of a front that cannot be reached.
    pub fn forget_node(&mut self, node: &NodeName) {
        self.held.retain(|held| held.exchange.lease.node != *node);
    }
}

impl Gateway {
    /// Takes up an exchange for which the gateway chooses the instance.
    pub(super) fn place(
        &mut self,
        name: &GroupName,
        group: &Group,
        exchange: Exchange,
        need: PlacementNeed,
        io: &mut Io,
    ) {
        let state = self.group_state(name, io.now);
        if !state.pools.values().any(|pool| pool.role() == PoolRole::Owner) {
            return ownership::refer(&exchange, None, io);
        }
        if self.is_drained_out(group, io) {
            return zone_drains::refuse_drained_out(&exchange, io);
        }
        let held = Held::new(exchange, need, io);
        self.try_placing(name, group, held, io);
    }

    /// Sends a held exchange to an instance, or goes on holding it.
    fn try_placing(&mut self, name: &GroupName, group: &Group, mut held: Held, io: &mut Io) {
        let pools = &self.group_state(name, io.now).pools;
        let found = held.find(name, group, pools, io);
        if let Found::Instance(instance) = found {
            let exchange = held.placed_at(instance, io.now);
            return self.offer(name, group, exchange, io);
        }
        held.tell(name, &found, io);
        self.group_state(name, io.now).placements.held.push(held);
        if found == Found::NeedsStore {
            io.context.store_looks.want(name);
        }
        if matches!(found, Found::NeedsEvidence | Found::NeedsStore) {
            self.ask_for_evidence(name, group, io);
        }
    }

    /// Tries again to place what is held, and gives back what has been held for too long.
    pub(super) fn retry_placements(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        for held in std::mem::take(&mut state.placements.held) {
            match io.now > held.until {
                true => held.give_back(io),
                false => self.try_placing(name, group, held, io),
            }
        }
    }

    fn ask_for_evidence(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let state = self.group_state(name, io.now);
        let instances = state.questions.instances_to_ask(name, group, io);
        if instances.is_empty() {
            return;
        }
        for instance in instances {
            state.standings.want(instance);
        }
        self.ask_standings(name, io);
    }
}
