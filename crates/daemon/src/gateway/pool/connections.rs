//! The connections of a pool: their states, the delay of attempts to connect, and the slots that
//! they take.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::admission::Ticket;
use kestrellock_core::ids::AccountName;
use kestrellock_core::session_state::{SessionSetting, SettingsDifference};
use kestrellock_peer::message::Exchange;

use super::Pool;
use crate::gateway::status_connection::PoolConnections;

pub(super) const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(10);
pub(super) const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// Interval between attempts to connect to an instance at whose address another instance listens.
/// The platform keeps announcing the old instance for three of its heartbeats, that is some
/// seconds, and the instance does not normally return under its old name.
const DISPLACED_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// State of a connection.
#[derive(Debug)]
pub(super) enum State {
    Connecting {
        since: Instant,
    },
    Idle {
        since: Instant,
    },
    /// Used by a lease, from its first exchange to the end of its transaction.
    Leased {
        ticket: Ticket,
    },
    /// Used by the gateway for a status query.
    Borrowed,
}

/// A connection and the account whose exchanges it carries.
#[derive(Debug)]
pub(super) struct PooledConnection {
    /// Account given to the instance at start-up; fixed for the lifetime of the connection.
    pub account: Option<AccountName>,
    /// Whether it was opened before its account had work, and has not run any yet.
    pub is_unused_in_advance: bool,
    /// Settings of the session that used it last. Only a hint for the choice of a connection: what
    /// the instance has confirmed is known by the connection's codec.
    pub last_settings: Vec<SessionSetting>,
    pub state: State,
}

impl Pool {
    pub(super) fn set_state(&mut self, key: usize, state: State) -> Option<State> {
        let pooled = self.connections.get_mut(&key)?;
        Some(std::mem::replace(&mut pooled.state, state))
    }

    /// Adds a connection for `account` that is being opened.
    pub fn on_connecting(&mut self, key: usize, account: Option<AccountName>, now: Instant) {
        self.add_connecting(key, account, false, now);
    }

    pub(super) fn add_connecting(
        &mut self,
        key: usize,
        account: Option<AccountName>,
        is_unused_in_advance: bool,
        now: Instant,
    ) {
        let state = State::Connecting { since: now };
        let last_settings = Vec::new();
        let pooled = PooledConnection { account, is_unused_in_advance, last_settings, state };
        self.connections.insert(key, pooled);
        self.connecting += 1;
    }

    /// Handles a connection that finished its start-up, its lease or its status query.
    pub fn on_idle(&mut self, key: usize, now: Instant) {
        // A connection that is not in the pool must not get any work.
        let Some(before) = self.set_state(key, State::Idle { since: now }) else { return };
        if matches!(before, State::Connecting { .. }) {
            self.connect_backoff.on_success();
            self.connect_after = None;
        }
        self.leave_state(key, Some(before), now);
        self.idle.push(key);
    }

    /// Index in `idle` of the connection for an exchange: the one of its account whose last session
    /// differs least in its settings. An instance must confirm each difference before the exchange
    /// is sent, which takes a round trip. Among equal ones the most recently used connection is
    /// chosen: it is the least likely to be broken without this node's knowledge, and the others may
    /// become idle for long enough to be closed.
    pub(super) fn idle_index_for(
        &self,
        exchange: &Exchange,
        reserved: Option<usize>,
    ) -> Option<usize> {
        let mut best: Option<(SettingsDifference, usize)> = None;
        for (index, key) in self.idle.iter().enumerate() {
            let pooled = &self.connections[key];
            if Some(*key) == reserved || pooled.account != exchange.account {
                continue;
            }
            let difference = SettingsDifference::between(&pooled.last_settings, &exchange.settings);
            if best.is_none_or(|(least, _)| difference <= least) {
                best = Some((difference, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Records that a session with these settings uses the connection.
    pub(super) fn record_settings(&mut self, key: usize, settings: &[SessionSetting]) {
        if let Some(pooled) = self.connections.get_mut(&key)
            && pooled.last_settings != settings
        {
            pooled.last_settings = settings.to_vec();
        }
    }

    /// Takes an idle connection for a status query of the gateway; [`Pool::on_idle`] returns it.
    pub fn borrow_idle(&mut self) -> Option<usize> {
        let key = self.idle.pop()?;
        self.set_state(key, State::Borrowed);
        Some(key)
    }

    /// Removes a closed connection, whatever its state. `random` adds jitter to the next attempt to
    /// connect.
    pub fn on_lost(&mut self, key: usize, now: Instant, random: u64) {
        let removed = self.connections.remove(&key);
        self.count_if_unused(removed.as_ref());
        let before = removed.map(|pooled| pooled.state);
        if matches!(before, Some(State::Connecting { .. })) {
            self.on_connect_failed(now, random);
        }
        self.leave_state(key, before, now);
    }

    /// Updates the pool's counts and lists when a connection leaves the state `before`.
    fn leave_state(&mut self, key: usize, before: Option<State>, now: Instant) {
        match before {
            None | Some(State::Borrowed) => {}
            Some(State::Connecting { .. }) => self.connecting -= 1,
            Some(State::Idle { .. }) => self.idle.retain(|idle| *idle != key),
            Some(State::Leased { ticket }) => {
                self.scheduler.finish(ticket, now);
                self.update_slots_taken(now);
            }
        }
    }

    /// Delays the next attempt after a failure to connect.
    pub fn on_connect_failed(&mut self, now: Instant, random: u64) {
        self.connect_after = Some(now + self.connect_backoff.on_failure(random));
    }

    /// Handles an address at which another instance listens. The pool checks only now and then
    /// whether that has changed, because each attempt uses a connection of the other instance.
    pub fn on_displaced(&mut self, now: Instant) {
        self.connect_after = Some(now + DISPLACED_RETRY_INTERVAL);
    }

    /// Shrinks the connection budget after the instance refused a connection because it has too
    /// many.
    pub fn on_connection_refused(&mut self, now: Instant, random: u64) {
        let established = self.connections.len() as u32 - self.connecting;
        self.budget.on_refused(established, now, random);
    }

    /// Frees the slot of an open transaction while it waits for the client's next statement.
    pub fn on_paused(&mut self, key: usize, now: Instant) {
        if let Some(State::Leased { ticket }) = state_of(&mut self.connections, key) {
            self.scheduler.pause(ticket, now);
            self.update_slots_taken(now);
        }
    }

    /// Takes a slot again for an open transaction that runs its next exchange.
    pub fn on_resumed(&mut self, key: usize, now: Instant) {
        if let Some(State::Leased { ticket }) = state_of(&mut self.connections, key) {
            self.scheduler.resume(ticket, now);
            self.update_slots_taken(now);
        }
    }

    /// What the pool has for a status query if none of its connections is idle.
    pub fn connections_for_query(&self, now: Instant) -> PoolConnections {
        match self.connections_in_use() {
            _ if !self.keeps_connections(now) => PoolConnections::NotKept,
            0 => PoolConnections::Opening,
            _ => PoolConnections::InUse,
        }
    }

    /// Whether no connection is open or being opened.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Number of open connections, including those that are being opened.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Number of connections that run a lease or a status query.
    pub fn connections_in_use(&self) -> usize {
        self.connections.len() - self.idle.len() - self.connecting as usize
    }
}

fn state_of(connections: &mut HashMap<usize, PooledConnection>, key: usize) -> Option<&mut State> {
    connections.get_mut(&key).map(|pooled| &mut pooled.state)
}
