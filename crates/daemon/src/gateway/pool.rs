//! The pool of one instance: its connections, each in a known state, and the scheduler that says
//! which exchange gets one. How many connections it opens and closes is in [`sizing`].

mod recent_use;
mod sizing;

pub use sizing::Opening;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::admission::{
    Dispatch, Limits, Overload, Refused, Request, Scheduler, Ticket,
};
use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::concurrency_limit::ConcurrencyLimit;
use kestrellock_core::connection_budget::{ConnectionBudget, owner_limit};
use kestrellock_core::connection_shares::Share;
use kestrellock_core::ids::{AccountName, LeaseId, NodeName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::retry::Backoff;
use kestrellock_peer::message::Exchange;

use self::recent_use::RecentUse;

/// Exchanges that may wait for one instance.
const QUEUE_LENGTH: usize = 1024;
/// Bytes of exchanges that may wait for one instance.
const QUEUE_BYTES: usize = 32 * 1024 * 1024;
const FIRST_CONNECT_BACKOFF: Duration = Duration::from_millis(10);
const LAST_CONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// Time between attempts to connect to an instance at whose address another one listens. It is told for
/// three heartbeats of the platform's, seconds, and does not come back under its name as a rule.
const DISPLACED_RETRY: Duration = Duration::from_secs(1);
/// For this long after a hand-over the old owner sends new work on to its successor: fronts that
/// still come to it lag behind.
const HAND_OVER_PERIOD: Duration = Duration::from_secs(5);
/// When a caller refused for queue bytes may come back.
const BYTES_RETRY: Duration = Duration::from_millis(100);

/// What this node is to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PoolRole {
    /// It takes work.
    #[default]
    Owner,
    /// It keeps a few connections, ready to take over.
    Standby,
    /// It finishes the leases it has and closes everything else.
    Released,
}

/// What a connection is doing.
#[derive(Debug)]
enum State {
    Connecting {
        since: Instant,
    },
    Idle {
        since: Instant,
    },
    /// In use by a lease, from the first exchange to the end of its transaction.
    Leased {
        ticket: Ticket,
    },
    /// In use for a question of the gateway's own.
    Borrowed,
}

/// A connection and whose exchanges it carries.
#[derive(Debug)]
struct Pooled {
    /// Account that the back end was told; a connection keeps it for its life.
    account: Option<AccountName>,
    state: State,
}

/// An exchange and the connection it goes to.
#[derive(Debug)]
pub struct Assignment {
    /// Key of the connection.
    pub key: usize,
    /// The exchange.
    pub exchange: Exchange,
}

/// An exchange that did not run, and what its front is told.
#[derive(Debug)]
pub struct RefusedExchange {
    /// The exchange.
    pub exchange: Exchange,
    /// Number and hint.
    pub refusal: Refusal,
}

/// What the scheduler gave out for the idle connections.
#[derive(Debug, Default)]
pub struct Assigned {
    /// Exchanges to run.
    pub run: Vec<Assignment>,
    /// Exchanges whose time no longer suffices.
    pub refused: Vec<RefusedExchange>,
}

/// A waiting exchange.
#[derive(Debug)]
struct Queued {
    exchange: Exchange,
    deadline: Instant,
}

/// Connections to one instance and the queue for them.
#[derive(Debug)]
pub struct Pool {
    role: PoolRole,
    /// When another node succeeded this one as the owner.
    handed_over: Option<Instant>,
    slots: u32,
    /// Whether the instance is being taken out of use, or its zone is.
    leaving: bool,
    scheduler: Scheduler<Queued>,
    concurrency: ConcurrencyLimit,
    queued_bytes: usize,
    connections: HashMap<usize, Pooled>,
    /// Idle connections, the one used last at the end.
    idle: Vec<usize>,
    connecting: u32,
    recent_use: Option<RecentUse>,
    budget: ConnectionBudget,
    /// This node's part of the instance's connections, where every node has one.
    share: Option<Share>,
    /// Whether the newest exchanges were asked on behalf of accounts: a connection for nobody in
    /// particular serves none of them.
    has_accounts: bool,
    connect_backoff: Backoff,
    connect_after: Option<Instant>,
}

fn limits(slots: u32) -> Limits {
    Limits { slots, queue_length: QUEUE_LENGTH }
}

/// The owner and the standby of every instance of the group may probe all of them.
fn connection_limit(group: &Group, instance: &Instance, share: Option<Share>) -> u32 {
    let owned = || owner_limit(instance.connections, 2 * group.instances.len() as u32);
    share.map_or_else(owned, |share| share.most)
}

