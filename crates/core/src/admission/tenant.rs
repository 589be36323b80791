//! Scheduler state of one tenant: its queues, its running requests and its virtual time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{LEVELS, priority_of};
use crate::catalog::Priority;
use crate::ids::AccountName;

/// One waiting request.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub budget: TimeBudget,
    pub work: T,
}

/// The time in which a request must finish.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeBudget {
    pub deadline: Instant,
    /// Time from arrival to deadline.
    pub total: Duration,
}

impl TimeBudget {
    /// How long the request has waited so far.
    pub fn waited(&self, now: Instant) -> Duration {
        self.total.saturating_sub(self.deadline.saturating_duration_since(now))
    }

    /// Time to reserve for a given service time, at most half of the total. Without that bound an
    /// instance slower than the deadlines would have every request refused before any of them was
    /// tried.
    pub fn needed_for(&self, service: Duration) -> Duration {
        service.min(self.total / 2)
    }
}

/// One tenant's requests at one priority, earliest deadline first.
#[derive(Debug)]
pub(super) struct DeadlineQueue<T> {
    items: VecDeque<Waiting<T>>,
    /// Service received per unit of weight, in nanoseconds. The queue with the lowest value is
    /// served next.
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

    /// Number of waiting requests that stay ahead of a request with this deadline. Requests arrive
    /// nearly in the order of their deadlines, so the search starts at the end.
    pub fn ahead_of(&self, deadline: Instant) -> usize {
        let behind =
            self.items.iter().rev().take_while(|waiting| waiting.budget.deadline > deadline);
        self.items.len() - behind.count()
    }

    /// Time budgets of the requests from `position` on.
    pub fn budgets_from(&self, position: usize) -> impl Iterator<Item = TimeBudget> + '_ {
        self.items.range(position..).map(|waiting| waiting.budget)
    }

    pub fn insert(&mut self, position: usize, waiting: Waiting<T>) {
        self.items.insert(position, waiting);
    }

    pub fn first_budget(&self) -> Option<TimeBudget> {
        self.items.front().map(|waiting| waiting.budget)
    }

    /// The earliest and the latest deadline of the waiting requests.
    pub fn deadlines(&self) -> Option<(Instant, Instant)> {
        let (first, last) = (self.items.front()?, self.items.back()?);
        Some((first.budget.deadline, last.budget.deadline))
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

/// One tenant, or one account of a tenant.
#[derive(Debug)]
pub(super) struct Tenant<T> {
    /// Account whose connections the requests need.
    pub account: Option<AccountName>,
    /// Number of requests that may run concurrently; also the weight among tenants.
    pub capacity: u32,
    pub running: u32,
    /// Open transactions that wait for their clients.
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

    /// Number of waiting requests that the capacity lets start.
    pub fn startable(&self) -> usize {
        let waiting = self.queues.iter().map(DeadlineQueue::len).sum();
        (self.capacity.saturating_sub(self.running) as usize).min(waiting)
    }

    /// Longest time that any of the waiting requests has waited.
    pub fn longest_wait(&self, now: Instant) -> Duration {
        let first = self.queues.iter().filter_map(DeadlineQueue::first_budget);
        first.map(|budget| budget.waited(now)).max().unwrap_or_default()
    }

    /// Highest priority of the waiting requests; the lowest one if none waits.
    pub fn highest_priority(&self) -> Priority {
        let waiting = self.queues.iter().position(|queue| !queue.is_empty());
        waiting.map_or(Priority::Browse, priority_of)
    }

    pub fn is_idle(&self) -> bool {
        self.running + self.paused == 0 && self.queues.iter().all(DeadlineQueue::is_empty)
    }
}
