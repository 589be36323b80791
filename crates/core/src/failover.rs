//! Decides whether a primary may receive writes, and how often its group is probed, for groups that
//! elect their primary themselves.
//!
//! These rules follow the group's elections. A primary receives new writes only while no instance
//! has reported a higher term and a majority has recently followed its term. Other writes could not
//! be confirmed, so they are delayed instead of sent.

use std::time::{Duration, Instant};

use crate::position::Term;

/// The last report of one instance about its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermReport {
    /// Term that it follows or leads.
    pub term: Term,
    /// When the query was sent.
    pub queried_at: Instant,
}

/// The latest time at which a majority is known to have followed `term`; `None` if there was none.
pub fn confirmed_at(
    term: Term,
    reports: impl IntoIterator<Item = TermReport>,
    majority: usize,
) -> Option<Instant> {
    let mut query_times: Vec<Instant> = reports
        .into_iter()
        .filter(|report| report.term == term)
        .map(|report| report.queried_at)
        .collect();
    query_times.sort_unstable_by(|one, other| other.cmp(one));
    query_times.get(majority.checked_sub(1)?).copied()
}

/// Whether the primary of `term` may receive a write now.
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

/// How often a group is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pace {
    /// The group received no statements recently.
    Idle,
    /// The group received statements recently.
    Active,
    /// The primary was lost or replaced, and no new primary is known.
    Searching,
}

impl Pace {
    /// Interval between two probes of an instance.
    pub fn probe_interval(self) -> Duration {
        match self {
            Self::Idle => Duration::from_millis(250),
            Self::Active => Duration::from_millis(50),
            Self::Searching => Duration::from_millis(4),
        }
    }

    /// Time after which an unanswered probe means that the instance is silent, equivalent to three
    /// missed probes.
    pub fn probe_timeout(self) -> Duration {
        match self {
            Self::Idle => Duration::from_millis(750),
            Self::Active | Self::Searching => Duration::from_millis(150),
        }
    }

    /// Interval between attempts to connect to an instance that cannot be probed.
    pub fn reconnect_interval(self) -> Duration {
        match self {
            Self::Idle => Duration::from_millis(250),
            Self::Active => Duration::from_millis(50),
            Self::Searching => Duration::from_millis(10),
        }
    }

    /// How long ago a majority may last have followed the primary for it to receive writes. Longer
    /// than the probe timeout, so that one late answer does not delay writes.
    pub fn confirmation_limit(self) -> Duration {
        self.probe_interval().max(Self::Active.probe_interval()) + self.probe_timeout()
    }
}

/// How long a group counts as active after its last statement.
pub const ACTIVE_DURATION: Duration = Duration::from_secs(1);
/// Longest duration of a search, so that a group that elects no primary is not probed at that pace
/// forever.
pub const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Derives the pace from the group's statements and the state of its primary.
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

    /// A connection to the primary broke, the primary became silent, or a higher term without a
    /// known primary appeared.
    pub fn on_primary_lost(&mut self, now: Instant) {
        self.searching_since.get_or_insert(now);
    }

    /// A primary that may receive writes is known.
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
