//! Changing the configuration: validated whole, written by compare-and-swap, at most once.
//!
//! Every change writes the guard key in the same transaction, on condition that it stands where
//! the change read it. So no two changes are validated against a state that the other one
//! replaces, and a change whose answer was lost can be repeated: of two deliveries of one
//! transaction, the second finds its conditions broken. Reading back tells which one it was.

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

/// Most entries of one change: each takes up to three writes, and the guard one.
pub const MAX_CHANGES: usize = (MAX_TRANSACTION_OPERATIONS - 1) / 3;

/// How long a change is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyLimits {
    /// No attempt begins after this time.
    pub total_timeout: Duration,
    /// Wait after the first failure; it doubles.
    pub initial_delay: Duration,
    /// Longest wait.
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

/// Why a change was not made, or is not known to have been.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// No entry, too many, or one twice. Nothing changed.
    #[error("a change must name 1 to {MAX_CHANGES} entries, each once")]
    Size,
    /// The configuration would be invalid. Nothing changed.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
    /// Entries were written after the author saw them; they are as given now. Nothing changed.
    #[error("changed by somebody else since revision {}", .base.0)]
    Conflict {
        /// What the author saw.
        base: Revision,
        /// What stands there now.
        entries: Vec<Entry>,
    },
    /// Another entry of the store is malformed. Nothing changed.
    #[error(transparent)]
    Malformed(CatalogError),
    /// The store took nothing within the time given. Nothing changed.
    #[error("the store did not take the change: {0}")]
    Unavailable(StoreError),
    /// The change may have been made; asking again with the same request number settles it.
    #[error("the change may have been made: {0}")]
    InDoubt(StoreError),
}

/// Applies a request; gives up when its time is over.
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
        let plan = plan(&snapshot, request).map_err(|error| attempts.judge(error))?;
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
            // Somebody else was faster: read again, and see whether it concerns us.
            Ok(TransactionOutcome::Conflict) => attempts.wait(busy())?,
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

/// The revision at which the request was already written, if it was.
fn find_request(
    store: &dyn ConfigStore,
    snapshot: &Snapshot,
    request: &ApplyRequest,
) -> Result<Option<Revision>, CatalogError> {
    // All entries are written together, so the first one speaks for all.
    let Some(first) = request.changes.first() else { return Ok(None) };
    let is_ours = |entry: &Entry| entry.authorship.request == request.request.0;
    let id = first.id();
    let key = catalog::entry_key(&id);
    let Some(stored) = snapshot.entries.iter().find(|stored| stored.key == key) else {
        return Ok(None);
    };
    // A malformed value is not ours, and is about to be replaced.
    match catalog::decode_as(id.kind, &id.name, stored) {
        Ok(entry) if is_ours(&entry) => return Ok(Some(entry.revision)),
        _ => {}
    }
    let history = catalog::read_history(store, &id)?;
    Ok(history.iter().find(|entry| is_ours(entry)).map(|entry| entry.revision))
}

/// The transaction that makes the change; `None` if every entry already has its value.
fn plan(snapshot: &Snapshot, request: &ApplyRequest) -> Result<Option<Transaction>, ApplyError> {
    let standing = Standing::read(snapshot, request)?;
    standing.check_base(request)?;
    let mut whole = standing.rest.clone();
    for change in &request.changes {
        whole.insert(&change.name, change.value.clone());
    }
    whole.validate()?;
    let unchanged = standing.entries.iter().zip(&request.changes).all(|(place, change)| {
        place.entry.as_ref().is_some_and(|entry| entry.value == change.value)
    });
    if unchanged {
        return Ok(None);
    }
    let mut transaction = Transaction::default();
    transaction.conditions.push(Condition { key: GUARD_KEY.into(), mod_revision: standing.guard });
    transaction.puts.push(Put { key: GUARD_KEY.into(), value: request.request.0.clone().into() });
    for (place, change) in standing.entries.iter().zip(&request.changes) {
        add_writes(&mut transaction, place, change, request).map_err(|error| {
            ApplyError::Malformed(CatalogError::Malformed {
                key: place.key.clone(),
                problem: error.to_string(),
            })
        })?;
    }
    Ok(Some(transaction))
}

