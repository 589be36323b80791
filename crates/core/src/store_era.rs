//! Positions in the history of the platform's store.
//!
//! The store may come back from an older copy of itself. It then gives revisions out again that it had given
//! out before, for other changes. It says so by its *era*, which rises by one each time. A position is era and
//! revision in one number: whatever orders by it (what is in force, what is known of other nodes, fences) needs
//! to know nothing of eras, and no two changes ever have the same.

use std::fmt;

/// Revisions of one era, more than a store gives out in a lifetime. A power of ten, so that a position in a log line
/// reads as the era followed by the revision.
const REVISIONS_OF_AN_ERA: u64 = 1_000_000_000_000;

/// How often the store has come back from a copy. Zero: it does not say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Era of a position.
    pub fn of(position: u64) -> Self {
        Self(position / REVISIONS_OF_AN_ERA)
    }

    /// Whether the store has come back from a copy at some time: the first era is one.
    pub fn has_been_restored(self) -> bool {
        self > Self(1)
    }

    /// Position of a revision of this era; `None` for a number that no store arrives at.
    pub fn position(self, revision: u64) -> Option<u64> {
        if revision >= REVISIONS_OF_AN_ERA {
            return None;
        }
        self.0.checked_mul(REVISIONS_OF_AN_ERA)?.checked_add(revision)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The revision of a position, as the store of its era knows it.
pub fn revision_of(position: u64) -> u64 {
    position % REVISIONS_OF_AN_ERA
}
