//! What a node's gateways told fronts of other nodes a short time ago: a connection between nodes that
//! went silent may have swallowed it, and the front asks for it on the next one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use kestrellock_core::ids::LeaseId;
use kestrellock_peer::message::LeaseEvent;

/// Time for which an answer is kept. A dead connection is noticed and replaced within half a second
/// (see `links::heartbeat` and the limit for handshakes); the rest is for nodes that run slowly.
const RETENTION: Duration = Duration::from_secs(3);
/// A front that has waited for longer is not told that its exchange never arrived: its answer may
/// have been dropped from here meanwhile. Less than [`RETENTION`] by more than two clocks drift apart.
const LONGEST_ABSENCE: Duration = Duration::from_secs(2);
/// Bytes of answers kept. Three seconds of 3,000 answers of 1 kB, many times a node's share.
const MAX_BYTES: usize = 8 * 1024 * 1024;

#[derive(Debug)]
struct Told {
    at: Instant,
    lease: LeaseId,
    sequence: u32,
    event: LeaseEvent,
}

impl Told {
    fn bytes(&self) -> usize {
        match &self.event {
            LeaseEvent::Part(frames) | LeaseEvent::Done { frames, .. } => frames.len(),
            _ => 0,
        }
    }
}

/// Recent answers, oldest first.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    told: VecDeque<Told>,
    bytes: usize,
    /// When the newest answer was given that had to make room for others.
    crowded_out: Option<Instant>,
}

impl RecentAnswers {
    /// Keeps what a front is told.
    pub fn record(&mut self, lease: &LeaseId, sequence: u32, event: &LeaseEvent, now: Instant) {
        self.forget_old(now);
        let told = Told { at: now, lease: lease.clone(), sequence, event: event.clone() };
        self.bytes += told.bytes();
        self.told.push_back(told);
        while self.bytes > MAX_BYTES {
            let Some(oldest) = self.told.pop_front() else { return };
            self.bytes -= oldest.bytes();
            self.crowded_out = Some(oldest.at);
        }
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(oldest) = self.told.front() {
            if now.saturating_duration_since(oldest.at) < RETENTION {
                return;
            }
            self.bytes -= oldest.bytes();
            self.told.pop_front();
        }
    }

    /// What the front was told of `lease` from `sequence` on, in order.
    pub fn since(&self, lease: &LeaseId, sequence: u32) -> Vec<(u32, LeaseEvent)> {
        let wanted = |told: &&Told| told.lease == *lease && told.sequence >= sequence;
        let wanted = self.told.iter().filter(wanted);
        wanted.map(|told| (told.sequence, told.event.clone())).collect()
    }

    /// Whether the answer to an exchange that its front sent so long ago, at the most, would still be here.
    pub fn covers(&self, sent_ago: Duration, now: Instant) -> bool {
        let sent = now.checked_sub(sent_ago);
        let is_crowded_out = self.crowded_out.is_some_and(|at| sent.is_none_or(|sent| sent <= at));
        sent_ago < LONGEST_ABSENCE && !is_crowded_out
    }
}
