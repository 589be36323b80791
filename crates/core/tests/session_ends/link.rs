//! One direction of a client's connection: messages arrive in order, after a delay that varies, and
//! wait while the link transmits nothing.

use crate::random::SeededRandom;

/// Time for which the kernel's send buffer holds output before a writer sees that it is full.
const KERNEL_BUFFER_MS: u64 = 100;
/// How often messages that are sent together arrive in two parts.
const SPLIT_PERCENT: u64 = 5;

/// How the messages of one direction are delayed.
#[derive(Clone, Debug)]
pub struct Link {
    pub delay: u64,
    pub jitter: u64,
    /// Periods without transmission.
    pub stalls: Vec<(u64, u64)>,
    busy_until: u64,
    last_arrival: u64,
    /// When the message before was sent.
    last_start: Option<u64>,
}

impl Link {
    pub fn new(delay: u64, jitter: u64, stalls: Vec<(u64, u64)>) -> Self {
        Self { delay, jitter, stalls, busy_until: 0, last_arrival: 0, last_start: None }
    }

    /// The time at which a message arrives that is sent at `now` and takes `transmission` to send.
    pub fn send(&mut self, now: u64, transmission: u64, random: &mut SeededRandom) -> u64 {
        let mut start = self.busy_until.max(now);
        for (from, until) in &self.stalls {
            if (*from..*until).contains(&start) {
                start = *until;
            }
        }
        self.busy_until = start + transmission;
        let follows = self.last_start == Some(start) && transmission == 0;
        self.last_start = Some(start);
        if follows && !random.happens(SPLIT_PERCENT) {
            return self.last_arrival;
        }
        let arrival = self.busy_until + self.delay + random.between(0, self.jitter);
        self.last_arrival = self.last_arrival.max(arrival);
        self.last_arrival
    }

    /// The time by which a message that was sent at `sent_at` has arrived, as far as delays and the
    /// messages before it determine it.
    pub fn latest_arrival(&self, sent_at: u64) -> u64 {
        let stalled = self.stalls.iter().filter(|(_, until)| *until > sent_at);
        let stalled: u64 = stalled.map(|(from, until)| until - from).sum();
        self.last_arrival.max(sent_at + self.delay + self.jitter + stalled)
    }

    /// Whether the kernel has taken everything that was sent.
    pub fn is_flushed(&self, now: u64) -> bool {
        self.busy_until <= now + KERNEL_BUFFER_MS
    }
}
