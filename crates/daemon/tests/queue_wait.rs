//! What a pool reports about long waits in its queue. Without it, the log of a slow statement does
//! not show whether the instance had no free slot or the account had no connection, which have
//! different remedies.

use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::catalog::{Group, Priority};
use kestrellock_core::connection_shares::Share;
use kestrellock_core::ids::{AccountName, InstanceName, LeaseId, NodeName, TenantName};
use kestrellock_core::routing::Access;
use kestrellock_daemon::gateway::pool::{Pool, PoolRole, QueueWait, WaitCause};
use kestrellock_peer::message::{Exchange, Placement};

const LONG: Duration = Duration::from_secs(60);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A pool of an instance with one slot, with one idle connection of the account `a`.
fn pool(now: Instant) -> Pool {
    let text = "database = 'd'\nuser = 'u'\n[[instances]]\nname = 'i'\nzone = 'z'\n\
                address = '127.0.0.1:1'\nslots = 1\nconnections = 12";
    let group: Group = toml::from_str(text).expect("the group is valid");
    let share = Some(Share { max: 2, warm: 1 });
    let mut pool = Pool::new(&group, &group.instances[0], PoolRole::Owner, share);
    connect(&mut pool, 0, "a", now);
    pool
}

fn connect(pool: &mut Pool, key: usize, account: &str, now: Instant) {
    pool.on_connecting(key, Some(AccountName::new(account)), now);
    pool.on_idle(key, now);
}

fn exchange(serial: u64, account: &str, priority: Priority, time_left: Duration) -> Exchange {
    Exchange {
        lease: LeaseId { node: NodeName::new("n"), incarnation: 1, shard: 0, serial },
        number: 0,
        request: Some(format!("request-{serial}")),
        placement: Placement::Instance(InstanceName::new("i")),
        tenant: TenantName::new("t"),
        account: Some(AccountName::new(account)),
        access: Access::PrimaryRead { bound: None },
        priority,
        time_left,
        statements: Vec::new(),
        settings: Vec::new(),
        taints: false,
        frames: Bytes::from_static(b"frames"),
        ready_expected: 1,
        may_commit: false,
        commits_write: false,
        required_lead: None,
    }
}

fn offer(pool: &mut Pool, exchange: Exchange, now: Instant) {
    pool.offer(exchange, 10, now).expect("there is room");
}

/// Runs what can run, and returns the reported waits.
fn waits(pool: &mut Pool, now: Instant) -> Vec<QueueWait> {
    pool.assign(now);
    pool.take_long_waits()
}

#[test]
fn a_wait_for_a_slot_is_reported_with_what_was_ahead_and_the_limit() {
    let start = Instant::now();
    let mut pool = pool(start);
    offer(&mut pool, exchange(0, "a", Priority::Normal, LONG), start);
    assert_eq!(waits(&mut pool, start), [], "it ran at once");
    offer(&mut pool, exchange(1, "a", Priority::Normal, LONG), start);
    offer(&mut pool, exchange(2, "a", Priority::Browse, LONG), start);
    offer(&mut pool, exchange(3, "a", Priority::Normal, LONG), start);
    assert_eq!(waits(&mut pool, start), []);
    pool.on_idle(0, start + ms(15));
    assert_eq!(waits(&mut pool, start + ms(15)), [], "15 ms are not long");
    pool.on_idle(0, start + ms(40));
    let waits = waits(&mut pool, start + ms(40));
    let [wait] = &waits[..] else { panic!("one exchange ran: {waits:?}") };
    assert_eq!(wait.request.as_deref(), Some("request-3"));
    assert_eq!((wait.priority, wait.waited, wait.ahead), (Priority::Normal, ms(40), 1));
    assert_eq!((wait.cause(), wait.waited_for_slot), (WaitCause::Slot, ms(40)));
    assert_eq!((wait.limit, wait.is_run), (1, true));
}

#[test]
fn a_wait_for_a_connection_of_the_account_is_told_apart_from_one_for_a_slot() {
    let start = Instant::now();
    let mut pool = pool(start);
    offer(&mut pool, exchange(1, "b", Priority::Order, LONG), start);
    assert_eq!(waits(&mut pool, start), []);
    connect(&mut pool, 1, "b", start + ms(20));
    let waits = waits(&mut pool, start + ms(20));
    let [wait] = &waits[..] else { panic!("one exchange ran: {waits:?}") };
    assert_eq!((wait.cause(), wait.waited_for_slot), (WaitCause::Connection, Duration::ZERO));
    assert_eq!((wait.waited, wait.ahead), (ms(20), 0));
}

/// The longest waits are those that end with a refusal.
#[test]
fn an_exchange_that_waited_in_vain_is_reported_as_well() {
    let start = Instant::now();
    let mut pool = pool(start);
    offer(&mut pool, exchange(0, "a", Priority::Normal, LONG), start);
    assert_eq!(waits(&mut pool, start), []);
    offer(&mut pool, exchange(1, "a", Priority::Normal, ms(100)), start);
    assert_eq!(pool.remove_late(start + ms(110)).len(), 1);
    let waits = pool.take_long_waits();
    let [wait] = &waits[..] else { panic!("one exchange was refused: {waits:?}") };
    assert_eq!((wait.waited, wait.cause(), wait.is_run), (ms(110), WaitCause::Slot, false));
}
