//! Fetches what this node's configuration lacks from a peer that has a newer one.

use std::time::Instant;

use kestrellock_core::catalog::{CatalogDelta, CatalogSummary, DeltaError, Fingerprint, Revision};
use kestrellock_core::distribution::Fetcher;
use kestrellock_core::ids::NodeName;
use kestrellock_peer::catalog_transfer::{self, Incoming, Part, TransferError};
use kestrellock_peer::message::ConfigurationMessage;

use super::{Configuration, Offer, Origin, Peer};
use crate::metrics::ConfigurationEvent;

/// What is being fetched.
#[derive(Debug, Default)]
pub(super) struct Fetching {
    current: Option<Fetch>,
}

#[derive(Debug)]
struct Fetch {
    from: NodeName,
    asked: Instant,
    /// Hash of what this node had when it asked.
    base: Fingerprint,
    incoming: Option<Incoming>,
}

impl Fetching {
    /// Asks `node` for what `summary` lacks; whatever was being fetched from another is dropped.
    pub fn begin(&mut self, own: &Configuration, peer: &Peer, summary: CatalogSummary) {
        let fetch = Fetch {
            from: peer.node.clone(),
            asked: Instant::now(),
            base: summary.fingerprint,
            incoming: None,
        };
        if let Some(given_up) = self.current.replace(fetch) {
            own.context.metrics.configuration.count(ConfigurationEvent::GivenUp);
            log::info!(
                event = "configuration_asked_elsewhere",
                peer = given_up.from.as_str(),
                next = peer.node.as_str(),
                after_ms = given_up.asked.elapsed().as_millis() as u64,
                received = given_up.incoming.as_ref().map_or(0, |incoming| incoming.next_offset());
                "a node has not sent the configuration in time"
            );
        }
        own.send(peer, ConfigurationMessage::Fetch { have: summary });
    }

    /// A node that has `revision` has nothing newer.
    pub fn on_nothing(&mut self, node: &NodeName, revision: Revision) {
        if let Some(fetch) = self.current.take_if(|fetch| fetch.from == *node) {
            log::info!(
                event = "configuration_nothing_newer",
                peer = node.as_str(),
                revision = revision.0,
                after_ms = fetch.asked.elapsed().as_millis() as u64;
                "a node that was asked for the configuration has none that is newer"
            );
        }
    }

    /// A part has arrived.
    pub fn on_part(&mut self, own: &Configuration, peer: &Peer, part: &Part, puller: &mut Fetcher) {
        let Some(fetch) = self.current.as_mut().filter(|fetch| fetch.from == peer.node) else {
            // It was asked elsewhere meanwhile.
            log::info!(
                event = "configuration_unasked",
                peer = peer.node.as_str(),
                transfer = part.transfer.0,
                offset = part.offset,
                bytes = part.bytes.len() as u64;
                "a node sends what is not fetched from it"
            );
            own.send(peer, ConfigurationMessage::Enough);
            return;
        };
        if let Err(error) = fetch.add(part) {
            // What was sent before another connection took this one's place arrives again, or never.
            log::info!(
                event = "configuration_part_dropped",
                peer = peer.node.as_str(),
                transfer = part.transfer.0,
                offset = part.offset,
                bytes = part.bytes.len() as u64,
                problem = error.to_string().as_str();
                "a part of the configuration does not fit what has arrived"
            );
            return;
        }
        puller.on_chunk(&peer.node, Instant::now());
        let Some(incoming) = &fetch.incoming else { return };
        let (transfer, offset) = (part.transfer, incoming.next_offset());
        own.send(peer, ConfigurationMessage::Next { transfer, offset });
        if incoming.is_whole() {
            self.finish(own, peer, puller);
        }
    }

    fn finish(&mut self, own: &Configuration, peer: &Peer, puller: &mut Fetcher) {
        let Some(fetch) = self.current.take() else { return };
        let Some(incoming) = fetch.incoming else { return };
        puller.on_answer(&peer.node);
        let metrics = &own.context.metrics;
        metrics.configuration_bytes.add(ConfigurationEvent::Pulled, incoming.bytes().len() as u64);
        match catalog_transfer::unpack(incoming.bytes()) {
            Ok(delta) => {
                log::info!(
                    event = "configuration_received",
                    peer = peer.node.as_str(),
                    revision = delta.changed.revision.0,
                    bytes = incoming.bytes().len() as u64,
                    after_ms = fetch.asked.elapsed().as_millis() as u64;
                    "what the configuration lacks has arrived"
                );
                self.apply(own, peer, fetch.base, delta, puller);
            }
            Err(error) => {
                log::warn!("KL3001 the configuration from {} is dropped: {error}", peer.node);
                puller.on_unusable(&peer.node, Instant::now());
            }
        }
    }

    fn apply(
        &mut self,
        own: &Configuration,
        peer: &Peer,
        asked_with: Fingerprint,
        delta: CatalogDelta,
        puller: &mut Fetcher,
    ) {
        own.context.revisions.hear(&peer.node, delta.changed.revision);
        let is_whole = delta.base.is_none();
        let catalog = own.context.catalog.load();
        match catalog.with_delta(delta) {
            Ok(catalog) => {
                own.context.metrics.configuration.count(ConfigurationEvent::Pulled);
                match own.offer(catalog, Origin::Peer) {
                    Offer::InForce => own.announce_if_follower(),
                    Offer::NotNewer => {}
                    Offer::Refused => puller.on_unusable(&peer.node, Instant::now()),
                }
            }
            Err(DeltaError::NotNewer) => {}
            Err(DeltaError::DoesNotFit) if is_whole => {
                puller.on_unusable(&peer.node, Instant::now());
            }
            Err(DeltaError::DoesNotFit) => {
                let summary = match catalog.summary() {
                    // This node's has changed since it asked.
                    summary if summary.fingerprint != asked_with => summary,
                    // Everything, to be sure.
                    _ => CatalogSummary::empty(),
                };
                puller.on_refetch(&peer.node, catalog.revision, Instant::now());
                self.begin(own, peer, summary);
            }
        }
    }
}

impl Fetch {
    fn add(&mut self, part: &Part) -> Result<(), TransferError> {
        match &mut self.incoming {
            Some(incoming) if part.offset > 0 => incoming.add(part),
            _ => {
                self.incoming = Some(Incoming::begin(part)?);
                Ok(())
            }
        }
    }
}
