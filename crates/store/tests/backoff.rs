//! Backoff delays grow to their maximum, have jitter, and start again after a success.

use std::time::Duration;

use kestrellock_store::backoff::Backoff;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_delay_lies_between_half_its_ceiling_and_its_ceiling(draws in prop::collection::vec(0.0..1.0, 1..20)) {
        let (first, last) = (Duration::from_millis(100), Duration::from_secs(5));
        let mut backoff = Backoff::new(first, last);
        let mut ceiling = first;
        for draw in draws {
            let delay = backoff.next_delay(draw);
            prop_assert!(delay >= ceiling / 2 && delay <= ceiling);
            ceiling = (ceiling * 2).min(last);
        }
        backoff.reset();
        prop_assert!(backoff.next_delay(0.9) <= first);
    }
}