fn add_writes(
    transaction: &mut Transaction,
    place: &Place,
    change: &Change,
    request: &ApplyRequest,
) -> Result<(), serde_json::Error> {
    let id = change.id();
    let mut version = 0;
    if let Some(entry) = &place.entry {
        version = entry.authorship.version;
        if version == 0 {
            // Written by other means: keep it, so that it can be returned to.
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
    transaction.conditions.push(Condition { key: place.key.clone(), mod_revision: place.modified });
    transaction.puts.push(Put { key: place.key.clone(), value: value.clone() });
    transaction.puts.push(Put { key: history, value });
    Ok(())
}

fn milliseconds_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What a change finds under the key of one of its entries.
struct Place {
    key: String,
    modified: u64,
    /// `None` if the key does not exist, or holds something malformed.
    entry: Option<Entry>,
}

/// What a change finds in the store.
struct Standing {
    guard: u64,
    /// One for each entry of the change, in its order.
    entries: Vec<Place>,
    /// All entries that the change leaves alone.
    rest: Catalog,
}

impl Standing {
    fn read(snapshot: &Snapshot, request: &ApplyRequest) -> Result<Self, ApplyError> {
        let find = |key: &str| snapshot.entries.iter().find(|stored| stored.key == key);
        let entries = request.changes.iter().map(|change| {
            let id = change.id();
            let key = catalog::entry_key(&id);
            let stored = find(&key);
            let entry = stored.and_then(|found| catalog::decode_as(id.kind, &id.name, found).ok());
            Place { modified: stored.map_or(0, |found| found.mod_revision), key, entry }
        });
        let entries: Vec<Place> = entries.collect();
        let mut rest = Catalog::default();
        for stored in &snapshot.entries {
            let replaced = entries.iter().any(|place| place.key == stored.key);
            if replaced {
                continue;
            }
            if let Some(entry) = catalog::decode(stored).map_err(ApplyError::Malformed)? {
                rest.insert(&entry.name, entry.value);
            }
        }
        let guard = find(GUARD_KEY).map_or(0, |stored| stored.mod_revision);
        Ok(Self { guard, entries, rest })
    }

    fn check_base(&self, request: &ApplyRequest) -> Result<(), ApplyError> {
        let newer = self.entries.iter().filter(|place| place.modified > request.base.0);
        let entries: Vec<Entry> = newer.clone().filter_map(|place| place.entry.clone()).collect();
        match newer.count() {
            0 => Ok(()),
            _ => Err(ApplyError::Conflict { base: request.base, entries }),
        }
    }
}

fn busy() -> StoreError {
    StoreError::Unreachable("others keep changing the configuration".to_owned())
}

/// Keeps the time, and whether the store may have acted.
struct Attempts {
    deadline: Instant,
    backoff: Backoff,
    /// The error that left it open, if one did.
    doubt: Option<StoreError>,
}

impl Attempts {
    fn new(limits: &ApplyLimits) -> Self {
        let backoff = Backoff::new(limits.initial_delay, limits.max_delay);
        Self { deadline: Instant::now() + limits.total_timeout, backoff, doubt: None }
    }

    /// Waits before another attempt, or gives up.
    fn wait(&mut self, error: StoreError) -> Result<(), ApplyError> {
        let wait = match &error {
            StoreError::RateLimited { retry_after } => {
                *retry_after + self.backoff.next_delay(rand::random())
            }
            StoreError::Protocol(_) => return Err(self.give_up(error)),
            _ => self.backoff.next_delay(rand::random()),
        };
        if Instant::now() + wait >= self.deadline {
            return Err(self.give_up(error));
        }
        std::thread::sleep(wait);
        Ok(())
    }

    /// Like [`Attempts::wait`], after an error that may hide that the change was made.
    fn wait_after_write(&mut self, error: StoreError) -> Result<(), ApplyError> {
        if let StoreError::Unanswered(problem) = &error {
            self.doubt = Some(StoreError::Unanswered(problem.clone()));
        }
        self.wait(error)
    }

    fn give_up(&mut self, error: StoreError) -> ApplyError {
        match self.doubt.take() {
            Some(doubt) => ApplyError::InDoubt(doubt),
            None => ApplyError::Unavailable(error),
        }
    }

    /// An earlier attempt that was not answered may still be carried out unless its conditions
    /// are broken; only a conflict proves that they are.
    fn judge(&mut self, error: ApplyError) -> ApplyError {
        match error {
            ApplyError::Conflict { .. } => error,
            _ => match self.doubt.take() {
                Some(doubt) => ApplyError::InDoubt(doubt),
                None => error,
            },
        }
    }
}
