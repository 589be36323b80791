//! Changes to the configuration. A change is validated against the whole configuration and written
//! by compare-and-swap, at most once.
//!
//! Every change writes the guard key in the same transaction, on condition that the key still has
//! the revision at which the change read it. This prevents two failures:
//! * Two concurrent changes that are each valid but invalid together: one of them fails its
//!   conditions and is validated again.
//! * A change that is written twice after its answer was lost: when the same transaction is
//!   delivered again, its conditions no longer hold. Reading the entries back shows whether the
//!   change was written.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kestrellock_core::admin::configuration::{
    Applied, ApplyRequest, Authorship, Change, Entry, EntryId,
};
use kestrellock_core::catalog::{Catalog, InvalidField, Revision};
use thiserror::Error;

use crate::backoff::Backoff;
use crate::catalog::{self, CATALOG_PREFIX, CatalogError, GUARD_KEY};
use crate::store::{
    Condition, ConfigStore, MAX_TRANSACTION_OPERATIONS, Put, Snapshot, StoreError, Transaction,
    TransactionOutcome,
};

/// Maximum number of entries in one change. Each entry takes up to three writes, the guard key
/// takes one.
pub const MAX_CHANGES: usize = (MAX_TRANSACTION_OPERATIONS - 1) / 3;

/// Time limits for applying a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyLimits {
    /// No attempt starts after this time.
    pub total_timeout: Duration,
    /// Delay after the first failure; it doubles after each further failure.
    pub initial_delay: Duration,
    /// Maximum delay between attempts.
    pub max_delay: Duration,
}

impl Default for ApplyLimits {
    fn default() -> Self {
        Self {
            total_timeout: Duration::from_secs(10),
            initial_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(1),
        }
    }
}

/// Why a change was not written, or may not have been written.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// The request has no entries, too many entries, or the same entry twice. Nothing changed.
    #[error("a change must name 1 to {MAX_CHANGES} entries, each once")]
    Size,
    /// The configuration would be invalid. Nothing changed.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
    /// Entries were written after the author read them. Nothing changed.
    #[error("changed by somebody else since revision {}", .base.0)]
    Conflict {
        /// Revision that the author read.
        base: Revision,
        /// Current entries that were written after `base`.
        entries: Vec<Entry>,
    },
    /// Another entry of the store is malformed. Nothing changed.
    #[error(transparent)]
    Malformed(CatalogError),
    /// The store did not accept the change within the time limit. Nothing changed.
    #[error("the store did not take the change: {0}")]
    Unavailable(StoreError),
    /// The change may have been written. Repeating it with the same request number resolves this.
    #[error("the change may have been made: {0}")]
    InDoubt(StoreError),
}

/// Applies a request, and retries until the time limit is reached.
pub fn apply(
    store: &dyn ConfigStore,
    request: &ApplyRequest,
    limits: &ApplyLimits,
) -> Result<Applied, ApplyError> {
    check_size(request)?;
    let mut attempts = Attempts::new(limits);
    loop {
        let snapshot = match store.range(CATALOG_PREFIX) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                attempts.wait(error)?;
                continue;
            }
        };
        match find_request(store, &snapshot, request) {
            Ok(Some(revision)) => return Ok(Applied { revision, changed: true }),
            Ok(None) => {}
            Err(CatalogError::Store(error)) => {
                attempts.wait(error)?;
                continue;
            }
            Err(error) => return Err(ApplyError::Malformed(error)),
        }
        let plan = plan(&snapshot, request).map_err(|error| attempts.reject(error))?;
        let Some(transaction) = plan else {
            return Ok(Applied {
                revision: catalog::configuration_revision(&snapshot),
                changed: false,
            });
        };
        match store.commit(&transaction) {
            Ok(TransactionOutcome::Written(revision)) => {
                return Ok(Applied { revision: Revision(revision), changed: true });
            }
            // Another change was written first. Read again to see whether it conflicts with this
            // one.
            Ok(TransactionOutcome::Conflict) => attempts.wait(contention())?,
            Err(error) => attempts.wait_after_write(error)?,
        }
    }
}

