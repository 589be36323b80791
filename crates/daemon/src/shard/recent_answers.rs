//! Keeps the events that a shard recently sent to fronts of other nodes. A link that went silent
//! may have lost them; they are then sent again on the link that replaces it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use kestrellock_core::ids::LeaseId;
use kestrellock_peer::message::LeaseEvent;

/// How long an event is kept. A dead connection is detected and replaced within half a second (see
/// `links::heartbeat` and the handshake timeout); the rest is a margin for slow nodes.
const RETENTION: Duration = Duration::from_secs(3);
/// Age of an exchange above which it is not reported to its front as never arrived, because its
/// answer may already have been dropped here. The difference to [`RETENTION`] is larger than the
/// drift between two nodes' clocks.
const MAX_EXCHANGE_AGE: Duration = Duration::from_secs(2);
/// Maximum bytes of answers kept: about 3 seconds of 3,000 answers of 1 kB per second, many times a
/// node's share of the load.
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

/// Recently sent events, oldest first.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    events: VecDeque<SentEvent>,
    bytes: usize,
    /// When the newest of the events was sent that were dropped because of the size limit.
    newest_evicted: Option<Instant>,
}

impl RecentAnswers {
    /// Keeps an event that is sent to a front.
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

    /// The events of `lease` from number `sequence` on, in order.
    pub fn since(&self, lease: &LeaseId, sequence: u32) -> Vec<(u32, LeaseEvent)> {
        let matches = |sent: &&SentEvent| sent.lease == *lease && sent.sequence >= sequence;
        let matches = self.events.iter().filter(matches);
        matches.map(|sent| (sent.sequence, sent.event.clone())).collect()
    }

    /// Whether the answer to an exchange that its front sent at most `sent_ago` ago would certainly
    /// still be kept.
    pub fn covers(&self, sent_ago: Duration, now: Instant) -> bool {
        let sent = now.checked_sub(sent_ago);
        let may_be_evicted =
            self.newest_evicted.is_some_and(|at| sent.is_none_or(|sent| sent <= at));
        sent_ago < MAX_EXCHANGE_AGE && !may_be_evicted
    }
}
