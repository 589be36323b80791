//! The connection pool of one instance: the scheduler that assigns queued exchanges to idle
//! connections. `connections` has the state of each connection.
//!
//! `sizing` decides how many connections the pool opens, keeps and closes; `accounts` applies the
//! decisions on connections of accounts.

mod accounts;
mod capacity;
mod connections;
mod queue_wait;
mod recent_use;
mod sizing;

pub use accounts::PrewarmCounts;
pub use queue_wait::{QueueWait, WaitCause};
pub use sizing::ConnectionToOpen;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::admission::{Dispatch, Limits, Overload, Refused, Request, Scheduler};
use kestrellock_core::capacity::SharedCapacity;
use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::concurrency_limit::ConcurrencyLimit;
use kestrellock_core::connection_budget::{ConnectionBudget, owner_limit};
use kestrellock_core::connection_shares::{RESTART_CONNECTIONS, Share};
use kestrellock_core::ids::{AccountName, LeaseId, NodeName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::retry::Backoff;
use kestrellock_peer::message::Exchange;

use self::accounts::AccountConnections;
use self::connections::{MAX_CONNECT_BACKOFF, MIN_CONNECT_BACKOFF, PooledConnection, State};
use self::queue_wait::{QueuedAt, SlotsTakenTime};
use self::recent_use::RecentUse;

/// Maximum number of exchanges queued for one instance.
const MAX_QUEUED_EXCHANGES: usize = 1024;
/// Maximum total size of the exchanges queued for one instance, in bytes.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;
/// How long a standby that was the owner before redirects new exchanges to the new owner. Fronts
/// that send it exchanges in this period have not yet learned of the handover.
const HANDOVER_REDIRECT_PERIOD: Duration = Duration::from_secs(5);
/// Delay after which a client may retry that was refused because the queue holds too many bytes.
const QUEUED_BYTES_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The role of this node for an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PoolRole {
    /// Accepts exchanges and keeps warm connections.
    #[default]
    Owner,
    /// Keeps a few connections, so that it can replace the owner.
    Standby,
    /// Finishes open leases and closes all other connections.
    Released,
}

/// An exchange and the connection that runs it.
#[derive(Debug)]
pub struct Assignment {
    /// Key of the connection.
    pub key: usize,
    /// The exchange.
    pub exchange: Exchange,
}

/// An exchange that did not run, and the refusal for its front.
#[derive(Debug)]
pub struct RefusedExchange {
    /// The exchange.
    pub exchange: Exchange,
    /// Result code, reason and retry delay.
    pub refusal: Refusal,
}

/// The scheduler's decisions for the idle connections.
#[derive(Debug, Default)]
pub struct Assignments {
    /// Exchanges to run.
    pub run: Vec<Assignment>,
    /// Exchanges that can no longer finish before their deadline.
    pub refused: Vec<RefusedExchange>,
}

/// A queued exchange.
#[derive(Debug)]
struct Queued {
    exchange: Exchange,
    deadline: Instant,
    at: QueuedAt,
}

/// The connections to one instance and the queue of exchanges for them.
#[derive(Debug)]
pub struct Pool {
    role: PoolRole,
    /// When another node replaced this one as the owner.
    handed_over: Option<Instant>,
    slots: u32,
    /// Whether the instance or its zone is being taken out of use.
    leaving: bool,
    scheduler: Scheduler<Queued>,
    concurrency: ConcurrencyLimit,
    shared_capacity: SharedCapacity,
    slots_taken_time: SlotsTakenTime,
    /// Long waits that have ended and are not reported yet.
    long_waits: Vec<QueueWait>,
    queued_bytes: usize,
    connections: HashMap<usize, PooledConnection>,
    /// Idle connections, the most recently used one last.
    idle: Vec<usize>,
    connecting: u32,
    recent_use: Option<RecentUse>,
    budget: ConnectionBudget,
    /// This node's share of the instance's connections, if they are divided among several owners.
    share: Option<Share>,
    /// Whether the newest exchange belongs to an account: a connection without an account cannot
    /// run it.
    has_accounts: bool,
    /// Requests for connections in advance and the accounts' recent use; `None` if connections are
    /// not opened in advance.
    accounts: Option<AccountConnections>,
    /// Whether shares leave room for a restart of all nodes.
    reserves_for_restart: bool,
    connect_backoff: Backoff,
    connect_after: Option<Instant>,
}

fn limits(slots: u32) -> Limits {
    Limits { slots, queue_length: MAX_QUEUED_EXCHANGES }
}

/// Maximum number of connections of this node to an instance. Without shares, two connections per
/// instance of the group are left for probes: the owner and the standby of each instance may probe
/// all instances.
fn connection_limit(group: &Group, instance: &Instance, share: Option<Share>) -> u32 {
    let owned = || owner_limit(instance.connections, 2 * group.instances.len() as u32);
    share.map_or_else(owned, |share| share.max)
}

impl Pool {
    /// An empty pool of an instance; `share` is this node's share of its connections, if they are
    /// divided among several owners.
    pub fn new(group: &Group, instance: &Instance, role: PoolRole, share: Option<Share>) -> Self {
        Self {
            role,
            handed_over: None,
            slots: instance.slots,
            leaving: instance.leaving,
            scheduler: Scheduler::new(limits(instance.slots)),
            concurrency: ConcurrencyLimit::new(instance.slots),
            shared_capacity: SharedCapacity::default(),
            slots_taken_time: SlotsTakenTime::default(),
            long_waits: Vec::new(),
            queued_bytes: 0,
            connections: HashMap::new(),
            idle: Vec::new(),
            connecting: 0,
            recent_use: None,
            budget: ConnectionBudget::new(connection_limit(group, instance, share)),
            share,
            has_accounts: false,
            accounts: None,
            reserves_for_restart: false,
            connect_backoff: Backoff::new(MIN_CONNECT_BACKOFF, MAX_CONNECT_BACKOFF),
            connect_after: None,
        }
    }

    /// Applies the instance's configured parameters.
    pub fn configure(&mut self, group: &Group, instance: &Instance, share: Option<Share>) {
        self.slots = instance.slots;
        self.leaving = instance.leaving;
        self.concurrency.set_slots(instance.slots);
        self.scheduler.set_limits(limits(self.concurrency.limit()));
        self.budget.configure(connection_limit(group, instance, share));
        self.share = share;
    }

    /// Sets whether the instance gets no new work because it or its zone is being taken out of use.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets whether shares leave room for a restart of all nodes. The pool then retries soon while
    /// it has fewer connections than it needs right after a restart, and opens connections for
    /// urgent accounts first.
    pub fn set_reserves_for_restart(&mut self, reserves: bool) {
        self.reserves_for_restart = reserves;
        let whole = self.share.filter(|_| reserves);
        self.budget.require(whole.map_or(1, |share| share.max.min(RESTART_CONNECTIONS)));
    }

    /// Changes the role of this node for the instance.
    pub fn set_role(&mut self, role: PoolRole, now: Instant) {
        if self.role == PoolRole::Owner && role != PoolRole::Owner {
            self.handed_over = Some(now);
        }
        self.role = role;
    }

    /// Whether the pool accepts new exchanges. The owner does, and so does a standby for fronts
    /// that cannot reach the owner, unless it was the owner itself until just before. No pool
    /// accepts new exchanges for an instance that is being taken out of use.
    pub fn accepts(&self, now: Instant) -> bool {
        match self.role {
            _ if self.leaving => false,
            PoolRole::Owner => true,
            PoolRole::Standby => {
                self.handed_over.is_none_or(|since| now >= since + HANDOVER_REDIRECT_PERIOD)
            }
            PoolRole::Released => false,
        }
    }

    /// The role of this node for the instance.
    pub fn role(&self) -> PoolRole {
        self.role
    }

    /// Queues the first exchange of a lease, or returns it with a refusal.
    pub fn offer(
        &mut self,
        exchange: Exchange,
        capacity: u32,
        now: Instant,
    ) -> Result<(), Box<RefusedExchange>> {
        self.has_accounts = exchange.account.is_some();
        let bytes = exchange.frames.len();
        if self.queued_bytes + bytes > MAX_QUEUED_BYTES && self.scheduler.waiting() > 0 {
            let refusal = Refusal::new(ResultCode::Overloaded, "the queue holds too many bytes");
            let refusal = refusal.retry_after(QUEUED_BYTES_RETRY_DELAY);
            return Err(Box::new(RefusedExchange { exchange, refusal }));
        }
        let request = Request {
            tenant: exchange.tenant.clone(),
            account: exchange.account.clone(),
            capacity,
            priority: exchange.priority,
            deadline: now + exchange.time_left,
        };
        let ahead = self.scheduler.waiting_from(exchange.priority);
        let at = QueuedAt { time: now, ahead, slots_taken: self.slots_taken_time.at(now) };
        let queued = Queued { exchange, deadline: request.deadline, at };
        match self.scheduler.offer(&request, queued, now) {
            Ok(()) => {
                self.queued_bytes += bytes;
                Ok(())
            }
            Err(refused) => Err(Box::new(refused_exchange(refused))),
        }
    }

    /// Removes queued exchanges that can no longer finish before their deadline.
    pub fn remove_late(&mut self, now: Instant) -> Vec<RefusedExchange> {
        let late = self.scheduler.take_expired(now);
        late.into_iter().map(|refused| self.on_expired(refused, now)).collect()
    }

    fn on_expired(&mut self, refused: Refused<Queued>, now: Instant) -> RefusedExchange {
        self.record_wait(&refused.work, false, now);
        self.queued_bytes -= refused.work.exchange.frames.len();
        refused_exchange(refused)
    }

    /// Assigns queued exchanges to idle connections while slots are free. The remaining time of the
    /// exchanges is updated to `now`.
    pub fn assign(&mut self, now: Instant) -> Assignments {
        let mut assigned = Assignments::default();
        let reserved = self.reserved_connection(now);
        while let Some(dispatch) = self.next_dispatch(reserved, now) {
            match dispatch {
                Dispatch::Expired(refused) => {
                    let refused = self.on_expired(refused, now);
                    assigned.refused.push(refused);
                }
                Dispatch::Run { ticket, work } => {
                    self.record_wait(&work, true, now);
                    let Queued { mut exchange, deadline, .. } = work;
                    let index = self
                        .idle_index_for(&exchange, reserved)
                        .expect("the scheduler only returns exchanges with an idle connection");
                    let key = self.idle.remove(index);
                    exchange.time_left = deadline.saturating_duration_since(now);
                    self.queued_bytes -= exchange.frames.len();
                    self.set_state(key, State::Leased { ticket });
                    self.record_use(now);
                    self.record_settings(key, &exchange.settings);
                    self.record_account_use(key, &exchange, now);
                    assigned.run.push(Assignment { key, exchange });
                }
            }
        }
        self.update_slots_taken(now);
        assigned
    }

    /// Records the wait of an exchange that leaves the queue, if it was long.
    fn record_wait(&mut self, queued: &Queued, is_run: bool, now: Instant) {
        let waited = now.saturating_duration_since(queued.at.time);
        if !QueueWait::is_reported(waited) {
            return;
        }
        self.long_waits.push(QueueWait {
            request: queued.exchange.request.clone(),
            priority: queued.exchange.priority,
            waited,
            waited_for_slot: self.slots_taken_time.at(now) - queued.at.slots_taken,
            ahead: queued.at.ahead,
            limit: self.scheduler.slots(),
            is_run,
        });
    }

    /// The long waits that have ended since the last call.
    pub fn take_long_waits(&mut self) -> Vec<QueueWait> {
        std::mem::take(&mut self.long_waits)
    }

    fn update_slots_taken(&mut self, now: Instant) {
        self.slots_taken_time.update(!self.scheduler.has_free_slot(), now);
    }

    fn record_use(&mut self, now: Instant) {
        let in_use = self.connections_in_use() as u32;
        self.recent_use.get_or_insert_with(|| RecentUse::new(now)).on_use(in_use, now);
    }

    /// The next exchange whose account has an idle connection.
    fn next_dispatch(&mut self, reserved: Option<usize>, now: Instant) -> Option<Dispatch<Queued>> {
        let (connections, idle) = (&self.connections, &self.idle);
        let has_idle = |account: Option<&AccountName>| {
            let fits = |key: &usize| connections[key].account.as_ref() == account;
            idle.iter().any(|key| Some(*key) != reserved && fits(key))
        };
        if idle.is_empty() {
            return None;
        }
        self.scheduler.take_next_where(now, has_idle)
    }

    /// Leases whose first exchange is queued.
    pub fn queued_leases(&self) -> impl Iterator<Item = &LeaseId> {
        self.scheduler.waiting_work().map(|queued| &queued.exchange.lease)
    }

    /// Drops the queued exchange of an abandoned lease. Returns whether there was one.
    pub fn forget(&mut self, lease: &LeaseId) -> bool {
        self.remove_first(|exchange| exchange.lease == *lease)
    }

    /// Drops the queued exchanges of an unreachable front.
    pub fn forget_node(&mut self, node: &NodeName) {
        while self.remove_first(|exchange| exchange.lease.node == *node) {}
    }

    fn remove_first(&mut self, matches: impl Fn(&Exchange) -> bool) -> bool {
        let removed = self.scheduler.remove(|waiting| matches(&waiting.exchange));
        self.queued_bytes -= removed.as_ref().map_or(0, |queued| queued.exchange.frames.len());
        removed.is_some()
    }

    /// Removes and returns all queued exchanges.
    pub fn drain_queue(&mut self) -> Vec<Exchange> {
        self.queued_bytes = 0;
        self.scheduler.drain().into_iter().map(|queued| queued.exchange).collect()
    }

    /// Number of queued exchanges.
    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Expected wait for a slot.
    pub fn expected_wait(&self) -> Duration {
        self.scheduler.expected_wait()
    }

    /// Adapts the concurrency limit after the instance accepted an exchange, or refused it as busy.
    pub fn on_answer(&mut self, accepted: bool, now: Instant) {
        match accepted {
            true => self.concurrency.on_answered(),
            false => self.concurrency.on_refused(now),
        }
        self.scheduler.set_limits(limits(self.concurrency.limit()));
    }
}

fn refused_exchange(refused: Refused<Queued>) -> RefusedExchange {
    let Overload { code, retry_after } = refused.overload;
    let detail = match code {
        ResultCode::TenantOverCapacity => "the tenant's capacity on the instance is used up",
        _ => "the instance cannot finish the statement before its deadline",
    };
    let refusal = Refusal::new(code, detail).retry_after(retry_after);
    RefusedExchange { exchange: refused.work.exchange, refusal }
}
