//! Keeps the node's configuration: follows the store where that is this node's part, exchanges
//! revisions with peers, and puts only newer catalogs in force, without what is faulty in them.

mod confirming;
mod exchange;
mod fetching;
mod follow;
mod left_out;
mod role;
mod serving;

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

use self::left_out::LeftOut;

pub use exchange::exchange;
pub use follow::follow;

/// Shard whose connections carry messages that this node begins.
const FIRST_SHARD: u16 = 0;

/// A node that configuration is exchanged with.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    node: NodeName,
    /// Shard whose connection is used: an answer goes back over the one that the message came over.
    shard: u16,
}

impl Peer {
    /// For messages that this node begins.
    fn first_shard_of(node: NodeName) -> Self {
        Self { node, shard: FIRST_SHARD }
    }
}

/// Where a catalog comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The store, through this node's source.
    Source,
    /// Another node.
    Peer,
}

/// What became of a catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force.
    InForce,
    /// One as new is in force already.
    NotNewer,
    /// It cannot be used; the one in force stays.
    Refused,
}

/// The node's configuration and the way to its peers.
pub struct Configuration {
    context: Arc<NodeContext>,
    mailboxes: Arc<Mailboxes>,
    /// Whether the platform keeps a list of nodes, which names others before they are known to live.
    has_machine_list: bool,
    started: Instant,
    /// Held while a catalog replaces another, so that an older one never replaces a newer.
    replacing: Mutex<LeftOut>,
}

impl Configuration {
    /// Nothing in force yet.
    pub fn new(
        context: Arc<NodeContext>,
        mailboxes: Arc<Mailboxes>,
        has_machine_list: bool,
    ) -> Self {
        let (started, replacing) = (Instant::now(), Mutex::default());
        Self { context, mailboxes, has_machine_list, started, replacing }
    }

    /// Puts a catalog in force if it is newer than the one in force. Entries and instances that cannot be
    /// used are left out, each by itself: what an instance says of itself holds no change of the operators
    /// back, nor one entry another.
    pub fn offer(&self, catalog: VersionedCatalog, origin: Origin) -> Offer {
        let mut left_out = self.replacing.lock().expect("a holder of the lock panicked");
        let revision = catalog.revision;
        if revision <= self.revision() {
            return Offer::NotNewer;
        }
        let catalog = self.with_newest_edition(catalog);
        let metrics = &self.context.metrics;
        let (catalog, faults) = catalog.without_faults();
        left_out.tell(&faults, origin, revision, metrics);
        if !faults.is_empty()
            && let Err(error) = catalog.validate()
        {
            // Leaving out what is faulty leaves a valid rest: this is a defect of the program.
            log::error!(event = "configuration_refused", revision = revision.0, problem = error.to_string().as_str(); "KL3001 the configuration cannot be used; the one in force stays");
            metrics.configuration.count(ConfigurationEvent::Refused);
            return Offer::Refused;
        }
        self.context.catalog.store(IndexedCatalog::new(catalog));
        log::info!("configuration revision {} in force", revision.0);
        metrics.revision.set(revision.0 as i64);
        metrics.configuration.count(ConfigurationEvent::Applied);
        Offer::InForce
    }

    /// The catalog, if need be with what operators wrote in the one in force: they were told that it is, and a
    /// store that has gone back to an older one lacks it until they write it again.
    fn with_newest_edition(&self, catalog: VersionedCatalog) -> VersionedCatalog {
        let in_force = self.context.catalog.load();
        if !catalog.is_older_edition_than(&in_force) {
            return catalog;
        }
        log::warn!(
            event = "configuration_kept",
            revision = catalog.revision.0,
            edition = catalog.edition.0,
            kept_edition = in_force.edition.0;
            "an older configuration of the operators is not put in force"
        );
        catalog.with_operator_entries_of(&in_force)
    }

    /// Which configuration is in force.
    fn version(&self) -> CatalogVersion {
        self.context.catalog.load().version()
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.context.catalog.load().revision
    }

    /// Tells the nodes that ask this one what it has in force. A node that is being stopped leaves that
    /// to the other followers: what its zone asks of it then fills a slow link for hundreds of
    /// milliseconds, in which its callers' requests and the ends of their connections would cross.
    fn announce(&self) {
        if self.context.is_stopping() {
            return;
        }
        self.context.metrics.configuration.count(ConfigurationEvent::Announced);
        let revision = self.revision();
        for node in distribution::announcement_targets(&self.own(), &self.live()) {
            self.send(&Peer::first_shard_of(node), ConfigurationMessage::InForce { revision });
        }
    }

    /// Asks live nodes for their revisions where none as new as this node's is known.
    pub fn ask_revisions(&self) {
        let have = self.revision();
        for node in self.behind() {
            self.send(&Peer::first_shard_of(node), ConfigurationMessage::Request { have });
        }
    }

    /// Live nodes not known to have this node's revision.
    pub fn behind(&self) -> Vec<NodeName> {
        let revision = self.revision();
        let mut nodes: Vec<NodeName> =
            self.live().into_iter().map(|candidate| candidate.node).collect();
        nodes.retain(|node| {
            *node != self.context.identity.node && self.context.revisions.of(node) < revision
        });
        nodes
    }

    fn own(&self) -> Candidate {
        let identity = &self.context.identity;
        // What this node's link carries is no matter of its own: the others' list tells it.
        Candidate { node: identity.node.clone(), zone: identity.zone.clone(), link_mbps: 0 }
    }

    fn live(&self) -> Vec<Candidate> {
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
