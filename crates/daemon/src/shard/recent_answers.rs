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
const MAX_EXCHANGE_AGE: Duration = Duration::from_secs(2);
/// Bytes of answers kept. Three seconds of 3,000 answers of 1 kB, many times a node's share.
const MAX_BYTES: usize = 8 * 1024 * 1024;

#[derive(Debug)]
struct SentEvent {
    sent_at: Instant,
    lease: LeaseId,
    sequence: u32,
    event: LeaseEvent,
}

impl SentEvent {
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
    events: VecDeque<SentEvent>,
    bytes: usize,
    /// When the newest answer was given that had to make room for others.
    newest_evicted: Option<Instant>,
}

impl RecentAnswers {
    /// Keeps what a front is told.
    pub fn record(&mut self, lease: &LeaseId, sequence: u32, event: &LeaseEvent, now: Instant) {
        self.drop_expired(now);
        let sent_event =
            SentEvent { sent_at: now, lease: lease.clone(), sequence, event: event.clone() };
        self.bytes += sent_event.bytes();
        self.events.push_back(sent_event);
        while self.bytes > MAX_BYTES {
            let Some(oldest) = self.events.pop_front() else { return };
            self.bytes -= oldest.bytes();
            self.newest_evicted = Some(oldest.sent_at);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.events.front() {
            if now.saturating_duration_since(oldest.sent_at) < RETENTION {
                return;
            }
            self.bytes -= oldest.bytes();
            self.events.pop_front();
        }
    }

    /// What the front was told of `lease` from `sequence` on, in order.
    pub fn since(&self, lease: &LeaseId, sequence: u32) -> Vec<(u32, LeaseEvent)> {
        let wanted =
            |sent_event: &&SentEvent| sent_event.lease == *lease && sent_event.sequence >= sequence;
        let wanted = self.events.iter().filter(wanted);
        wanted.map(|sent_event| (sent_event.sequence, sent_event.event.clone())).collect()
    }

    /// Whether the answer to an exchange that its front sent so long ago, at the most, would still be here.
    pub fn covers(&self, sent_ago: Duration, now: Instant) -> bool {
        let sent = now.checked_sub(sent_ago);
        let may_be_evicted =
            self.newest_evicted.is_some_and(|at| sent.is_none_or(|sent| sent <= at));
        sent_ago < MAX_EXCHANGE_AGE && !may_be_evicted
    }
}
