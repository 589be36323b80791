//! Which primary may take writes, and how closely a group is watched.
//!
//! The group elects; these rules follow it. A primary is given new writes only while no instance
//! has shown a higher term and a majority has lately followed its own: anything else could not be
//! confirmed, and is better held than sent.

use std::time::{Duration, Instant};

use crate::position::Term;

/// What one instance last said of its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermReport {
    /// Term it follows or leads.
    pub term: Term,
    /// When it was asked.
    pub asked: Instant,
}

/// The latest moment at which a majority is known to have followed `term`; `None` if never.
pub fn confirmed_at(
    term: Term,
    sightings: impl IntoIterator<Item = TermReport>,
    majority: usize,
) -> Option<Instant> {
    let mut asked: Vec<Instant> = sightings
        .into_iter()
        .filter(|sighting| sighting.term == term)
        .map(|sighting| sighting.asked)
        .collect();
    asked.sort_unstable_by(|one, other| other.cmp(one));
    asked.get(majority.checked_sub(1)?).copied()
}

/// Whether a primary at `term` may take a write now.
pub fn may_take_writes(
    term: Term,
    highest_term: Term,
    confirmed_at: Option<Instant>,
    pace: Pace,
    now: Instant,
) -> bool {
    let lately = |at| now.saturating_duration_since(at) <= pace.confirmation_limit();
    term >= highest_term && confirmed_at.is_some_and(lately)
}

/// How closely a group is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pace {
    /// Nothing has been asked of it lately.
    Idle,
    /// Statements run on it.
    Active,
    /// Its primary is lost or replaced, and the next one has not shown itself.
    Searching,
}

impl Pace {
    /// Time between two probes of an instance.
    pub fn probe_interval(self) -> Duration {
        match self {
            Self::Idle => Duration::from_millis(250),
            Self::Active => Duration::from_millis(50),
            Self::Searching => Duration::from_millis(4),
        }
    }

    /// Time after which an unanswered probe means that the instance is silent: three missed.
    pub fn probe_timeout(self) -> Duration {
        match self {
            Self::Idle => Duration::from_millis(750),
            Self::Active | Self::Searching => Duration::from_millis(150),
        }
    }

    /// Time between attempts to reach an instance that cannot be probed.
    pub fn reconnect_interval(self) -> Duration {
        match self {
            Self::Idle => Duration::from_millis(250),
            Self::Active => Duration::from_millis(50),
            Self::Searching => Duration::from_millis(10),
        }
    }

    /// Longest time since a majority followed the primary for it to be given writes. Beyond the
    /// silence of a minority, so that one late answer holds nothing up.
    pub fn confirmation_limit(self) -> Duration {
        self.probe_interval().max(Self::Active.probe_interval()) + self.probe_timeout()
    }
}

/// Time a group stays watched closely after the last statement.
pub const ACTIVE_DURATION: Duration = Duration::from_secs(1);
/// Longest time of a search: a group that elects nobody is not probed at that pace for ever.
pub const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Decides the pace from what has happened.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceTracker {
    active_at: Option<Instant>,
    searching_since: Option<Instant>,
}

impl PaceTracker {
    /// A statement for the group's primary arrived.
    pub fn on_statement(&mut self, now: Instant) {
        self.active_at = Some(now);
    }

    /// A connection to the primary broke, it fell silent, or a higher term appeared without one.
    pub fn on_primary_lost(&mut self, now: Instant) {
        self.searching_since.get_or_insert(now);
    }

    /// A primary that may take writes is known.
    pub fn on_primary_found(&mut self) {
        self.searching_since = None;
    }

    /// The pace at `now`.
    pub fn pace(&self, now: Instant) -> Pace {
        let within = |since: Option<Instant>, limit| {
            since.is_some_and(|since| now.saturating_duration_since(since) <= limit)
        };
        if within(self.searching_since, SEARCH_TIMEOUT) {
            Pace::Searching
        } else if within(self.active_at, ACTIVE_DURATION) {
            Pace::Active
        } else {
            Pace::Idle
        }
    }
}
