//! Connections of accounts in a pool: those opened in advance, and the order in which idle ones
//! close for others. The decisions are in `kestrellock_core::account_connections`.

use std::time::Instant;

use kestrellock_core::account_connections::{
    AccountUse, AdvanceRequests, IdleConnection, eviction_order,
};
use kestrellock_core::ids::AccountName;
use kestrellock_peer::message::Exchange;

use super::{Pool, PooledConnection};

/// Numbers of connections opened in advance that were used or closed unused since the counts were
/// last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrewarmCounts {
    /// Ran their first statement.
    pub used: u64,
    /// Closed before they ran a statement.
    pub unused: u64,
}

/// The accounts' requests and recent use of the pool's instance.
#[derive(Debug, Default)]
pub(super) struct AccountConnections {
    requests: AdvanceRequests,
    recent: AccountUse,
    counts: PrewarmCounts,
}

impl Pool {
    /// Sets whether connections are opened in advance, and those that are least likely to be used
    /// soon are closed first.
    pub fn set_prewarming(&mut self, prewarms: bool) {
        if prewarms != self.accounts.is_some() {
            self.accounts = prewarms.then(AccountConnections::default);
        }
    }

    /// Records that a client of the account has logged in and may soon need a connection.
    pub fn request_in_advance(&mut self, account: AccountName, now: Instant) {
        if let Some(accounts) = &mut self.accounts {
            accounts.requests.add(account, now);
        }
    }

    /// The account for which a connection is opened in advance now. It must not take anything from
    /// work: there is room in the budget without closing another connection, no exchange waits for
    /// a connection, and a slot is free for opening it.
    pub fn account_to_prewarm(&mut self, now: Instant) -> Option<AccountName> {
        if self.accounts.as_ref().is_none_or(|accounts| accounts.requests.is_empty()) {
            return None;
        }
        let open = self.connections.len() as u32;
        let may_open = self.accepts(now)
            && self.connect_after.is_none_or(|after| now >= after)
            && self.budget.allowed(now) > open
            && self.scheduler.free_slots() > self.connecting
            && (self.share.is_none() || self.max_concurrent_opens() > 0)
            && self.unserved_accounts(now).is_empty();
        if !may_open {
            return None;
        }
        let mut accounts = self.accounts.take()?;
        let next = accounts.requests.take_next(now, |account| self.usable_by(Some(account)) > 0);
        self.accounts = Some(accounts);
        next
    }

    /// Adds a connection for `account` that is being opened in advance.
    pub fn on_connecting_in_advance(&mut self, key: usize, account: AccountName, now: Instant) {
        self.has_accounts = true;
        self.add_connecting(key, Some(account), true, now);
    }

    /// The counts since the last call.
    pub fn take_prewarm_counts(&mut self) -> PrewarmCounts {
        self.accounts
            .as_mut()
            .map(|accounts| std::mem::take(&mut accounts.counts))
            .unwrap_or_default()
    }

    /// Keys of the idle connections, the one to close first for another account at the front: the
    /// longest idle one, or the one least likely to be used soon.
    pub(super) fn eviction_order(&self, now: Instant) -> Vec<usize> {
        let Some(accounts) = &self.accounts else { return self.idle.clone() };
        let connection = |key: &usize| {
            let pooled = &self.connections[key];
            let account = pooled.account.as_ref();
            IdleConnection { key: *key, account, is_unused: pooled.is_unused_in_advance }
        };
        let idle: Vec<IdleConnection> = self.idle.iter().map(connection).collect();
        eviction_order(&idle, &accounts.recent, now)
    }

    /// Records that `exchange` runs on the connection.
    pub(super) fn record_account_use(&mut self, key: usize, exchange: &Exchange, now: Instant) {
        let Some(accounts) = &mut self.accounts else { return };
        if let Some(account) = &exchange.account {
            accounts.recent.on_use(account, exchange.priority, now);
        }
        if let Some(pooled) = self.connections.get_mut(&key)
            && std::mem::take(&mut pooled.is_unused_in_advance)
        {
            accounts.counts.used += 1;
        }
    }

    /// Counts a removed connection that was opened in advance and never used.
    pub(super) fn count_if_unused(&mut self, removed: Option<&PooledConnection>) {
        if let Some(accounts) = &mut self.accounts
            && removed.is_some_and(|pooled| pooled.is_unused_in_advance)
        {
            accounts.counts.unused += 1;
        }
    }
}
