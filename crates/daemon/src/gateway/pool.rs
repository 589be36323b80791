//! The pool of one instance: idle connections and exchanges waiting for one.

use std::collections::VecDeque;
use std::time::Instant;

use kestrellock_core::ids::{LeaseId, NodeName};
use kestrellock_peer::message::Exchange;

/// Connections of an instance's limit left for monitors and operators.
const RESERVED_CONNECTIONS: u32 = 3;

#[derive(Debug)]
struct Waiting {
    exchange: Exchange,
    deadline: Instant,
}

/// Connections to one instance and the queue for them.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<usize>,
    busy: u32,
    connecting: u32,
    queue: VecDeque<Waiting>,
}

impl Pool {
    /// Queues the first exchange of a lease.
    pub fn enqueue(&mut self, exchange: Exchange, now: Instant) {
        let deadline = now + exchange.time_left;
        self.queue.push_back(Waiting { exchange, deadline });
    }

    /// Takes out exchanges whose time is up.
    pub fn expire(&mut self, now: Instant) -> Vec<Exchange> {
        let (late, kept): (VecDeque<_>, VecDeque<_>) =
            self.queue.drain(..).partition(|waiting| waiting.deadline <= now);
        self.queue = kept;
        late.into_iter().map(|waiting| waiting.exchange).collect()
    }

    /// Pairs waiting exchanges with idle connections while slots are free. Their time left is what
    /// remains at `now`.
    pub fn assign(&mut self, slots: u32, now: Instant) -> Vec<(usize, Exchange)> {
        let mut assigned = Vec::new();
        while self.busy < slots && !self.queue.is_empty() {
            let Some(key) = self.idle.pop() else { break };
            let Some(mut waiting) = self.queue.pop_front() else { break };
            waiting.exchange.time_left = waiting.deadline.saturating_duration_since(now);
            self.busy += 1;
            assigned.push((key, waiting.exchange));
        }
        assigned
    }

    /// Whether opening one more connection would serve a waiting exchange.
    pub fn wants_connection(&self, limit: u32) -> bool {
        let open = self.idle.len() as u32 + self.busy + self.connecting;
        let unserved = self.queue.len() > self.idle.len() + self.connecting as usize;
        unserved && open < limit.saturating_sub(RESERVED_CONNECTIONS)
    }

    /// A connection is being opened.
    pub fn on_connecting(&mut self) {
        self.connecting += 1;
    }

    /// A connection finished its start-up.
    pub fn on_connected(&mut self, key: usize) {
        self.connecting = self.connecting.saturating_sub(1);
        self.idle.push(key);
    }

    /// A connection's lease ended cleanly.
    pub fn on_idle(&mut self, key: usize) {
        self.busy = self.busy.saturating_sub(1);
        self.idle.push(key);
    }

    /// A connection is gone, whatever it was doing.
    pub fn on_lost(&mut self, key: usize) {
        let before = self.idle.len();
        self.idle.retain(|idle| *idle != key);
        if self.idle.len() < before {
            return;
        }
        if self.connecting > 0 && self.busy == 0 {
            self.connecting -= 1;
        } else {
            self.busy = self.busy.saturating_sub(1);
        }
    }

    /// Drops the waiting exchanges of a front that cannot be reached.
    pub fn forget_node(&mut self, node: &NodeName) {
        self.queue.retain(|waiting| waiting.exchange.lease.node != *node);
    }

    /// Drops a waiting exchange whose caller is gone.
    pub fn forget(&mut self, lease: &LeaseId) {
        self.queue.retain(|waiting| waiting.exchange.lease != *lease);
    }
}
