//! How long a request waits while no instance can serve it.

use std::time::{Duration, Instant};

use kestrellock_core::placement_deadline::placement_deadline;

/// Writes that could not be replicated waited until their clients timed out. The clients could have
/// retried twice in that time.
#[test]
fn retrying_client_is_answered_with_half_of_its_time_left() {
    let arrived = Instant::now();
    for total in [40, 800, 2_000].map(Duration::from_millis) {
        let wait = placement_deadline(arrived, arrived + total, true) - arrived;
        assert!(wait * 2 < total && wait * 5 > total * 2, "{wait:?} of {total:?}");
    }
}

#[test]
fn other_clients_wait_until_their_deadline() {
    let arrived = Instant::now();
    let deadline = arrived + Duration::from_millis(800);
    assert_eq!(placement_deadline(arrived, deadline, false), deadline);
    assert_eq!(
        placement_deadline(deadline, arrived, false),
        deadline,
        "a request that arrives after its deadline"
    );
}
