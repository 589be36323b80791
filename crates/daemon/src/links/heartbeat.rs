//! Whether the node at the other end of a link still runs: while something sent to it has no answer it
//! is asked, and a node that does not answer that either is silent.
//!
//! A machine that is frozen, cut off or without power closes no connection. Membership notices within
//! seconds; whoever waits for a statement has less time.

use std::time::{Duration, Instant};

/// Time without anything from the other node, while it owes an answer, after which it is asked.
const ASK_AFTER: Duration = Duration::from_millis(100);
/// The same after which it is silent.
const SILENT_AFTER: Duration = Duration::from_millis(300);
/// Time between two reports of a node that stays silent.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A node that did not look for so long stood still itself: what it has not read may be there.
const LONGEST_STEP: Duration = Duration::from_millis(150);

/// What to do about the other node now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beat {
    /// Nothing.
    Nothing,
    /// Ask it whether it runs.
    Ask,
    /// It is silent: work goes elsewhere.
    Silent,
}

/// What is known of the other node's answers on one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heartbeat {
    /// When the oldest message was sent that waits for a sign of life.
    unanswered_since: Option<Instant>,
    is_asked: bool,
    reported: Option<Instant>,
    looked: Option<Instant>,
    watch: Watch,
}

/// How closely an unanswered message was watched: a node that gets little processor time looks rarely, and finds
/// late what had arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watch {
    /// Looks since it was sent.
    pub looks: u32,
    /// Longest time between two of them.
    pub longest_step: Duration,
}

impl Heartbeat {
    /// A message was sent that will be answered.
    pub fn on_sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether a sign of life is awaited already.
    pub fn is_waiting(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Something arrived from the other node.
    pub fn on_received(&mut self) {
        *self = Self { looked: self.looked, ..Self::default() };
    }

    /// How closely the oldest unanswered message has been watched.
    pub fn watch(&self) -> Watch {
        self.watch
    }

    /// For how long it has been waiting.
    pub fn unanswered(&self, now: Instant) -> Duration {
        self.unanswered_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Time passes; call it at least every 100 ms.
    pub fn on_tick(&mut self, now: Instant) -> Beat {
        let last = self.looked.replace(now);
        let Some(since) = &mut self.unanswered_since else { return Beat::Nothing };
        let step = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.watch.looks += 1;
        self.watch.longest_step = self.watch.longest_step.max(step);
        if step > LONGEST_STEP {
            *since = now;
            self.is_asked = false;
        }
        let unanswered = now.saturating_duration_since(*since);
        if unanswered >= ASK_AFTER && !self.is_asked {
            self.is_asked = true;
            return Beat::Ask;
        }
        let told = self.reported.is_some_and(|at| now < at + REPORT_INTERVAL);
        if unanswered < SILENT_AFTER || told {
            return Beat::Nothing;
        }
        self.reported = Some(now);
        Beat::Silent
    }
}
