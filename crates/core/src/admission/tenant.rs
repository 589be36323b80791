//! What the scheduler knows of one tenant: its queues, its running requests, its virtual time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::LEVELS;
use crate::ids::AccountName;

/// One waiting request.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub time: TimeBudget,
    pub work: T,
}

/// The time a request has.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeBudget {
    pub deadline: Instant,
    /// Time from its arrival to its deadline.
    pub total: Duration,
}

impl TimeBudget {
    /// How long a request has waited.
    pub fn waited(&self, now: Instant) -> Duration {
        self.total.saturating_sub(self.deadline.saturating_duration_since(now))
    }

    /// Time to leave for a service of this length. A service time longer than half of the time allowed counts
    /// as that half: a slow back end must not have everything refused unseen.
    pub fn needed_for(&self, service: Duration) -> Duration {
        service.min(self.total / 2)
    }
}

/// One tenant's requests at one priority, earliest deadline first.
#[derive(Debug)]
pub(super) struct DeadlineQueue<T> {
    items: VecDeque<Waiting<T>>,
    /// Service received per unit of weight, in nanoseconds; the least goes next.
    pub virtual_time: u64,
}

impl<T> Default for DeadlineQueue<T> {
    fn default() -> Self {
        Self { items: VecDeque::new(), virtual_time: 0 }
    }
}

impl<T> DeadlineQueue<T> {
    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// How many waiting requests stay ahead of one with this deadline. Arrivals come nearly in
    /// the order of their deadlines, so the search begins at the end.
    pub fn ahead_of(&self, deadline: Instant) -> usize {
        let behind = self.items.iter().rev().take_while(|waiting| waiting.time.deadline > deadline);
        self.items.len() - behind.count()
    }

    /// Allowances of the requests from `position` on.
    pub fn budgets_from(&self, position: usize) -> impl Iterator<Item = TimeBudget> + '_ {
        self.items.range(position..).map(|waiting| waiting.time)
    }

    pub fn insert(&mut self, position: usize, waiting: Waiting<T>) {
        self.items.insert(position, waiting);
    }

    pub fn first_budget(&self) -> Option<TimeBudget> {
        self.items.front().map(|waiting| waiting.time)
    }

    pub fn pop(&mut self) -> Option<Waiting<T>> {
        self.items.pop_front()
    }

    pub fn work_items(&self) -> impl Iterator<Item = &T> {
        self.items.iter().map(|waiting| &waiting.work)
    }

    pub fn remove(&mut self, matches: &mut impl FnMut(&T) -> bool) -> Option<T> {
        let position = self.items.iter().position(|waiting| matches(&waiting.work))?;
        self.items.remove(position).map(|waiting| waiting.work)
    }
}

/// One tenant, or one account of it.
#[derive(Debug)]
pub(super) struct Tenant<T> {
    /// Account whose connections its requests need.
    pub account: Option<AccountName>,
    /// Requests it may have running at once; also its weight among tenants.
    pub capacity: u32,
    pub running: u32,
    /// Open transactions that wait for their callers.
    pub paused: u32,
    pub queues: [DeadlineQueue<T>; LEVELS],
}

impl<T> Tenant<T> {
    pub fn new(account: Option<AccountName>, capacity: u32) -> Self {
        Self {
            account,
            capacity,
            running: 0,
            paused: 0,
            queues: std::array::from_fn(|_| DeadlineQueue::default()),
        }
    }

    pub fn weight(&self) -> u64 {
        u64::from(self.capacity.max(1))
    }

    pub fn is_at_capacity(&self) -> bool {
        self.running >= self.capacity
    }

    /// How many of its waiting requests its capacity lets start.
    pub fn startable(&self) -> usize {
        let waiting = self.queues.iter().map(DeadlineQueue::len).sum();
        (self.capacity.saturating_sub(self.running) as usize).min(waiting)
    }

    /// How long the request that has waited longest has.
    pub fn longest_wait(&self, now: Instant) -> Duration {
        let first = self.queues.iter().filter_map(DeadlineQueue::first_budget);
        first.map(|time| time.waited(now)).max().unwrap_or_default()
    }

    pub fn is_idle(&self) -> bool {
        self.running + self.paused == 0 && self.queues.iter().all(DeadlineQueue::is_empty)
    }
}
