//! Several owners that share one instance, simulated in virtual time: each has its scheduler, and
//! their demands travel as messages with a latency.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use kestrellock_core::admission::{Dispatch, Limits, Request, STARVATION_LIMIT, Scheduler, Ticket};
use kestrellock_core::capacity::{
    InstanceDemand, LEVELS, REPORT_INTERVAL, ReportPacer, SharedCapacity,
};
use kestrellock_core::catalog::Priority;
use kestrellock_core::ids::{InstanceName, NodeName, TenantName};
use kestrellock_core::incarnation::InstanceIncarnation;

const STEP: Duration = Duration::from_micros(500);
/// Longest service time of a statement.
pub const MAX_SERVICE: Duration = Duration::from_millis(15);
const PRIORITIES: [Priority; LEVELS] = [Priority::Order, Priority::Normal, Priority::Browse];

/// Random numbers from a seed (splitmix64).
pub struct Random(pub u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}

/// A deliberately introduced fault: the owners exchange demands that break one requirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    None,
    /// All statements count as equally urgent in the division.
    PrioritiesIgnored,
    /// Owners claim more than waits there, and never withdraw it.
    Overstated,
    /// Starts at other owners are not counted against starvation.
    StartsHidden,
}

/// A failure of one owner or of what it sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    None,
    /// The process ends, and its statements with it.
    Dies,
    /// The machine vanishes; its statements go on to their end.
    Vanishes,
    /// The process stands still for a while and then reads what has arrived meanwhile.
    Freezes,
    /// Its messages no longer reach the others, but it hears them.
    NotHeard,
    /// It no longer hears the others.
    HearsNothing,
    /// It has another number of slots in its configuration.
    CountsDifferently,
    /// It is no longer an owner and gets no new work.
    Resigns,
    /// The instance restarts: all statements end, and earlier demands are void.
    InstanceRestarts,
}

struct Running {
    ticket: Ticket,
    ends: Instant,
}

struct Message {
    arrives: Instant,
    from: usize,
    demand: InstanceDemand,
}

struct Owner {
    name: NodeName,
    /// The work of a request is its arrival and its level.
    scheduler: Scheduler<(Instant, usize)>,
    shared: SharedCapacity,
    pacer: ReportPacer,
    slots: u32,
    running: Vec<Running>,
    inbox: VecDeque<Message>,
    is_gone: bool,
    frozen_until: Option<Instant>,
    /// Since when the owner runs less than its limit.
    may_run_since: Option<Instant>,
    /// Since when a statement of each level or a higher one has waited while the owner could run
    /// it.
    blocked_since: [Option<Instant>; LEVELS],
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct Verdict {
    /// A less urgent statement started while a more urgent one waited for too long.
    pub overtaken: u32,
    /// A statement waited for too long while a slot was free.
    pub idle: u32,
    /// A lower priority was not served in time after the limit.
    pub starved: u32,
    /// An owner ran more than its own limit.
    pub over_limit: u32,
    /// Statements that were still waiting at the end at owners that run.
    pub stuck: u32,
    pub started: u32,
}

pub struct Simulation {
    random: Random,
    now: Instant,
    slots: u32,
    latency: Duration,
    owners: Vec<Owner>,
    planted_fault: PlantedFault,
    failure: Failure,
    incarnation: InstanceIncarnation,
    /// Time that a statement may wait where it should be served.
    bound: Duration,
    free_since: Option<Instant>,
    /// Starts of higher levels since each level was served, and since when it is due.
    higher_starts: [u32; LEVELS],
    due_since: [Option<Instant>; LEVELS],
    /// Per mille of steps in which a statement of each level arrives at an owner.
    load: [u64; LEVELS],
    /// Owners that get statements of each level.
    busy: [Vec<bool>; LEVELS],
    pub verdict: Verdict,
}

impl Simulation {
    pub fn new(seed: u64, planted_fault: PlantedFault, failure: Failure, extra: Duration) -> Self {
        let mut random = Random(seed);
        let now = Instant::now();
        let count = 2 + random.below(8) as usize;
        let slots = 2 + random.below(5) as u32;
        let latency = STEP * (1 + random.below(8) as u32);
        let owners: Vec<Owner> = (0..count).map(|index| Owner::new(index, slots)).collect();
        // One exchange of messages, each of which may have to wait for its turn, and one statement;
        // each step of the simulation adds its length.
        let bound = (latency + REPORT_INTERVAL) * 2 + MAX_SERVICE + STEP * 6 + extra;
        let per_slot = 1000 * u64::from(slots) * 500 / 9000 / count as u64;
        let load = std::array::from_fn(|_| per_slot * random.below(12) / 10);
        let busy = std::array::from_fn(|_| (0..count).map(|_| random.chance(600)).collect());
        Self {
            random,
            now,
            slots,
            latency,
            owners,
            planted_fault,
            failure,
            incarnation: InstanceIncarnation(1),
            bound,
            free_since: None,
            higher_starts: [0; LEVELS],
            due_since: [None; LEVELS],
            load,
            busy,
            verdict: Verdict::default(),
        }
    }

