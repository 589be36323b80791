//! Opens connections of accounts before their first statements arrive, at the request of fronts.

use kestrellock_core::catalog::Group;
use kestrellock_core::ids::{AccountName, GroupName, InstanceName};

use super::pool::PrewarmCounts;
use super::server::{Purpose, Server};
use super::{Gateway, instance_choice};
use crate::event::Io;
use crate::metrics::PrewarmEvent;

impl Gateway {
    /// Handles the request of a front whose client has logged in.
    pub(super) fn on_prewarm(
        &mut self,
        name: &GroupName,
        group: &Group,
        account: AccountName,
        at_primary: bool,
        io: &mut Io,
    ) {
        let Some(state) = self.groups.get_mut(name).filter(|_| io.context.prewarm_connections)
        else {
            return;
        };
        let expected =
            instance_choice::expected_instance(name, group, at_primary, &state.pools, io);
        let pool = expected.and_then(|instance| state.pools.get_mut(&instance.name));
        let Some(pool) = pool.filter(|pool| pool.accepts(io.now)) else { return };
        pool.request_in_advance(account, io.now);
        self.prewarm_connections(name, group, io);
    }

    /// Opens the requested connections for which the pools have room, and counts which of the
    /// earlier ones were used.
    pub(super) fn prewarm_connections(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name).filter(|_| io.context.prewarm_connections)
        else {
            return;
        };
        for instance in &group.instances {
            let Some(pool) = state.pools.get_mut(&instance.name) else { continue };
            count(pool.take_prewarm_counts(), io);
            let Some(account) = pool.account_to_prewarm(io.now) else { continue };
            let (servers, purpose) = (&mut self.servers, Purpose::Pooled);
            match Server::connect(servers, name, group, instance, Some(&account), purpose, io) {
                Ok(key) => {
                    io.context.metrics.prewarmed_connections.count(PrewarmEvent::Opened);
                    log_opened(name, &instance.name, &account, io);
                    pool.on_connecting_in_advance(key, account, io.now);
                }
                Err(_) => pool.on_connect_failed(io.now, rand::random()),
            }
        }
    }
}

fn count(counts: PrewarmCounts, io: &Io) {
    let metric = &io.context.metrics.prewarmed_connections;
    metric.add(PrewarmEvent::Used, counts.used);
    metric.add(PrewarmEvent::Unused, counts.unused);
}

fn log_opened(group: &GroupName, instance: &InstanceName, account: &AccountName, io: &Io) {
    if io.context.routine_log_limiter.admits(io.now) {
        log::info!(
            event = "prewarmed",
            group = group.as_str(),
            instance = instance.as_str(),
            account = account.as_str();
            "opening a connection of an account in advance"
        );
    }
}