impl Pool {
    /// An empty pool of an instance; `share` is this node's part of its connections, where every
    /// node has one.
    pub fn new(group: &Group, instance: &Instance, role: PoolRole, share: Option<Share>) -> Self {
        Self {
            role,
            handed_over: None,
            slots: instance.slots,
            leaving: instance.leaving,
            scheduler: Scheduler::new(limits(instance.slots)),
            concurrency: ConcurrencyLimit::new(instance.slots),
            queued_bytes: 0,
            connections: HashMap::new(),
            idle: Vec::new(),
            connecting: 0,
            recent_use: None,
            budget: ConnectionBudget::new(connection_limit(group, instance, share)),
            share,
            has_accounts: false,
            connect_backoff: Backoff::new(FIRST_CONNECT_BACKOFF, LAST_CONNECT_BACKOFF),
            connect_after: None,
        }
    }

    /// Puts the instance's parameters in force.
    pub fn configure(&mut self, group: &Group, instance: &Instance, share: Option<Share>) {
        self.slots = instance.slots;
        self.leaving = instance.leaving;
        self.concurrency.set_slots(instance.slots);
        self.scheduler.set_limits(limits(self.concurrency.limit()));
        self.budget.configure(connection_limit(group, instance, share));
        self.share = share;
    }

    /// Says whether the instance gets no new work: it is being taken out of use, or its zone is.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Changes what this node is to the instance.
    pub fn set_role(&mut self, role: PoolRole, now: Instant) {
        if self.role == PoolRole::Owner && role != PoolRole::Owner {
            self.handed_over = Some(now);
        }
        self.role = role;
    }

    /// Whether it takes new work: the owner does, and a standby for fronts that cannot reach the
    /// owner, unless it was the owner itself just before. Nobody does for a leaving instance.
    pub fn accepts(&self, now: Instant) -> bool {
        match self.role {
            _ if self.leaving => false,
            PoolRole::Owner => true,
            PoolRole::Standby => {
                self.handed_over.is_none_or(|since| now >= since + HAND_OVER_PERIOD)
            }
            PoolRole::Released => false,
        }
    }

    /// What this node is to the instance.
    pub fn role(&self) -> PoolRole {
        self.role
    }

    /// Queues the first exchange of a lease, or gives it back refused.
    pub fn offer(
        &mut self,
        exchange: Exchange,
        capacity: u32,
        now: Instant,
    ) -> Result<(), Box<RefusedExchange>> {
        self.has_accounts = exchange.account.is_some();
        let bytes = exchange.frames.len();
        if self.queued_bytes + bytes > QUEUE_BYTES && self.scheduler.waiting() > 0 {
            let refusal = Refusal::new(ResultCode::Overloaded, "the queue holds too many bytes");
            let refusal = refusal.retry_after(BYTES_RETRY);
            return Err(Box::new(RefusedExchange { exchange, refusal }));
        }
        let request = Request {
            tenant: exchange.tenant.clone(),
            account: exchange.account.clone(),
            capacity,
            priority: exchange.priority,
            deadline: now + exchange.time_left,
        };
        let queued = Queued { exchange, deadline: request.deadline };
        match self.scheduler.offer(&request, queued, now) {
            Ok(()) => {
                self.queued_bytes += bytes;
                Ok(())
            }
            Err(refused) => Err(Box::new(refused_exchange(refused))),
        }
    }

    /// Takes out exchanges that can no longer finish in time.
    pub fn give_up_late(&mut self, now: Instant) -> Vec<RefusedExchange> {
        let late = self.scheduler.take_expired(now);
        late.into_iter().map(|refused| self.left_queue(refused)).collect()
    }

    fn left_queue(&mut self, refused: Refused<Queued>) -> RefusedExchange {
        self.queued_bytes -= refused.work.exchange.frames.len();
        refused_exchange(refused)
    }

    /// Pairs waiting exchanges with idle connections while slots are free. Their time left is what
    /// remains at `now`.
    pub fn assign(&mut self, now: Instant) -> Assigned {
        let mut assigned = Assigned::default();
        let reserved = self.reserved(now);
        while let Some(dispatch) = self.take_next(reserved, now) {
            match dispatch {
                Dispatch::Expired(refused) => {
                    let refused = self.left_queue(refused);
                    assigned.refused.push(refused);
                }
                Dispatch::Run { ticket, work: Queued { mut exchange, deadline } } => {
                    let account = exchange.account.as_ref();
                    let place =
                        self.idle_place_of(account, reserved).expect("it has an idle connection");
                    let key = self.idle.remove(place);
                    exchange.time_left = deadline.saturating_duration_since(now);
                    self.queued_bytes -= exchange.frames.len();
                    self.set_state(key, State::Leased { ticket });
                    self.note_use(now);
                    assigned.run.push(Assignment { key, exchange });
                }
            }
        }
        assigned
    }

    fn note_use(&mut self, now: Instant) {
        let in_use = self.leases() as u32;
        self.recent_use.get_or_insert_with(|| RecentUse::new(now)).on_use(in_use, now);
    }

