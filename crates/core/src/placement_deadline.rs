//! Limits how long a request waits while no instance can serve it, so that a client that retries
//! refused requests still has time for another attempt.

use std::time::{Duration, Instant};

/// Fraction of its time budget after which a request of a retrying client is refused. It is less
/// than half, so that the time left suffices for another attempt of the same length.
const RETRYING_CLIENT_FRACTION: f64 = 0.45;

/// Until when a request waits for an instance. A client that retries refused requests is answered
/// early, while it has time to retry, possibly through another node. For other clients the wait is
/// the only attempt and lasts until the deadline.
pub fn placement_deadline(arrived: Instant, deadline: Instant, clients_retry: bool) -> Instant {
    let total = deadline.saturating_duration_since(arrived);
    let wait: Duration =
        if clients_retry { total.mul_f64(RETRYING_CLIENT_FRACTION) } else { total };
    arrived + wait
}
