//! How many connections a gateway may hold to one instance.
//!
//! The instance's limit is shared by everything that connects to it, some of it unknown to this
//! node (another gateway after a change of ownership, operators). A refusal by the back end is the
//! sign that the sum is too high: the budget shrinks to what is open, waits with backoff and
//! jitter, and grows back one at a time.

use std::time::{Duration, Instant};

use crate::retry::Backoff;

/// Connections left for operators, as PostgreSQL's `superuser_reserved_connections` does.
const OPERATOR_RESERVE: u32 = 3;
/// Connections that the standby gateway of an instance holds.
pub const STANDBY_CONNECTIONS: u32 = 2;
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Longest wait of a gateway that holds no connection at all: it can serve nothing of the instance, and
/// what is in its way may pass within seconds, such as the connections of processes that are gone.
const MAX_WAIT_WITHOUT_CONNECTIONS: Duration = Duration::from_millis(120);
/// Time between two steps of growth after a refusal.
const GROWTH_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of pooled connections of an owner, of an instance that accepts `connections` in
/// all and is probed by at most `probes` gateways. At least half, however few there are.
pub fn owner_limit(connections: u32, probes: u32) -> u32 {
    let reserved = OPERATOR_RESERVE + STANDBY_CONNECTIONS + probes;
    connections.saturating_sub(reserved).max(connections / 2).max(1)
}

/// The budget of one pool.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBudget {
    configured: u32,
    current: u32,
    backoff: Backoff,
    next_step: Option<Instant>,
}

impl ConnectionBudget {
    /// A budget of all that is configured.
    pub fn new(configured: u32) -> Self {
        let backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        Self { configured, current: configured, backoff, next_step: None }
    }

    /// Puts another limit in force.
    pub fn configure(&mut self, configured: u32) {
        let shrunk = self.current < self.configured;
        self.configured = configured;
        self.current = if shrunk { self.current.min(configured) } else { configured };
    }

    /// The limit in force, whatever refusals allow now.
    pub fn limit(&self) -> u32 {
        self.configured
    }

    /// Connections allowed at `now`, open and being opened.
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

    /// The back end refused a connection while `open` others were established.
    pub fn on_refused(&mut self, open: u32, now: Instant, random: u64) {
        self.current = self.current.min(open);
        let wait = self.backoff.on_failure(random);
        let wait = if open == 0 { wait.min(MAX_WAIT_WITHOUT_CONNECTIONS) } else { wait };
        self.next_step = Some(now + wait);
    }
}
