//! A connection of the gateway's own for status queries of one instance, beside those of its pool.
//!
//! Status queries usually travel over an idle connection of the pool. An instance that leaves, or
//! that is in a drained zone, has none, because its pool closes them; and all of them may be in use
//! by open transactions. Its report is still evidence, and without it no statement may run. So the
//! gateway opens one connection while something waits for the report, and closes it when it has not
//! been used for some seconds.

use std::time::{Duration, Instant};

use kestrellock_core::retry::Backoff;

/// How long a query waits for a connection of a pool that keeps connections, before the gateway
/// opens one of its own: a few short statements.
const BUSY_POOL_WAIT: Duration = Duration::from_millis(30);
/// Delay after the first failure to open the connection, or its loss.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after many failures. An instance that refuses connections is not burdened by one attempt
/// of each node in a second.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What the pool of an instance has for a status query, if none of its connections is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolConnections {
    /// Connections that are in use.
    InUse,
    /// None that is established, but the pool opens some.
    Opening,
    /// The pool opens none, because the instance gets no work from it.
    NotKept,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { retry_after: Option<Instant> },
    StartingUp { key: usize },
    Idle { key: usize },
    InUse { key: usize },
}

/// The connection for status queries of one instance.
#[derive(Debug)]
pub struct StatusConnection {
    state: State,
    retries: Backoff,
}

impl Default for StatusConnection {
    fn default() -> Self {
        Self {
            state: State::Closed { retry_after: None },
            retries: Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }
}

impl StatusConnection {
    /// Whether to open the connection now for a query that has waited since `waiting_since`.
    pub fn should_open(&self, pool: PoolConnections, waiting_since: Instant, now: Instant) -> bool {
        let State::Closed { retry_after } = self.state else { return false };
        let is_needed = match pool {
            PoolConnections::NotKept => true,
            PoolConnections::InUse => now >= waiting_since + BUSY_POOL_WAIT,
            // It would fail or succeed with those of the pool.
            PoolConnections::Opening => false,
        };
        is_needed && retry_after.is_none_or(|after| now >= after)
    }

    /// Whether there is a connection, in whatever state.
    pub fn is_open(&self) -> bool {
        self.key().is_some()
    }

    /// Records that the connection with this key is being opened.
    pub fn on_opening(&mut self, key: usize) {
        self.state = State::StartingUp { key };
    }

    /// Takes the connection for a query, if it is idle.
    pub fn take_idle(&mut self) -> Option<usize> {
        let State::Idle { key } = self.state else { return None };
        self.state = State::InUse { key };
        Some(key)
    }

    /// The connection is idle: it has finished its start-up or a query.
    pub fn on_ready(&mut self, key: usize) {
        if self.key() == Some(key) {
            self.state = State::Idle { key };
        }
    }

    /// The instance has answered a query on the connection.
    pub fn on_answer(&mut self, key: usize) {
        if self.state == (State::InUse { key }) {
            self.retries.on_success();
        }
    }

    /// Handles a lost connection to the instance. Returns whether it was this one. `random` adds
    /// jitter to the next attempt.
    pub fn on_lost(&mut self, key: usize, now: Instant, random: u64) -> bool {
        let is_own = self.key() == Some(key);
        if is_own {
            self.on_failed(now, random);
        }
        is_own
    }

    fn key(&self) -> Option<usize> {
        match self.state {
            State::Closed { .. } => None,
            State::StartingUp { key } | State::Idle { key } | State::InUse { key } => Some(key),
        }
    }

    /// The connection could not be opened. `random` adds jitter to the next attempt.
    pub fn on_failed(&mut self, now: Instant, random: u64) {
        let retry_after = Some(now + self.retries.on_failure(random));
        self.state = State::Closed { retry_after };
    }

    /// The gateway has closed the connection, because it was not needed.
    pub fn on_closed(&mut self) {
        self.state = State::Closed { retry_after: None };
    }
}
