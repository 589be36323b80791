//! Positions that a group's primary reported, from which the position that a read requires is
//! derived.
//!
//! A position that the primary reported in answer to a query sent at T covers every commit that was
//! acknowledged before T. So a read that arrived at A and may be up to D stale can run on any
//! instance whose log has reached a position that was queried at A - D or later.
//!
//! An instance that is listed as primary may have been replaced. As a replica it reports positions
//! at which it lags behind its successor. So a position counts only if all of this holds:
//!
//! - Its term is one that the reporter is known to have led, from the reporter's own status or from
//!   a commit of writes that it acknowledged. A demoted primary reports a higher term as soon as it
//!   has received a commit of its successor. Until then its log contains every commit that was
//!   acknowledged in the term that it led.
//! - The answer does not say that the reporter accepts no writes.
//! - The answer cannot show an earlier state of the log, as that of a later statement of a
//!   transaction can.
//! - No higher position of the same term was reported in an answer that was complete before the
//!   query was sent: otherwise the reporter has lost its log, and may be receiving it again.
//!
//! A position that counts is used for reads only with evidence that the reporter leads that same
//! term, and only if the evidence covers the time of the query.
//!
//! A primary that reports the previous term until its first commit therefore serves all reads
//! itself until then.

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
    /// Term of the primary that reported them.
    term: Term,
    samples: VecDeque<PrimarySample>,
    highest: Option<HighestPosition>,
}

/// The highest position of the term, and when the first answer with it was complete.
#[derive(Clone, Copy, Debug)]
struct HighestPosition {
    position: Position,
    answered_at: Instant,
}

impl PrimarySamples {
    /// An instance that announces itself as primary reported a position, which may not count.
    pub fn record(&mut self, report: PositionReport) {
        let PositionReport { instance, position, queried_at, answered_at, .. } = report;
        let is_primarys = report.led_term == Some(position.term) && !report.is_read_only;
        if !is_primarys || report.may_be_earlier || position.term < self.term {
            return;
        }
        if position.term > self.term {
            *self = Self { term: position.term, ..Self::default() };
        }
        match self.highest {
            Some(highest) if position.offset < highest.position.offset => {
                if queried_at > highest.answered_at {
                    return;
                }
            }
            Some(highest) if position.offset == highest.position.offset => {}
            _ => self.highest = Some(HighestPosition { position, answered_at }),
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
        primary: &InstanceName,
        evidence: &Coverage,
        moment: Instant,
    ) -> Option<&PrimarySample> {
        let is_covering = |sample: &&PrimarySample| {
            sample.queried_at >= moment
                && sample.queried_at <= evidence.until
                && sample.instance == *primary
        };
        self.samples.iter().find(is_covering).filter(|_| self.term == evidence.term)
    }

    /// The highest position that was reported.
    pub fn highest(&self) -> Option<Position> {
        self.highest.map(|highest| highest.position)
    }

    /// When the query for the newest position was sent.
    pub fn newest(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.queried_at)
    }
}
