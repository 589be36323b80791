//! Cost of the decisions made for each statement: choosing an instance, and admission to it.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use kestrellock_core::admission::{Dispatch, Limits, Request, Scheduler};
use kestrellock_core::capacity::{Claim, InstanceDemand, LevelDemand, divide};
use kestrellock_core::catalog::Priority;
use kestrellock_core::ids::{InstanceName, TenantName, ZoneName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::routing::{Access, Candidate, InstanceStatus, Role, choose};

const INSTANCES: usize = 3;
const OFFSET: u64 = 0x0100_0000;
const DEADLINE: Duration = Duration::from_secs(5);

fn position(offset: u64) -> Position {
    Position { term: Term(3), offset: LogOffset(offset) }
}

fn statuses() -> Vec<InstanceStatus> {
    (0..INSTANCES)
        .map(|index| InstanceStatus {
            instance: InstanceName::new(format!("orders-{index}")),
            role: if index == 0 { Role::Primary } else { Role::Replica },
            applied: position(OFFSET),
            flushed: position(OFFSET),
            reachable: true,
            queue_wait: Some(Duration::from_micros(100)),
            lag: Duration::from_millis(20),
            unconfirmed_for: Some(Duration::from_millis(5)),
        })
        .collect()
}

fn route(criterion: &mut Criterion) {
    let statuses = statuses();
    let zones = ["casa-ain", "casa-sidi", "casa-bouskoura"].map(ZoneName::new);
    let candidates: Vec<Candidate> = statuses
        .iter()
        .zip(&zones)
        .map(|(status, zone)| Candidate { status, zone, age: Duration::ZERO })
        .collect();
    let access =
        Access::Read { bound: Some(position(OFFSET)), max_staleness: Duration::from_secs(1) };
    criterion.bench_function("route one read among 3 instances", |bencher| {
        bencher.iter(|| choose(black_box(&access), black_box(&candidates), black_box(&zones[1])));
    });
}

/// Admits and finishes one request, with a few tenants running.
fn admit(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut scheduler: Scheduler<u64> = Scheduler::new(Limits { slots: 5, queue_length: 1_000 });
    let request = |tenant: &str| Request {
        tenant: TenantName::new(tenant),
        account: None,
        capacity: 5,
        priority: Priority::Browse,
        deadline: now + DEADLINE,
    };
    for tenant in ["atlas", "gidanmu"] {
        scheduler.offer(&request(tenant), 0, now).expect("an idle scheduler admits");
        scheduler.take_next(now).expect("a slot is free");
    }
    let request = request("atlas");
    criterion.bench_function("admit one request and give its slot back", |bencher| {
        bencher.iter(|| {
            let offered = scheduler.offer(black_box(&request), 1, black_box(now));
            assert!(offered.is_ok(), "an idle scheduler refused");
            match scheduler.take_next(now) {
                Some(Dispatch::Run { ticket, .. }) => scheduler.finish(ticket, now),
                other => panic!("a free slot gave {other:?}"),
            }
        });
    });
}

/// Divides the slots of an instance among as many owners as a group may have.
fn divide_capacity(criterion: &mut Criterion) {
    let now = Instant::now();
    let demand = |owner: u64| InstanceDemand {
        instance: InstanceName::new("orders-0"),
        incarnation: None,
        limit: 4,
        service: Duration::from_millis(9),
        levels: std::array::from_fn(|level| LevelDemand {
            running: u32::from(level == 2),
            waiting: 1 + level as u32,
            flows: 2,
            earliest: Duration::from_millis(100 + 7 * owner),
            latest: Duration::from_millis(400 + 7 * owner),
            ..LevelDemand::default()
        }),
    };
    let claims: Vec<Claim> = (0..9).map(|owner| Claim::new(&demand(owner), now)).collect();
    criterion.bench_function("divide 4 slots among 9 owners", |bencher| {
        bencher.iter(|| divide(black_box(4), black_box(&claims)));
    });
}

criterion_group!(benches, route, admit, divide_capacity);
criterion_main!(benches);
