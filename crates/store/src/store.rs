//! The configuration store: a small key-value service with transactions and watches.
//!
//! What every implementation must keep, and its contract test checks:
//! * all writes of a transaction take effect at one revision, or none does;
//! * revisions grow with every write, over all keys;
//! * an error tells whether the store may have acted: [`StoreError::may_have_acted`];
//! * a watch opened at revision R reports every write at or after R, or that it cannot.

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
    pub mod_revision: u64,
}

/// All keys under a prefix at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the store at which the range was read.
    pub revision: u64,
    /// Keys in order.
    pub entries: Vec<KeyValue>,
}

/// Holds if the key was last written at that revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Store revision; zero: the key does not exist.
    pub mod_revision: u64,
}

/// A value to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
}

/// Writes that take effect together if every condition holds. A key may be written once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// All are written.
    pub puts: Vec<Put>,
}

/// Most conditions or writes of one transaction.
pub const MAX_TRANSACTION_OPERATIONS: usize = 128;

/// Outcome of a transaction that reached the store and was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Written; the new revision of the store.
    Written(u64),
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Nothing was sent: the store certainly did not act.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// Sent but not answered, or answered by an error that leaves it open: the store may have
    /// acted.
    #[error("no answer from the store: {0}")]
    Unanswered(String),
    /// The store asks to slow down; it did not act.
    #[error("store refuses requests for their rate for another {retry_after:?}")]
    RateLimited {
        /// How long to send nothing.
        retry_after: Duration,
    },
    /// Refused as malformed, or an answer that does not follow the protocol.
    #[error("store answered out of protocol: {0}")]
    Protocol(String),
}

impl StoreError {
    /// Whether the store may have done, or may yet do, what was asked.
    pub fn may_have_acted(&self) -> bool {
        matches!(self, Self::Unanswered(_))
    }
}

/// What a watch has to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// Nothing within the time given.
    TimedOut,
    /// A key was written at this revision.
    Changed(u64),
    /// Writes since the watch's revision are no longer all known: read the whole again.
    Compacted,
}

/// Writes under a prefix as they happen.
pub trait Watch: Send {
    /// The next event, waiting at most `limit`. After an error the watch is over; another one
    /// opened at the same revision misses nothing.
    fn next(&mut self, limit: Duration) -> Result<WatchEvent, StoreError>;
}

/// The platform's key-value service.
pub trait ConfigStore: Send + Sync {
    /// Reads all keys that begin with `prefix`, at one revision.
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError>;

    /// Writes all or nothing.
    fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError>;

    /// Watches keys that begin with `prefix` for writes at or after revision `from`.
    fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>, StoreError>;

    /// Writes `value` under `key` if the key was last written at revision `expected`
    /// (zero: if it does not exist).
    fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: &[u8],
    ) -> Result<TransactionOutcome, StoreError> {
        self.commit(&Transaction {
            conditions: vec![Condition { key: key.to_owned(), mod_revision: expected }],
            puts: vec![Put { key: key.to_owned(), value: value.to_vec() }],
        })
    }
}
