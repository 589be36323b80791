//! Sends the kept request to a gateway: what access it needs, which instance it goes to, and the
//! exchange that carries it.

use std::time::Duration;

use kestrellock_core::catalog::{Consistency, Template};
use kestrellock_core::classify::StatementClass;
use kestrellock_core::exchange_state::{Fault, Progress, failure_code};
use kestrellock_core::holding::held_until;
use kestrellock_core::ids::{InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::routing::Access;
use kestrellock_peer::message::{
    Exchange, GatewayCall, Placement, PlacementNeed, ToGateway, TransactionState,
};
use kestrellock_protocol::login::Login;
use kestrellock_protocol::request::Request;

use super::lease::Lease;
use super::{NOTHING_AT_STAKE, Session};
use crate::event::{Io, Outgoing};
use crate::front::GATEWAY_GRACE;
use crate::front::baseline::routed_as;
use crate::front::decisions;
use crate::front::target;
use crate::gateway::running_exchange::stake_of;

impl Session {
    /// Sends the request if it has not been, or ends it if it has been held for too long.
    pub(super) fn drive_request(&mut self, new_lease: impl FnOnce() -> LeaseId, io: &mut Io) {
        let Some(request) = &self.request else { return };
        if request.sent {
            if io.now > request.deadline + GATEWAY_GRACE {
                self.on_silent_gateway(io);
            }
            return;
        }
        if !self.has_token(io) {
            return;
        }
        let Some(request) = &self.request else { return };
        let repeats = io.context.protocol.traits().callers_repeat;
        if io.now > held_until(request.arrived, request.deadline, repeats) {
            let code = match self.awaited {
                Some(_) => ResultCode::NoFreshInstance,
                None => failure_code(NOTHING_AT_STAKE, Progress::Held, Fault::Deadline),
            };
            let refusal = Refusal::new(code, "no instance could take the statement");
            self.settle_or_refuse(refusal, io);
            return;
        }
        if self.hold_until.is_none_or(|until| io.now >= until) {
            self.send_request(new_lease, io);
        }
    }

    /// What the request needs, given the lease in use.
    fn access(&self, request: &Request, login: &Login) -> Access {
        let reads = match &self.lease {
            None => matches!(request.class(), StatementClass::Read | StatementClass::BeginReadOnly),
            Some(lease) => lease.read_only && request.class().keeps_read_only(),
        };
        let values = &login.parameters.values;
        let max_staleness = values.max_staleness_ms.into();
        match values.consistency {
            _ if !reads => Access::Write { bound: self.bound },
            Consistency::Primary => Access::PrimaryRead { bound: self.bound },
            Consistency::Bounded => Access::Read { bound: None, max_staleness },
            Consistency::Session => Access::Read { bound: self.bound, max_staleness },
        }
    }

    fn send_request(&mut self, new_lease: impl FnOnce() -> LeaseId, io: &mut Io) {
        let (Some(login), Some(request)) = (&self.login, &self.request) else { return };
        // A new caller may have written through another session just before: until the group's
        // position is known, no instance is known to have that.
        if self.lease.is_none() && self.awaited.is_some() {
            return;
        }
        let mut access = self.access(request, login);
        let writes = access.is_write();
        if writes {
            self.last_write = Some(io.now);
        }
        if self.lease.is_none() {
            let routed = routed_as(access.clone(), io.context.policy, self.last_write, io.now);
            let Some(target) = target::find(&login.group, self.account.as_ref(), &routed, io)
            else {
                if !std::mem::replace(&mut self.held, true) {
                    decisions::held(request, login, io);
                }
                return;
            };
            decisions::routed(request, login, &target, &routed, io);
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
            });
        }
        let Some(lease) = &mut self.lease else { return };
        let (instance, passed_over) = (lease.target.instance.as_ref(), self.passed_over.as_ref());
        let placement = placement_of(request, instance, passed_over, &login.parameters.values, io);
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
        };
        self.stake = stake_of(&exchange);
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

/// Where the request is to run: at `instance`, or where the gateway chooses.
fn placement_of(
    request: &Request,
    instance: Option<&InstanceName>,
    passed_over: Option<&InstanceName>,
    values: &Template,
    io: &Io,
) -> Placement {
    match instance {
        Some(instance) => Placement::Instance(instance.clone()),
        None => Placement::Any(PlacementNeed {
            waited: io.now.saturating_duration_since(request.arrived),
            staleness: staleness_of(request.class(), values),
            passed_over: passed_over.cloned(),
        }),
    }
}

/// How old what a request reads may be; `None` if it reads nothing. A transaction that may write
/// may also read.
fn staleness_of(class: StatementClass, values: &Template) -> Option<Duration> {
    match (class, values.consistency) {
        (StatementClass::Write | StatementClass::Commit | StatementClass::Rollback, _) => None,
        (_, Consistency::Primary) => Some(Duration::ZERO),
        (_, Consistency::Bounded | Consistency::Session) => Some(values.max_staleness_ms.into()),
    }
}
