//! When a node calls the store again after refused calls, and when it may try to become the
//! coordinator.

use std::time::{Duration, Instant};

use kestrellock_core::store_access::{CallBackoff, CoordinatorTurn, Refusal, StoreAvailability};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const UNNAMED: Refusal = Refusal { retry_after: Duration::ZERO };
/// Interval at which the watcher and the vote publisher look whether they may call.
const STEP: Duration = Duration::from_millis(20);

proptest! {
    /// Guards against retries at a fixed interval, by which refused nodes keep loading the store.
    #[test]
    fn delays_double_within_bounds_and_end_at_the_first_success(
        randoms in prop::collection::vec(any::<u64>(), 1..20),
    ) {
        let table = [
            (CallBackoff::for_calls(), 100, 1_000),
            (CallBackoff::for_lease_attempts(), 200, 2_000),
        ];
        for (mut backoff, first, last) in table {
            let now = Instant::now();
            prop_assert!(backoff.may_call(now));
            for (refused, random) in randoms.iter().enumerate() {
                let is_new = backoff.on_refused(UNNAMED, *random, now);
                prop_assert_eq!(is_new, refused == 0);
                let full = Duration::from_millis((first << refused.min(10)).min(last));
                let delay = backoff.remaining(now);
                prop_assert!(delay >= full / 2 && delay <= full, "{delay:?} of {full:?}");
            }
            prop_assert!(backoff.on_success());
            prop_assert!(backoff.may_call(now));
            backoff.on_refused(UNNAMED, u64::MAX, now);
            prop_assert!(backoff.remaining(now) <= Duration::from_millis(first));
        }
    }
}

/// Guards against calls within the time for which the store has asked for none.
#[test]
fn named_time_is_respected_also_once_other_calls_are_answered() {
    let start = Instant::now();
    let named = Duration::from_secs(3);
    let mut backoff = CallBackoff::for_calls();
    backoff.on_refused(Refusal { retry_after: named }, 0, start);
    let mut availability = StoreAvailability::default();
    availability.on_answer(start + STEP, start + STEP);
    backoff.on_availability(&availability);
    assert_eq!(backoff.remaining(start), named);
}

/// Guards against a vote that a recovered store gets a second late, which would delay the
/// replacement of a primary compared with retries each 100 ms.
#[test]
fn answer_to_another_call_ends_a_long_delay() {
    let start = Instant::now();
    let mut backoff = CallBackoff::for_calls();
    for _ in 0..6 {
        backoff.on_refused(UNNAMED, u64::MAX, start);
    }
    let mut availability = StoreAvailability::default();
    availability.on_answer(start, start + STEP);
    backoff.on_availability(&availability);
    assert_eq!(backoff.remaining(start), Duration::from_secs(1), "sent before the refusal");
    availability.on_answer(start + STEP, start + 2 * STEP);
    backoff.on_availability(&availability);
    assert_eq!(backoff.remaining(start), Duration::from_millis(100));
}

/// A store outage of `outage` during which a coordinator is needed by `nodes` nodes. Returns how
/// many attempts reach the store until a node is the coordinator, and when that is.
fn play_outage(nodes: u32, outage: Duration, seed: u64) -> (u32, Duration) {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut turns = vec![CoordinatorTurn::default(); nodes as usize];
    let mut availabilities = vec![StoreAvailability::default(); nodes as usize];
    // Each node's watch calls the store again within half a second.
    let returns: Vec<Duration> =
        turns.iter().map(|_| outage + Duration::from_millis(random.random_range(0..500))).collect();
    let (mut attempts, mut acquired): (u32, Option<Duration>) = (0, None);
    let mut elapsed = Duration::ZERO;
    while elapsed < outage + Duration::from_secs(3) {
        let now = start + elapsed;
        for (position, turn) in turns.iter_mut().enumerate() {
            let availability = &mut availabilities[position];
            match elapsed >= returns[position] {
                true => availability.on_answer(now, now),
                false => availability.on_failure(),
            }
            // The copy of a node shows the lease a step after it was acquired.
            if acquired.is_some_and(|at| elapsed > at) && !availability.is_failing {
                turn.on_coordinator_known();
                continue;
            }
            turn.on_needed(now);
            if !turn.is_due(position as u32, availability, now) {
                continue;
            }
            attempts += 1;
            match acquired {
                None => acquired = Some(elapsed),
                Some(_) => turn.on_refused(UNNAMED, random.random(), now),
            }
        }
        elapsed += STEP;
    }
    (attempts, acquired.expect("the store has returned"))
}

/// Guards against attempts of all nodes at the moment at which the store returns: without a new
/// count, the turns of all nodes would have come during the outage.
#[test]
fn turns_are_counted_anew_after_an_outage() {
    let outage = Duration::from_secs(10);
    for seed in 0..200 {
        let (attempts, at) = play_outage(69, outage, seed);
        assert!(attempts <= 4, "seed {seed}: {attempts} attempts");
        // The first node in the order acquires the lease within the half second in which its own
        // watch recovers.
        assert!(at <= outage + Duration::from_millis(520), "seed {seed}: acquired at {at:?}");
    }
}

/// Guards against a slower replacement on a day without failures of the store.
#[test]
fn turn_of_a_node_whose_store_never_failed_begins_with_the_need() {
    let start = Instant::now();
    let availability = StoreAvailability { last_answered: Some(start), ..Default::default() };
    let mut turn = CoordinatorTurn::default();
    assert!(!turn.is_due(0, &availability, start), "no coordinator is needed");
    turn.on_needed(start);
    assert!(turn.is_due(0, &availability, start));
    assert!(!turn.is_due(3, &availability, start + Duration::from_millis(359)));
    assert!(turn.is_due(3, &availability, start + Duration::from_millis(360)));
    turn.on_not_needed();
    assert!(!turn.is_due(0, &availability, start + Duration::from_secs(9)));
}

/// Guards against nodes that try at each step while the store refuses them.
#[test]
fn refused_attempts_become_rare() {
    let start = Instant::now();
    let availability = StoreAvailability { last_answered: Some(start), ..Default::default() };
    let mut random = StdRng::seed_from_u64(1);
    let mut turn = CoordinatorTurn::default();
    turn.on_needed(start);
    let mut attempts = 0;
    for step in 0..450 {
        let now = start + STEP * step;
        if turn.is_due(0, &availability, now) {
            attempts += 1;
            turn.on_refused(UNNAMED, random.random(), now);
        }
    }
    assert!(attempts <= 10, "{attempts} attempts in 9 s");
    // 200 + 400 + 800 + 1,600 ms, then one each 2 s, each shortened by up to half.
    assert!(attempts >= 7, "{attempts} attempts in 9 s");
}
