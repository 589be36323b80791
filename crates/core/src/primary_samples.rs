//! Positions that a group's primary reported, from which the position that a read requires is
//! derived.
//!
//! A position that the primary reported in answer to a query sent at T covers every commit that was
//! acknowledged before T. So a read that arrived at A and may be up to D stale can run on any
//! instance whose log has reached a position that was queried at A - D or later.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids::InstanceName;
use crate::position::{Position, Term};
use crate::primary_evidence::Coverage;

/// Number of positions that are kept.
const MAX_SAMPLES: usize = 128;
/// Shortest time between two kept positions, so that frequent answers do not shorten the time that
/// they span.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(40);

/// A position that the primary reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimarySample {
    /// The instance that reported it.
    pub instance: InstanceName,
    /// When the query was sent.
    pub queried_at: Instant,
    /// The position.
    pub position: Position,
}

/// A position that an instance reported in an answer.
#[derive(Clone, Copy, Debug)]
pub struct PositionReport<'a> {
    /// The instance.
    pub instance: &'a InstanceName,
    /// The position.
    pub position: Position,
    /// Highest term that the instance is known to have led, from its own status or from a commit
    /// that it acknowledged.
    pub led_term: Option<Term>,
    /// Whether the answer says that the instance does not lead.
    pub is_read_only: bool,
    /// Whether the answer may show an earlier state of the log, because its statement was not the
    /// first one of a transaction.
    pub may_be_earlier: bool,
    /// When the query was sent.
    pub queried_at: Instant,
    /// When the answer was complete.
    pub answered_at: Instant,
}

/// Positions of one group's primary, oldest first.
#[derive(Clone, Debug, Default)]
pub struct PrimarySamples {
    term: Term,
    samples: VecDeque<PrimarySample>,
    highest: Option<Position>,
}

impl PrimarySamples {
    /// An instance that announces itself as primary reported a position.
    pub fn record(&mut self, report: PositionReport) {
        let PositionReport { instance, position, queried_at, .. } = report;
        if position.term < self.term {
            return;
        }
        if position.term > self.term {
            self.term = position.term;
            self.samples.clear();
            self.highest = None;
        }
        let is_higher = self.highest.is_none_or(|highest| highest.offset < position.offset);
        if is_higher {
            self.highest = Some(position);
        }
        match self.samples.back() {
            Some(last) if queried_at < last.queried_at + SAMPLE_INTERVAL => {}
            _ => {
                let instance = instance.clone();
                self.samples.push_back(PrimarySample { instance, queried_at, position });
            }
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The lowest known position that covers every commit acknowledged before `moment`, reported by
    /// `primary`, for which there is this evidence.
    pub fn covering(
        &self,
        _primary: &InstanceName,
        evidence: &Coverage,
        moment: Instant,
    ) -> Option<&PrimarySample> {
        let is_covering = |sample: &&PrimarySample| {
            sample.queried_at >= moment && sample.queried_at <= evidence.until
        };
        self.samples.iter().find(is_covering)
    }

    /// The highest position that was reported.
    pub fn highest(&self) -> Option<Position> {
        self.highest
    }

    /// Term of the primary that reported the positions.
    pub fn term(&self) -> Term {
        self.term
    }

    /// When the query for the newest position was sent.
    pub fn newest(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.queried_at)
    }
}
