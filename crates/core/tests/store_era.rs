//! Positions in the history of a store that may be restored from older copies.

use kestrellock_core::store_era::{StoreEra, revision_of};
use proptest::prelude::*;

const LAST_REVISION: u64 = 999_999_999_999;

proptest! {
    /// A later era is newer whatever the revisions; within one era the revisions decide.
    #[test]
    fn positions_are_ordered_by_era_and_then_by_revision(
        one in (0_u64..1_000, 0..=LAST_REVISION),
        other in (0_u64..1_000, 0..=LAST_REVISION),
    ) {
        let position = |(era, revision)| StoreEra(era).position(revision).expect("a position");
        prop_assert_eq!(position(one).cmp(&position(other)), one.cmp(&other));
    }

    #[test]
    fn position_contains_its_era_and_its_revision(era in 0_u64..1_000, revision in 0..=LAST_REVISION) {
        let position = StoreEra(era).position(revision).expect("a position");
        prop_assert_eq!((StoreEra::of(position), revision_of(position)), (StoreEra(era), revision));
    }
}

#[test]
fn revisions_beyond_the_range_have_no_position() {
    assert_eq!(StoreEra(1).position(LAST_REVISION + 1), None);
    assert_eq!(StoreEra(u64::MAX).position(1), None);
}

#[test]
fn store_without_an_era_keeps_its_revisions() {
    assert_eq!(StoreEra::default().position(27), Some(27));
}
