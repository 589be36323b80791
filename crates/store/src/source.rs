//! The source from which a store watcher reads newer catalogs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{CatalogVersion, Revision};

use crate::catalog::{CATALOG_PREFIX, CatalogError, StoredCatalog, read_catalog};
use crate::store::{ConfigStore, Watch, WatchEvent};

/// A watch that ends sooner than this counts as a failure.
const MIN_WATCH_DURATION: Duration = Duration::from_secs(1);

/// A source of newer catalogs.
pub trait CatalogSource: Send {
    /// Waits at most `limit` for a catalog that may be newer than the active one; `None` if there
    /// was none. After an error the caller must wait before it calls again.
    fn next(
        &mut self,
        active: Revision,
        limit: Duration,
    ) -> Result<Option<StoredCatalog>, CatalogError>;

    /// Called when the node stops watching the source for now.
    fn pause(&mut self) {}

    /// Whether the source may lack changes that were confirmed to operators as active. Other nodes
    /// may then have a newer configuration than the source.
    fn may_lack_changes(&self) -> bool {
        false
    }

    /// Number of entry revisions that could not be read so far. An unreadable entry is skipped, and
    /// the other entries stay in effect.
    fn unreadable_entries(&self) -> u64 {
        0
    }

    /// The version of the catalog that [`Self::next`] returned last, and a moment at which it was
    /// the newest; `None` if the source knows no such moment.
    fn confirmed_version(&mut self) -> Option<(CatalogVersion, Instant)> {
        None
    }
}

/// The catalog in a store with the layout of [`crate::catalog`]. Each change makes it read the
/// whole catalog again.
pub struct WatchedCatalog {
    store: Arc<dyn ConfigStore>,
    /// Store revision up to which all changes have been read.
    read_revision: u64,
    /// Whether the store has changes that have not been read.
    has_unread_changes: bool,
    watch: Option<(Box<dyn Watch>, Instant)>,
}

impl WatchedCatalog {
    /// A source that watches the catalog in `store`.
    pub fn new(store: Arc<dyn ConfigStore>) -> Self {
        Self { store, read_revision: 0, has_unread_changes: false, watch: None }
    }

    fn read_whole(&mut self) -> Result<StoredCatalog, CatalogError> {
        let stored = read_catalog(self.store.as_ref())?;
        self.read_revision = stored.store_revision;
        self.has_unread_changes = false;
        Ok(stored)
    }

    fn open_watch(&mut self, active: Revision) -> Result<(), CatalogError> {
        if self.watch.is_none() {
            // The active configuration may have come from a peer. A node that resumes watching the
            // store need not read it again.
            let known = self.read_revision.max(active.0);
            let watch = self.store.watch(CATALOG_PREFIX, known + 1)?;
            self.watch = Some((watch, Instant::now()));
        }
        Ok(())
    }
}

impl CatalogSource for WatchedCatalog {
    fn next(
        &mut self,
        active: Revision,
        limit: Duration,
    ) -> Result<Option<StoredCatalog>, CatalogError> {
        if self.has_unread_changes || active == Revision::default() {
            return self.read_whole().map(Some);
        }
        self.open_watch(active)?;
        let Some((watch, opened)) = &mut self.watch else { return Ok(None) };
        match watch.next(limit) {
            Ok(WatchEvent::TimedOut) => Ok(None),
            Ok(WatchEvent::Changed(revision)) if revision <= active.0 => Ok(None),
            Ok(WatchEvent::Changed(_) | WatchEvent::Compacted) => {
                self.watch = None;
                self.has_unread_changes = true;
                self.read_whole().map(Some)
            }
            Err(error) => {
                let ended_early = opened.elapsed() < MIN_WATCH_DURATION;
                self.watch = None;
                // A stream normally ends after a while. The next call opens another one, which
                // misses no change.
                if ended_early { Err(error.into()) } else { Ok(None) }
            }
        }
    }

    fn pause(&mut self) {
        self.watch = None;
    }
}
