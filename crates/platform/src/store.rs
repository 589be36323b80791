//! The configuration store: a small key-value service with compare-and-swap and watches.

use std::time::Duration;

use thiserror::Error;

/// A key and what the store holds under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Store revision at which the key was last written.
    pub modified: u64,
}

/// All keys under a prefix at one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the store at which the range was read.
    pub revision: u64,
    /// Keys in order.
    pub entries: Vec<KeyValue>,
}

/// Outcome of a compare-and-swap that reached the store and was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// Written; the new revision of the store.
    Written(u64),
    /// The key was at another revision; nothing was written.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Nothing was sent: the store certainly did not act.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// Sent but not answered: the store may have acted.
    #[error("no answer from the store: {0}")]
    Unanswered(String),
    /// The store asks to slow down; it did not act.
    #[error("store refused the request for its rate")]
    RateLimited,
    /// An answer that does not follow the protocol.
    #[error("store answered out of protocol: {0}")]
    Protocol(String),
}

/// The platform's key-value service.
pub trait ConfigStore: Send + Sync {
    /// Reads all keys that begin with `prefix`, at one revision.
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError>;

    /// Writes `value` under `key` if the key was last written at revision `expected`
    /// (zero: if it does not exist).
    fn compare_and_swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<Swap, StoreError>;

    /// Waits until a key under `prefix` is written at or after store revision `from`, at most
    /// `limit`. Returns whether one was.
    fn wait_for_change(&self, prefix: &str, from: u64, limit: Duration)
    -> Result<bool, StoreError>;
}
