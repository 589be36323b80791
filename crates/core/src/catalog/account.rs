//! Accounts: the customers whose clients present credentials, and their quotas.

use std::collections::BTreeSet;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::credential::CredentialDigest;

/// Units in one operation, so that rates below one operation per second can be expressed.
const UNITS_PER_OPERATION: f64 = 1_000.0;
/// Largest valid number of operations: more than all nodes together could run.
const MAX_OPERATIONS: f64 = 1e9;

/// A number of operations, stored in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Operations(u64);

impl Operations {
    /// Creates a number of operations, which may have a fraction; `None` unless it is from 0 to
    /// 10^9.
    pub fn new(count: f64) -> Option<Self> {
        let is_valid = (0.0..=MAX_OPERATIONS).contains(&count);
        is_valid.then(|| Self((count * UNITS_PER_OPERATION).round() as u64))
    }

    /// The number of operations, with its fraction.
    pub fn count(self) -> f64 {
        self.0 as f64 / UNITS_PER_OPERATION
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

/// Limit on the operations that an account may request of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Operations per second.
    pub per_second: Operations,
    /// Operations that may arrive at once in excess of the rate.
    pub burst: Operations,
}

/// A customer. A client that presents one of its credentials acts on its behalf, and instances
/// receive the account's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Digests of the account's credentials.
    #[serde(default)]
    pub credentials: BTreeSet<CredentialDigest>,
    /// Quota of the account; without one, its operations are unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}
