//! How many connections a pool opens, keeps and closes.

use std::time::{Duration, Instant};

use kestrellock_core::connection_budget::STANDBY_CONNECTIONS;

use super::{Pool, PoolRole, State};

/// An idle connection beyond the warm ones is closed after this time.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// The same where every node holds a share of the instance's connections: what one node keeps,
/// others cannot open.
const SHARED_IDLE_LIMIT: Duration = Duration::from_secs(2);
/// A connection that is not established after this time is given up.
const SETUP_LIMIT: Duration = Duration::from_secs(1);

impl Pool {
    /// How many connections to open now: for exchanges that could run if they had one, and to
    /// keep enough warm that work need not wait for set-up.
    pub fn connections_to_open(&mut self, now: Instant) -> u32 {
        if self.connect_after.is_some_and(|after| now < after) {
            return 0;
        }
        let open = self.connections.len() as u32;
        let usable = self.idle.len() as u32 + self.connecting;
        let unserved = self.scheduler.startable().saturating_sub(usable);
        let wanted = (open + unserved).max(self.warm());
        let missing = wanted.min(self.budget.allowed(now)).saturating_sub(open);
        match self.share {
            Some(_) => missing.min(self.at_once()),
            None => missing,
        }
    }

    /// Connections that may be opened at once where all nodes share the instance: as many again as
    /// stand. After a failure of many nodes each gets its first one before any gets its last.
    fn at_once(&self) -> u32 {
        let established = self.connections.len() as u32 - self.connecting;
        established.max(1).saturating_sub(self.connecting)
    }

    /// Connections held open without work.
    fn warm(&self) -> u32 {
        match self.role {
            _ if self.leaving => 0,
            PoolRole::Owner => {
                let most = self.share.map_or(self.budget.limit(), |share| share.warm);
                self.slots.min(most)
            }
            PoolRole::Standby => STANDBY_CONNECTIONS.min(self.slots),
            PoolRole::Released => 0,
        }
    }

    /// Idle connections to close: all beyond the warm ones that have been idle for long, and at
    /// once those that a change of role leaves over.
    pub fn connections_to_close(&mut self, now: Instant) -> Vec<usize> {
        let over_budget = (self.connections.len() as u32).saturating_sub(self.budget.limit());
        if over_budget > 0 {
            return self.idle.iter().take(over_budget as usize).copied().collect();
        }
        let stays = self.role == PoolRole::Owner && !self.leaving;
        let kept = if self.share.is_some() { SHARED_IDLE_LIMIT } else { IDLE_LIMIT };
        let limit = if stays { kept } else { Duration::ZERO };
        let surplus = (self.connections.len() as u32).saturating_sub(self.warm()) as usize;
        let old = |key: &&usize| match self.connections.get(key) {
            Some(State::Idle { since }) => now.saturating_duration_since(*since) >= limit,
            _ => false,
        };
        self.idle.iter().filter(old).take(surplus).copied().collect()
    }

    /// Connections whose set-up takes too long.
    pub fn overdue(&self, now: Instant) -> Vec<usize> {
        let late = |state: &State| match state {
            State::Connecting { since } => now.saturating_duration_since(*since) > SETUP_LIMIT,
            _ => false,
        };
        let late = self.connections.iter().filter(|(_, state)| late(state));
        late.map(|(key, _)| *key).collect()
    }
}
