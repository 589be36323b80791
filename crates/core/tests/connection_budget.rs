//! How refusals change the number of connections that a gateway may open to one instance.

use std::time::{Duration, Instant};

use kestrellock_core::connection_budget::ConnectionBudget;

const LIMIT: u32 = 5;
const STEP: Duration = Duration::from_millis(10);

/// Time from the last of `refusals` to the next allowed attempt, with each attempt made as soon as
/// it is allowed.
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

/// After a power loss of all machines, connections of the previous processes filled the instances
/// for 1.5 s. A node that was refused six times meanwhile had no connection for another 1.2 s.
#[test]
fn gateway_without_connections_retries_soon_after_any_number_of_refusals() {
    for refusals in 1..20 {
        let waited = wait_after(refusals, 0);
        assert!(waited <= Duration::from_millis(150), "{waited:?} after {refusals}");
    }
}

#[test]
fn gateway_with_connections_backs_off_with_each_refusal() {
    assert!(wait_after(8, 2) > 3 * wait_after(3, 2));
    assert!(wait_after(1, 2) <= Duration::from_millis(110));
}

/// Guards against an owner that has one connection, which a transaction may occupy, and backs off
/// for seconds after refusals that ended long before.
#[test]
fn gateway_with_fewer_connections_than_required_retries_soon() {
    let mut now = Instant::now();
    let mut budget = ConnectionBudget::new(LIMIT);
    budget.require(2);
    for _ in 0..20 {
        budget.on_refused(1, now, u64::MAX);
        now += Duration::from_millis(150);
        assert!(budget.allowed(now) > 1);
    }
}
