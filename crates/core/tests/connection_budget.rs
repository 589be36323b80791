//! How many connections a gateway may hold to one instance, and how refusals change that.

use std::time::{Duration, Instant};

use kestrellock_core::connection_budget::ConnectionBudget;

const LIMIT: u32 = 5;
const STEP: Duration = Duration::from_millis(10);

/// Time from the last of `refusals`, each as soon as an attempt is allowed again, to the next attempt.
fn wait_after(refusals: u32, open: u32) -> Duration {
    let mut now = Instant::now();
    let mut budget = ConnectionBudget::new(LIMIT);
    let mut waited = Duration::ZERO;
    for _ in 0..refusals {
        budget.on_refused(open, now, u64::MAX);
        waited = Duration::ZERO;
        while budget.allowed(now) <= open {
            now += STEP;
            waited += STEP;
        }
    }
    waited
}

/// Swanreach, after all machines lost power: connections of the processes before filled the instances
/// for 1.5 s; a node that was refused six times meanwhile held none for another 1.2 s.
#[test]
fn a_gateway_without_any_connection_tries_again_soon_however_often_it_was_refused() {
    for refusals in 1..20 {
        let waited = wait_after(refusals, 0);
        assert!(waited <= Duration::from_millis(150), "{waited:?} after {refusals}");
    }
}

#[test]
fn a_gateway_that_holds_some_waits_longer_with_each_refusal() {
    assert!(wait_after(8, 2) > 3 * wait_after(3, 2));
    assert!(wait_after(1, 2) <= Duration::from_millis(110));
}
