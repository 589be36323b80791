//! Follows the configuration in the store and puts each new revision in force.

use std::time::Duration;

use kestrellock_core::catalog::{Catalog, IndexedCatalog};
use kestrellock_platform::backoff::Backoff;
use kestrellock_platform::catalog::{CatalogError, PREFIX, read_catalog};
use kestrellock_platform::store::{ConfigStore, WatchEvent};

use crate::context::NodeContext;
use crate::metrics::ConfigurationEvent;
use crate::supervisor::StopFlag;

/// Longest wait for a change before the stop flag is looked at.
const WATCH_STEP: Duration = Duration::from_millis(100);
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(5);

/// Follows the store until told to stop.
pub fn follow(store: &dyn ConfigStore, context: &NodeContext, stop: &StopFlag) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY);
    while !stop.is_stopping() {
        stop.wait_while_paused();
        match read_and_watch(store, context, stop, &mut backoff) {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::debug!("configuration not read: {error}");
                stop.sleep(backoff.wait(rand::random()));
            }
        }
    }
}

/// Reads the catalog, then returns when it has changed or the store fails.
fn read_and_watch(
    store: &dyn ConfigStore,
    context: &NodeContext,
    stop: &StopFlag,
    backoff: &mut Backoff,
) -> Result<(), CatalogError> {
    let read = read_catalog(store)?;
    backoff.reset();
    put_in_force(read.catalog, context);
    while !stop.is_stopping() {
        let mut watch = store.watch(PREFIX, read.store_revision + 1)?;
        loop {
            if stop.is_stopping() {
                return Ok(());
            }
            stop.wait_while_paused();
            match watch.next(WATCH_STEP) {
                Ok(WatchEvent::Quiet) => {}
                Ok(WatchEvent::Changed(_) | WatchEvent::Compacted) => return Ok(()),
                // Another watch at the same revision misses nothing.
                Err(_) => break,
            }
        }
    }
    Ok(())
}

/// Puts a catalog in force if it is newer than the one in force, and valid.
fn put_in_force(catalog: Catalog, context: &NodeContext) {
    let revision = catalog.revision;
    if revision <= context.catalog.load().revision {
        return;
    }
    match catalog.validate() {
        Ok(()) => {
            log::info!("configuration revision {} in force", revision.0);
            context.catalog.store(IndexedCatalog::new(catalog));
            context.metrics.revision.set(revision.0 as i64);
            context.metrics.configuration.count(ConfigurationEvent::Applied);
        }
        Err(error) => {
            log::warn!("configuration revision {} refused: {error}", revision.0);
            context.metrics.configuration.count(ConfigurationEvent::Refused);
        }
    }
}
