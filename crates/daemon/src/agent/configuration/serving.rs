//! Sends peers what their configuration lacks: in parts, to a few of them at a time.

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

/// Packed deltas kept: nodes of a zone usually have the same and ask for the same.
const KEPT_DELTAS: usize = 8;

/// What a delta leads from and to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    base: Fingerprint,
    buckets: usize,
    revision: Revision,
}

#[derive(Debug)]
struct PackedDelta {
    span: Span,
    transfer: TransferId,
    bytes: Bytes,
}

/// Who is served, and with what.
#[derive(Debug, Default)]
pub(super) struct Serving {
    queue: TransferQueue<(u16, CatalogSummary)>,
    packed: VecDeque<PackedDelta>,
    next_transfer: u64,
}

impl Serving {
    /// A node wants what it lacks.
    pub fn on_fetch(&mut self, own: &Configuration, peer: &Peer, have: CatalogSummary) {
        let revision = own.revision();
        if revision <= have.revision {
            own.send(peer, ConfigurationMessage::InForce { revision });
            return;
        }
        match self.queue.request(&peer.node, (peer.shard, have.clone()), Instant::now()) {
            TransferDecision::Start => self.begin(own, peer, &have),
            TransferDecision::Queue => own.send(peer, ConfigurationMessage::Queued),
        }
    }

    /// A node has received what comes before `offset`.
    pub fn on_next(&mut self, own: &Configuration, peer: &Peer, transfer: TransferId, offset: u32) {
        let packed = self.packed.iter().find(|packed| packed.transfer == transfer);
        match packed.map(|packed| packed.bytes.clone()) {
            Some(bytes) if (offset as usize) < bytes.len() => {
                self.queue.on_chunk_request(&peer.node, Instant::now());
                send_part(own, peer, transfer, &bytes, offset);
            }
            Some(_) => self.queue.finish(&peer.node),
            // It was dropped for newer ones.
            None => self.begin_again(own, peer),
        }
        self.serve_waiting(own);
    }

    /// Begins anew for a node that is being served; one that has not asked for long asks again by itself.
    fn begin_again(&mut self, own: &Configuration, peer: &Peer) {
        let question = self.queue.request_of(&peer.node).cloned();
        if let Some((_, have)) = question {
            self.begin(own, peer, &have);
        }
    }

    /// A node wants no more.
    pub fn on_enough(&mut self, own: &Configuration, node: &NodeName) {
        self.queue.finish(node);
        self.serve_waiting(own);
    }

    /// Serves those whose turn has come.
    pub fn serve_waiting(&mut self, own: &Configuration) {
        while let Some((node, (shard, have))) = self.queue.start_next(Instant::now()) {
            self.begin(own, &Peer { node, shard }, &have);
        }
    }

    /// Whether a node waits for its turn.
    pub fn has_waiting(&self) -> bool {
        self.queue.has_queued()
    }

    fn begin(&mut self, own: &Configuration, peer: &Peer, have: &CatalogSummary) {
        own.context.metrics.configuration.count(ConfigurationEvent::Served);
        let Some((transfer, bytes)) = self.packed_for(own, peer, have) else {
            self.queue.finish(&peer.node);
            return;
        };
        log::info!(
            event = "configuration_sent",
            peer = peer.node.as_str(),
            from_revision = have.revision.0,
            revision = own.revision().0,
            bytes = bytes.len() as u64;
            "a node fetches what its configuration lacks"
        );
        send_part(own, peer, transfer, &bytes, 0);
    }

    /// The delta from what a node has to what is in force.
    fn packed_for(
        &mut self,
        own: &Configuration,
        peer: &Peer,
        have: &CatalogSummary,
    ) -> Option<(TransferId, Bytes)> {
        let catalog = own.context.catalog.load();
        let span = Span {
            base: have.fingerprint,
            buckets: have.buckets.len(),
            revision: catalog.revision,
        };
        if let Some(known) = self.packed.iter().find(|packed| packed.span == span) {
            return Some((known.transfer, known.bytes.clone()));
        }
        // Packing a large one takes a slow processor longer than an answer is waited for.
        own.send(peer, ConfigurationMessage::Queued);
        let bytes = match catalog_transfer::pack(&catalog.delta_for(have)) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!("configuration revision {} not sent: {error}", catalog.revision.0);
                return None;
            }
        };
        let transfer = TransferId(self.next_transfer);
        self.next_transfer += 1;
        self.packed.truncate(KEPT_DELTAS - 1);
        self.packed.push_front(PackedDelta { span, transfer, bytes: bytes.clone() });
        Some((transfer, bytes))
    }
}

fn send_part(own: &Configuration, peer: &Peer, transfer: TransferId, bytes: &Bytes, offset: u32) {
    let part = catalog_transfer::part_of(transfer, bytes, offset, CHUNK_BYTES);
    let metrics = &own.context.metrics.configuration_bytes;
    metrics.add(ConfigurationEvent::Served, part.bytes.len() as u64);
    own.send(peer, ConfigurationMessage::Part(part));
}
