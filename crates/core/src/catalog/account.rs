//! Accounts: the customers whose callers show credentials, and how much each may ask.

use std::collections::BTreeSet;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::credential::CredentialDigest;

/// Units in which operations are counted, so that rates below one in a second can be told.
const THOUSANDTHS: f64 = 1_000.0;
/// Largest number of operations that means anything: beyond what all nodes together could run.
const MAX_OPERATIONS: f64 = 1e9;

/// A number of operations, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Operations(u64);

impl Operations {
    /// Whole operations, and parts of one; `None` unless it is a number from 0 to 10^9.
    pub fn new(count: f64) -> Option<Self> {
        let valid = (0.0..=MAX_OPERATIONS).contains(&count);
        valid.then(|| Self((count * THOUSANDTHS).round() as u64))
    }

    /// Whole operations, and parts of one.
    pub fn count(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }
}

impl Serialize for Operations {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.count())
    }
}

impl<'de> Deserialize<'de> for Operations {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let count = f64::deserialize(deserializer)?;
        Self::new(count).ok_or_else(|| de::Error::custom("must be a number from 0 to 10^9"))
    }
}

/// How many operations an account may ask of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Operations in a second.
    pub per_second: Operations,
    /// Operations that may come at once beyond that.
    pub burst: Operations,
}

/// A customer. Whoever shows one of its credentials asks on its behalf, and back ends are told its
/// name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Digests of the credentials that stand for it.
    #[serde(default)]
    pub credentials: BTreeSet<CredentialDigest>,
    /// How much it may ask; without one, as much as it likes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}
