//! Estimates whether a request can finish before its deadline, from the wait that the scheduler's
//! own rules produce.

use std::time::{Duration, Instant};

use super::tenant::TimeBudget;
use super::{LEVELS, Overload, Refused, SHARE_UNITS, STARVATION_LIMIT, Scheduler, level_of};
use crate::catalog::Priority;
use crate::outcome::ResultCode;

/// Largest fraction of the slots that the estimate reserves for further requests of higher
/// priorities.
const MAX_HIGHER_SHARE: u32 = SHARE_UNITS / 4 * 3;
/// Shortest retry hint.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Retry hints are spread over this many steps, so that refused clients do not retry at the same
/// moment.
const RETRY_SPREAD: u32 = 16;

/// The expected wait for a slot and the limit that causes it.
#[derive(Clone, Copy, Debug)]
struct Wait {
    duration: Duration,
    by_capacity: bool,
}

impl<T> Scheduler<T> {
    /// Expected wait of a request of the lowest priority from a tenant with nothing running: all
    /// waiting requests go ahead of it.
    pub fn expected_wait(&self) -> Duration {
        if self.running < self.limits.slots && self.waiting() == 0 {
            return Duration::ZERO;
        }
        let work: Duration = (0..LEVELS).map(|level| self.queued_work(level)).sum();
        let own = self.levels[level_of(Priority::Browse)].service.mean();
        (work + own) / self.limits.slots.max(1)
    }

    /// Expected service time of all requests waiting at a level.
    fn queued_work(&self, level: usize) -> Duration {
        let state = &self.levels[level];
        state.service.mean().saturating_mul(u32::try_from(state.waiting).unwrap_or(u32::MAX))
    }

    /// The reason to refuse a request that would be inserted at `position` in its tenant's queue,
    /// if there is one.
    pub(super) fn overload(
        &mut self,
        key: usize,
        level: usize,
        position: usize,
        budget: TimeBudget,
        now: Instant,
    ) -> Option<Overload> {
        let wait = self.wait(key, level, position);
        if !self.fits_queue(key, level) {
            return Some(self.refusal(ResultCode::Overloaded, wait.duration));
        }
        let needed = wait.duration + budget.needed_for(self.levels[level].service.tail());
        if needed > budget.total {
            return Some(self.refusal(code(wait), needed - budget.total));
        }
        self.delays_accepted_request(key, level, position, now)
            .then(|| self.refusal(code(wait), wait.duration))
    }

    /// Dynamic threshold: a queue may hold as many requests as there is still room for in total, so
    /// that no tenant and no priority can fill the whole queue.
    fn fits_queue(&self, key: usize, level: usize) -> bool {
        let free = self.limits.queue_length.saturating_sub(self.waiting());
        self.tenants[key].queues[level].len() < free
    }

    /// Whether a request of the same tenant that was accepted earlier would miss its deadline
    /// because the new request goes ahead of it.
    fn delays_accepted_request(
        &self,
        key: usize,
        level: usize,
        position: usize,
        now: Instant,
    ) -> bool {
        let tail = self.levels[level].service.tail();
        let queue = &self.tenants[key].queues[level];
        queue.budgets_from(position).enumerate().any(|(offset, budget)| {
            let position = position + offset;
            let latest = budget.deadline - budget.needed_for(tail);
            now + self.wait(key, level, position + 1).duration > latest
        })
    }

    /// Expected wait of the request at `position` in a tenant's queue.
    ///
    /// It has two upper bounds: the time until all requests at its level have run, and the time
    /// until the tenant's fair share has served the tenant's own requests up to `position`. It has
    /// one lower bound: the wait that the tenant's capacity causes.
    fn wait(&self, key: usize, level: usize, position: usize) -> Wait {
        let state = &self.levels[level];
        let tenant = &self.tenants[key];
        let service = state.service.mean();
        let slots = u64::from(self.limits.slots.max(1));
        let own = position as u64;
        let behind = tenant.queues[level].len() as u64 - own;
        let all = state.waiting as u64 - behind;
        let weight = tenant.weight();
        let others = if tenant.queues[level].is_empty() { weight } else { 0 };
        let share = ((own + 1) * (state.weight + others)).div_ceil(weight).saturating_sub(1);
        let ahead = all.min(share) + self.starvation_overtakes(level, all);
        let higher: Duration = (0..level).map(|higher| self.queued_work(higher)).sum();
        let free = u64::from(self.limits.slots.saturating_sub(self.running));
        let by_slots = wait_for_slot(ahead, free, slots, service) + higher / slots as u32;
        let by_slots = self.with_higher_arrivals(level, by_slots);
        let capacity = u64::from(tenant.capacity.max(1));
        let unused = u64::from(tenant.capacity.saturating_sub(tenant.running));
        let by_capacity = wait_for_slot(own, unused, capacity, service);
        Wait { duration: by_slots.max(by_capacity), by_capacity: by_capacity > by_slots }
    }

    /// Extends a wait by the requests of higher levels that are expected to arrive meanwhile. They
    /// are assumed to take the same share of the slots as recently.
    fn with_higher_arrivals(&self, level: usize, wait: Duration) -> Duration {
        let left = SHARE_UNITS - self.levels[level].higher_share.min(MAX_HIGHER_SHARE);
        wait.saturating_mul(SHARE_UNITS) / left
    }

    /// Number of requests of lower levels that the starvation rule serves first.
    fn starvation_overtakes(&self, level: usize, ahead: u64) -> u64 {
        let lower =
            self.levels[level + 1..].iter().filter(|lower| lower.waiting > 0).count() as u64;
        lower * (ahead / u64::from(STARVATION_LIMIT) + u64::from(ahead > 0))
    }

    /// Whether a waiting request can no longer finish before its deadline.
    pub(super) fn cannot_meet_deadline(
        &self,
        level: usize,
        budget: TimeBudget,
        now: Instant,
    ) -> bool {
        now + budget.needed_for(self.levels[level].service.tail()) > budget.deadline
    }

    pub(super) fn expire(&mut self, level: usize, key: usize, work: T) -> Refused<T> {
        let wait = self.wait(key, level, 0);
        let overload = self.refusal(code(wait), wait.duration);
        Refused { work, overload }
    }

    fn refusal(&mut self, code: ResultCode, wait: Duration) -> Overload {
        self.refusals = (self.refusals + 1) % RETRY_SPREAD;
        let base = wait.max(MIN_RETRY_DELAY);
        Overload { code, retry_after: base + base * self.refusals / RETRY_SPREAD }
    }
}

fn code(wait: Wait) -> ResultCode {
    if wait.by_capacity { ResultCode::TenantOverCapacity } else { ResultCode::Overloaded }
}

/// Time until the request gets one of `slots` slots, with `ahead` requests before it and `free`
/// slots now.
fn wait_for_slot(ahead: u64, free: u64, slots: u64, service: Duration) -> Duration {
    if ahead < free {
        return Duration::ZERO;
    }
    let rounds = (ahead - free + 1).div_ceil(slots);
    service.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX))
}
