//! What a node's connections show about the process that runs at an instance's address.
//!
//! Evidence about a primary (`primary_evidence`) does not cover every read at its address. A
//! coordinator does not wait until evidence has expired if the old primary refuses connections,
//! because a process that has ended serves no reads. The next process at the address may be primary
//! again until it learns of its successor. A node that cannot reach the instance meanwhile does not
//! learn that its connections are broken, and its evidence may be from before the end of the
//! earlier process. So evidence covers reads for its whole lifetime only if the process that serves
//! them was running when the evidence was gathered: if that process ends, it has served the read
//! before a successor leads.
//!
//! An answer on a connection shows that one process was running from the time at which the
//! connection was established until the request was sent. Only one process at a time listens at an
//! address, so intervals that overlap belong to the same process.

use std::time::{Duration, Instant};

use crate::primary_evidence::MIN_PROMOTION_TIME;

/// Maximum number of intervals that are kept. More occur only if many connections are opened while
/// nothing is answered.
const MAX_INTERVALS: usize = 8;
/// Progress of an interval that is recorded. It is much less than [`MIN_PROMOTION_TIME`].
const RESOLUTION: Duration = Duration::from_millis(10);

/// A time in which one process was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Interval {
    since: Instant,
    until: Instant,
}

/// The processes that have run at an instance's address, as far as a node has seen them.
#[derive(Clone, Debug, Default)]
pub struct ObservedProcess {
    /// Disjoint intervals in order of time. Each may belong to another process, and the last one
    /// belongs to the process to which new connections lead.
    intervals: Vec<Interval>,
}

impl ObservedProcess {
    /// The instance answered a request that was sent at `sent` on a connection that was established
    /// at `established`; both are the same for the start-up of the connection.
    pub fn on_seen(&mut self, established: Instant, sent: Instant) {
        let mut seen = Interval { since: established, until: sent.max(established) };
        self.intervals.retain(|known| {
            let overlaps = known.since <= seen.until && seen.since <= known.until;
            if overlaps {
                seen.since = seen.since.min(known.since);
                seen.until = seen.until.max(known.until);
            }
            !overlaps
        });
        let index = self.intervals.partition_point(|known| known.since < seen.since);
        self.intervals.insert(index, seen);
        if self.intervals.len() > MAX_INTERVALS {
            // The first one is the longest as a rule, and the last one is the current process.
            self.intervals.remove(1);
        }
    }

    /// Whether [`ObservedProcess::on_seen`] with these times would add anything of use.
    pub fn is_news(&self, established: Instant, sent: Instant) -> bool {
        self.intervals
            .last()
            .is_none_or(|current| established < current.since || sent >= current.until + RESOLUTION)
    }

    /// Whether the process to which new connections lead is known to have been running at `moment`,
    /// or to have started before that.
    pub fn was_running_at(&self, moment: Instant) -> bool {
        self.intervals.last().is_some_and(|current| current.since <= moment)
    }

    /// Until when evidence that was gathered at `evidence` and has this lifetime covers reads that
    /// arrive. If the process may have started later, the evidence covers only reads that arrived
    /// before a successor of an earlier process can have led: a coordinator had not stopped the
    /// replicas when the evidence was gathered, and has not seen an end of that process before its
    /// last answer.
    pub fn covers_until(&self, evidence: Instant, lifetime: Duration) -> Instant {
        let until = evidence + lifetime;
        if self.intervals.is_empty() || self.was_running_at(evidence) {
            return until;
        }
        let mut earlier = self.intervals.iter().rev();
        let earlier = earlier.find(|known| known.since <= evidence);
        let last_answer = earlier.map_or(evidence, |known| known.until.max(evidence));
        until.min(last_answer + MIN_PROMOTION_TIME)
    }
}
