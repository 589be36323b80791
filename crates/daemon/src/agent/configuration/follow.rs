//! Follows the source of the configuration, where that is this node's part.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Revision;
use kestrellock_core::credential_evidence::Confirmation;
use kestrellock_core::distribution::{announcement_targets, is_store_watcher};
use kestrellock_store::backoff::Backoff;
use kestrellock_store::catalog::CatalogError;
use kestrellock_store::source::CatalogSource;
use kestrellock_store::store::StoreError;

use super::role::PEERS_FIRST;
use super::{Configuration, Offer, Origin};
use crate::metrics::{ConfigurationEvent, Metrics};
use crate::supervisor::StopFlag;

/// Longest wait for a change before the stop flag is looked at.
const WATCH_STEP: Duration = Duration::from_millis(100);
/// Time between looks whether following has become this node's part.
const IDLE_STEP: Duration = Duration::from_millis(200);
const PEERS_STEP: Duration = Duration::from_millis(10);
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LAST_RETRY: Duration = Duration::from_secs(5);
/// A source that failed counts as well again after this time without another failure.
const WELL_AFTER: Duration = Duration::from_secs(1);

/// Follows the source until told to stop.
pub fn follow(configuration: &Configuration, source: &mut dyn CatalogSource, stop: &StopFlag) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY);
    let mut failed_at = Instant::now();
    let mut unreadable = Unreadable::default();
    configuration.wait_for_list(stop);
    configuration.wait_for_peers(source, stop);
    while !stop.is_stopping() {
        stop.wait_while_paused();
        if !configuration.follows() {
            source.pause();
            stop.sleep(IDLE_STEP);
            continue;
        }
        match source.next(configuration.revision(), WATCH_STEP) {
            Ok(None) if failed_at.elapsed() >= WELL_AFTER => backoff.reset(),
            Ok(None) => {}
            Ok(Some(read)) => {
                backoff.reset();
                let offered = read.catalog.revision;
                match configuration.offer(read.catalog, Origin::Source) {
                    Offer::InForce => configuration.announce(),
                    Offer::NotNewer => configuration.tell_not_newer(offered),
                    // Told where it was refused.
                    Offer::Refused => {}
                }
            }
            Err(error) => {
                log::debug!("configuration not read: {error}");
                failed_at = Instant::now();
                stop.sleep(wait_after(&error, &mut backoff));
                continue;
            }
        }
        unreadable.count(source.unreadable_entries(), &configuration.context.metrics);
        if let Some((version, at)) = source.confirmed() {
            configuration.confirm(Confirmation { version, at });
        }
    }
}

/// Entries of the source that could not be read, as far as they have been counted.
#[derive(Debug, Default)]
struct Unreadable {
    counted: u64,
}

impl Unreadable {
    fn count(&mut self, so_far: u64, metrics: &Metrics) {
        let new = so_far.saturating_sub(self.counted);
        metrics.configuration.add(ConfigurationEvent::Unreadable, new);
        self.counted = so_far;
    }
}

fn wait_after(error: &CatalogError, backoff: &mut Backoff) -> Duration {
    let wait = backoff.wait(rand::random());
    match error {
        CatalogError::Store(StoreError::RateLimited { retry_after }) => *retry_after + wait,
        _ => wait,
    }
}

impl Configuration {
    /// A node that boots takes the configuration from its peers, if they have one, so that many
    /// booting at once do not all turn to the store; and so that nothing older than theirs is in force
    /// where the store lacks what operators have been told is.
    fn wait_for_peers(&self, source: &dyn CatalogSource, stop: &StopFlag) {
        let end = Instant::now() + PEERS_FIRST;
        while self.expects_peers(source) && !stop.is_stopping() && Instant::now() < end {
            let has_one = self.revision() != Revision::default();
            let peers_have_none = self.context.revisions.any()
                && self.context.revisions.newest() == Revision::default();
            if has_one || peers_have_none {
                return;
            }
            stop.sleep(PEERS_STEP);
        }
    }

    /// Whether other nodes live, or may, that know better than the source.
    fn expects_peers(&self, source: &dyn CatalogSource) -> bool {
        let own = &self.context.identity.node;
        let are_listed = || {
            let listed = self.context.listed_nodes.load();
            listed.iter().any(|node| node.candidate.node != *own)
        };
        self.live().len() > 1 || (source.may_lack_changes() && are_listed())
    }

    /// What the source told last is not put in force.
    fn tell_not_newer(&self, offered: Revision) {
        log::info!(
            event = "configuration_not_newer",
            revision = offered.0,
            in_force = self.revision().0;
            "the source tells a configuration that is no newer than the one in force"
        );
    }

    /// The source has said that the catalog it told last was the newest. That shows nothing while a newer
    /// one is not in force, nor where the source has gone back behind what is.
    fn confirm(&self, confirmation: Confirmation) {
        let in_force = self.version();
        let is_of_it = confirmation.version.edition == in_force.edition;
        if is_of_it && in_force.covers(confirmation.version) {
            self.context.confirmations.add(confirmation);
        }
    }

    /// A follower that learnt of a revision from a peer tells its zone.
    pub(super) fn announce_if_follower(&self) {
        let (own, live) = (self.own(), self.live());
        if is_store_watcher(&own, &live) && !announcement_targets(&own, &live).is_empty() {
            self.announce();
        }
    }
}
