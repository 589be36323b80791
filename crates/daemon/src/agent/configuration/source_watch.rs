//! Watches the source of the configuration if this node is a store watcher.
//!
//! The thread activates each newer catalog from the source, announces it to the nodes that fetch
//! from this one, and records when the source confirmed the active configuration as the newest.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Revision;
use kestrellock_core::credential_evidence::Confirmation;
use kestrellock_core::distribution::{announcement_targets, is_store_watcher};
use kestrellock_store::backoff::Backoff;
use kestrellock_store::catalog::CatalogError;
use kestrellock_store::source::CatalogSource;
use kestrellock_store::store::StoreError;

use super::role::PEER_WAIT;
use super::{Configuration, OfferOutcome, Origin};
use crate::metrics::{ConfigurationEvent, Metrics};
use crate::supervisor::StopFlag;

/// Longest wait for a change before the stop flag is checked.
const WATCH_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two checks whether this node has become a store watcher.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(10);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// A source that failed counts as recovered after this time without another failure.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Watches the source until `stop` is set.
pub fn watch_source(
    configuration: &Configuration,
    source: &mut dyn CatalogSource,
    stop: &StopFlag,
) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut failed_at = Instant::now();
    let mut unreadable = UnreadableEntries::default();
    configuration.wait_for_machine_list(stop);
    configuration.wait_for_peers(source, stop);
    while !stop.is_stopping() {
        stop.wait_while_paused();
        if !configuration.is_store_watcher() {
            source.pause();
            stop.sleep(IDLE_INTERVAL);
            continue;
        }
        match source.next(configuration.revision(), WATCH_TIMEOUT) {
            Ok(None) if failed_at.elapsed() >= RECOVERY_TIME => backoff.reset(),
            Ok(None) => {}
            Ok(Some(read)) => {
                backoff.reset();
                let offered = read.catalog.revision;
                match configuration.offer(read.catalog, Origin::Source) {
                    OfferOutcome::Activated => configuration.announce(),
                    OfferOutcome::NotNewer => configuration.log_not_newer(offered),
                    // Logged by `offer`.
                    OfferOutcome::Rejected => {}
                }
            }
            Err(error) => {
                log::debug!("configuration not read: {error}");
                failed_at = Instant::now();
                stop.sleep(retry_delay(&error, &mut backoff));
                continue;
            }
        }
        unreadable.count(source.unreadable_entries(), &configuration.context.metrics);
        if let Some((version, at)) = source.confirmed() {
            configuration.confirm(Confirmation { version, at });
        }
    }
}

/// Number of unreadable entries of the source that the metrics include.
#[derive(Debug, Default)]
struct UnreadableEntries {
    counted: u64,
}

impl UnreadableEntries {
    fn count(&mut self, so_far: u64, metrics: &Metrics) {
        let new = so_far.saturating_sub(self.counted);
        metrics.configuration.add(ConfigurationEvent::Unreadable, new);
        self.counted = so_far;
    }
}

fn retry_delay(error: &CatalogError, backoff: &mut Backoff) -> Duration {
    let wait = backoff.wait(rand::random());
    match error {
        CatalogError::Store(StoreError::RateLimited { retry_after }) => *retry_after + wait,
        _ => wait,
    }
}

impl Configuration {
    /// Waits a limited time for a configuration from peers. A node that starts prefers the peers'
    /// configuration for two reasons: many nodes that start at once do not all read the store, and
    /// the node does not activate an older configuration if the store lacks changes that operators
    /// were told are active.
    fn wait_for_peers(&self, source: &dyn CatalogSource, stop: &StopFlag) {
        let end = Instant::now() + PEER_WAIT;
        while self.expects_peers(source) && !stop.is_stopping() && Instant::now() < end {
            let has_configuration = self.revision() != Revision::default();
            let peers_have_none = self.context.revisions.has_reports()
                && self.context.revisions.newest() == Revision::default();
            if has_configuration || peers_have_none {
                return;
            }
            stop.sleep(PEER_POLL_INTERVAL);
        }
    }

    /// Whether other nodes are live, or may be, that could have a newer configuration than the
    /// source.
    fn expects_peers(&self, source: &dyn CatalogSource) -> bool {
        let own = &self.context.identity.node;
        let are_listed = || {
            let listed = self.context.listed_nodes.load();
            listed.iter().any(|node| node.candidate.node != *own)
        };
        self.live_candidates().len() > 1 || (source.may_lack_changes() && are_listed())
    }

    /// Logs that the source returned a configuration that is not newer than the active one.
    fn log_not_newer(&self, offered: Revision) {
        log::info!(
            event = "configuration_not_newer",
            revision = offered.0,
            in_force = self.revision().0;
            "the source returned a configuration that is not newer than the active one"
        );
    }

    /// Handles the confirmation by the source that its last catalog is the newest. The confirmation
    /// is not used while this node has yet to activate that catalog, nor if a store restore has
    /// taken the source back to an older edition than the active one.
    fn confirm(&self, confirmation: Confirmation) {
        let active = self.version();
        let is_same_edition = confirmation.version.edition == active.edition;
        if is_same_edition && active.covers(confirmation.version) {
            self.context.confirmations.add(confirmation);
        }
    }

    /// Announces a revision that was fetched from a peer, if this node is a store watcher with
    /// nodes that fetch from it.
    pub(super) fn announce_if_store_watcher(&self) {
        let (own, live) = (self.own_candidate(), self.live_candidates());
        if is_store_watcher(&own, &live) && !announcement_targets(&own, &live).is_empty() {
            self.announce();
        }
    }
}
