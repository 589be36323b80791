//! Places the first exchanges of leases for which this gateway chooses the instance.
//!
//! An exchange goes to a qualifying instance at once. If none qualifies, it is held until one does,
//! or until its deadline. For clients that repeat refused requests it is refused earlier, while
//! they have time for another attempt, perhaps through another node.
//!
//! An isolated node does not hold what it cannot place: nothing that the exchange waits for can
//! arrive. It answers like a node that does not own the instance, so that a front that reaches
//! other owners tries one of them, and an isolated front refuses the request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Elector, Group};
use kestrellock_core::exchange_state::{Effect, ExchangeImpact, Fault, Progress, failure_code};
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::placement_deadline::placement_deadline;
use kestrellock_core::primary_evidence::EvidenceKind;
use kestrellock_core::routing::Access;
use kestrellock_peer::message::{Exchange, LeaseEvent, Placement, PlacementRequirements};

use super::choice_log;
use super::instance_choice::{self, ChoiceBasis, ExplainedChoice, InstanceChoice, StatementNeeds};
use super::pool::{Pool, PoolRole};
use super::{Gateway, notify_front, ownership, zone_drains};
use crate::event::Io;
use crate::metrics::ChoiceEvidence;

/// The impact of the failure of an exchange that has not been sent to an instance: no transaction
/// can be lost, and no write can be in doubt.
const UNSENT_IMPACT: ExchangeImpact =
    ExchangeImpact { effect: Effect::Read, continues_transaction: false };

/// Whether this node is not isolated, or reaches the instance all the same.
fn reaches(group: &Group, instance: &InstanceName, io: &Io) -> bool {
    let zone = group.instance(instance).map(|instance| &instance.zone);
    zone.is_none_or(|zone| io.context.isolation.reaches_zone(zone))
}

/// Time within which most commits are answered. Evidence that ends sooner is renewed when a commit
/// is sent.
const EXPECTED_ANSWER_TIME: Duration = Duration::from_millis(100);

/// An exchange that waits for a qualifying instance.
#[derive(Debug)]
struct HeldExchange {
    exchange: Exchange,
    need: PlacementRequirements,
    /// When the request arrived. It may be set too late, but never too early: a later time only
    /// requires newer evidence.
    arrived: Instant,
    deadline: Instant,
    /// When the exchange is refused if it still waits.
    held_until: Instant,
    /// Whether its waiting has been logged.
    is_logged: bool,
}

impl HeldExchange {
    fn new(exchange: Exchange, need: PlacementRequirements, io: &Io) -> Self {
        // Read the clock again: this process may have been paused since it received the event.
        let now = Instant::now();
        let arrived = now.checked_sub(need.waited).unwrap_or(now);
        let deadline = now + exchange.time_left;
        let repeats = io.context.protocol.traits().clients_retry;
        let until = placement_deadline(arrived, deadline, repeats);
        Self { exchange, need, arrived, deadline, held_until: until, is_logged: false }
    }

    fn choose(
        &mut self,
        name: &GroupName,
        group: &Group,
        pools: &HashMap<InstanceName, Pool>,
        io: &Io,
    ) -> ExplainedChoice {
        let needs = StatementNeeds {
            arrived: self.arrived,
            excluded_instance: self.need.excluded_instance.as_ref(),
            pools,
        };
        let mut access = self.exchange.access.clone();
        let found = instance_choice::choose_instance(name, group, &mut access, needs, io);
        if let InstanceChoice::Instance(instance) = &found.choice {
            if let Some(coverage) = found.basis.coverage {
                self.count_choice(Some(coverage.kind), io);
            }
            choice_log::log_chosen(&self.described(name, &found.basis), instance, io);
            self.exchange.required_lead = found.basis.required_lead(instance, io.now);
            if let Access::Read { .. } = &access {
                self.exchange.access = access;
            }
        }
        found
    }

    fn count_choice(&self, evidence: Option<EvidenceKind>, io: &Io) {
        let writes = self.exchange.access.is_write();
        io.context.metrics.choices.count(ChoiceEvidence::of(writes, evidence));
    }

    fn described<'a>(
        &'a self,
        group: &'a GroupName,
        basis: &'a ChoiceBasis,
    ) -> choice_log::Placed<'a> {
        choice_log::Placed {
            exchange: &self.exchange,
            group,
            arrived: self.arrived,
            staleness: self.need.staleness,
            basis,
        }
    }

    /// The exchange with the chosen instance as its placement.
    fn placed_at(self, instance: InstanceName, now: Instant) -> Exchange {
        let time_left = self.deadline.saturating_duration_since(now);
        Exchange { placement: Placement::Instance(instance), time_left, ..self.exchange }
    }

    fn log_held(&mut self, name: &GroupName, found: &ExplainedChoice, io: &Io) {
        if !std::mem::replace(&mut self.is_logged, true) {
            if found.choice != InstanceChoice::NoneQualifies {
                self.count_choice(None, io);
            }
            choice_log::log_held(&self.described(name, &found.basis), &found.choice, io);
        }
    }

    fn refuse_overdue(self, io: &mut Io) {
        let code = failure_code(UNSENT_IMPACT, Progress::AtFront, Fault::Deadline);
        let refusal = Refusal::new(code, "no instance could take the statement");
        notify_front(&self.exchange.lease, 0, LeaseEvent::Refused(refusal), io);
    }
}

/// Held exchanges of one group.
#[derive(Debug, Default)]
pub struct Placements {
    held: Vec<HeldExchange>,
}

impl Placements {
    /// Whether any exchange is held.
    pub fn is_waiting(&self) -> bool {
        !self.held.is_empty()
    }

    /// Leases whose first exchange is held.
    pub fn leases(&self) -> impl Iterator<Item = &LeaseId> {
        self.held.iter().map(|held| &held.exchange.lease)
    }

