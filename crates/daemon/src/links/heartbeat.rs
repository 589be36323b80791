//! Whether the node at the other end of a link still runs: while something sent to it has no answer it
//! is asked, and a node that does not answer that either is silent.
//!
//! A machine that is frozen, cut off or without power closes no connection. Membership notices within
//! seconds; whoever waits for a statement has less time.

use std::time::{Duration, Instant};

/// Time without anything from the other node, while it owes an answer, after which it is asked.
const PING_DELAY: Duration = Duration::from_millis(100);
/// The same after which it is silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two reports of a node that stays silent.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A node that did not look for so long stood still itself: what it has not read may be there.
const MAX_POLL_GAP: Duration = Duration::from_millis(150);

/// What to do about the other node now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Nothing.
    Nothing,
    /// Ask it whether it runs.
    Ping,
    /// It is silent: work goes elsewhere.
    Silent,
}

/// What is known of the other node's answers on one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heartbeat {
    /// When the oldest message was sent that waits for a sign of life.
    unanswered_since: Option<Instant>,
    is_ping_sent: bool,
    last_report: Option<Instant>,
    last_poll: Option<Instant>,
    poll_stats: PollStats,
}

/// How closely an unanswered message was watched: a node that gets little processor time looks rarely, and finds
/// late what had arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollStats {
    /// Looks since it was sent.
    pub polls: u32,
    /// Longest time between two of them.
    pub longest_gap: Duration,
}

impl Heartbeat {
    /// A message was sent that will be answered.
    pub fn on_sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether a sign of life is awaited already.
    pub fn is_awaiting_answer(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Something arrived from the other node.
    pub fn on_received(&mut self) {
        *self = Self { last_poll: self.last_poll, ..Self::default() };
    }

    /// How closely the oldest unanswered message has been watched.
    pub fn poll_stats(&self) -> PollStats {
        self.poll_stats
    }

    /// For how long it has been waiting.
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.unanswered_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Time passes; call it at least every 100 ms.
    pub fn on_tick(&mut self, now: Instant) -> HeartbeatAction {
        let last = self.last_poll.replace(now);
        let Some(since) = &mut self.unanswered_since else { return HeartbeatAction::Nothing };
        let gap = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.poll_stats.polls += 1;
        self.poll_stats.longest_gap = self.poll_stats.longest_gap.max(gap);
        if gap > MAX_POLL_GAP {
            *since = now;
            self.is_ping_sent = false;
        }
        let unanswered = now.saturating_duration_since(*since);
        if unanswered >= PING_DELAY && !self.is_ping_sent {
            self.is_ping_sent = true;
            return HeartbeatAction::Ping;
        }
        let is_recently_reported = self.last_report.is_some_and(|at| now < at + REPORT_INTERVAL);
        if unanswered < SILENCE_TIMEOUT || is_recently_reported {
            return HeartbeatAction::Nothing;
        }
        self.last_report = Some(now);
        HeartbeatAction::Silent
    }
}
