//! Limits how many connections a gateway opens to one instance.
//!
//! All clients of the instance share its connection limit, and some of them are unknown to this
//! node, such as another gateway after a change of ownership, or operators. When the instance
//! refuses a connection, the total is too high. The budget then shrinks to the open connections,
//! waits with backoff and jitter, and grows back one connection at a time.

use std::time::{Duration, Instant};

use crate::retry::Backoff;

/// Connections reserved for operators, like PostgreSQL's `superuser_reserved_connections`.
const OPERATOR_RESERVE: u32 = 3;
/// Connections that the standby gateway of an instance keeps open.
pub const STANDBY_CONNECTIONS: u32 = 2;
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Longest wait of a gateway that has fewer connections than it requires. Without any connection it
/// cannot serve the instance at all, and what blocks it often ends within seconds, for example
/// connections of processes that have terminated.
const MAX_WAIT_BELOW_REQUIRED: Duration = Duration::from_millis(120);
/// Time between two growth steps after a refusal.
const GROWTH_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of pooled connections of an owner. The instance accepts `connections` in total
/// and is probed by at most `probes` gateways. The owner gets at least half of the total, however
/// small it is.
pub fn owner_limit(connections: u32, probes: u32) -> u32 {
    let reserved = OPERATOR_RESERVE + STANDBY_CONNECTIONS + probes;
    connections.saturating_sub(reserved).max(connections / 2).max(1)
}

/// The connection budget of one pool.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBudget {
    configured: u32,
    current: u32,
    /// Connections below which the wait after a refusal stays short.
    required: u32,
    backoff: Backoff,
    next_step: Option<Instant>,
}

impl ConnectionBudget {
    /// Creates a budget that allows the configured number of connections.
    pub fn new(configured: u32) -> Self {
        let backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        Self { configured, current: configured, required: 1, backoff, next_step: None }
    }

    /// Sets the number of connections that the gateway requires, at least one. After a refusal it
    /// tries again soon while it has fewer.
    pub fn require(&mut self, connections: u32) {
        self.required = connections.max(1);
    }

    /// Changes the configured limit.
    pub fn configure(&mut self, configured: u32) {
        let shrunk = self.current < self.configured;
        self.configured = configured;
        self.current = if shrunk { self.current.min(configured) } else { configured };
    }

    /// The configured limit, regardless of refusals.
    pub fn limit(&self) -> u32 {
        self.configured
    }

    /// Number of connections allowed at `now`, including those being opened.
    pub fn allowed(&mut self, now: Instant) -> u32 {
        while let Some(step) = self.next_step
            && step <= now
        {
            if self.current >= self.configured {
                self.next_step = None;
                self.backoff.on_success();
                break;
            }
            self.current += 1;
            self.next_step = Some(step + GROWTH_INTERVAL);
        }
        self.current
    }

    /// Records that the instance refused a connection while `open` others were established.
    pub fn on_refused(&mut self, open: u32, now: Instant, random: u64) {
        self.current = self.current.min(open);
        let wait = self.backoff.on_failure(random);
        let wait = if open < self.required { wait.min(MAX_WAIT_BELOW_REQUIRED) } else { wait };
        self.next_step = Some(now + wait);
    }
}