fn check_size(request: &ApplyRequest) -> Result<(), ApplyError> {
    let mut ids: Vec<EntryId> = request.changes.iter().map(Change::id).collect();
    ids.sort();
    ids.dedup();
    let fits = !ids.is_empty() && ids.len() <= MAX_CHANGES;
    if fits && ids.len() == request.changes.len() { Ok(()) } else { Err(ApplyError::Size) }
}

/// The revision at which this request was written, if an earlier attempt has written it.
fn find_request(
    store: &dyn ConfigStore,
    snapshot: &Snapshot,
    request: &ApplyRequest,
) -> Result<Option<Revision>, CatalogError> {
    // All entries are written in one transaction, so checking the first one is enough.
    let Some(first) = request.changes.first() else { return Ok(None) };
    let is_from_request = |entry: &Entry| entry.authorship.request == request.request.0;
    let id = first.id();
    let key = catalog::entry_key(&id);
    let Some(stored) = snapshot.entries.iter().find(|stored| stored.key == key) else {
        return Ok(None);
    };
    // A malformed value was not written by this request, which will replace it.
    match catalog::decode_as(id.kind, &id.name, stored) {
        Ok(entry) if is_from_request(&entry) => return Ok(Some(entry.revision)),
        _ => {}
    }
    let history = catalog::read_history(store, &id)?;
    Ok(history.iter().find(|entry| is_from_request(entry)).map(|entry| entry.revision))
}

/// Builds the transaction that writes the change; `None` if every entry already has its value.
fn plan(snapshot: &Snapshot, request: &ApplyRequest) -> Result<Option<Transaction>, ApplyError> {
    let current = CurrentState::read(snapshot, request)?;
    current.check_base(request)?;
    let mut changed_catalog = current.other_entries.clone();
    for change in &request.changes {
        changed_catalog.insert(&change.name, change.value.clone());
    }
    changed_catalog.validate()?;
    let unchanged = current.entries.iter().zip(&request.changes).all(|(existing, change)| {
        existing.entry.as_ref().is_some_and(|entry| entry.value == change.value)
    });
    if unchanged {
        return Ok(None);
    }
    let mut transaction = Transaction::default();
    transaction
        .conditions
        .push(Condition { key: GUARD_KEY.into(), mod_revision: current.guard_revision });
    transaction.puts.push(Put { key: GUARD_KEY.into(), value: request.request.0.clone().into() });
    for (existing, change) in current.entries.iter().zip(&request.changes) {
        add_writes(&mut transaction, existing, change, request).map_err(|error| {
            ApplyError::Malformed(CatalogError::Malformed {
                key: existing.key.clone(),
                problem: error.to_string(),
            })
        })?;
    }
    Ok(Some(transaction))
}

fn add_writes(
    transaction: &mut Transaction,
    existing: &CurrentEntry,
    change: &Change,
    request: &ApplyRequest,
) -> Result<(), serde_json::Error> {
    let id = change.id();
    let mut version = 0;
    if let Some(entry) = &existing.entry {
        version = entry.authorship.version;
        if version == 0 {
            // The entry was written by other means and is not in the history yet. Add it, so that
            // operators can go back to it.
            let value = catalog::encode(&entry.authorship, &entry.value)?;
            transaction.puts.push(Put { key: catalog::history_key(&id, 0), value });
        }
    }
    let authorship = Authorship {
        version: version + 1,
        request: request.request.0.clone(),
        author: request.author.clone(),
        at_ms: milliseconds_since_epoch(),
    };
    let value = catalog::encode(&authorship, &change.value)?;
    let history = catalog::history_key(&id, authorship.version);
    transaction
        .conditions
        .push(Condition { key: existing.key.clone(), mod_revision: existing.mod_revision });
    transaction.puts.push(Put { key: existing.key.clone(), value: value.clone() });
    transaction.puts.push(Put { key: history, value });
    Ok(())
}

fn milliseconds_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Current state of an entry that a change writes.
struct CurrentEntry {
    key: String,
    mod_revision: u64,
    /// `None` if the key does not exist or its value is malformed.
    entry: Option<Entry>,
}

