//! Refuses at once what this node cannot run while it is isolated.
//!
//! Without this, requests wait for an instance until most of their time is used up. Reads still go
//! to the owners and instances that this node reaches, which serve those that they can prove to be
//! fresh enough.

use kestrellock_core::outcome::{DEFAULT_RETRY_HINT, Refusal, ResultCode};
use kestrellock_core::routing::Access;

use super::Session;
use crate::event::Io;
use crate::front::target::{self, RequestTarget};

impl Session {
    /// Refuses the current request, which has not been sent, if the node is isolated and cannot run
    /// it. Returns whether it was refused. A request in an open transaction goes on with its lease
    /// if the node reaches the gateway.
    pub(super) fn refuse_if_isolated(&mut self, io: &mut Io) -> bool {
        if !io.context.isolation.is_isolated() || self.may_run_isolated(io) {
            return false;
        }
        match self.lease {
            Some(_) => self.refuse_in_transaction(io),
            None => self.refuse_isolated(io),
        }
        true
    }

    /// Refuses the current request because the gateway of its transaction is not reached. The lease
    /// is abandoned, so that the transaction cannot commit.
    fn refuse_in_transaction(&mut self, io: &mut Io) {
        self.abandon(io);
        let detail = "the node is isolated from the gateway of the transaction";
        self.on_refused(Refusal::new(ResultCode::TransactionLost, detail), io);
    }

    /// Refuses the current request, which has not run, because the node is isolated.
    pub(super) fn refuse_isolated(&mut self, io: &mut Io) {
        let detail = "the node is isolated from the instances that could take the statement";
        let refusal = Refusal::new(ResultCode::NoPrimary, detail).retry_after(DEFAULT_RETRY_HINT);
        self.settle_or_refuse(refusal, io);
    }

    fn may_run_isolated(&self, io: &Io) -> bool {
        if let Some(lease) = &self.lease {
            return is_reached(&lease.target, io);
        }
        let (Some(login), Some(request)) = (&self.login, &self.request) else { return true };
        let access = self.access(request, login);
        let catalog = io.context.catalog.load();
        let Some(group) = catalog.groups.get(&login.group) else { return true };
        let is_read = matches!(access, Access::Read { .. });
        if !is_read && !io.context.isolation.reaches_majority_of(group) {
            return false;
        }
        let random = self.prewarming_random.unwrap_or_else(rand::random);
        let target = target::find(&login.group, self.account.as_ref(), &access, random, io);
        target.is_some_and(|target| is_reached(&target, io))
    }
}

/// Whether an isolated node reaches the gateway and the instance of a target.
fn is_reached(target: &RequestTarget, io: &Io) -> bool {
    let isolation = &io.context.isolation;
    let is_own = target.gateway == io.context.identity.node;
    let zone = io.context.zone_of(&target.gateway);
    let reaches_gateway = is_own || zone.is_some_and(|zone| isolation.reaches_zone(&zone));
    let catalog = io.context.catalog.load();
    let instance = target.instance.as_ref().and_then(|instance| catalog.instance(instance));
    reaches_gateway && instance.is_none_or(|(_, instance)| isolation.reaches_zone(&instance.zone))
}
