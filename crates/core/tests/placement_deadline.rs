//! How long a request is held that no instance can take yet.

use std::time::{Duration, Instant};

use kestrellock_core::placement_deadline::placement_deadline;

/// Atlas: writes that could not be replicated were held until their callers gave up, who could have
/// come back twice meanwhile.
#[test]
fn a_caller_that_repeats_is_told_while_half_of_its_time_is_left() {
    let arrived = Instant::now();
    for total in [40, 800, 2_000].map(Duration::from_millis) {
        let held = placement_deadline(arrived, arrived + total, true) - arrived;
        assert!(held * 2 < total && held * 5 > total * 2, "{held:?} of {total:?}");
    }
}

#[test]
fn any_other_caller_waits_until_its_deadline() {
    let arrived = Instant::now();
    let deadline = arrived + Duration::from_millis(800);
    assert_eq!(placement_deadline(arrived, deadline, false), deadline);
    assert_eq!(placement_deadline(deadline, arrived, false), deadline, "one that comes too late");
}
