//! The connection pool of one instance: the state of each connection, and the scheduler that
//! assigns queued exchanges to idle connections.
//!
//! `sizing` decides how many connections the pool opens, keeps and closes; `accounts` applies the
//! decisions on connections of accounts.

mod accounts;
mod capacity;
mod queue_wait;
mod recent_use;
mod sizing;

pub use accounts::PrewarmCounts;
pub use queue_wait::{QueueWait, WaitCause};
pub use sizing::ConnectionToOpen;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::admission::{
    Dispatch, Limits, Overload, Refused, Request, Scheduler, Ticket,
};
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
use self::queue_wait::{QueuedAt, SlotsTakenTime};
use self::recent_use::RecentUse;

/// Maximum number of exchanges queued for one instance.
const MAX_QUEUED_EXCHANGES: usize = 1024;
/// Maximum total size of the exchanges queued for one instance, in bytes.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(10);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// Interval between attempts to connect to an instance at whose address another instance listens.
/// The platform keeps announcing the old instance for three of its heartbeats, that is some
/// seconds, and the instance does not normally return under its old name.
const DISPLACED_RETRY_INTERVAL: Duration = Duration::from_secs(1);
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

/// State of a connection.
#[derive(Debug)]
enum State {
    Connecting {
        since: Instant,
    },
    Idle {
        since: Instant,
    },
    /// Used by a lease, from its first exchange to the end of its transaction.
    Leased {
        ticket: Ticket,
    },
    /// Used by the gateway for a status query.
    Borrowed,
}

/// A connection and the account whose exchanges it carries.
#[derive(Debug)]
struct PooledConnection {
    /// Account given to the instance at start-up; fixed for the lifetime of the connection.
    account: Option<AccountName>,
    /// Whether it was opened before its account had work, and has not run any yet.
    is_unused_in_advance: bool,
    state: State,
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
                    let account = exchange.account.as_ref();
                    let index = self
                        .idle_index_for(account, reserved)
                        .expect("the scheduler only returns exchanges with an idle connection");
                    let key = self.idle.remove(index);
                    exchange.time_left = deadline.saturating_duration_since(now);
                    self.queued_bytes -= exchange.frames.len();
                    self.set_state(key, State::Leased { ticket });
                    self.record_use(now);
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

    /// Index in `idle` of the account's most recently used connection.
    fn idle_index_for(
        &self,
        account: Option<&AccountName>,
        reserved: Option<usize>,
    ) -> Option<usize> {
        let fits = |key: &usize| self.connections[key].account.as_ref() == account;
        self.idle.iter().rposition(|key| Some(*key) != reserved && fits(key))
    }

    fn set_state(&mut self, key: usize, state: State) -> Option<State> {
        let pooled = self.connections.get_mut(&key)?;
        Some(std::mem::replace(&mut pooled.state, state))
    }

    /// Adds a connection for `account` that is being opened.
    pub fn on_connecting(&mut self, key: usize, account: Option<AccountName>, now: Instant) {
        self.add_connecting(key, account, false, now);
    }

    fn add_connecting(
        &mut self,
        key: usize,
        account: Option<AccountName>,
        is_unused_in_advance: bool,
        now: Instant,
    ) {
        let state = State::Connecting { since: now };
        self.connections.insert(key, PooledConnection { account, is_unused_in_advance, state });
        self.connecting += 1;
    }

    /// Handles a connection that finished its start-up, its lease or its status query.
    pub fn on_idle(&mut self, key: usize, now: Instant) {
        // A connection that is not in the pool must not get any work.
        let Some(before) = self.set_state(key, State::Idle { since: now }) else { return };
        if matches!(before, State::Connecting { .. }) {
            self.connect_backoff.on_success();
            self.connect_after = None;
        }
        self.leave_state(key, Some(before), now);
        self.idle.push(key);
    }

    /// Takes an idle connection for a status query of the gateway; [`Pool::on_idle`] returns it.
    pub fn borrow_idle(&mut self) -> Option<usize> {
        let key = self.idle.pop()?;
        self.set_state(key, State::Borrowed);
        Some(key)
    }

    /// Removes a closed connection, whatever its state. `random` adds jitter to the next attempt to
    /// connect.
    pub fn on_lost(&mut self, key: usize, now: Instant, random: u64) {
        let removed = self.connections.remove(&key);
        self.count_if_unused(removed.as_ref());
        let before = removed.map(|pooled| pooled.state);
        if matches!(before, Some(State::Connecting { .. })) {
            self.on_connect_failed(now, random);
        }
        self.leave_state(key, before, now);
    }

    /// Updates the pool's counts and lists when a connection leaves the state `before`.
    fn leave_state(&mut self, key: usize, before: Option<State>, now: Instant) {
        match before {
            None | Some(State::Borrowed) => {}
            Some(State::Connecting { .. }) => self.connecting -= 1,
            Some(State::Idle { .. }) => self.idle.retain(|idle| *idle != key),
            Some(State::Leased { ticket }) => {
                self.scheduler.finish(ticket, now);
                self.update_slots_taken(now);
            }
        }
    }

    /// Delays the next attempt after a failure to connect.
    pub fn on_connect_failed(&mut self, now: Instant, random: u64) {
        self.connect_after = Some(now + self.connect_backoff.on_failure(random));
    }

    /// Handles an address at which another instance listens. The pool checks only now and then
    /// whether that has changed, because each attempt uses a connection of the other instance.
    pub fn on_displaced(&mut self, now: Instant) {
        self.connect_after = Some(now + DISPLACED_RETRY_INTERVAL);
    }

    /// Shrinks the connection budget after the instance refused a connection because it has too
    /// many.
    pub fn on_connection_refused(&mut self, now: Instant, random: u64) {
        let established = self.connections.len() as u32 - self.connecting;
        self.budget.on_refused(established, now, random);
    }

    /// Frees the slot of an open transaction while it waits for the client's next statement.
    pub fn on_paused(&mut self, key: usize, now: Instant) {
        if let Some(State::Leased { ticket }) = state_of(&mut self.connections, key) {
            self.scheduler.pause(ticket, now);
            self.update_slots_taken(now);
        }
    }

    /// Takes a slot again for an open transaction that runs its next exchange.
    pub fn on_resumed(&mut self, key: usize, now: Instant) {
        if let Some(State::Leased { ticket }) = state_of(&mut self.connections, key) {
            self.scheduler.resume(ticket, now);
            self.update_slots_taken(now);
        }
    }

    /// Leases whose first exchange is queued.
    pub fn queued_leases(&self) -> impl Iterator<Item = &LeaseId> {
        self.scheduler.waiting_work().map(|queued| &queued.exchange.lease)
    }

    /// Drops the queued exchange of an abandoned lease.
    pub fn forget(&mut self, lease: &LeaseId) {
        self.remove_first(|exchange| exchange.lease == *lease);
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

    /// Whether no connection is open or being opened.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Number of open connections, including those that are being opened.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Number of connections that run a lease or a status query.
    pub fn connections_in_use(&self) -> usize {
        self.connections.len() - self.idle.len() - self.connecting as usize
    }
}

fn state_of(connections: &mut HashMap<usize, PooledConnection>, key: usize) -> Option<&mut State> {
    connections.get_mut(&key).map(|pooled| &mut pooled.state)
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