    /// Removes and returns all held exchanges.
    pub fn take_all(&mut self) -> impl Iterator<Item = Exchange> + use<> {
        std::mem::take(&mut self.held).into_iter().map(|held| held.exchange)
    }

    /// Drops the held exchange of an abandoned lease. Returns whether there was one.
    pub fn forget(&mut self, lease: &LeaseId) -> bool {
        let held = self.held.len();
        self.held.retain(|held| held.exchange.lease != *lease);
        self.held.len() < held
    }

    /// Drops the exchanges of an unreachable front.
    pub fn forget_node(&mut self, node: &NodeName) {
        self.held.retain(|held| held.exchange.lease.node != *node);
    }
}

impl Gateway {
    /// Handles an exchange for which this gateway chooses the instance.
    pub(super) fn place(
        &mut self,
        name: &GroupName,
        group: &Group,
        exchange: Exchange,
        need: PlacementRequirements,
        io: &mut Io,
    ) {
        let state = self.group_state(name, io.now);
        if !state.pools.values().any(|pool| pool.role() == PoolRole::Owner) {
            return ownership::redirect(&exchange, None, io);
        }
        if self.has_only_drained_zones(group, io) {
            return zone_drains::refuse_without_zone(&exchange, io);
        }
        let held = HeldExchange::new(exchange, need, io);
        self.try_place(name, group, held, io);
    }

    /// Queues an exchange for a qualifying instance, or holds it and requests the missing evidence.
    fn try_place(&mut self, name: &GroupName, group: &Group, mut held: HeldExchange, io: &mut Io) {
        let pools = &self.group_state(name, io.now).pools;
        let can_wait = io.context.isolation.reaches_majority_of(group);
        if !can_wait && !matches!(held.exchange.access, Access::Read { .. }) {
            return ownership::redirect(&held.exchange, None, io);
        }
        let found = held.choose(name, group, pools, io);
        let mut is_first_use = false;
        if found.uses_primary_evidence() {
            let renewal = &mut self.group_state(name, io.now).evidence_renewal;
            is_first_use = !renewal.was_used_before(held.arrived);
            renewal.on_use(held.arrived);
        }
        if let InstanceChoice::Instance(instance) = found.choice {
            if !reaches(group, &instance, io) {
                return ownership::redirect(&held.exchange, None, io);
            }
            let needs_check = held.exchange.access.is_write() || !is_first_use;
            if found.basis.is_unchecked() && needs_check {
                // The reports cover this statement alone. A check yields evidence for the answer of
                // its commit, and for the statements that follow.
                io.context.replacement_check_requests.request(name);
            }
            let exchange = held.placed_at(instance, io.now);
            return self.offer(name, group, exchange, io);
        }
        if !can_wait {
            return ownership::redirect(&held.exchange, None, io);
        }
        held.log_held(name, &found, io);
        self.group_state(name, io.now).placements.held.push(held);
        if found.choice == InstanceChoice::NeedsStore {
            io.context.replacement_check_requests.request(name);
        }
        match found.choice {
            InstanceChoice::NeedsEvidence
            | InstanceChoice::NeedsSessionTerm
            | InstanceChoice::NeedsStore => self.ask_for_evidence(name, group, io.now, io),
            InstanceChoice::Instance(_) | InstanceChoice::NoneQualifies => {}
        }
    }

    /// Retries the placement of held exchanges, and refuses those that have been held for too long.
    pub(super) fn retry_placements(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        for held in std::mem::take(&mut state.placements.held) {
            match io.now > held.held_until {
                true => held.refuse_overdue(io),
                false => self.try_place(name, group, held, io),
            }
        }
    }

    /// Queries instances for evidence that covers the answer of a commit which has just been sent to
    /// `primary`, if there is none. The reports usually arrive before the answer, which then needs no
    /// confirmation.
    pub(super) fn ask_for_answer_evidence(
        &mut self,
        name: &GroupName,
        primary: &InstanceName,
        io: &mut Io,
    ) {
        let catalog = io.context.catalog.load();
        let Some(group) = catalog.groups.get(name) else { return };
        let expected_answer = io.now + EXPECTED_ANSWER_TIME;
        if group.elector != Elector::Proxy {
            return;
        }
        self.group_state(name, io.now).evidence_renewal.on_use(io.now);
        if !io.context.covers_answer(name, group, primary, expected_answer) {
            if !io.context.has_lasting_evidence(name, group, io.now) {
                io.context.replacement_check_requests.request(name);
            }
            self.ask_for_evidence(name, group, expected_answer, io);
        }
    }

    /// Queries instances so that their reports renew evidence which ends soon, if the group is in use.
    pub(super) fn renew_evidence(&mut self, name: &GroupName, io: &mut Io) {
        let catalog = io.context.catalog.load();
        let group = catalog.groups.get(name).filter(|group| group.elector == Elector::Proxy);
        let (Some(group), Some(state)) = (group, self.groups.get_mut(name)) else { return };
        let instances = state.evidence_renewal.instances_to_query(name, group, io);
        if instances.is_empty() {
            return;
        }
        for instance in instances {
            state.status_queries.request_if_connected(instance);
        }
        self.send_status_queries(name, io);
    }

    /// Queries instances for evidence that covers `moment`.
    fn ask_for_evidence(&mut self, name: &GroupName, group: &Group, moment: Instant, io: &mut Io) {
        let state = self.group_state(name, io.now);
        let instances = state.evidence_queries.instances_to_query(name, group, moment, io);
        if instances.is_empty() {
            return;
        }
        for instance in instances {
            state.status_queries.request(instance, io.now);
        }
        self.send_status_queries(name, io);
    }
}
