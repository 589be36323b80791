//! Sends the current request to a gateway: determines the access it needs, chooses its target and
//! builds the exchange.
//!
//! The access is a write, a read at the primary, or a read with the session bound and the maximum
//! staleness that the tenant's consistency level requires. A request waits here until a target is
//! known, its account's quota has a token, and the session's initial bound is known; it is refused
//! when the time for which requests are held is over.

use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_core::classify::StatementClass;
use kestrellock_core::exchange_state::{Fault, Progress, failure_code};
use kestrellock_core::ids::{InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::placement_deadline::placement_deadline;
use kestrellock_core::routing::Access;
use kestrellock_peer::message::{
    Exchange, GatewayCall, Placement, PlacementRequirements, ToGateway, TransactionState,
};
use kestrellock_protocol::login::Login;
use kestrellock_protocol::request::Request;

use super::lease::Lease;
use super::{READ_OUTSIDE_TRANSACTION, Session};
use crate::event::{Io, Outgoing};
use crate::front::GATEWAY_GRACE;
use crate::front::baseline::effective_access;
use crate::front::decision_log;
use crate::front::target;
use crate::gateway::running_exchange::impact_of;

impl Session {
    /// Whether the current request must be sent now. Ends it if it has waited for too long.
    pub(super) fn is_request_due(&mut self, io: &mut Io) -> bool {
        let Some(request) = &self.request else { return false };
        if request.sent {
            if io.now > request.deadline + GATEWAY_GRACE {
                self.on_silent_gateway(io);
            }
            return false;
        }
        if self.refuse_if_isolated(io) || !self.acquire_token(io) {
            return false;
        }
        let Some(request) = &self.request else { return false };
        let clients_retry = io.context.protocol.traits().clients_retry;
        if io.now > placement_deadline(request.arrived, request.deadline, clients_retry) {
            let code = match self.lacks_bound() {
                true => ResultCode::NoFreshInstance,
                false => failure_code(READ_OUTSIDE_TRANSACTION, Progress::AtFront, Fault::Deadline),
            };
            let refusal = Refusal::new(code, "no instance could take the statement");
            self.settle_or_refuse(refusal, io);
            return false;
        }
        self.retry_at.is_none_or(|at| io.now >= at)
    }

    /// The access that the request needs, given the current lease.
    pub(super) fn access(&self, request: &Request, login: &Login) -> Access {
        let reads = match &self.lease {
            None => matches!(request.class(), StatementClass::Read | StatementClass::BeginReadOnly),
            Some(lease) => lease.read_only && request.class().keeps_read_only(),
        };
        let values = &login.parameters.values;
        let max_staleness = values.max_staleness_ms.into();
        match values.consistency {
            _ if !reads => Access::Write { bound: self.bound().position() },
            Consistency::Primary => Access::PrimaryRead { bound: self.bound().position() },
            Consistency::Bounded => Access::Read { bound: None, max_staleness },
            Consistency::Session => self.session_read(max_staleness),
        }
    }

    /// Sends the current request to a gateway, unless no target is known yet.
    pub(super) fn send_request(&mut self, new_lease: impl FnOnce() -> LeaseId, io: &mut Io) {
        let (Some(login), Some(request)) = (&self.login, &self.request) else { return };
        // The client may just have written through another session. Until the group's position is
        // known, no instance is known to have that write.
        if self.lease.is_none() && self.lacks_bound() {
            return;
        }
        let mut access = self.access(request, login);
        let writes = access.is_write();
        if writes {
            self.last_write = Some(io.now);
        }
        if self.lease.is_none() {
            let routed =
                effective_access(access.clone(), io.context.policy, self.last_write, io.now);
            let random = self.prewarming_random.unwrap_or_else(rand::random);
            let found = target::find(&login.group, self.account.as_ref(), &routed, random, io);
            let Some(target) = found else {
                if !std::mem::replace(&mut self.is_wait_logged, true) {
                    decision_log::log_held(request, login, io);
                }
                return;
            };
            self.prewarming_random = None;
            decision_log::log_routed(request, login, &target, &routed, io);
            if let Access::Read { .. } = routed {
                access = routed;
            }
            let id = new_lease();
            let read_only = !writes;
            self.lease = Some(Lease {
                id,
                target,
                read_only,
                next_exchange: 0,
                next_sequence: 0,
                sent: io.now,
                is_withdrawn: false,
            });
        }
        let Some(lease) = &mut self.lease else { return };
        let (instance, excluded) =
            (lease.target.instance.as_ref(), self.excluded_instance.as_ref());
        let placement = placement_of(request, instance, excluded, &access, io);
        lease.read_only &= !writes;
        let open = self.transaction != TransactionState::Idle;
        let values = &login.parameters.values;
        let exchange = Exchange {
            lease: lease.id.clone(),
            number: lease.next_exchange,
            request: request.id.clone(),
            placement,
            tenant: login.parameters.tenant.clone(),
            account: self.account.clone(),
            access,
            priority: if writes { values.write_priority } else { values.read_priority },
            time_left: request.deadline.saturating_duration_since(io.now),
            statements: request.statements.clone(),
            settings: self.state.settings(),
            taints: request.executes && request.facts.taints(),
            frames: request.messages.clone(),
            ready_expected: 1,
            may_commit: writes
                && request.executes
                && self.keys.may_commit(request.class().may_commit(open)),
            commits_write: request.executes && self.writes.would_commit(request.class()),
            required_lead: None,
        };
        self.impact = impact_of(&exchange);
        self.answer_begun = false;
        self.keys.on_sent();
        lease.next_exchange += 1;
        lease.sent = io.now;
        let message = ToGateway {
            from: io.context.identity.node.clone(),
            group: login.group.clone(),
            call: GatewayCall::Exchange(Box::new(exchange)),
        };
        io.outbox.push_back(Outgoing::Gateway { node: lease.target.gateway.clone(), message });
        if let Some(request) = &mut self.request {
            request.sent = true;
        }
    }
}

/// Where the request must run: at `instance`, or at an instance that the gateway chooses.
fn placement_of(
    request: &Request,
    instance: Option<&InstanceName>,
    excluded: Option<&InstanceName>,
    access: &Access,
    io: &Io,
) -> Placement {
    match instance {
        Some(instance) => Placement::Instance(instance.clone()),
        None => Placement::Any(PlacementRequirements {
            waited: io.now.saturating_duration_since(request.arrived),
            staleness: Some(staleness_of(access)),
            excluded_instance: excluded.cloned(),
        }),
    }
}

/// How old the state of the log may be on which a request runs. Only reads accept any age.
fn staleness_of(access: &Access) -> Duration {
    match access {
        Access::Read { max_staleness, .. } => *max_staleness,
        Access::PrimaryRead { .. } | Access::Write { .. } => Duration::ZERO,
    }
}
