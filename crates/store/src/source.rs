//! Where a node's configuration comes from: a source that is asked for newer catalogs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{CatalogVersion, Revision};

use crate::catalog::{CATALOG_PREFIX, CatalogError, StoredCatalog, read_catalog};
use crate::store::{ConfigStore, Watch, WatchEvent};

/// A watch that ends sooner than this counts as a failure.
const SHORT_WATCH: Duration = Duration::from_secs(1);

/// Tells newer catalogs.
pub trait CatalogSource: Send {
    /// The next catalog that may be newer than the one in force, waiting at most `limit`; `None`
    /// if there was none. After an error the caller waits before it asks again.
    fn next(
        &mut self,
        in_force: Revision,
        limit: Duration,
    ) -> Result<Option<StoredCatalog>, CatalogError>;

    /// The node does not follow the source for now.
    fn pause(&mut self) {}

    /// Whether the source may lack what operators have been told is in force: other nodes may know better.
    fn may_lack_changes(&self) -> bool {
        false
    }

    /// How many revisions of entries could not be read so far; each names nothing, and the others hold.
    fn unreadable_entries(&self) -> u64 {
        0
    }

    /// A moment at which the catalog that [`Self::next`] told last was the newest, and which one that is; `None`
    /// where the source does not know one.
    fn confirmed_version(&mut self) -> Option<(CatalogVersion, Instant)> {
        None
    }
}

/// The catalog as [`crate::catalog`] lays it out in a store, read whole whenever it changes.
pub struct WatchedCatalog {
    store: Arc<dyn ConfigStore>,
    /// Store revision up to which everything is known.
    seen: u64,
    /// Whether something newer is known to be there.
    read: bool,
    watch: Option<(Box<dyn Watch>, Instant)>,
}

impl WatchedCatalog {
    /// The catalog in `store`.
    pub fn new(store: Arc<dyn ConfigStore>) -> Self {
        Self { store, seen: 0, read: false, watch: None }
    }

    fn read_whole(&mut self) -> Result<StoredCatalog, CatalogError> {
        let whole = read_catalog(self.store.as_ref())?;
        self.seen = whole.store_revision;
        self.read = false;
        Ok(whole)
    }

    fn open_watch(&mut self, in_force: Revision) -> Result<(), CatalogError> {
        if self.watch.is_none() {
            // What peers brought is known as well: who returns to the store need not read it again.
            let seen = self.seen.max(in_force.0);
            let watch = self.store.watch(CATALOG_PREFIX, seen + 1)?;
            self.watch = Some((watch, Instant::now()));
        }
        Ok(())
    }
}

impl CatalogSource for WatchedCatalog {
    fn next(
        &mut self,
        in_force: Revision,
        limit: Duration,
    ) -> Result<Option<StoredCatalog>, CatalogError> {
        if self.read || in_force == Revision::default() {
            return self.read_whole().map(Some);
        }
        self.open_watch(in_force)?;
        let Some((watch, opened)) = &mut self.watch else { return Ok(None) };
        match watch.next(limit) {
            Ok(WatchEvent::TimedOut) => Ok(None),
            Ok(WatchEvent::Changed(revision)) if revision <= in_force.0 => Ok(None),
            Ok(WatchEvent::Changed(_) | WatchEvent::Compacted) => {
                self.watch = None;
                self.read = true;
                self.read_whole().map(Some)
            }
            Err(error) => {
                let short = opened.elapsed() < SHORT_WATCH;
                self.watch = None;
                // A stream that ended after a while is replaced by another one that misses nothing.
                if short { Err(error.into()) } else { Ok(None) }
            }
        }
    }

    fn pause(&mut self) {
        self.watch = None;
    }
}
