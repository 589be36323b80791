//! Records again what the store has lost about replacements in a store restore. From these records,
//! nodes that start later can tell which of two primaries is the old one, and do not repeat a
//! replacement that has ended.

use std::thread;
use std::time::Duration;

use kestrellock_core::ids::GroupName;
use kestrellock_store::backoff::Backoff;

use super::ReplacementServices;
use crate::supervisor::StopFlag;

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Records the replacement state of `groups` again, in a thread of its own. Records that the store
/// still has cost no request.
pub(super) fn start(services: &ReplacementServices, groups: Vec<GroupName>, stop: &StopFlag) {
    let (coordination, stop) = (services.coordination.clone(), stop.clone());
    let spawned = thread::Builder::new().name("promotion-write-back".to_owned()).spawn(move || {
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let mut groups = groups;
        let era = coordination.era();
        // Another store restore starts another thread.
        while !groups.is_empty() && !stop.is_stopping() && coordination.era() == era {
            groups.retain(|group| match coordination.write_back(group) {
                Ok(()) => false,
                Err(error) => {
                    log::info!(event = "not_written_back", group = group.as_str(), error = error.to_string().as_str(); "the replacement records of a group could not be written back to the store");
                    true
                }
            });
            if !groups.is_empty() {
                stop.sleep(backoff.wait(rand::random()));
            }
        }
    });
    if let Err(error) = spawned {
        log::error!("failed to start the write-back thread: {error}");
    }
}
