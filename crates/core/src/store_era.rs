//! Positions in the history of the platform's store.
//!
//! When the store is restored from an older copy, it reuses revisions for other changes. Its *era*,
//! which increases by one with each restore, tells them apart. A position combines era and revision
//! in one number. Code that orders by positions (the active configuration, knowledge about other
//! nodes, fencing tokens) does not have to handle eras, and no two changes have the same position.

use std::fmt;

/// Number of revisions per era, more than a store assigns in its lifetime. A power of ten, so that
/// a position in a log line reads as the era followed by the revision.
const REVISIONS_PER_ERA: u64 = 1_000_000_000_000;

/// Counter of the store's restores from an older copy. The first era is one; zero if the store does
/// not report an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// The era of a position.
    pub fn of(position: u64) -> Self {
        Self(position / REVISIONS_PER_ERA)
    }

    /// Whether the store was ever restored from a copy: the first era is one.
    pub fn has_been_restored(self) -> bool {
        self > Self(1)
    }

    /// The position in the store's history of `revision` in this era. `None` if the position would
    /// not be unique, because the revision exceeds those reserved for an era, or if the position
    /// does not fit into 64 bits.
    pub fn position(self, revision: u64) -> Option<u64> {
        if revision >= REVISIONS_PER_ERA {
            return None;
        }
        self.0.checked_mul(REVISIONS_PER_ERA)?.checked_add(revision)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The revision of a position, as the store assigned it in that era.
pub fn revision_of(position: u64) -> u64 {
    position % REVISIONS_PER_ERA
}
