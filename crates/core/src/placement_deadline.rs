//! How long a request is held that no instance can take yet.

use std::time::{Duration, Instant};

/// Part of its time after which a request is given back to a caller that repeats it: less than half,
/// so that there is time left for another attempt as long as this one.
const GIVEN_BACK_AFTER: f64 = 0.45;

/// Until when a request is held. A caller that repeats what was refused is told early, while it has
/// time to come back, perhaps through another node; for any other one the wait is the only attempt.
pub fn placement_deadline(arrived: Instant, deadline: Instant, callers_repeat: bool) -> Instant {
    let total = deadline.saturating_duration_since(arrived);
    let held: Duration = if callers_repeat { total.mul_f64(GIVEN_BACK_AFTER) } else { total };
    arrived + held
}
