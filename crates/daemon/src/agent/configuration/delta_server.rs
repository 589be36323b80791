//! Sends peers the difference between their configuration and the active one: in chunks, and to a
//! limited number of peers at a time.

use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;
use kestrellock_core::catalog::{CatalogSummary, Fingerprint, Revision};
use kestrellock_core::distribution::{CHUNK_BYTES, TransferDecision, TransferQueue};
use kestrellock_core::ids::NodeName;
use kestrellock_peer::catalog_transfer::{self, TransferId};
use kestrellock_peer::message::ConfigurationMessage;

use super::{Configuration, Peer};
use crate::metrics::ConfigurationEvent;

/// Number of packed deltas that are kept: nodes of a zone usually have the same configuration and
/// request the same delta.
const MAX_CACHED_DELTAS: usize = 8;

/// The configurations that a delta leads from and to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DeltaSpan {
    base: Fingerprint,
    buckets: usize,
    revision: Revision,
}

#[derive(Debug)]
struct PackedDelta {
    span: DeltaSpan,
    transfer: TransferId,
    bytes: Bytes,
}

/// The peers that are being served, and the deltas for them.
#[derive(Debug, Default)]
pub(super) struct DeltaServer {
    queue: TransferQueue<(u16, CatalogSummary)>,
    packed: VecDeque<PackedDelta>,
    next_transfer: u64,
}

impl DeltaServer {
    /// Handles a fetch request: starts the transfer, or queues the node.
    pub fn on_fetch(&mut self, configuration: &Configuration, peer: &Peer, have: CatalogSummary) {
        let revision = configuration.revision();
        if revision <= have.revision {
            configuration.send(peer, ConfigurationMessage::InForce { revision });
            return;
        }
        match self.queue.request(&peer.node, (peer.shard, have.clone()), Instant::now()) {
            TransferDecision::Start => self.start(configuration, peer, &have),
            TransferDecision::Queue => configuration.send(peer, ConfigurationMessage::Queued),
        }
    }

    /// Handles the acknowledgement of everything before `offset`, and sends the next chunk.
    pub fn on_next(
        &mut self,
        configuration: &Configuration,
        peer: &Peer,
        transfer: TransferId,
        offset: u32,
    ) {
        let packed = self.packed.iter().find(|packed| packed.transfer == transfer);
        match packed.map(|packed| packed.bytes.clone()) {
            Some(bytes) if (offset as usize) < bytes.len() => {
                self.queue.on_chunk_request(&peer.node, Instant::now());
                send_chunk(configuration, peer, transfer, &bytes, offset);
            }
            Some(_) => self.queue.finish(&peer.node),
            // This delta was dropped in favor of newer ones.
            None => self.restart(configuration, peer),
        }
        self.serve_waiting(configuration);
    }

    /// Restarts the transfer to a node that is being served. A node that is not being served any
    /// more requests the configuration again by itself.
    fn restart(&mut self, configuration: &Configuration, peer: &Peer) {
        let request = self.queue.request_of(&peer.node).cloned();
        if let Some((_, have)) = request {
            self.start(configuration, peer, &have);
        }
    }

    /// Ends the transfer to a node that needs no more chunks.
    pub fn on_enough(&mut self, configuration: &Configuration, node: &NodeName) {
        self.queue.finish(node);
        self.serve_waiting(configuration);
    }

    /// Starts the transfer to each queued node whose turn has come.
    pub fn serve_waiting(&mut self, configuration: &Configuration) {
        while let Some((node, (shard, have))) = self.queue.start_next(Instant::now()) {
            self.start(configuration, &Peer { node, shard }, &have);
        }
    }

    /// Whether a node is queued.
    pub fn has_waiting(&self) -> bool {
        self.queue.has_queued()
    }

    fn start(&mut self, configuration: &Configuration, peer: &Peer, have: &CatalogSummary) {
        configuration.context.metrics.configuration.count(ConfigurationEvent::Served);
        let Some((transfer, bytes)) = self.packed_delta(configuration, peer, have) else {
            self.queue.finish(&peer.node);
            return;
        };
        log::info!(
            event = "configuration_sent",
            peer = peer.node.as_str(),
            from_revision = have.revision.0,
            revision = configuration.revision().0,
            bytes = bytes.len() as u64;
            "sending a configuration delta to a node"
        );
        send_chunk(configuration, peer, transfer, &bytes, 0);
    }

    /// Returns the packed delta from a node's configuration to the active one.
    fn packed_delta(
        &mut self,
        configuration: &Configuration,
        peer: &Peer,
        have: &CatalogSummary,
    ) -> Option<(TransferId, Bytes)> {
        let catalog = configuration.context.catalog.load();
        let span = DeltaSpan {
            base: have.fingerprint,
            buckets: have.buckets.len(),
            revision: catalog.revision,
        };
        if let Some(known) = self.packed.iter().find(|packed| packed.span == span) {
            return Some((known.transfer, known.bytes.clone()));
        }
        // Packing a large delta on a slow CPU takes longer than the peer waits for an answer.
        configuration.send(peer, ConfigurationMessage::Queued);
        let bytes = match catalog_transfer::pack(&catalog.delta_for(have)) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!("configuration revision {} not sent: {error}", catalog.revision.0);
                return None;
            }
        };
        let transfer = TransferId(self.next_transfer);
        self.next_transfer += 1;
        self.packed.truncate(MAX_CACHED_DELTAS - 1);
        self.packed.push_front(PackedDelta { span, transfer, bytes: bytes.clone() });
        Some((transfer, bytes))
    }
}

fn send_chunk(
    configuration: &Configuration,
    peer: &Peer,
    transfer: TransferId,
    bytes: &Bytes,
    offset: u32,
) {
    let chunk = catalog_transfer::part_of(transfer, bytes, offset, CHUNK_BYTES);
    let metrics = &configuration.context.metrics.configuration_bytes;
    metrics.add(ConfigurationEvent::Served, chunk.bytes.len() as u64);
    configuration.send(peer, ConfigurationMessage::Part(chunk));
}
