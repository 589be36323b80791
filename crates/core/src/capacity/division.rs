//! Divides the slots of an instance among owners by what waits at them.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use super::demand::{InstanceDemand, LEVELS, LevelDemand};
use crate::admission::STARVATION_LIMIT;

/// Deadlines within one step count as equal, and fair shares decide. What owners know of each other
/// is older than this, so a finer comparison would not be more exact.
const DEADLINE_STEP: Duration = Duration::from_millis(20);

/// An owner's statements of one priority.
#[derive(Clone, Copy, Debug)]
struct LevelClaim {
    running: u32,
    waiting: u32,
    flows: u32,
    /// Earliest deadline of a waiting statement.
    earliest: Instant,
    /// Difference between two successive deadlines, as if they were spread evenly.
    spacing: Duration,
    overtaken: u32,
}

/// The statements that run and wait at an owner. Running statements count, because the owner needs
/// slots for them as well as for those that wait.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    limit: u32,
    levels: [LevelClaim; LEVELS],
}

/// Longest time left that a demand may report. A longer one, which only a faulty node sends, could
/// not be added to the current time.
const MAX_TIME_LEFT: Duration = Duration::from_secs(3600);

impl LevelClaim {
    fn new(level: &LevelDemand, now: Instant) -> Self {
        let (earliest, latest) =
            (level.earliest.min(MAX_TIME_LEFT), level.latest.min(MAX_TIME_LEFT));
        let spread = latest.saturating_sub(earliest);
        Self {
            running: level.running,
            waiting: level.waiting,
            flows: level.flows.max(1),
            earliest: now + earliest,
            spacing: spread / level.waiting.saturating_sub(1).max(1),
            overtaken: level.overtaken,
        }
    }

    /// Rank of the claim for the next slot, if it has got `granted` slots so far.
    fn rank(&self, granted: u32, start: Instant) -> Rank {
        let flows = self.flows;
        if self.waiting == 0 {
            return Rank { step: u128::MAX, granted, flows };
        }
        let deadline =
            self.earliest + self.spacing * granted.saturating_sub(self.running).min(self.waiting);
        let left = deadline.saturating_duration_since(start);
        Rank { step: left.as_millis() / DEADLINE_STEP.as_millis(), granted, flows }
    }
}

impl Claim {
    /// The claim of a demand that was reported at `now`.
    pub fn new(demand: &InstanceDemand, now: Instant) -> Self {
        let levels = std::array::from_fn(|level| LevelClaim::new(&demand.levels[level], now));
        Self { limit: demand.limit, levels }
    }
}

/// Order among the claims of one level: the earlier deadline first, then the fewest slots for each
/// tenant or account. Statements that run while nothing waits have no successors and come last.
#[derive(Clone, Copy, Debug)]
struct Rank {
    step: u128,
    granted: u32,
    flows: u32,
}

impl Rank {
    fn compare(&self, other: &Self) -> Ordering {
        let share = |rank: &Self, flows: u32| u64::from(rank.granted) * u64::from(flows);
        self.step
            .cmp(&other.step)
            .then_with(|| share(self, other.flows).cmp(&share(other, self.flows)))
    }
}

/// The slots of an instance, divided among claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Division {
    /// Number of slots of each claim.
    pub granted: Vec<u32>,
    /// Number of slots that no claim needs.
    pub unclaimed: u32,
    /// The level that is served although higher ones wait, and the index of its claim.
    pub starved: Option<(usize, usize)>,
}

/// Divides `slots` among claims.
///
/// A level that was overtaken [`STARVATION_LIMIT`] times gets a slot first. Equal claims are served
/// in the order of `claims`, which must be the same at every owner.
pub fn divide(slots: u32, claims: &[Claim]) -> Division {
    let deadlines = claims.iter().flat_map(|claim| &claim.levels).map(|level| level.earliest);
    let mut division = Division { granted: vec![0; claims.len()], unclaimed: slots, starved: None };
    let Some(start) = deadlines.min() else { return division };
    let mut levels: [LevelDivision; LEVELS] = std::array::from_fn(|level| LevelDivision {
        level,
        claims,
        granted: vec![0; claims.len()],
        start,
    });
    if let Some(starved) = levels.iter_mut().find(|level| level.next_starved_claim().is_some()) {
        division.grant_starved(starved);
    }
    for level in &mut levels {
        while division.unclaimed > 0
            && let Some(index) = level.next_claim(&division.granted)
        {
            division.grant(level, index);
        }
    }
    division
}

impl Division {
    fn grant(&mut self, level: &mut LevelDivision, index: usize) {
        level.granted[index] += 1;
        self.granted[index] += 1;
        self.unclaimed -= 1;
    }

    /// Gives the most urgent starved claim of a level slots for its running statements and for one
    /// more.
    fn grant_starved(&mut self, level: &mut LevelDivision) {
        let Some(index) = level.next_starved_claim() else { return };
        self.starved = Some((level.level, index));
        let wanted = level.claim(index).running.saturating_add(1);
        for _ in 0..wanted.min(level.claims[index].limit).min(self.unclaimed) {
            self.grant(level, index);
        }
    }
}

/// The slots that the claims of one level have got so far.
struct LevelDivision<'a> {
    level: usize,
    claims: &'a [Claim],
    granted: Vec<u32>,
    start: Instant,
}

impl LevelDivision<'_> {
    fn claim(&self, index: usize) -> &LevelClaim {
        &self.claims[index].levels[self.level]
    }

    /// The claim that gets the next slot; `in_total` are the slots of each claim at all levels.
    fn next_claim(&self, in_total: &[u32]) -> Option<usize> {
        let needs_slot = |index: &usize| {
            let claim = self.claim(*index);
            let wanted = claim.running.saturating_add(claim.waiting);
            self.granted[*index] < wanted && in_total[*index] < self.claims[*index].limit
        };
        let open = (0..self.claims.len()).filter(needs_slot);
        open.min_by(|one, other| self.rank(*one).compare(&self.rank(*other)))
    }

    fn rank(&self, index: usize) -> Rank {
        self.claim(index).rank(self.granted[index], self.start)
    }

    /// The most urgent of the claims whose owners let higher levels go ahead as often as they may.
    fn next_starved_claim(&self) -> Option<usize> {
        let is_starved = |index: &usize| {
            let claim = self.claim(*index);
            claim.waiting > 0 && claim.overtaken >= STARVATION_LIMIT
        };
        let starved = (0..self.claims.len()).filter(is_starved);
        starved.min_by(|one, other| self.rank(*one).compare(&self.rank(*other)))
    }
}
