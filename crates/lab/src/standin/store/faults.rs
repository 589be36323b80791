//! Faults that the store can be told to have, and what it counts.

use std::time::{Duration, Instant};

/// What the store counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Requests that arrived, whatever became of them.
    pub requests: u64,
    /// Of those, refused for their rate.
    pub refused: u64,
    /// Of those, watches.
    pub watches: u64,
    /// Requests that arrived within the busiest whole second since the store started.
    pub busiest_second: u64,
}

/// What is to become of a request, before it is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is handled, after a delay.
    Handle(Duration),
    /// It is refused for its rate.
    Refuse,
    /// It is never answered.
    Silence,
    /// Its connection is reset.
    Reset,
}

/// Faults now in force.
#[derive(Debug)]
pub struct Faults {
    /// Time before a request is handled.
    pub response_delay: Duration,
    /// Whether connections that are still open are reset.
    pub outage: bool,
    /// Whether requests are taken and never answered.
    pub silent: bool,
    /// Answers to changes still to be lost.
    pub responses_to_lose: u64,
    rate_limit: Option<u32>,
    tokens: f64,
    refilled_at: Instant,
    started_at: Instant,
    current_second: u64,
    requests_in_second: u64,
    counters: StoreCounters,
}

impl Faults {
    /// No faults.
    pub fn new(now: Instant) -> Self {
        Self {
            response_delay: Duration::ZERO,
            outage: false,
            silent: false,
            responses_to_lose: 0,
            rate_limit: None,
            tokens: 0.0,
            refilled_at: now,
            started_at: now,
            current_second: 0,
            requests_in_second: 0,
            counters: StoreCounters::default(),
        }
    }

    /// Limits the requests a second; a second's worth may come at once.
    pub fn set_rate_limit(&mut self, limit: Option<u32>, now: Instant) {
        self.rate_limit = limit;
        self.tokens = limit.map_or(0.0, f64::from);
        self.refilled_at = now;
    }

    /// Counts a request and decides what becomes of it.
    pub fn admit(&mut self, is_watch: bool, now: Instant) -> Admission {
        self.count(is_watch, now);
        if self.outage {
            return Admission::Reset;
        }
        if self.silent {
            return Admission::Silence;
        }
        if let Some(limit) = self.rate_limit {
            let limit = f64::from(limit);
            let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
            self.refilled_at = now;
            self.tokens = (self.tokens + elapsed * limit).min(limit);
            if self.tokens < 1.0 {
                self.counters.refused += 1;
                return Admission::Refuse;
            }
            self.tokens -= 1.0;
        }
        Admission::Handle(self.response_delay)
    }

    fn count(&mut self, is_watch: bool, now: Instant) {
        self.counters.requests += 1;
        self.counters.watches += u64::from(is_watch);
        let current_second = now.duration_since(self.started_at).as_secs();
        if current_second != self.current_second {
            self.current_second = current_second;
            self.requests_in_second = 0;
        }
        self.requests_in_second += 1;
        self.counters.busiest_second = self.counters.busiest_second.max(self.requests_in_second);
    }

    /// Whether the answer to a change is lost.
    pub fn loses_response(&mut self) -> bool {
        let loses_response = self.responses_to_lose > 0;
        self.responses_to_lose -= u64::from(loses_response);
        loses_response
    }

    /// What was counted so far.
    pub fn counters(&self) -> StoreCounters {
        self.counters
    }
}