    /// Runs for one second with load and then until nothing should be left.
    pub fn run(mut self) -> Verdict {
        let steps = 2000;
        for step in 0..steps {
            if step == steps / 4 {
                self.fail();
            }
            if step % 400 == 0 {
                self.change_load();
            }
            self.step(true);
        }
        for _ in 0..2 * steps {
            if self.owners.iter().all(|owner| owner.is_gone || owner.scheduler.waiting() == 0) {
                break;
            }
            self.step(false);
        }
        let left = self.owners.iter().filter(|owner| !owner.is_gone);
        self.verdict.stuck = left.map(|owner| owner.scheduler.waiting() as u32).sum();
        self.verdict
    }

    fn change_load(&mut self) {
        for level in 0..LEVELS {
            for owner in 0..self.owners.len() {
                self.busy[level][owner] = self.random.chance(600);
            }
        }
    }

    fn fail(&mut self) {
        let now = self.now;
        let owner = &mut self.owners[0];
        match self.failure {
            Failure::None | Failure::NotHeard | Failure::HearsNothing => {}
            Failure::Dies => {
                owner.is_gone = true;
                owner.running.clear();
            }
            Failure::Vanishes => owner.is_gone = true,
            Failure::Freezes => owner.frozen_until = Some(now + Duration::from_millis(400)),
            Failure::CountsDifferently => {
                owner.slots += 2;
                owner.scheduler.set_limits(Limits { slots: owner.slots, queue_length: 10_000 });
            }
            Failure::Resigns => {
                let name = owner.name.clone();
                owner.scheduler.drain();
                owner.is_gone = true;
                for other in &mut self.owners {
                    other.shared.retain(|owner| *owner != name, None);
                }
            }
            Failure::InstanceRestarts => {
                self.incarnation = InstanceIncarnation(2);
                for owner in &mut self.owners {
                    for running in owner.running.drain(..) {
                        owner.scheduler.finish(running.ticket, now);
                    }
                    owner.shared.retain(|_| true, Some(InstanceIncarnation(2)));
                }
            }
        }
    }

    fn step(&mut self, has_load: bool) {
        self.now += STEP;
        self.deliver();
        self.finish();
        if has_load {
            self.arrive();
        }
        for index in 0..self.owners.len() {
            if self.owners[index].acts(self.now) {
                self.start(index);
            }
        }
        for index in 0..self.owners.len() {
            if self.owners[index].acts(self.now) {
                self.report(index);
            }
        }
        self.check_blocked();
        self.check_idle();
        self.check_starved();
    }

