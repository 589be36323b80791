//! What answers to a node's own statements show about the position of a group's primary, for the
//! node's report to a coordinator ([`super::RestartReport`]).
//!
//! Two values are kept apart:
//!
//! - *The highest position of a commit.* An answered commit may be acknowledged to a client, so the
//!   node reports a position that is no lower. That holds for each commit, also if the instance is
//!   not known to lead the term of the position.
//! - *The sample.* It covers every commit that any node acknowledged before its query, so it counts
//!   only if it is the primary's ([`crate::primary_samples`]). Its age belongs to a report only if
//!   the reported position has the same term: a sample of an earlier primary covers no commit of
//!   its successor.

use std::time::{Duration, Instant};

use super::known_group::order;
use crate::position::Position;

/// Positions of a group from a node's own exchanges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnsweredPrimary {
    /// The highest position that the primary reported, and when the query for its newest position
    /// was sent.
    pub sampled: Option<(Position, Instant)>,
    /// The highest position in answers to commits.
    pub committed: Option<Position>,
}

impl AnsweredPrimary {
    /// The lowest position that the node may report: no commit that it may have acknowledged lies
    /// beyond it.
    pub fn highest(&self) -> Option<Position> {
        let sampled = self.sampled.map(|(position, _)| position);
        higher_position(sampled, self.committed)
    }

    /// The age of the sample, if it is one of the primary whose position is reported.
    pub fn sample_age(&self, reported: Option<Position>, now: Instant) -> Option<Duration> {
        let (position, queried_at) = self.sampled?;
        let is_of_reported = reported.is_some_and(|reported| reported.term == position.term);
        is_of_reported.then(|| now.saturating_duration_since(queried_at))
    }
}

/// The higher one of two positions.
pub fn higher_position(one: Option<Position>, other: Option<Position>) -> Option<Position> {
    one.into_iter().chain(other).max_by_key(order)
}
