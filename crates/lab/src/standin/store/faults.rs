//! Injected faults of the store, and its request counters.

use std::time::{Duration, Instant};

use super::contents::Contents;

/// How watches that do not report changes answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchSilence {
    /// Not at all, also after the wait time that the call names.
    NoAnswer,
    /// With no events and the revision at which the silence began.
    EmptyAtOldRevision,
    /// With no events and the store's current revision, which is higher than that of the changes
    /// that the answer lacks.
    EmptyAtCurrentRevision,
}

/// The running silence of watches.
#[derive(Clone, Copy, Debug)]
pub struct SilentWatches {
    /// How watches answer.
    pub silence: WatchSilence,
    /// Revision of the store when the silence began.
    pub since: u64,
}

/// Request counters of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// All requests that arrived, regardless of their outcome.
    pub requests: u64,
    /// Requests that were rejected by the rate limit.
    pub refused: u64,
    /// Watch requests.
    pub watches: u64,
    /// Highest number of requests in any one second, counted in whole seconds since the store
    /// started.
    pub busiest_second: u64,
}

/// Decision on a request before it is parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Handle it after a delay.
    Handle(Duration),
    /// Reject it because of the rate limit.
    Refuse,
    /// Never respond.
    Silence,
    /// Reset its connection.
    Reset,
}

/// The active faults.
#[derive(Debug)]
pub struct Faults {
    /// Delay before a request is handled.
    pub response_delay: Duration,
    /// Whether requests on connections that are still open are reset.
    pub outage: bool,
    /// Whether requests are accepted and never responded to.
    pub silent: bool,
    /// Number of responses to changes that are still to be lost.
    pub responses_to_lose: u64,
    /// Set while watches do not report changes.
    pub silent_watches: Option<SilentWatches>,
    /// Older contents with which reads that may be stale are answered.
    pub stale_contents: Option<Contents>,
    rate_limit: Option<u32>,
    tokens: f64,
    refilled_at: Instant,
    started_at: Instant,
    current_second: u64,
    requests_in_second: u64,
    counters: StoreCounters,
}

impl Faults {
    /// Creates a state without faults.
    pub fn new(now: Instant) -> Self {
        Self {
            response_delay: Duration::ZERO,
            outage: false,
            silent: false,
            responses_to_lose: 0,
            silent_watches: None,
            stale_contents: None,
            rate_limit: None,
            tokens: 0.0,
            refilled_at: now,
            started_at: now,
            current_second: 0,
            requests_in_second: 0,
            counters: StoreCounters::default(),
        }
    }

    /// Limits the requests per second with a token bucket that holds one second's worth of
    /// requests.
    pub fn set_rate_limit(&mut self, limit: Option<u32>, now: Instant) {
        self.rate_limit = limit;
        self.tokens = limit.map_or(0.0, f64::from);
        self.refilled_at = now;
    }

    /// Counts a request and decides how it is handled.
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

    /// Returns whether the response to a change is lost, and counts it if so.
    pub fn loses_response(&mut self) -> bool {
        let loses_response = self.responses_to_lose > 0;
        self.responses_to_lose -= u64::from(loses_response);
        loses_response
    }

    /// The counters so far.
    pub fn counters(&self) -> StoreCounters {
        self.counters
    }
}
