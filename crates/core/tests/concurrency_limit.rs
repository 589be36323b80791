//! Several owners send to one instance at peak load. Compares the statements answered in time with
//! a limit that follows the instance's refusals, and with a limit per owner that equals the
//! instance's slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use kestrellock_core::concurrency_limit::ConcurrencyLimit;
use kestrellock_core::retry::Backoff;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 6;
const OWNERS: usize = 3;
const MEAN_SERVICE_MS: f64 = 33.0;
const DEADLINE: Duration = Duration::from_millis(1_200);
const RUN: Duration = Duration::from_secs(20);
/// One-way delay between an owner and the instance.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// Delay before a refused statement is sent again, as in the fronts.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(5), Duration::from_millis(80));

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Statement {
    deadline: Instant,
    arrived: Instant,
    attempts: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Retry(usize, Statement),
    ReachInstance(usize, Statement),
    Completed(usize, Statement),
    Answer(usize, Statement, bool),
}

struct World {
    random: StdRng,
    start: Instant,
    now: Instant,
    serial: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    queues: Vec<VecDeque<Statement>>,
    running: Vec<u32>,
    limits: Vec<ConcurrencyLimit>,
    is_adaptive: bool,
    busy: u32,
    load: f64,
    answered: u32,
    late: u32,
}

impl World {
    fn new(seed: u64, load: f64, is_adaptive: bool) -> Self {
        let start = Instant::now();
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            start,
            now: start,
            serial: 0,
            events: BinaryHeap::new(),
            queues: vec![VecDeque::new(); OWNERS],
            running: vec![0; OWNERS],
            limits: vec![ConcurrencyLimit::new(SLOTS); OWNERS],
            is_adaptive,
            busy: 0,
            load,
            answered: 0,
            late: 0,
        };
        world.schedule(Duration::ZERO, Event::Arrive);
        world
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + after, self.serial, event)));
    }

    fn exponential(&mut self, mean_ms: f64) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_ms / 1_000.0)
    }

    fn run(mut self) -> (u32, u32) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= self.start + RUN {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        (self.answered, self.late)
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let gap = MEAN_SERVICE_MS / f64::from(SLOTS) / self.load;
                let wait = self.exponential(gap);
                self.schedule(wait, Event::Arrive);
                let owner = self.random.random_range(0..OWNERS);
                let (deadline, arrived) = (self.now + DEADLINE, self.now);
                self.enter(owner, Statement { deadline, arrived, attempts: 0 });
            }
            Event::Retry(owner, statement) => self.enter(owner, statement),
            Event::ReachInstance(owner, statement) => {
                if self.busy >= SLOTS {
                    return self.schedule(ONE_WAY_DELAY, Event::Answer(owner, statement, false));
                }
                self.busy += 1;
                let work = self.exponential(MEAN_SERVICE_MS);
                self.schedule(work, Event::Completed(owner, statement));
            }
            Event::Completed(owner, statement) => {
                self.busy -= 1;
                self.schedule(ONE_WAY_DELAY, Event::Answer(owner, statement, true));
            }
            Event::Answer(owner, statement, ran) => self.on_answer(owner, statement, ran),
        }
    }

    fn enter(&mut self, owner: usize, statement: Statement) {
        let place =
            self.queues[owner].partition_point(|other| other.deadline <= statement.deadline);
        self.queues[owner].insert(place, statement);
        self.send(owner);
    }

    fn send(&mut self, owner: usize) {
        let limit = if self.is_adaptive { self.limits[owner].limit() } else { SLOTS };
        while self.running[owner] < limit {
            let Some(statement) = self.queues[owner].pop_front() else { return };
            if self.now >= statement.deadline {
                self.late += 1;
                continue;
            }
            self.running[owner] += 1;
            self.schedule(ONE_WAY_DELAY, Event::ReachInstance(owner, statement));
        }
    }

    fn on_answer(&mut self, owner: usize, statement: Statement, ran: bool) {
        self.running[owner] -= 1;
        match ran {
            true => {
                self.limits[owner].on_answered();
                let in_time = self.now <= statement.deadline;
                self.answered += u32::from(in_time);
                self.late += u32::from(!in_time);
            }
            false => {
                self.limits[owner].on_refused(self.now);
                let mut backoff = RETRY_BACKOFF;
                let wait = (0..=statement.attempts)
                    .map(|_| backoff.on_failure(self.random.random()))
                    .last()
                    .unwrap_or_default();
                let retried = Statement { attempts: statement.attempts + 1, ..statement };
                self.schedule(wait, Event::Retry(owner, retried));
            }
        }
        self.send(owner);
    }
}

/// Fraction of the ended statements that missed their deadlines, over several seeds.
fn missed(load: f64, is_adaptive: bool) -> f64 {
    let (mut answered, mut late) = (0, 0);
    for seed in 0..8 {
        let (in_time, missed) = World::new(seed, load, is_adaptive).run();
        answered += in_time;
        late += missed;
    }
    f64::from(late) / f64::from(answered + late)
}

#[test]
fn adaptive_limit_misses_no_more_deadlines_at_peak_load() {
    for load in [0.95, 1.0, 1.05] {
        let (with, without) = (missed(load, true), missed(load, false));
        println!(
            "load {load}: {with:.4} of the statements are late, {without:.4} without the limit"
        );
        assert!(with <= without, "load {load}: {with} with the limit, {without} without");
    }
}

#[test]
fn refusals_lower_the_limit_and_answers_raise_it() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(SLOTS);
    assert_eq!(limit.limit(), SLOTS);
    limit.on_refused(now);
    limit.on_refused(now + Duration::from_millis(1));
    assert_eq!(limit.limit(), 4, "refusals within the coalescing period count once");
    for number in 2..20 {
        limit.on_refused(now + Duration::from_millis(50) * number);
    }
    assert_eq!(limit.limit(), 1, "the limit is at least one");
    for _ in 0..100 {
        limit.on_answered();
    }
    assert_eq!(limit.limit(), SLOTS);
    limit.set_slots(2);
    assert_eq!(limit.limit(), 2);
    limit.set_slots(8);
    assert_eq!(limit.limit(), 8, "a limit that nothing held down is_adaptive the slots");
}
