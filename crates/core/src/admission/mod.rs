//! Admission to one instance: decides which request runs next, which requests wait, and which are
//! refused at once.
//!
//! One gateway owns an instance, so one scheduler sees all requests for it. Slots bound the number
//! of requests that run concurrently on the instance; each tenant's capacity bounds the tenant's
//! share of the slots. Higher priorities go first, except that a lower priority is served after
//! [`STARVATION_LIMIT`] requests have gone ahead of it. Tenants of the same priority share by
//! start-time fair queuing, weighted by capacity. A tenant's own requests run in order of their
//! deadlines. If a tenant has several accounts, each account is scheduled as a separate tenant, and
//! a request starts only if its account has a connection. A request that by the estimate cannot
//! finish before its deadline is refused on arrival. A waiting request is dropped as soon as it can
//! no longer finish in time. Both refusals carry a retry hint.
//!
//! Time is an argument. Once a tenant is known and its queue has reached its working size, a
//! decision allocates no memory.

mod demand;
mod estimate;
mod service_time;
mod tenant;
mod types;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::capacity::Allocation;
use crate::catalog::Priority;
use crate::ids::{AccountName, TenantName};

pub use self::service_time::ServiceTime;
use self::tenant::{Tenant, TimeBudget, Waiting};
use self::types::Running;
pub use self::types::{Dispatch, Limits, Overload, Refused, Request, Startable, Ticket};

/// Number of priorities.
const LEVELS: usize = 3;
/// Number of consecutive requests of higher priorities that may go ahead of a waiting request of a
/// lower priority.
pub const STARVATION_LIMIT: u32 = 16;
/// Fixed-point unit of the share of starts, and the step of its moving average: 1/32 of the
/// difference per start.
const SHARE_UNITS: u32 = 1 << 16;
const SHARE_SHIFT: u32 = 5;
/// When this many tenants are known, those without any request are dropped.
const MAX_KNOWN_TENANTS: usize = 256;

/// State of all tenants at one priority.
#[derive(Debug, Default)]
struct Level {
    /// Keys of tenants with waiting requests.
    active: Vec<usize>,
    waiting: usize,
    running: u32,
    /// Sum of the active tenants' weights.
    weight: u64,
    /// Virtual time of the request that started last. A tenant that becomes active again starts
    /// from here.
    virtual_time: u64,
    /// Number of higher-priority requests that started since this level was last served, also at
    /// other schedulers of the instance.
    overtaken: u32,
    /// Number of requests that have started. It wraps around.
    started: u32,
    /// Fraction of recent starts that belonged to higher levels, in units of 1 / [`SHARE_UNITS`].
    higher_share: u32,
    service: ServiceTime,
}

/// Identifies the requests that share one queue per level.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flow {
    tenant: TenantName,
    account: Option<AccountName>,
}

/// The scheduler of one instance. `T` is the work of a request.
#[derive(Debug)]
pub struct Scheduler<T> {
    limits: Limits,
    /// What may run if other schedulers share the instance. It changes with what waits at them, so
    /// estimates do not depend on it.
    allocation: Option<Allocation>,
    levels: [Level; LEVELS],
    tenants: Vec<Tenant<T>>,
    keys: HashMap<Flow, usize>,
    /// Indices of dropped tenants, for reuse.
    free_indices: Vec<usize>,
    running: u32,
    refusals: u32,
}

fn level_of(priority: Priority) -> usize {
    match priority {
        Priority::Order => 0,
        Priority::Normal => 1,
        Priority::Browse => 2,
    }
}

