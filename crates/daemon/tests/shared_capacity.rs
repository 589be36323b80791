//! A pool of an owner that shares the capacity of its instance. Without the demands of other owners
//! it must behave as if it shared nothing, because the setting is off by default and owners may run
//! an older version.

use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::capacity::{DEMAND_LIFETIME, InstanceDemand, LevelDemand};
use kestrellock_core::catalog::{Group, Priority};
use kestrellock_core::connection_shares::Share;
use kestrellock_core::ids::{InstanceName, LeaseId, NodeName, TenantName};
use kestrellock_core::routing::Access;
use kestrellock_daemon::gateway::pool::{Pool, PoolRole};
use kestrellock_peer::message::{Exchange, Placement};

const SLOTS: u32 = 4;

fn group() -> Group {
    let text = format!(
        "database = 'd'\nuser = 'u'\n[[instances]]\nname = 'i'\nzone = 'z'\n\
         address = '127.0.0.1:1'\nslots = {SLOTS}\nconnections = 12"
    );
    toml::from_str(&text).expect("the group is valid")
}

/// A pool with as many idle connections as the instance has slots, and queued browsing exchanges.
fn pool(group: &Group, queued: u64, now: Instant) -> Pool {
    let share = Some(Share { max: SLOTS, warm: SLOTS });
    let mut pool = Pool::new(group, &group.instances[0], PoolRole::Owner, share);
    for key in 0..SLOTS as usize {
        pool.on_connecting(key, None, now);
        pool.on_idle(key, now);
    }
    for serial in 0..queued {
        pool.offer(exchange(serial), 100, now).expect("there is room");
    }
    pool
}

fn exchange(serial: u64) -> Exchange {
    Exchange {
        lease: LeaseId { node: NodeName::new("a"), incarnation: 1, shard: 0, serial },
        number: 0,
        request: None,
        placement: Placement::Instance(InstanceName::new("i")),
        tenant: TenantName::new("t"),
        account: None,
        access: Access::PrimaryRead { bound: None },
        priority: Priority::Browse,
        time_left: Duration::from_secs(60),
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

/// The demand of another owner with urgent statements.
fn urgent_demand(waiting: u32) -> InstanceDemand {
    let deadline = Duration::from_millis(100);
    let level = LevelDemand {
        waiting,
        flows: 1,
        earliest: deadline,
        latest: deadline,
        ..LevelDemand::default()
    };
    InstanceDemand {
        instance: InstanceName::new("i"),
        incarnation: None,
        limit: SLOTS,
        service: Duration::from_millis(10),
        levels: [level, LevelDemand::default(), LevelDemand::default()],
    }
}

fn own() -> NodeName {
    NodeName::new("a")
}

#[test]
fn without_demands_of_other_owners_the_own_limit_applies() {
    let now = Instant::now();
    let group = group();
    let mut pool = pool(&group, 9, now);
    assert_eq!(pool.update_allocation(&own(), &group.instances[0], now), (None, None));
    assert_eq!(pool.assign(now).run.len(), SLOTS as usize);
    let demand = pool.demand(&group.instances[0], now);
    assert!(pool.needs_capacity(&demand), "exchanges wait and the limit is reached");
    assert_eq!((demand.running(), demand.limit), (SLOTS, SLOTS));
}

/// Browsing exchanges of this owner would otherwise take the slots of urgent ones at another owner.
#[test]
fn slots_are_left_to_more_urgent_exchanges_of_another_owner_until_its_demand_expires() {
    let now = Instant::now();
    let group = group();
    let instance = &group.instances[0];
    let mut pool = pool(&group, 9, now);
    pool.on_demand(&NodeName::new("b"), &urgent_demand(3), now);
    assert_eq!(pool.update_allocation(&own(), instance, now), (None, Some(1)));
    assert_eq!(pool.assign(now).run.len(), 1);
    let late = now + DEMAND_LIFETIME;
    assert_eq!(pool.update_allocation(&own(), instance, late), (Some(1), None));
    assert_eq!(pool.assign(late).run.len(), SLOTS as usize - 1);
}

/// Messages are sent only while there is something to report, and a demand that ends is withdrawn:
/// until it expires, the other owners would keep slots free for it.
#[test]
fn a_demand_is_reported_while_it_lasts_and_withdrawn_once() {
    let now = Instant::now();
    let group = group();
    let instance = &group.instances[0];
    let mut pool = pool(&group, u64::from(SLOTS), now);
    let run = pool.assign(now).run;
    assert_eq!(pool.take_report(instance, now), None, "nothing waits");
    pool.offer(exchange(100), 100, now).expect("there is room");
    let report = pool.take_report(instance, now).expect("the limit is reached");
    assert_eq!((report.waiting(), report.running()), (1, SLOTS));
    pool.on_idle(run[0].key, now);
    assert_eq!(pool.assign(now).run.len(), 1);
    let report = pool.take_report(instance, now).expect("the demand has ended");
    assert_eq!((report.waiting(), report.running()), (0, SLOTS));
    assert_eq!(pool.take_report(instance, now), None, "it is withdrawn once");
}

#[test]
fn an_owner_without_waiting_exchanges_or_connections_claims_nothing() {
    let now = Instant::now();
    let group = group();
    let idle = pool(&group, 0, now);
    let demand = idle.demand(&group.instances[0], now);
    assert_eq!((demand.waiting(), idle.needs_capacity(&demand)), (0, false));
    let mut unconnected = Pool::new(&group, &group.instances[0], PoolRole::Owner, None);
    unconnected.offer(exchange(1), 100, now).expect("there is room");
    let demand = unconnected.demand(&group.instances[0], now);
    assert_eq!((demand.waiting(), demand.limit), (0, 0), "it waits for a connection");
}

#[test]
fn a_pool_that_stops_sharing_uses_its_own_limit_at_once() {
    let now = Instant::now();
    let group = group();
    let mut pool = pool(&group, 9, now);
    pool.on_demand(&NodeName::new("b"), &urgent_demand(9), now);
    pool.update_allocation(&own(), &group.instances[0], now);
    assert_eq!(pool.assign(now).run.len(), 0);
    pool.stop_sharing();
    assert_eq!(pool.assign(now).run.len(), SLOTS as usize);
}