/// Current state of the configuration that a change is based on.
struct CurrentState {
    guard_revision: u64,
    /// One for each entry of the change, in the same order.
    entries: Vec<CurrentEntry>,
    /// All entries that the change does not write.
    other_entries: Catalog,
}

impl CurrentState {
    fn read(snapshot: &Snapshot, request: &ApplyRequest) -> Result<Self, ApplyError> {
        let find = |key: &str| snapshot.entries.iter().find(|stored| stored.key == key);
        let entries = request.changes.iter().map(|change| {
            let id = change.id();
            let key = catalog::entry_key(&id);
            let stored = find(&key);
            let entry = stored.and_then(|found| catalog::decode_as(id.kind, &id.name, found).ok());
            CurrentEntry { mod_revision: stored.map_or(0, |found| found.mod_revision), key, entry }
        });
        let entries: Vec<CurrentEntry> = entries.collect();
        let mut other_entries = Catalog::default();
        for stored in &snapshot.entries {
            let is_replaced = entries.iter().any(|existing| existing.key == stored.key);
            if is_replaced {
                continue;
            }
            if let Some(entry) = catalog::decode(stored).map_err(ApplyError::Malformed)? {
                other_entries.insert(&entry.name, entry.value);
            }
        }
        let guard_revision = find(GUARD_KEY).map_or(0, |stored| stored.mod_revision);
        Ok(Self { guard_revision, entries, other_entries })
    }

    fn check_base(&self, request: &ApplyRequest) -> Result<(), ApplyError> {
        let newer = self.entries.iter().filter(|existing| existing.mod_revision > request.base.0);
        let entries: Vec<Entry> =
            newer.clone().filter_map(|existing| existing.entry.clone()).collect();
        match newer.count() {
            0 => Ok(()),
            _ => Err(ApplyError::Conflict { base: request.base, entries }),
        }
    }
}

fn contention() -> StoreError {
    StoreError::Unreachable("others keep changing the configuration".to_owned())
}

/// Deadline and backoff of the attempts, and whether the store may have acted on an earlier one.
struct Attempts {
    deadline: Instant,
    backoff: Backoff,
    /// The last error after which the store may have written the change.
    in_doubt: Option<StoreError>,
}

impl Attempts {
    fn new(limits: &ApplyLimits) -> Self {
        let backoff = Backoff::new(limits.initial_delay, limits.max_delay);
        Self { deadline: Instant::now() + limits.total_timeout, backoff, in_doubt: None }
    }

    /// Waits before another attempt, or fails if `error` is final or the deadline is too close.
    fn wait(&mut self, error: StoreError) -> Result<(), ApplyError> {
        let delay = match &error {
            StoreError::RateLimited { retry_after } => {
                *retry_after + self.backoff.next_delay(rand::random())
            }
            StoreError::Protocol(_) => return Err(self.give_up(error)),
            _ => self.backoff.next_delay(rand::random()),
        };
        if Instant::now() + delay >= self.deadline {
            return Err(self.give_up(error));
        }
        std::thread::sleep(delay);
        Ok(())
    }

    /// Like [`Attempts::wait`], after an error of a write that the store may have carried out.
    fn wait_after_write(&mut self, error: StoreError) -> Result<(), ApplyError> {
        if let StoreError::Unanswered(problem) = &error {
            self.in_doubt = Some(StoreError::Unanswered(problem.clone()));
        }
        self.wait(error)
    }

    fn give_up(&mut self, error: StoreError) -> ApplyError {
        match self.in_doubt.take() {
            Some(in_doubt) => ApplyError::InDoubt(in_doubt),
            None => ApplyError::Unavailable(error),
        }
    }

    /// The error to report when the change is rejected. The store may still carry out an earlier
    /// attempt that it has not answered, unless the conditions of that attempt no longer hold. Only
    /// a conflict proves this; any other error is reported as in doubt.
    fn reject(&mut self, error: ApplyError) -> ApplyError {
        match error {
            ApplyError::Conflict { .. } => error,
            _ => match self.in_doubt.take() {
                Some(in_doubt) => ApplyError::InDoubt(in_doubt),
                None => error,
            },
        }
    }
}
