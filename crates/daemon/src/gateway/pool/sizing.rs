//! Decides how many connections a pool opens, keeps and closes.

use std::time::{Duration, Instant};

use kestrellock_core::account_connections::sort_by_urgency;
use kestrellock_core::admission::Startable;
use kestrellock_core::connection_budget::STANDBY_CONNECTIONS;
use kestrellock_core::ids::AccountName;

use super::{Pool, PoolRole, PooledConnection, State};

/// Time after which an idle connection beyond the retained ones is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The same for a shared instance, whose connections are divided among several owners: a connection
/// that one owner keeps is not available to the others.
const SHARED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The same where the instance needs the room soon: for the connections of all owners after a
/// restart, or for connections that are opened in advance. A client's next statement mostly follows
/// within this time.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections without an account that are kept warm in a pool whose exchanges belong to accounts:
/// one for the gateway's status queries.
const WARM_WITHOUT_ACCOUNT: u32 = 1;
/// Connections to a shared instance that are kept open if none was needed recently.
const MIN_WARM_SHARED: u32 = 1;
/// How long an account without a connection waits until a connection is closed in its favor
/// although that connection's account has work. Opening a connection takes about as much slot time
/// as a short statement, so that with many waiting accounts each keeps its connection for a few
/// statements.
const ACCOUNT_WAIT_LIMIT: Duration = Duration::from_millis(60);
/// Time after which an account without a connection counts as urgent. Without this limit, urgent
/// accounts would get every new connection while there are too few of them.
const CONNECTION_STARVATION_LIMIT: Duration = Duration::from_millis(240);
/// Time after which a connection attempt is abandoned.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionToOpen {
    /// Account of the connection, if any.
    pub account: Option<AccountName>,
    /// Idle connection to close first, because the pool has reached its limit.
    pub replaces: Option<usize>,
}

impl Pool {
    /// The connections to open now: for exchanges that could run if their account had a connection,
    /// and to keep enough warm connections that exchanges need not wait for one to be opened.
    pub fn connections_to_open(&mut self, now: Instant) -> Vec<ConnectionToOpen> {
        if self.connect_after.is_some_and(|after| now < after) {
            return Vec::new();
        }
        let open = self.connections.len() as u32;
        let room = self.budget.allowed(now).saturating_sub(open) as usize;
        let unserved = self.unserved_accounts(now);
        let warm =
            (self.warm_target(now).saturating_sub(open) as usize).saturating_sub(unserved.len());
        let mut replaceable =
            if unserved.len() > room { self.eviction_order(now) } else { Vec::new() };
        let mut openings = Vec::new();
        for account in unserved {
            if openings.len() < room {
                openings.push(ConnectionToOpen { account, replaces: None });
                continue;
            }
            let is_of_another = |key: &usize| self.connections[key].account != account;
            let Some(index) = replaceable.iter().position(is_of_another) else { continue };
            openings.push(ConnectionToOpen { replaces: Some(replaceable.remove(index)), account });
        }
        let left = room.saturating_sub(openings.len());
        let warm =
            std::iter::repeat_n(ConnectionToOpen { account: None, replaces: None }, warm.min(left));
        openings.extend(warm);
        if self.share.is_some() {
            openings.truncate(self.max_concurrent_opens() as usize);
        }
        openings
    }

    /// Accounts of exchanges that could run if their account had a connection, one entry for each
    /// missing connection. Accounts that have waited longest come first, or the most urgent ones if
    /// connections are short after a restart or urgent accounts have precedence.
    pub(super) fn unserved_accounts(&self, now: Instant) -> Vec<Option<AccountName>> {
        let free = self.scheduler.free_slots();
        let mut unserved = Vec::new();
        let mut startable = self.scheduler.startable_by_account(now);
        if self.reserves_for_restart || self.accounts.is_some() {
            sort_by_urgency(&mut startable, CONNECTION_STARVATION_LIMIT);
        }
        for Startable { account, count, .. } in startable {
            let missing = count.min(free).saturating_sub(self.usable_by(account.as_ref()));
            unserved.extend(std::iter::repeat_n(account, missing as usize));
        }
        unserved.truncate(free.saturating_sub(self.connecting) as usize);
        unserved
    }

    /// The idle connection that its own account must not use, because another account has waited
    /// longer than [`ACCOUNT_WAIT_LIMIT`] without a connection and gets this one's place.
    pub(super) fn reserved_connection(&mut self, now: Instant) -> Option<usize> {
        if self.idle.is_empty()
            || !self.has_accounts
            || self.budget.allowed(now) > self.connections.len() as u32
        {
            return None;
        }
        let startable = self.scheduler.startable_by_account(now);
        let starves = |waiting: &Startable| {
            waiting.waited >= ACCOUNT_WAIT_LIMIT && self.usable_by(waiting.account.as_ref()) == 0
        };
        startable.iter().any(starves).then(|| self.eviction_order(now)[0])
    }

