//! Fetches the difference to a newer configuration from a peer, chunk by chunk.
//!
//! There is one fetch at a time; if it takes too long, a new fetch replaces it. If a complete delta
//! does not fit this node's catalog, the node fetches again: the new difference if its catalog has
//! changed since the request, and the whole configuration otherwise.

use std::time::Instant;

use kestrellock_core::catalog::{CatalogDelta, CatalogSummary, DeltaError, Fingerprint, Revision};
use kestrellock_core::distribution::Fetcher;
use kestrellock_core::ids::NodeName;
use kestrellock_peer::catalog_transfer::{self, Incoming, Part, TransferError};
use kestrellock_peer::message::ConfigurationMessage;

use super::{Configuration, OfferOutcome, Origin, Peer};
use crate::metrics::ConfigurationEvent;

/// Receives the delta that is being fetched.
#[derive(Debug, Default)]
pub(super) struct DeltaReceiver {
    current: Option<Fetch>,
}

#[derive(Debug)]
struct Fetch {
    from: NodeName,
    requested_at: Instant,
    /// Fingerprint of this node's catalog when it sent the request.
    base: Fingerprint,
    incoming: Option<Incoming>,
}

impl DeltaReceiver {
    /// Asks `peer` for the difference to `summary`; a fetch that is in progress is dropped.
    pub fn start(&mut self, configuration: &Configuration, peer: &Peer, summary: CatalogSummary) {
        let fetch = Fetch {
            from: peer.node.clone(),
            requested_at: Instant::now(),
            base: summary.fingerprint,
            incoming: None,
        };
        if let Some(dropped) = self.current.replace(fetch) {
            configuration.context.metrics.configuration.count(ConfigurationEvent::GivenUp);
            log::info!(
                event = "configuration_asked_elsewhere",
                peer = dropped.from.as_str(),
                next = peer.node.as_str(),
                after_ms = dropped.requested_at.elapsed().as_millis() as u64,
                received = dropped.incoming.as_ref().map_or(0, |incoming| incoming.next_offset());
                "a node did not send the configuration in time; fetching it again"
            );
        }
        configuration.send(peer, ConfigurationMessage::Fetch { have: summary });
    }

    /// Handles the answer that a node has no configuration newer than `revision`.
    pub fn on_nothing_newer(&mut self, node: &NodeName, revision: Revision) {
        if let Some(fetch) = self.current.take_if(|fetch| fetch.from == *node) {
            log::info!(
                event = "configuration_nothing_newer",
                peer = node.as_str(),
                revision = revision.0,
                after_ms = fetch.requested_at.elapsed().as_millis() as u64;
                "the node that this node fetches from has no newer configuration"
            );
        }
    }

    /// Handles a chunk.
    pub fn on_chunk(
        &mut self,
        configuration: &Configuration,
        peer: &Peer,
        part: &Part,
        puller: &mut Fetcher,
    ) {
        let Some(fetch) = self.current.as_mut().filter(|fetch| fetch.from == peer.node) else {
            // The fetch has moved to another node meanwhile.
            log::info!(
                event = "configuration_unasked",
                peer = peer.node.as_str(),
                transfer = part.transfer.0,
                offset = part.offset,
                bytes = part.bytes.len() as u64;
                "dropped a chunk of the configuration from a node that this node does not fetch from"
            );
            configuration.send(peer, ConfigurationMessage::Enough);
            return;
        };
        if let Err(error) = fetch.add(part) {
            // When a connection has been replaced by another one, chunks sent before may arrive
            // twice or not at all.
            log::info!(
                event = "configuration_part_dropped",
                peer = peer.node.as_str(),
                transfer = part.transfer.0,
                offset = part.offset,
                bytes = part.bytes.len() as u64,
                problem = error.to_string().as_str();
                "dropped a chunk of the configuration that does not continue the transfer"
            );
            return;
        }
        puller.on_chunk(&peer.node, Instant::now());
        let Some(incoming) = &fetch.incoming else { return };
        let (transfer, offset) = (part.transfer, incoming.next_offset());
        configuration.send(peer, ConfigurationMessage::Next { transfer, offset });
        if incoming.is_whole() {
            self.finish(configuration, peer, puller);
        }
    }

    fn finish(&mut self, configuration: &Configuration, peer: &Peer, puller: &mut Fetcher) {
        let Some(fetch) = self.current.take() else { return };
        let Some(incoming) = fetch.incoming else { return };
        puller.on_answer(&peer.node);
        let metrics = &configuration.context.metrics;
        metrics.configuration_bytes.add(ConfigurationEvent::Pulled, incoming.bytes().len() as u64);
        match catalog_transfer::unpack(incoming.bytes()) {
            Ok(delta) => {
                log::info!(
                    event = "configuration_received",
                    peer = peer.node.as_str(),
                    revision = delta.changed.revision.0,
                    bytes = incoming.bytes().len() as u64,
                    after_ms = fetch.requested_at.elapsed().as_millis() as u64;
                    "received a configuration delta"
                );
                self.apply(configuration, peer, fetch.base, delta, puller);
            }
            Err(error) => {
                log::warn!("KL3001 the configuration from {} is dropped: {error}", peer.node);
                puller.on_unusable(&peer.node, Instant::now());
            }
        }
    }

    fn apply(
        &mut self,
        configuration: &Configuration,
        peer: &Peer,
        requested_with: Fingerprint,
        delta: CatalogDelta,
        puller: &mut Fetcher,
    ) {
        configuration.context.revisions.record(&peer.node, delta.changed.revision);
        let is_whole = delta.base.is_none();
        let catalog = configuration.context.catalog.load();
        match catalog.with_delta(delta) {
            Ok(catalog) => {
                configuration.context.metrics.configuration.count(ConfigurationEvent::Pulled);
                match configuration.offer(catalog, Origin::Peer) {
                    OfferOutcome::Activated => configuration.announce_if_store_watcher(),
                    OfferOutcome::NotNewer => {}
                    OfferOutcome::Rejected => puller.on_unusable(&peer.node, Instant::now()),
                }
            }
            Err(DeltaError::NotNewer) => {}
            Err(DeltaError::DoesNotFit) if is_whole => {
                puller.on_unusable(&peer.node, Instant::now());
            }
            Err(DeltaError::DoesNotFit) => {
                let summary = match catalog.summary() {
                    // This node's catalog has changed since the request.
                    summary if summary.fingerprint != requested_with => summary,
                    // It has not changed: fetch the whole configuration.
                    _ => CatalogSummary::empty(),
                };
                puller.on_refetch(&peer.node, catalog.revision, Instant::now());
                self.start(configuration, peer, summary);
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
