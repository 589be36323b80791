//! The configuration store: a key-value service with transactions and watches.
//!
//! Every implementation must guarantee the following, which a contract test checks:
//! * all writes of a transaction take effect at the same revision, or none takes effect;
//! * the store has one revision for all keys, which increases with every write;
//! * an error shows whether the store may have acted ([`StoreError::may_have_acted`]);
//! * a watch opened at revision R reports every write at or after R, or reports that it cannot.

use std::time::Duration;

use thiserror::Error;

/// A key and its value in the store.
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
    /// Entries in key order.
    pub entries: Vec<KeyValue>,
}

/// Condition that a key was last written at a given revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Expected revision of the last write; zero means that the key does not exist.
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

/// Writes that take effect together if every condition holds. Each key may be written only once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Values to write.
    pub puts: Vec<Put>,
}

/// Maximum number of conditions, and of writes, in one transaction.
pub const MAX_TRANSACTION_OPERATIONS: usize = 128;

/// Outcome of a transaction that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The values were written; holds the new revision of the store.
    Written(u64),
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The request was not sent, so the store did not act.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// The request was sent but not answered, or the error in the answer does not show whether the
    /// store acted: it may have.
    #[error("no answer from the store: {0}")]
    Unanswered(String),
    /// The store rejected the request because of its rate limit and did not act.
    #[error("store refuses requests for their rate for another {retry_after:?}")]
    RateLimited {
        /// Time for which the client must not send requests; zero if the store has named none.
        retry_after: Duration,
    },
    /// The store rejected the request as malformed, or its answer violates the protocol.
    #[error("store answered out of protocol: {0}")]
    Protocol(String),
}

impl StoreError {
    /// Whether the store may have carried out the request, or may still do so.
    pub fn may_have_acted(&self) -> bool {
        matches!(self, Self::Unanswered(_))
    }
}

/// Result of waiting on a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// No key was written within the time limit.
    TimedOut,
    /// A key was written at this revision.
    Changed(u64),
    /// The store no longer has all writes since the watch's revision; the prefix must be read
    /// again.
    Compacted,
}

/// Stream of the writes under a prefix.
pub trait Watch: Send {
    /// Waits at most `limit` for the next event. After an error the watch has ended; a new watch
    /// opened at the same revision misses no write.
    fn next(&mut self, limit: Duration) -> Result<WatchEvent, StoreError>;
}

/// Client of the platform's key-value service.
pub trait ConfigStore: Send + Sync {
    /// Reads all keys with the prefix `prefix` at one revision.
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError>;

    /// Commits a transaction atomically.
    fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError>;

    /// Watches keys with the prefix `prefix` for writes at or after revision `from`.
    fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>, StoreError>;

    /// Writes `value` to `key` if the key was last written at revision `expected`, or if it does
    /// not exist and `expected` is zero.
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