    /// Number of connections that can run an account's next exchanges: idle, or being opened.
    pub(super) fn usable_by(&self, account: Option<&AccountName>) -> u32 {
        let usable = |pooled: &&PooledConnection| {
            let usable = matches!(pooled.state, State::Idle { .. } | State::Connecting { .. });
            usable && pooled.account.as_ref() == account
        };
        self.connections.values().filter(usable).count() as u32
    }

    /// Maximum number of connections to a shared instance that may be opened at the same time: as
    /// many as are established, so that the number at most doubles. When many nodes reconnect after
    /// a failure, each of them gets its first connection before any of them gets its last.
    pub(super) fn max_concurrent_opens(&self) -> u32 {
        let established = self.connections.len() as u32 - self.connecting;
        established.max(1).saturating_sub(self.connecting)
    }

    /// Number of connections to open ahead of work.
    fn warm_target(&self, now: Instant) -> u32 {
        match self.role {
            PoolRole::Owner if self.has_accounts => {
                WARM_WITHOUT_ACCOUNT.min(self.retained_target(now))
            }
            _ => self.retained_target(now),
        }
    }

    /// Number of connections to keep open without work.
    ///
    /// For a shared instance these are no more than were recently in use at the same time, and at
    /// least one for the next exchange. When owners kept as many as the instance has slots, the
    /// nine owners of each of 1,000 groups opened 81,000 connections for 15,000 statements.
    fn retained_target(&self, now: Instant) -> u32 {
        match self.role {
            _ if self.leaving => 0,
            PoolRole::Owner => {
                let limit = self.share.map_or(self.budget.limit(), |share| share.warm);
                self.slots.min(limit).min(self.recent_demand(now))
            }
            PoolRole::Standby => STANDBY_CONNECTIONS.min(self.slots),
            PoolRole::Released => 0,
        }
    }

    /// Whether the pool keeps connections open without work.
    pub(super) fn keeps_connections(&self, now: Instant) -> bool {
        self.retained_target(now) > 0
    }

    /// Maximum number of connections that exchanges without an account need at the same time,
    /// judged by their recent use.
    fn recent_demand(&self, now: Instant) -> u32 {
        if self.share.is_none() || self.has_accounts {
            return u32::MAX;
        }
        self.recent_use.map_or(0, |recent_use| recent_use.peak(now)).max(MIN_WARM_SHARED)
    }

    /// Idle connections to close: those beyond the retained number that have been idle for too
    /// long. After a change of role, or if the instance is being taken out of use, surplus
    /// connections are closed at once.
    pub fn connections_to_close(&mut self, now: Instant) -> Vec<usize> {
        let over_budget = (self.connections.len() as u32).saturating_sub(self.budget.limit());
        if over_budget > 0 {
            return self.idle.iter().take(over_budget as usize).copied().collect();
        }
        let stays = self.role == PoolRole::Owner && !self.leaving;
        let timeout = if stays { self.idle_timeout() } else { Duration::ZERO };
        let surplus =
            (self.connections.len() as u32).saturating_sub(self.retained_target(now)) as usize;
        let has_expired = |key: &&usize| match self.connections.get(key).map(|pooled| &pooled.state)
        {
            Some(State::Idle { since }) => now.saturating_duration_since(*since) >= timeout,
            _ => false,
        };
        self.idle.iter().filter(has_expired).take(surplus).copied().collect()
    }

    fn idle_timeout(&self) -> Duration {
        match self.share {
            None => IDLE_TIMEOUT,
            Some(_) if self.reserves_for_restart || self.accounts.is_some() => SHORT_IDLE_TIMEOUT,
            Some(_) => SHARED_IDLE_TIMEOUT,
        }
    }

    /// Keys of the connections that were not established within `CONNECT_TIMEOUT`.
    pub fn timed_out_connections(&self, now: Instant) -> Vec<usize> {
        let has_timed_out = |pooled: &PooledConnection| match &pooled.state {
            State::Connecting { since } => now.saturating_duration_since(*since) > CONNECT_TIMEOUT,
            _ => false,
        };
        let timed_out = self.connections.iter().filter(|(_, pooled)| has_timed_out(pooled));
        timed_out.map(|(key, _)| *key).collect()
    }
}
