//! Keeps the node's configuration up to date: watches the store if this node is a store watcher,
//! exchanges revisions and catalogs with peers, and activates only newer catalogs, without their
//! invalid entries.

mod confirmation_queries;
mod delta_receiver;
mod delta_server;
mod excluded_entries;
mod peer_distribution;
mod role;
mod source_watch;

use std::sync::{Arc, Mutex};
use std::time::Instant;

use kestrellock_core::catalog::{CatalogVersion, IndexedCatalog, Revision, VersionedCatalog};
use kestrellock_core::distribution;
use kestrellock_core::ids::NodeName;
use kestrellock_core::rendezvous::Candidate;
use kestrellock_peer::message::{ConfigurationMessage, PeerMessage};

use crate::context::NodeContext;
use crate::metrics::ConfigurationEvent;
use crate::shard::mailbox::{Mailboxes, ShardMessage};

use self::excluded_entries::ExcludedEntries;

pub use peer_distribution::distribute;
pub use source_watch::watch_source;

/// Shard whose connections carry the messages that this node initiates.
const FIRST_SHARD: u16 = 0;

/// A node that this node exchanges configuration with.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    node: NodeName,
    /// Shard whose connection is used: an answer uses the connection on which the message arrived.
    shard: u16,
}

impl Peer {
    /// The peer for a message that this node initiates.
    fn first_shard_of(node: NodeName) -> Self {
        Self { node, shard: FIRST_SHARD }
    }
}

/// Where a catalog was received from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The store, through this node's catalog source.
    Source,
    /// Another node.
    Peer,
}

/// Result of offering a catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The catalog is now active.
    Activated,
    /// The active catalog is at least as new.
    NotNewer,
    /// The catalog is invalid; the active one stays.
    Rejected,
}

/// The node's configuration and its connection to the peers.
pub struct Configuration {
    context: Arc<NodeContext>,
    mailboxes: Arc<Mailboxes>,
    /// Whether the platform keeps a machine list, which names other nodes before they are known to
    /// be live.
    has_machine_list: bool,
    started: Instant,
    /// Locked while a catalog is activated, so that an older one never replaces a newer one.
    activation: Mutex<ExcludedEntries>,
}

impl Configuration {
    /// Starts without an active configuration.
    pub fn new(
        context: Arc<NodeContext>,
        mailboxes: Arc<Mailboxes>,
        has_machine_list: bool,
    ) -> Self {
        let (started, activation) = (Instant::now(), Mutex::default());
        Self { context, mailboxes, has_machine_list, started, activation }
    }

    /// Activates a catalog if it is newer than the active one. Invalid entries and instances are
    /// excluded individually, so that neither an instance's report of itself blocks a change by
    /// operators nor one entry blocks another.
    pub fn offer(&self, catalog: VersionedCatalog, origin: Origin) -> OfferOutcome {
        let mut excluded =
            self.activation.lock().expect("a thread panicked while it held the lock");
        let revision = catalog.revision;
        if revision <= self.revision() {
            return OfferOutcome::NotNewer;
        }
        let catalog = self.with_newest_edition(catalog);
        let metrics = &self.context.metrics;
        let (catalog, faults) = catalog.without_faults();
        excluded.log_changes(&faults, origin, revision, metrics);
        if !faults.is_empty()
            && let Err(error) = catalog.validate()
        {
            // The rest is valid once the invalid entries are excluded, so this is a bug.
            log::error!(event = "configuration_refused", revision = revision.0, problem = error.to_string().as_str(); "KL3001 the configuration is invalid; the active one stays");
            metrics.configuration.count(ConfigurationEvent::Refused);
            return OfferOutcome::Rejected;
        }
        self.context.catalog.store(IndexedCatalog::new(catalog));
        log::info!("configuration revision {} is active", revision.0);
        metrics.revision.set(revision.0 as i64);
        metrics.configuration.count(ConfigurationEvent::Applied);
        OfferOutcome::Activated
    }

    /// Returns the catalog, with the operators' part of the active one if that has a newer edition.
    /// Operators were told that this edition is active, and after a store restore the store lacks
    /// it until they write it again.
    fn with_newest_edition(&self, catalog: VersionedCatalog) -> VersionedCatalog {
        let active = self.context.catalog.load();
        if !catalog.is_older_edition_than(&active) {
            return catalog;
        }
        log::warn!(
            event = "configuration_kept",
            revision = catalog.revision.0,
            edition = catalog.edition.0,
            kept_edition = active.edition.0;
            "an older edition of the operators' configuration is not activated"
        );
        catalog.with_operator_entries_of(&active)
    }

    /// Version of the active configuration.
    fn version(&self) -> CatalogVersion {
        self.context.catalog.load().version()
    }

    /// Active revision.
    pub fn revision(&self) -> Revision {
        self.context.catalog.load().revision
    }

    /// Announces the active revision to the nodes that fetch from this one. A node that is stopping
    /// leaves that to the other store watchers: the fetches of its zone would saturate a slow link
    /// for hundreds of milliseconds, which would delay its clients' requests and the closing of
    /// their connections.
    fn announce(&self) {
        if self.context.is_stopping() {
            return;
        }
        self.context.metrics.configuration.count(ConfigurationEvent::Announced);
        let revision = self.revision();
        for node in
            distribution::announcement_targets(&self.own_candidate(), &self.live_candidates())
        {
            self.send(&Peer::first_shard_of(node), ConfigurationMessage::InForce { revision });
        }
    }

    /// Asks the live nodes that are not known to have this node's revision for theirs.
    pub fn request_revisions(&self) {
        let have = self.revision();
        for node in self.nodes_behind() {
            self.send(&Peer::first_shard_of(node), ConfigurationMessage::Request { have });
        }
    }

    /// Live nodes that are not known to have this node's revision or a newer one.
    pub fn nodes_behind(&self) -> Vec<NodeName> {
        let revision = self.revision();
        let mut nodes: Vec<NodeName> =
            self.live_candidates().into_iter().map(|candidate| candidate.node).collect();
        nodes.retain(|node| {
            *node != self.context.identity.node && self.context.revisions.of(node) < revision
        });
        nodes
    }

    fn own_candidate(&self) -> Candidate {
        let identity = &self.context.identity;
        // The own bandwidth is not set here: decisions take it from this node's entry among the
        // live nodes.
        Candidate { node: identity.node.clone(), zone: identity.zone.clone(), link_mbps: 0 }
    }

    fn live_candidates(&self) -> Vec<Candidate> {
        let live = self.context.live.load();
        let working = live.iter().filter(|node| node.accepts_work);
        working.map(|node| node.candidate.clone()).collect()
    }

    fn send(&self, peer: &Peer, message: ConfigurationMessage) {
        let from = self.context.identity.node.clone();
        let message = PeerMessage::Configuration { from, message };
        self.mailboxes.send(peer.shard, ShardMessage::ToPeer { node: peer.node.clone(), message });
    }
}
