//! Positions that a group's primary reported, from which the position that a read requires is
//! derived.
//!
//! A position that the primary reported in answer to a query sent at T covers every commit that was
//! acknowledged before T. So a read that arrived at A and may be up to D stale can run on any
//! instance whose log has reached a position that was queried at A - D or later.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::position::{Position, Term};

/// Number of positions that are kept.
const MAX_SAMPLES: usize = 128;
/// Shortest time between two kept positions, so that frequent answers do not shorten the time that
/// they span.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Debug)]
struct Sample {
    queried_at: Instant,
    position: Position,
}

/// Positions of one group's primary, oldest first.
#[derive(Clone, Debug, Default)]
pub struct PrimarySamples {
    term: Term,
    samples: VecDeque<Sample>,
    highest: Option<Position>,
}

impl PrimarySamples {
    /// The primary reported `position` in answer to a query that was sent at `queried_at`.
    pub fn record(&mut self, queried_at: Instant, position: Position) {
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
            _ => self.samples.push_back(Sample { queried_at, position }),
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The lowest known position that covers every commit acknowledged before `moment`, reported by
    /// a primary for which evidence covers arrivals until `covered_until`.
    pub fn covering(&self, moment: Instant, covered_until: Instant) -> Option<Position> {
        let mut samples = self.samples.iter();
        let sample = samples
            .find(|sample| sample.queried_at >= moment && sample.queried_at <= covered_until);
        sample.map(|sample| sample.position)
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
