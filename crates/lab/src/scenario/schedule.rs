//! Everything random in a run, drawn from its seed.

use std::time::Duration;

use rand::rngs::ChaCha8Rng;
use rand::{Rng, RngExt, SeedableRng};

use super::definition::{Fault, Mix, Scenario, Workload};
use crate::check::history::{Action, Ending, RowKey};

/// Parts of a transaction block, at most.
const LARGEST_TRANSACTION: u32 = 3;
/// Share of transaction blocks that end by rollback.
const ROLLBACK_SHARE: f64 = 0.1;
/// Share of reads that look at a seat in place of a register.
const SEAT_READ_SHARE: f64 = 0.3;
/// Share of reads that look at what the session wrote last.
const OWN_READ_SHARE: f64 = 0.6;
/// Stream of the fault timeline; sessions use the streams above it.
const FAULT_STREAM: u64 = 0;

/// The source of randomness for one purpose of a run.
fn source(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut source = ChaCha8Rng::seed_from_u64(seed);
    source.set_stream(stream);
    source
}

/// A fault with its time and targets drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When, after the callers began.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
    /// Nodes it concerns.
    pub nodes: Vec<usize>,
    /// Zone it concerns, where it concerns one.
    pub zone: usize,
}

/// Draws the times and targets of a scenario's faults.
pub fn plan_faults(scenario: &Scenario, seed: u64) -> Vec<PlannedFault> {
    let mut source = source(seed, FAULT_STREAM);
    let node_count = scenario.node_count();
    let draw = |scheduled: &super::definition::ScheduledFault| {
        let jitter = source.random_range(0..=scheduled.jitter_ms);
        let nodes = match &scheduled.fault {
            Fault::PauseNode { node, .. } | Fault::KillNode { node, .. } => {
                vec![node.unwrap_or_else(|| source.random_range(0..node_count))]
            }
            Fault::RestartNode { node } => vec![*node],
            Fault::RollingRestart { .. } => (0..node_count).collect(),
            Fault::KillNodes { count, .. } => distinct(&mut source, node_count, *count),
            _ => Vec::new(),
        };
        let drawn_zone = source.random_range(0..scenario.deployment.zones.len());
        let zone = match &scheduled.fault {
            Fault::CutZone { zone } | Fault::KillZone { zone } => zone.unwrap_or(drawn_zone),
            _ => drawn_zone,
        };
        let at = Duration::from_millis(scheduled.at_ms + jitter);
        PlannedFault { at, fault: scheduled.fault.clone(), nodes, zone }
    };
    scenario.faults.iter().map(draw).collect()
}

/// Draws `count` different numbers below `limit`.
fn distinct(source: &mut impl Rng, limit: usize, count: usize) -> Vec<usize> {
    let mut left: Vec<usize> = (0..limit).collect();
    let mut drawn = Vec::new();
    while drawn.len() < count && !left.is_empty() {
        drawn.push(left.swap_remove(source.random_range(0..left.len())));
    }
    drawn
}

/// A request that a session is about to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// When, after the callers began.
    pub at: Duration,
    /// What it asks for.
    pub action: Action,
    /// Whether it carries a request key.
    pub keyed: bool,
    /// Whether it is sent prepared, by the extended protocol.
    pub extended: bool,
    /// Whether the session moves to another node first.
    pub roams: bool,
}

/// Draws the requests of one session in order of time.
pub struct Requests {
    source: ChaCha8Rng,
    workload: Workload,
    next: Duration,
    last_written: Option<RowKey>,
}

impl Requests {
    /// The requests of session `session`.
    pub fn new(seed: u64, session: u32, workload: &Workload) -> Self {
        Self {
            source: source(seed, FAULT_STREAM + 1 + u64::from(session)),
            workload: workload.clone(),
            next: Duration::ZERO,
            last_written: None,
        }
    }

    /// The same requests, all later by `offset`.
    pub fn starting_at(self, offset: Duration) -> Self {
        Self { next: self.next + offset, ..self }
    }

    /// Whether the session hands its token back on reconnecting.
    pub fn draw_token_use(&mut self) -> bool {
        self.source.random_bool(self.workload.token_share)
    }

    /// A number below `limit`.
    pub fn draw_below(&mut self, limit: usize) -> usize {
        self.source.random_range(0..limit.max(1))
    }

    /// The next request.
    pub fn next_request(&mut self) -> Request {
        let uniform: f64 = self.source.random();
        let think = -(1.0 - uniform).max(f64::MIN_POSITIVE).ln() * self.workload.think_ms / 1000.0;
        self.next += Duration::from_secs_f64(think);
        let action = self.draw_action();
        let may_be_keyed = matches!(action, Action::Deposit | Action::Purchase(_));
        let keyed = self.source.random_bool(self.workload.keyed_share) && may_be_keyed;
        let extended = self.source.random_bool(self.workload.extended_share);
        let roams = self.source.random_bool(self.workload.roaming_share);
        if let Action::Write(row) | Action::Purchase(row) = action {
            self.last_written = Some(row);
        }
        Request { at: self.next, action, keyed, extended, roams }
    }

    fn draw_action(&mut self) -> Action {
        let Mix { read, write, deposit, purchase, .. } = self.workload.mix;
        let mut drawn = self.source.random_range(0..self.workload.mix.total());
        let mut falls_in = |weight: u32| {
            let inside = drawn < weight;
            drawn = drawn.saturating_sub(weight);
            inside
        };
        if falls_in(read) {
            Action::Read(self.draw_read())
        } else if falls_in(write) {
            Action::Write(self.draw_register())
        } else if falls_in(deposit) {
            Action::Deposit
        } else if falls_in(purchase) {
            Action::Purchase(self.draw_seat())
        } else {
            let rolls_back = self.source.random_bool(ROLLBACK_SHARE);
            let ending = if rolls_back { Ending::RollBack } else { Ending::Commit };
            let parts = self.source.random_range(1..=LARGEST_TRANSACTION);
            Action::Transaction { parts, ending }
        }
    }

    fn draw_read(&mut self) -> RowKey {
        if let Some(own) = self.last_written
            && self.source.random_bool(OWN_READ_SHARE)
        {
            return own;
        }
        if self.source.random_bool(SEAT_READ_SHARE) {
            self.draw_seat()
        } else {
            self.draw_register()
        }
    }

    fn draw_register(&mut self) -> RowKey {
        RowKey::Register(self.source.random_range(0..self.workload.registers))
    }

    fn draw_seat(&mut self) -> RowKey {
        RowKey::Seat(self.source.random_range(0..self.workload.seats))
    }
}
