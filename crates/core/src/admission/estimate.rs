//! Whether a request can finish in time: the wait that the scheduler's own rules lead to.

use std::time::{Duration, Instant};

use super::tenant::TimeBudget;
use super::{LEVELS, Overload, Refused, SHARE_UNITS, STARVATION_LIMIT, Scheduler, level_of};
use crate::catalog::Priority;
use crate::outcome::ResultCode;

/// Largest part of the slots that higher levels are expected to go on taking.
const LARGEST_SHARE_ABOVE: u32 = SHARE_UNITS / 4 * 3;
/// Shortest hint to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(1);
/// Hints are spread over this many steps, so that refused callers do not return together.
const RETRY_SPREAD: u32 = 16;

/// The wait for a slot and which limit causes it.
#[derive(Clone, Copy, Debug)]
struct Wait {
    duration: Duration,
    by_capacity: bool,
}

impl<T> Scheduler<T> {
    /// Expected wait of a request of the lowest priority from a tenant with nothing running:
    /// everything that waits goes ahead of it.
    pub fn expected_wait(&self) -> Duration {
        if self.running < self.limits.slots && self.waiting() == 0 {
            return Duration::ZERO;
        }
        let work: Duration = (0..LEVELS).map(|level| self.work(level)).sum();
        let own = self.levels[level_of(Priority::Browse)].service.mean();
        (work + own) / self.limits.slots.max(1)
    }

    /// Service time of everything that waits at a level.
    fn work(&self, level: usize) -> Duration {
        let state = &self.levels[level];
        state.service.mean().saturating_mul(u32::try_from(state.waiting).unwrap_or(u32::MAX))
    }

    /// Why a request may not wait, if so. It would stand at `position` in its tenant's queue.
    pub(super) fn overload(
        &mut self,
        key: usize,
        level: usize,
        position: usize,
        time: TimeBudget,
        now: Instant,
    ) -> Option<Overload> {
        let wait = self.wait(key, level, position);
        if !self.fits_queue(key, level) {
            return Some(self.refusal(ResultCode::Overloaded, wait.duration));
        }
        let needed = wait.duration + time.needed_for(self.levels[level].service.tail());
        if needed > time.total {
            return Some(self.refusal(code(wait), needed - time.total));
        }
        self.displaces_another(key, level, position, now)
            .then(|| self.refusal(code(wait), wait.duration))
    }

    /// Dynamic threshold: a queue may hold as much as is still free, so that no tenant and no
    /// priority can fill the whole.
    fn fits_queue(&self, key: usize, level: usize) -> bool {
        let free = self.limits.queue_length.saturating_sub(self.waiting());
        self.tenants[key].queues[level].len() < free
    }

    /// Whether a request of the same tenant that was accepted before would miss its deadline
    /// because the new one goes ahead of it.
    fn displaces_another(&self, key: usize, level: usize, position: usize, now: Instant) -> bool {
        let tail = self.levels[level].service.tail();
        let queue = &self.tenants[key].queues[level];
        queue.budgets_from(position).enumerate().any(|(offset, time)| {
            let position = position + offset;
            let latest = time.deadline - time.needed_for(tail);
            now + self.wait(key, level, position + 1).duration > latest
        })
    }

    /// Wait of the request at `position` in a tenant's queue.
    ///
    /// It is no longer than if all that waits at its level went first, and no longer than the
    /// tenant's fair share needs for the tenant's own requests; but at least as long as the
    /// tenant's capacity makes it.
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
        let ahead = all.min(share) + self.starved_ahead(level, all);
        let higher: Duration = (0..level).map(|higher| self.work(higher)).sum();
        let free = u64::from(self.limits.slots.saturating_sub(self.running));
        let by_slots = rounds(ahead, free, slots, service) + higher / slots as u32;
        let by_slots = self.with_arrivals_above(level, by_slots);
        let capacity = u64::from(tenant.capacity.max(1));
        let unused = u64::from(tenant.capacity.saturating_sub(tenant.running));
        let by_capacity = rounds(own, unused, capacity, service);
        Wait { duration: by_slots.max(by_capacity), by_capacity: by_capacity > by_slots }
    }

    /// The wait if requests of higher levels go on to arrive as they did lately: they take their
    /// part of the slots first.
    fn with_arrivals_above(&self, level: usize, wait: Duration) -> Duration {
        let left = SHARE_UNITS - self.levels[level].higher_share.min(LARGEST_SHARE_ABOVE);
        wait.saturating_mul(SHARE_UNITS) / left
    }

    /// Requests of lower levels that the starvation rule lets go first.
    fn starved_ahead(&self, level: usize, ahead: u64) -> u64 {
        let lower =
            self.levels[level + 1..].iter().filter(|lower| lower.waiting > 0).count() as u64;
        lower * (ahead / u64::from(STARVATION_LIMIT) + u64::from(ahead > 0))
    }

    /// Whether a waiting request can no longer finish in time.
    pub(super) fn cannot_meet_deadline(
        &self,
        level: usize,
        time: TimeBudget,
        now: Instant,
    ) -> bool {
        now + time.needed_for(self.levels[level].service.tail()) > time.deadline
    }

    pub(super) fn expire(&mut self, level: usize, key: usize, work: T) -> Refused<T> {
        let wait = self.wait(key, level, 0);
        let overload = self.refusal(code(wait), wait.duration);
        Refused { work, overload }
    }

    fn refusal(&mut self, code: ResultCode, wait: Duration) -> Overload {
        self.refusals = (self.refusals + 1) % RETRY_SPREAD;
        let base = wait.max(SHORTEST_RETRY);
        Overload { code, retry_after: base + base * self.refusals / RETRY_SPREAD }
    }
}

fn code(wait: Wait) -> ResultCode {
    if wait.by_capacity { ResultCode::TenantOverCapacity } else { ResultCode::Overloaded }
}

/// Time until a place among `places` is reached with `ahead` before it and `free` places now.
fn rounds(ahead: u64, free: u64, places: u64, service: Duration) -> Duration {
    if ahead < free {
        return Duration::ZERO;
    }
    let rounds = (ahead - free + 1).div_ceil(places);
    service.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX))
}
