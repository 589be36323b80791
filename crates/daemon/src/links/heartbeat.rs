//! Heartbeat of a link: detects that the node at the other end no longer responds.
//!
//! If nothing arrives for a while after a message that expects an answer, the node is pinged. If it
//! still sends nothing, not even a pong, it is reported as silent.
//!
//! A machine that is frozen, partitioned or without power does not close its connections.
//! Membership detects it within seconds, which is too slow for a client that waits for a statement.

use std::time::{Duration, Instant};

/// Time without any data from the other node, while an answer is outstanding, after which it is
/// pinged.
const PING_DELAY: Duration = Duration::from_millis(100);
/// Time without any data, while an answer is outstanding, after which the node counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between reports of a node that stays silent.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest gap between two ticks that still counts as normal. After a longer gap this process was
/// itself paused and may not have read data that has arrived, so the wait starts again.
const MAX_POLL_GAP: Duration = Duration::from_millis(150);

/// What the link must do after a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// No action is due.
    Nothing,
    /// Send a ping.
    Ping,
    /// The node is silent: route work elsewhere.
    Silent,
}

/// Heartbeat state of one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heartbeat {
    /// When the oldest message was sent since which nothing has been received.
    unanswered_since: Option<Instant>,
    is_ping_sent: bool,
    last_report: Option<Instant>,
    last_poll: Option<Instant>,
    poll_stats: PollStats,
}

/// How often an unanswered message was polled. A node that gets little CPU time polls rarely and
/// reads late what has arrived, so these numbers distinguish a slow node from a silent one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollStats {
    /// Polls since the message was sent.
    pub polls: u32,
    /// Longest time between two polls.
    pub longest_gap: Duration,
}

impl Heartbeat {
    /// Records that a message was sent that expects an answer.
    pub fn on_sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether an answer is outstanding.
    pub fn is_awaiting_answer(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Records that data arrived from the other node.
    pub fn on_received(&mut self) {
        *self = Self { last_poll: self.last_poll, ..Self::default() };
    }

    /// How often the oldest unanswered message has been polled.
    pub fn poll_stats(&self) -> PollStats {
        self.poll_stats
    }

    /// How long the oldest message has been unanswered.
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.unanswered_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the action that is due. Must be called at least every 100 ms.
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
