//! Tests of backoff, retry budgets and connection budgets.

use std::time::{Duration, Instant};

use kestrellock_core::connection_budget::{ConnectionBudget, owner_limit};
use kestrellock_core::retry::{Backoff, RequestPacer, RetryBudget};
use proptest::prelude::*;

const MIN: Duration = Duration::from_millis(10);
const MAX: Duration = Duration::from_millis(500);

proptest! {
    #[test]
    fn backoff_doubles_within_bounds(random in prop::collection::vec(any::<u64>(), 1..80)) {
        let mut backoff = Backoff::new(MIN, MAX);
        for (failures, random) in random.into_iter().enumerate() {
            let full = MIN.saturating_mul(2_u32.saturating_pow(failures as u32)).min(MAX);
            let wait = backoff.on_failure(random);
            prop_assert!(wait >= full / 2 && wait <= full, "{wait:?} of {full:?}");
        }
        backoff.on_success();
        prop_assert!(backoff.on_failure(u64::MAX) <= MIN);
    }

    #[test]
    fn retries_stay_a_share_of_first_attempts(
        percent in 0..50_u32,
        reserve in 1..20_u32,
        is_first in prop::collection::vec(any::<bool>(), 0..2000),
    ) {
        let mut budget = RetryBudget::new(percent, reserve);
        let (mut first, mut retries) = (0_u32, 0_u32);
        for is_first in is_first {
            if is_first {
                first += 1;
                budget.on_first_attempt();
            } else {
                retries += u32::from(budget.try_retry());
            }
            prop_assert!(retries * 100 <= reserve * 100 + first * percent);
        }
    }

    #[test]
    fn connection_budget_never_exceeds_the_configured_limit(
        configured in 1..60_u32,
        events in prop::collection::vec((0..60_u32, 0..2000_u64, any::<bool>(), any::<u64>()), 0..100),
    ) {
        let mut now = Instant::now();
        let mut budget = ConnectionBudget::new(configured);
        for (open, gap, refused, random) in events {
            now += Duration::from_millis(gap);
            let before = budget.allowed(now);
            prop_assert!(before <= configured);
            if refused {
                budget.on_refused(open, now, random);
                prop_assert!(budget.allowed(now) <= open.min(before));
            }
        }
        prop_assert_eq!(budget.allowed(now + Duration::from_secs(60)), configured);
    }
}

#[test]
fn retries_are_refused_once_the_budget_is_spent() {
    let mut budget = RetryBudget::new(10, 2);
    assert!(budget.try_retry());
    assert!(budget.try_retry());
    assert!(!budget.try_retry());
    for _ in 0..9 {
        budget.on_first_attempt();
    }
    assert!(!budget.try_retry());
    budget.on_first_attempt();
    assert!(budget.try_retry());
}

#[test]
fn owner_limit_reserves_connections_for_probes_standby_and_operators() {
    // Connections and probing gateways, then the owner's limit.
    let table = [(35, 3, 27), (60, 3, 52), (8, 3, 4), (1, 3, 1)];
    for (connections, probes, limit) in table {
        assert_eq!(owner_limit(connections, probes), limit, "{connections} connections");
    }
}

#[test]
fn repeated_refusals_increase_the_backoff() {
    let now = Instant::now();
    let mut budget = ConnectionBudget::new(30);
    budget.on_refused(10, now, 0);
    let first = (0..1000).find(|ms| budget.allowed(now + Duration::from_millis(*ms)) > 10);
    let mut budget = ConnectionBudget::new(30);
    for _ in 0..5 {
        budget.on_refused(10, now, 0);
    }
    let later = (0..10_000).find(|ms| budget.allowed(now + Duration::from_millis(*ms)) > 10);
    assert_eq!(first, Some(25));
    assert_eq!(later, Some(400));
}

/// While the only replica was stopped or did not answer, each node repeated its request every 8 ms.
#[test]
fn repeated_requests_are_spaced_out() {
    let start = std::time::Instant::now();
    let (min, max) = (Duration::from_millis(8), Duration::from_millis(60));
    let reset_after = Duration::from_millis(500);
    let mut pacer = RequestPacer::new(Backoff::new(min, max), reset_after);
    let mut now = start;
    let mut sent = 0;
    while now < start + Duration::from_secs(1) {
        now += pacer.on_request(now, u64::MAX);
        sent += 1;
    }
    assert!((16..25).contains(&sent), "{sent} requests in a second");
    assert_eq!(pacer.on_request(now + reset_after, u64::MAX), min, "the backoff restarts");
}
