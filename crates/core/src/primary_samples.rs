//! Positions of a group's primary, as its own answers told them, and what they say of replicas.
//!
//! A position that the primary told in answer to a question sent at T covers every commit that was
//! acknowledged before T. So a read that may be D old and arrived at A may run wherever the log has
//! reached a position asked for at A - D or later.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::position::{Position, Term};

/// Positions that are remembered.
const MAX_SAMPLES: usize = 128;
/// Shortest time between two of them, so that frequent answers do not shorten the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Debug)]
struct Sample {
    asked: Instant,
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
    /// The primary told `position` in answer to a question sent at `asked`.
    pub fn record(&mut self, asked: Instant, position: Position) {
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
            Some(last) if asked < last.asked + SAMPLE_INTERVAL => {}
            _ => self.samples.push_back(Sample { asked, position }),
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The lowest position known to cover every commit acknowledged before `moment`, told by a
    /// primary for which evidence covers arrivals until `covered`.
    pub fn covering(&self, moment: Instant, covered: Instant) -> Option<Position> {
        let mut samples = self.samples.iter();
        let sample = samples.find(|sample| sample.asked >= moment && sample.asked <= covered);
        sample.map(|sample| sample.position)
    }

    /// The highest position that was told.
    pub fn highest(&self) -> Option<Position> {
        self.highest
    }

    /// Term of the primary that told them.
    pub fn term(&self) -> Term {
        self.term
    }

    /// When the newest position was asked for.
    pub fn newest(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.asked)
    }
}
