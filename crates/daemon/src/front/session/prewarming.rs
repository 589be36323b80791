//! Asks the owner that will serve a client's account for a connection, when the client logs in.
//!
//! An owner has few connections, and each belongs to one account. Without the request, the first
//! statement of a new session mostly waits until a connection of its account has been opened.

use kestrellock_core::catalog::{Consistency, Priority, Template};
use kestrellock_peer::message::{GatewayCall, ToGateway};

use super::Session;
use crate::event::{Io, Outgoing};

impl Session {
    /// Requests a connection for the first statement, if the client's route is urgent and its
    /// credential may be used.
    pub(super) fn request_connection(&mut self, io: &mut Io) {
        let Some(login) = &self.login else { return };
        if !io.context.prewarm_connections || !is_urgent(&login.parameters.values) {
            return;
        }
        let catalog = io.context.catalog.load();
        let account = catalog.account_of(&login.credential, &login.parameters.tenant);
        let Ok(Some(account)) = account else { return };
        if !io.context.is_credential_confirmed(io.now) {
            return;
        }
        let random = rand::random();
        let owner = io.context.owner_for_group(&login.group, Some(account), random, io.now);
        let Some(node) = owner else { return };
        self.prewarming_random = Some(random);
        let at_primary = login.parameters.values.consistency == Consistency::Primary;
        let call = GatewayCall::Prewarm { account: account.clone(), at_primary };
        let from = io.context.identity.node.clone();
        let message = ToGateway { from, group: login.group.clone(), call };
        io.outbox.push_back(Outgoing::Gateway { node, message });
    }
}

fn is_urgent(values: &Template) -> bool {
    values.read_priority == Priority::Order || values.write_priority == Priority::Order
}
