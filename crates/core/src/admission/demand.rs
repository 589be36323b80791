//! Sharing an instance with the schedulers of other owners: what waits here, what started there,
//! and how many slots are left for this scheduler.

use std::time::{Duration, Instant};

use super::tenant::Tenant;
use super::{LEVELS, STARVATION_LIMIT, Scheduler};
use crate::capacity::{self, Allocation, LevelDemand};
use crate::ids::AccountName;

const _: () = assert!(LEVELS == capacity::LEVELS, "a demand has an entry for each priority");

impl<T> Scheduler<T> {
    /// Limits the slots that requests may take; `None` applies only the limits of the scheduler.
    pub fn set_allocation(&mut self, allocation: Option<Allocation>) {
        self.allocation = allocation;
    }

    /// The allocation, if there is one.
    pub fn allocation(&self) -> Option<Allocation> {
        self.allocation
    }

    /// Number of requests that may run concurrently.
    pub fn slots(&self) -> u32 {
        self.allocation.map_or(u32::MAX, |allocation| allocation.slots).min(self.limits.slots)
    }

    /// Whether a request may start now.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.slots()
    }

    /// Expected service time of a request of the slowest priority.
    pub fn expected_service(&self) -> Duration {
        self.levels.iter().map(|level| level.service.mean()).max().unwrap_or_default()
    }

    /// Counts requests that other schedulers of the instance have started, by priority.
    pub fn on_started_elsewhere(&mut self, started: [u32; LEVELS]) {
        let mut higher: u32 = 0;
        for (state, started) in self.levels.iter_mut().zip(started) {
            state.overtaken = match state.waiting > 0 && started == 0 {
                true => state.overtaken.saturating_add(higher),
                false => 0,
            };
            higher = higher.saturating_add(started);
        }
    }

    /// Number of requests that may run concurrently without an allocation, with this many
    /// connections.
    pub fn limit(&self, connections: &[(Option<&AccountName>, u32)]) -> u32 {
        let all: u32 = connections.iter().map(|(_, count)| count).sum();
        all.min(self.limits.slots)
    }

    /// The running requests of each priority, and the waiting ones that could run at once if all
    /// slots were free. `connections` is the number of connections for each account.
    pub fn demand(
        &self,
        connections: &[(Option<&AccountName>, u32)],
        now: Instant,
    ) -> [LevelDemand; LEVELS] {
        std::array::from_fn(|level| self.level_demand(level, connections, now))
    }

    fn level_demand(
        &self,
        level: usize,
        connections: &[(Option<&AccountName>, u32)],
        now: Instant,
    ) -> LevelDemand {
        let state = &self.levels[level];
        let mut demand = LevelDemand {
            running: state.running,
            overtaken: state.overtaken.min(STARVATION_LIMIT),
            started: state.started,
            ..LevelDemand::default()
        };
        let mut deadlines: Option<(Instant, Instant)> = None;
        for tenant in state.active.iter().map(|key| &self.tenants[*key]) {
            let runnable = runnable(tenant, level, connections);
            let Some((first, last)) = tenant.queues[level].deadlines().filter(|_| runnable > 0)
            else {
                continue;
            };
            demand.waiting = demand.waiting.saturating_add(runnable);
            demand.flows += 1;
            let (earliest, latest) = deadlines.unwrap_or((first, last));
            deadlines = Some((earliest.min(first), latest.max(last)));
        }
        let time_left = |deadline: Instant| deadline.saturating_duration_since(now);
        let (earliest, latest) = deadlines.unwrap_or((now, now));
        LevelDemand { earliest: time_left(earliest), latest: time_left(latest), ..demand }
    }
}

/// Number of a tenant's waiting requests that its capacity and its connections let run at once.
fn runnable<T>(
    tenant: &Tenant<T>,
    level: usize,
    connections: &[(Option<&AccountName>, u32)],
) -> u32 {
    let of_account = connections.iter().find(|(account, _)| *account == tenant.account.as_ref());
    let connected = of_account.map_or(0, |(_, count)| *count);
    let waiting = u32::try_from(tenant.queues[level].len()).unwrap_or(u32::MAX);
    waiting.min(tenant.capacity).min(connected)
}