    /// The next exchange of those whose account has an idle connection.
    fn take_next(&mut self, reserved: Option<usize>, now: Instant) -> Option<Dispatch<Queued>> {
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

    /// Where the account's connection that was used last stands among the idle ones.
    fn idle_place_of(
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

    /// A connection for `account` is being opened.
    pub fn on_connecting(&mut self, key: usize, account: Option<AccountName>, now: Instant) {
        self.connections.insert(key, Pooled { account, state: State::Connecting { since: now } });
        self.connecting += 1;
    }

    /// A connection finished its start-up, or its lease ended cleanly.
    pub fn on_idle(&mut self, key: usize, now: Instant) {
        // A connection that the pool does not know stands for nobody: nothing is given to it.
        let Some(before) = self.set_state(key, State::Idle { since: now }) else { return };
        if matches!(before, State::Connecting { .. }) {
            self.connect_backoff.on_success();
            self.connect_after = None;
        }
        self.leave(key, Some(before), now);
        self.idle.push(key);
    }

    /// Takes an idle connection for a question of the gateway's own; it is given back by
    /// [`Pool::on_idle`].
    pub fn borrow(&mut self) -> Option<usize> {
        let key = self.idle.pop()?;
        self.set_state(key, State::Borrowed);
        Some(key)
    }

    /// A connection is gone, whatever it was doing. `random` spreads the next attempt.
    pub fn on_lost(&mut self, key: usize, now: Instant, random: u64) {
        let before = self.connections.remove(&key).map(|pooled| pooled.state);
        if matches!(before, Some(State::Connecting { .. })) {
            self.on_connect_failed(now, random);
        }
        self.leave(key, before, now);
    }

    /// Accounts for the end of a connection's former state.
    fn leave(&mut self, key: usize, before: Option<State>, now: Instant) {
        match before {
            None | Some(State::Borrowed) => {}
            Some(State::Connecting { .. }) => self.connecting -= 1,
            Some(State::Idle { .. }) => self.idle.retain(|idle| *idle != key),
            Some(State::Leased { ticket }) => self.scheduler.finish(ticket, now),
        }
    }

    /// A connection could not be made.
    pub fn on_connect_failed(&mut self, now: Instant, random: u64) {
        self.connect_after = Some(now + self.connect_backoff.on_failure(random));
    }

    /// Another instance listens at the instance's address. Whether that has changed is looked at now and
    /// then: each attempt costs the other instance a connection.
    pub fn on_displaced(&mut self, now: Instant) {
        self.connect_after = Some(now + DISPLACED_RETRY);
    }

    /// The back end refused another connection because it has too many.
    pub fn on_refused(&mut self, now: Instant, random: u64) {
        let established = self.connections.len() as u32 - self.connecting;
        self.budget.on_refused(established, now, random);
    }

    /// The open transaction on a connection waits for its caller: its slot is free meanwhile.
    pub fn on_paused(&mut self, key: usize, now: Instant) {
        if let Some(State::Leased { ticket }) = state_of(&mut self.connections, key) {
            self.scheduler.pause(ticket, now);
        }
    }

    /// The open transaction on a connection runs its next exchange.
    pub fn on_resumed(&mut self, key: usize, now: Instant) {
        if let Some(State::Leased { ticket }) = state_of(&mut self.connections, key) {
            self.scheduler.resume(ticket, now);
        }
    }

    /// Leases whose first exchange waits.
    pub fn queued_leases(&self) -> impl Iterator<Item = &LeaseId> {
        self.scheduler.waiting_work().map(|queued| &queued.exchange.lease)
    }

    /// Drops a waiting exchange whose caller is gone.
    pub fn forget(&mut self, lease: &LeaseId) {
        self.remove_first(|exchange| exchange.lease == *lease);
    }

    /// Drops the waiting exchanges of a front that cannot be reached.
    pub fn forget_node(&mut self, node: &NodeName) {
        while self.remove_first(|exchange| exchange.lease.node == *node) {}
    }

    fn remove_first(&mut self, matches: impl Fn(&Exchange) -> bool) -> bool {
        let removed = self.scheduler.remove(|waiting| matches(&waiting.exchange));
        self.queued_bytes -= removed.as_ref().map_or(0, |queued| queued.exchange.frames.len());
        removed.is_some()
    }

    /// Takes out everything that waits.
    pub fn drain_queue(&mut self) -> Vec<Exchange> {
        self.queued_bytes = 0;
        self.scheduler.drain().into_iter().map(|queued| queued.exchange).collect()
    }

    /// Exchanges that wait.
    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Expected wait for a slot.
    pub fn expected_wait(&self) -> Duration {
        self.scheduler.expected_wait()
    }

    /// The instance has answered an exchange, or had no room for it.
    pub fn on_answer(&mut self, had_room: bool, now: Instant) {
        match had_room {
            true => self.concurrency.on_answered(),
            false => self.concurrency.on_refused(now),
        }
        self.scheduler.set_limits(limits(self.concurrency.limit()));
    }

    /// Whether no connection is open or being opened.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Open connections, those being opened among them.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Leases in progress.
    pub fn leases(&self) -> usize {
        self.connections.len() - self.idle.len() - self.connecting as usize
    }
}

fn state_of(connections: &mut HashMap<usize, Pooled>, key: usize) -> Option<&mut State> {
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
