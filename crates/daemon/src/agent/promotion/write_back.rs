//! Records again what the store has lost about replacements in a store restore. From these records,
//! nodes that start later can determine which of two primaries is the old one, and do not repeat a
//! replacement that has ended.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::GroupName;
use kestrellock_store::backoff::Backoff;
use kestrellock_store::store::StoreError;

use super::ReplacementServices;
use crate::context::NodeContext;
use crate::metrics::LoggedEvent;
use crate::supervisor::StopFlag;

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Records the replacement state of `groups` again, in a thread of its own. Records that the store
/// still has cost no request.
pub(super) fn start(
    context: &Arc<NodeContext>,
    services: &ReplacementServices,
    groups: Vec<GroupName>,
    stop: &StopFlag,
) {
    let (coordination, stop) = (services.coordination.clone(), stop.clone());
    let context = context.clone();
    let spawned = thread::Builder::new().name("promotion-write-back".to_owned()).spawn(move || {
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let mut groups = groups;
        let era = coordination.era();
        // Another store restore starts another thread.
        while !groups.is_empty() && !stop.is_stopping() && coordination.era() == era {
            groups.retain(|group| match coordination.write_back(group) {
                Ok(()) => false,
                Err(error) => {
                    log_failure(group, &error, &context, Instant::now());
                    true
                }
            });
            if !groups.is_empty() {
                stop.sleep(backoff.next_delay(rand::random()));
            }
        }
    });
    if let Err(error) = spawned {
        log::error!("failed to start the write-back thread: {error}");
    }
}

/// Counts and logs that the replacement records of a group could not be written back. A store that
/// does not answer fails the records of all groups, and each again after a delay.
pub fn log_failure(group: &GroupName, error: &StoreError, context: &NodeContext, now: Instant) {
    context.metrics.events.count(LoggedEvent::NotWrittenBack);
    if context.event_log_limiters.failed_write_backs.admits(now) {
        log::info!(event = "not_written_back", group = group.as_str(), error = error.to_string().as_str(); "the replacement records of a group could not be written back to the store");
    }
}