fn priority_of(level: usize) -> Priority {
    match level {
        0 => Priority::Order,
        1 => Priority::Normal,
        _ => Priority::Browse,
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

impl<T> Scheduler<T> {
    /// Creates an idle scheduler.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            allocation: None,
            levels: std::array::from_fn(|_| Level::default()),
            tenants: Vec::new(),
            keys: HashMap::new(),
            free_indices: Vec::new(),
            running: 0,
            refusals: 0,
        }
    }

    /// Replaces the limits. Running and waiting requests are not affected.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.levels.iter().map(|level| level.waiting).sum()
    }

    /// Number of waiting requests of a priority or a higher one.
    pub fn waiting_from(&self, priority: Priority) -> usize {
        self.levels[..=level_of(priority)].iter().map(|level| level.waiting).sum()
    }

    /// Number of running requests of a tenant.
    pub fn running_of(&self, tenant: &TenantName) -> u32 {
        let flows = self.keys.iter().filter(|(flow, _)| flow.tenant == *tenant);
        flows.map(|(_, key)| self.tenants[*key].running).sum()
    }

    /// Number of free slots.
    pub fn free_slots(&self) -> u32 {
        self.limits.slots.saturating_sub(self.running)
    }

    /// Number of further requests that could start now if all accounts had connections.
    pub fn startable(&self) -> u32 {
        let free = self.limits.slots.saturating_sub(self.running);
        if free == 0 {
            return 0;
        }
        let ready: usize = self.tenants.iter().map(Tenant::startable).sum();
        free.min(u32::try_from(ready).unwrap_or(u32::MAX))
    }

    /// The requests that could start now if all accounts had connections, by account. Accounts with
    /// the longest wait come first.
    pub fn startable_by_account(&self, now: Instant) -> Vec<Startable> {
        if self.running >= self.limits.slots || self.waiting() == 0 {
            return Vec::new();
        }
        let mut startable: Vec<Startable> = Vec::new();
        for tenant in self.tenants.iter().filter(|tenant| tenant.startable() > 0) {
            let count = u32::try_from(tenant.startable()).unwrap_or(u32::MAX);
            let waited = tenant.longest_wait(now);
            let priority = tenant.highest_priority();
            match startable.iter_mut().find(|known| known.account == tenant.account) {
                Some(known) => {
                    known.count = known.count.saturating_add(count);
                    known.waited = known.waited.max(waited);
                    known.priority = known.priority.min(priority);
                }
                None => {
                    let account = tenant.account.clone();
                    startable.push(Startable { account, count, waited, priority });
                }
            }
        }
        startable.sort_by_key(|known| std::cmp::Reverse(known.waited));
        startable
    }

    /// Queues a request, or refuses it at once.
    pub fn offer(&mut self, request: &Request, work: T, now: Instant) -> Result<(), Refused<T>> {
        let level = level_of(request.priority);
        let key = self.tenant_key(request);
        let total = request.deadline.saturating_duration_since(now);
        let budget = TimeBudget { deadline: request.deadline, total };
        let position = self.tenants[key].queues[level].ahead_of(request.deadline);
        if let Some(overload) = self.overload(key, level, position, budget, now) {
            return Err(Refused { work, overload });
        }
        let tenant = &mut self.tenants[key];
        let queue = &mut tenant.queues[level];
        let state = &mut self.levels[level];
        if queue.is_empty() {
            queue.virtual_time = queue.virtual_time.max(state.virtual_time);
            state.active.push(key);
        }
        queue.insert(position, Waiting { budget, work });
        state.waiting += 1;
        self.update_weight(level);
        Ok(())
    }

    fn tenant_key(&mut self, request: &Request) -> usize {
        let flow = Flow { tenant: request.tenant.clone(), account: request.account.clone() };
        if let Some(&key) = self.keys.get(&flow) {
            self.tenants[key].capacity = request.capacity;
            return key;
        }
        if self.keys.len() >= MAX_KNOWN_TENANTS {
            self.forget_idle_tenants();
        }
        let tenant = Tenant::new(request.account.clone(), request.capacity);
        let key = match self.free_indices.pop() {
            Some(key) => {
                self.tenants[key] = tenant;
                key
            }
            None => {
                self.tenants.push(tenant);
                self.tenants.len() - 1
            }
        };
        self.keys.insert(flow, key);
        key
    }

    fn forget_idle_tenants(&mut self) {
        let (tenants, free_indices) = (&self.tenants, &mut self.free_indices);
        self.keys.retain(|_, key| {
            let idle = tenants[*key].is_idle();
            if idle {
                free_indices.push(*key);
            }
            !idle
        });
    }

    fn update_weight(&mut self, level: usize) {
        let weights = self.levels[level].active.iter().map(|key| self.tenants[*key].weight());
        self.levels[level].weight = weights.sum();
    }

    /// Takes the next request to run or to refuse. Returns `None` if no slot is free or no request
    /// may start.
    pub fn take_next(&mut self, now: Instant) -> Option<Dispatch<T>> {
        self.take_next_where(now, |_| true)
    }

    /// Like [`Self::take_next`], limited to the accounts that have a connection.
    pub fn take_next_where(
        &mut self,
        now: Instant,
        has_connection: impl Fn(Option<&AccountName>) -> bool,
    ) -> Option<Dispatch<T>> {
        if !self.has_free_slot() {
            return None;
        }
        let (level, key) = self.choose(&has_connection)?;
        let waiting = self.pop(level, key)?;
        if self.cannot_meet_deadline(level, waiting.budget, now) {
            return Some(Dispatch::Expired(self.expire(level, key, waiting.work)));
        }
        let ticket = self.start(level, key, now);
        Some(Dispatch::Run { ticket, work: waiting.work })
    }

    /// Chooses the level and tenant to serve: a level that was overtaken too often, otherwise the
    /// highest one.
    fn choose(
        &self,
        has_connection: &impl Fn(Option<&AccountName>) -> bool,
    ) -> Option<(usize, usize)> {
        let starved = (0..LEVELS)
            .filter(|level| self.may_serve_starved(*level))
            .find_map(|level| self.choose_in(level, has_connection));
        starved.or_else(|| (0..LEVELS).find_map(|level| self.choose_in(level, has_connection)))
    }

    /// Whether a level was overtaken too often. If other schedulers share the instance, the
    /// allocation says whose turn it is.
    fn may_serve_starved(&self, level: usize) -> bool {
        let is_starved = self.levels[level].overtaken >= STARVATION_LIMIT;
        is_starved
            && self.allocation.is_none_or(|allocation| allocation.starved_level == Some(level))
    }

    /// Chooses the tenant with the lowest virtual time among those below their capacity.
    fn choose_in(
        &self,
        level: usize,
        has_connection: &impl Fn(Option<&AccountName>) -> bool,
    ) -> Option<(usize, usize)> {
        let eligible = self.levels[level].active.iter().copied();
        eligible
            .filter(|key| !self.tenants[*key].is_at_capacity())
            .filter(|key| has_connection(self.tenants[*key].account.as_ref()))
            .min_by_key(|key| self.tenants[*key].queues[level].virtual_time)
            .map(|key| (level, key))
    }

    fn pop(&mut self, level: usize, key: usize) -> Option<Waiting<T>> {
        let queue = &mut self.tenants[key].queues[level];
        let waiting = queue.pop()?;
        let emptied = queue.is_empty();
        self.levels[level].waiting -= 1;
        if emptied {
            self.deactivate(level, key);
        }
        Some(waiting)
    }

    fn deactivate(&mut self, level: usize, key: usize) {
        let state = &mut self.levels[level];
        if let Some(index) = state.active.iter().position(|active| *active == key) {
            state.active.swap_remove(index);
        }
        self.update_weight(level);
    }

    fn start(&mut self, level: usize, key: usize, now: Instant) -> Ticket {
        for (number, state) in self.levels.iter_mut().enumerate() {
            let target = if level < number { SHARE_UNITS } else { 0 };
            state.higher_share -= state.higher_share >> SHARE_SHIFT;
            state.higher_share += target >> SHARE_SHIFT;
            match number.cmp(&level) {
                std::cmp::Ordering::Less => {}
                std::cmp::Ordering::Equal => {
                    state.overtaken = 0;
                    state.started = state.started.wrapping_add(1);
                }
                std::cmp::Ordering::Greater if state.waiting > 0 => {
                    state.overtaken = state.overtaken.saturating_add(1);
                }
                std::cmp::Ordering::Greater => state.overtaken = 0,
            }
        }
        let state = &mut self.levels[level];
        state.virtual_time = state.virtual_time.max(self.tenants[key].queues[level].virtual_time);
        let mut ticket = Ticket { tenant: key, level, running: None };
        self.tenants[key].paused += 1;
        self.resume(&mut ticket, now);
        ticket
    }

    /// Takes a slot for the next statement of an open transaction. It never waits, because other
    /// requests may wait for locks that the transaction holds. The slots may be exceeded; waiting
    /// requests do not start until slots are free again.
    pub fn resume(&mut self, ticket: &mut Ticket, now: Instant) {
        if ticket.running.is_some() {
            return;
        }
        let expected = self.levels[ticket.level].service.mean();
        let tenant = &mut self.tenants[ticket.tenant];
        let charged = (nanoseconds(expected) / tenant.weight()).max(1);
        let queue = &mut tenant.queues[ticket.level];
        queue.virtual_time = queue.virtual_time.saturating_add(charged);
        tenant.running += 1;
        tenant.paused -= 1;
        self.running += 1;
        self.levels[ticket.level].running += 1;
        ticket.running = Some(Running { started: now, charged });
    }

    /// Frees the slot while an open transaction waits for its client, and replaces the expected
    /// service time that the tenant was charged by the actual one.
    pub fn pause(&mut self, ticket: &mut Ticket, now: Instant) {
        let Some(Running { started, charged }) = ticket.running.take() else { return };
        let taken = now.saturating_duration_since(started);
        self.levels[ticket.level].service.record(taken);
        let tenant = &mut self.tenants[ticket.tenant];
        let actual = nanoseconds(taken) / tenant.weight();
        let queue = &mut tenant.queues[ticket.level];
        queue.virtual_time = queue.virtual_time.saturating_sub(charged).saturating_add(actual);
        tenant.running -= 1;
        tenant.paused += 1;
        self.running -= 1;
        self.levels[ticket.level].running -= 1;
    }

    /// Ends the use of a slot.
    pub fn finish(&mut self, mut ticket: Ticket, now: Instant) {
        self.pause(&mut ticket, now);
        self.tenants[ticket.tenant].paused -= 1;
    }

    /// Removes the waiting requests that can no longer finish before their deadlines.
    pub fn take_expired(&mut self, now: Instant) -> Vec<Refused<T>> {
        let mut late = Vec::new();
        for level in 0..LEVELS {
            for index in (0..self.levels[level].active.len()).rev() {
                let key = self.levels[level].active[index];
                self.take_expired_of(level, key, now, &mut late);
            }
        }
        late
    }

    fn take_expired_of(
        &mut self,
        level: usize,
        key: usize,
        now: Instant,
        late: &mut Vec<Refused<T>>,
    ) {
        while let Some(budget) = self.tenants[key].queues[level].first_budget()
            && self.cannot_meet_deadline(level, budget, now)
            && let Some(waiting) = self.pop(level, key)
        {
            late.push(self.expire(level, key, waiting.work));
        }
    }

    /// Removes one waiting request, for example because its client disconnected.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Option<T> {
        for level in 0..LEVELS {
            for index in 0..self.levels[level].active.len() {
                let key = self.levels[level].active[index];
                let queue = &mut self.tenants[key].queues[level];
                if let Some(work) = queue.remove(&mut matches) {
                    let emptied = queue.is_empty();
                    self.levels[level].waiting -= 1;
                    if emptied {
                        self.deactivate(level, key);
                    }
                    return Some(work);
                }
            }
        }
        None
    }

    /// All waiting work, in no particular order.
    pub fn waiting_work(&self) -> impl Iterator<Item = &T> {
        let queues = self.tenants.iter().flat_map(|tenant| &tenant.queues);
        queues.flat_map(|queue| queue.work_items())
    }

    /// Removes all waiting requests.
    pub fn drain(&mut self) -> Vec<T> {
        std::iter::from_fn(|| self.remove(|_| true)).collect()
    }
}
