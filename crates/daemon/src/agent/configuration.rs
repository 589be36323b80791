//! Follows the configuration in the store and puts each new revision in force.

use std::time::Duration;

use kestrellock_core::catalog::{Catalog, IndexedCatalog};
use kestrellock_platform::catalog::read_catalog;
use kestrellock_platform::store::ConfigStore;

use crate::context::NodeContext;
use crate::supervisor::StopFlag;

/// Longest wait for a change before the store is asked again.
const WATCH_LIMIT: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the store until told to stop.
pub fn follow(store: &dyn ConfigStore, context: &NodeContext, stop: &StopFlag) {
    while !stop.is_stopping() {
        stop.wait_while_paused();
        match read_catalog(store) {
            Ok(catalog) => {
                let seen = catalog.revision.0;
                put_in_force(catalog, context);
                let prefix = kestrellock_platform::catalog::PREFIX;
                if store.wait_for_change(prefix, seen + 1, WATCH_LIMIT).is_err() {
                    std::thread::sleep(RETRY_INTERVAL);
                }
            }
            Err(error) => {
                log::debug!("configuration not read: {error}");
                std::thread::sleep(RETRY_INTERVAL);
            }
        }
    }
}

fn put_in_force(catalog: Catalog, context: &NodeContext) {
    if catalog.revision <= context.catalog.load().revision {
        return;
    }
    match catalog.validate() {
        Ok(()) => {
            log::info!("configuration revision {} in force", catalog.revision.0);
            context.catalog.store(IndexedCatalog::new(catalog));
        }
        Err(error) => log::warn!("configuration revision {} refused: {error}", catalog.revision.0),
    }
}