    fn deliver(&mut self) {
        let (now, incarnation) = (self.now, self.incarnation);
        for owner in self.owners.iter_mut().filter(|owner| owner.acts(now)) {
            while owner.inbox.front().is_some_and(|message| message.arrives <= now) {
                let Some(Message { from, demand, .. }) = owner.inbox.pop_front() else { break };
                let name = NodeName::new(format!("owner-{from}"));
                let started = owner.shared.on_demand(&name, &demand, now);
                owner.shared.retain(|_| true, Some(incarnation));
                owner.scheduler.on_started_elsewhere(started);
            }
            owner.shared.expire(now);
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        for owner in &mut self.owners {
            let (ended, running) =
                std::mem::take(&mut owner.running).into_iter().partition(|run| run.ends <= now);
            owner.running = running;
            let ended: Vec<Running> = ended;
            ended.into_iter().for_each(|run| owner.scheduler.finish(run.ticket, now));
        }
    }

    fn arrive(&mut self) {
        for (level, priority) in PRIORITIES.into_iter().enumerate() {
            for index in 0..self.owners.len() {
                let arrives = self.random.chance(self.load[level]) && self.busy[level][index];
                let tenant = self.random.below(3);
                let owner = &mut self.owners[index];
                if !arrives || owner.is_gone {
                    continue;
                }
                let request = Request {
                    tenant: TenantName::new(format!("tenant-{tenant}")),
                    account: None,
                    capacity: 100,
                    priority,
                    deadline: self.now + Duration::from_secs(60),
                };
                // A refused statement is not part of any requirement.
                let _ = owner.scheduler.offer(&request, (self.now, level), self.now);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let now = self.now;
        loop {
            let owner = &mut self.owners[index];
            let demand = owner.demand(self.incarnation, now);
            let slots = owner.slots;
            let claimed = match self.planted_fault {
                PlantedFault::PrioritiesIgnored => without_priorities(demand.clone()),
                _ => demand.clone(),
            };
            let allocation = owner.shared.allocation(&owner.name, &claimed, slots, now);
            owner.scheduler.set_allocation(allocation);
            let Some(Dispatch::Run { ticket, .. }) = owner.scheduler.take_next(now) else { return };
            let after = owner.demand(self.incarnation, now);
            let level = (0..LEVELS)
                .find(|level| after.levels[*level].started != demand.levels[*level].started)
                .expect("a statement started");
            let service = Duration::from_millis(3 + self.random.below(13));
            owner.running.push(Running { ticket, ends: now + service });
            if owner.running.len() as u32 > owner.slots {
                self.verdict.over_limit += 1;
            }
            let by_starvation = demand.levels[level].overtaken >= STARVATION_LIMIT;
            self.on_started(level, by_starvation);
        }
    }

    fn on_started(&mut self, level: usize, by_starvation: bool) {
        self.verdict.started += 1;
        let now = self.now;
        if level > 0 && !by_starvation {
            // More urgent statements may have started in the same step.
            self.check_blocked();
            let waited = self.owners.iter().filter_map(|owner| owner.blocked_since[level - 1]);
            if waited.into_iter().any(|since| now > since + self.bound) {
                self.verdict.overtaken += 1;
                self.explain("overtaken", level);
            }
        }
        for lower in level + 1..LEVELS {
            self.higher_starts[lower] += 1;
        }
        self.higher_starts[level] = 0;
        self.due_since[level] = None;
    }

    /// Prints the owners' state at a violation if the variable `EXPLAIN` is set.
    fn explain(&mut self, what: &str, level: usize) {
        if std::env::var_os("EXPLAIN").is_none() {
            return;
        }
        let (now, slots, incarnation) = (self.now, self.slots, self.incarnation);
        println!("{what} at level {level}: {slots} slots, bound {:?}", self.bound);
        for owner in &mut self.owners {
            let demand = owner.demand(incarnation, now);
            let allocation = owner.shared.allocation(&owner.name, &demand, owner.slots, now);
            let levels = demand.levels.map(|level| (level.running, level.waiting, level.overtaken));
            let blocked = owner.blocked_since.map(|since| since.map(|since| now - since));
            println!("  {} allocation {allocation:?} levels {levels:?} {blocked:?}", owner.name);
            println!("    knows {:?}", owner.shared);
        }
    }

    fn report(&mut self, index: usize) {
        let now = self.now;
        let owner = &mut self.owners[index];
        let demand = owner.demand(self.incarnation, now);
        let has_demand = demand.waiting() > 0 && !owner.scheduler.has_free_slot();
        if !owner.shared.needs_report(has_demand) || !owner.pacer.is_due(now) {
            return;
        }
        owner.pacer.on_sent(now);
        owner.shared.on_reported(has_demand || self.planted_fault == PlantedFault::Overstated);
        let mut demand = if has_demand { demand } else { demand.withdrawn() };
        match self.planted_fault {
            PlantedFault::None => {}
            PlantedFault::PrioritiesIgnored => demand = without_priorities(demand),
            PlantedFault::Overstated => demand.levels[0].waiting += self.slots,
            PlantedFault::StartsHidden => {
                demand
                    .levels
                    .iter_mut()
                    .for_each(|level| (level.started, level.overtaken) = (0, 0));
            }
        }
        let arrives = now + self.latency;
        for other in (0..self.owners.len()).filter(|other| *other != index) {
            let is_cut = match self.failure {
                Failure::NotHeard => index == 0,
                Failure::HearsNothing => other == 0,
                _ => false,
            };
            if !is_cut {
                let message = Message { arrives, from: index, demand: demand.clone() };
                self.owners[other].inbox.push_back(message);
            }
        }
    }

    fn check_blocked(&mut self) {
        let now = self.now;
        for owner in &mut self.owners {
            let may_run = owner.acts(now) && (owner.running.len() as u32) < owner.slots;
            owner.may_run_since = may_run.then_some(owner.may_run_since.unwrap_or(now));
            let mut oldest = [None; LEVELS];
            for (arrived, level) in owner.scheduler.waiting_work() {
                for oldest in &mut oldest[*level..] {
                    *oldest = Some(oldest.map_or(*arrived, |oldest: Instant| oldest.min(*arrived)));
                }
            }
            owner.blocked_since = oldest.map(|oldest| Some(oldest?.max(owner.may_run_since?)));
        }
    }

    fn check_idle(&mut self) {
        let running: usize = self.owners.iter().map(|owner| owner.running.len()).sum();
        if running as u32 >= self.slots {
            self.free_since = None;
            return;
        }
        let free_since = *self.free_since.get_or_insert(self.now);
        let (now, bound) = (self.now, self.bound);
        let waits = self.owners.iter().filter_map(|owner| owner.blocked_since[LEVELS - 1]);
        if waits.into_iter().any(|since| now > since.max(free_since) + bound) {
            self.verdict.idle += 1;
            self.explain("idle", 0);
            self.free_since = Some(now);
        }
    }

    fn check_starved(&mut self) {
        let now = self.now;
        for level in 1..LEVELS {
            let owners = self.owners.iter().filter(|owner| owner.acts(now));
            let waiting = owners.filter(|owner| {
                let demand = owner.scheduler.demand(&[(None, 100)], now);
                demand[level].waiting > 0 && owner.running.len() < owner.slots as usize
            });
            if waiting.count() == 0 {
                self.higher_starts[level] = 0;
                self.due_since[level] = None;
            } else if self.higher_starts[level] >= STARVATION_LIMIT {
                let since = *self.due_since[level].get_or_insert(now);
                if now > since + self.bound {
                    self.verdict.starved += 1;
                    self.explain("starved", level);
                    self.due_since[level] = Some(now);
                }
            }
        }
    }
}

/// The demand with all statements at the highest level.
fn without_priorities(mut demand: InstanceDemand) -> InstanceDemand {
    let levels = demand.levels;
    let waiting = || levels.iter().filter(|level| level.waiting > 0);
    let highest = &mut demand.levels[0];
    highest.running = levels.iter().map(|level| level.running).sum();
    highest.waiting = waiting().map(|level| level.waiting).sum();
    highest.flows = waiting().map(|level| level.flows).sum();
    highest.earliest = waiting().map(|level| level.earliest).min().unwrap_or_default();
    highest.latest = waiting().map(|level| level.latest).max().unwrap_or_default();
    demand.levels[1..].iter_mut().for_each(|level| (level.running, level.waiting) = (0, 0));
    demand
}

impl Owner {
    fn new(index: usize, slots: u32) -> Self {
        Self {
            name: NodeName::new(format!("owner-{index}")),
            scheduler: Scheduler::new(Limits { slots, queue_length: 10_000 }),
            shared: SharedCapacity::default(),
            pacer: ReportPacer::default(),
            slots,
            running: Vec::new(),
            inbox: VecDeque::new(),
            is_gone: false,
            frozen_until: None,
            may_run_since: None,
            blocked_since: [None; LEVELS],
        }
    }

    /// Whether the process runs.
    fn acts(&self, now: Instant) -> bool {
        !self.is_gone && self.frozen_until.is_none_or(|until| now >= until)
    }

    fn demand(&self, incarnation: InstanceIncarnation, now: Instant) -> InstanceDemand {
        InstanceDemand {
            instance: InstanceName::new("i"),
            incarnation: Some(incarnation),
            limit: self.slots,
            service: self.scheduler.expected_service(),
            levels: self.scheduler.demand(&[(None, 100)], now),
        }
    }
}
