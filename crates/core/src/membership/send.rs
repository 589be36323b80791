//! Composes messages: the sender's record, the body, and as many updates as fit.

use std::net::SocketAddr;

use super::message::{
    BUCKET_HASHES_BYTES, Body, Contact, ENVELOPE_BYTES, MAX_DATAGRAM_BYTES, Message, Outgoing,
};
use super::record::{Health, MemberRecord, Update};
use super::state::Membership;
use crate::ids::NodeName;

impl Membership {
    /// Bytes available in a datagram after its envelope and this node's own record.
    pub(super) fn free_bytes(&self) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(ENVELOPE_BYTES + self.own.encoded_bytes())
    }

    /// Sends a message to a known member.
    pub(super) fn send_to_member(&mut self, node: &NodeName, body: Body) {
        let Some(known) = self.table.get(node) else { return };
        let to = Contact {
            node: node.clone(),
            address: known.record.peer_address,
            process: known.record.health.is_live().then_some(known.record.incarnation.process),
        };
        self.send(to, body);
    }

    /// Sends a ping to a node whose process is not known.
    pub(super) fn send_first_contact(&mut self, node: NodeName, address: SocketAddr) {
        let number = self.prober.number();
        self.send(Contact { node, address, process: None }, Body::Ping { number });
    }

    /// Sends a body with the updates that fit. An update about the receiver itself comes first, so
    /// that a suspect can refute the suspicion.
    pub(super) fn send(&mut self, to: Contact, body: Body) {
        let mut budget = self.free_bytes().saturating_sub(body_bytes(&body));
        let mut updates = Vec::new();
        if let Some(known) = self.table.get(&to.node)
            && known.record.health != Health::Alive
        {
            updates.push(Update::State(known.record.state()));
            budget = budget.saturating_sub(updates[0].encoded_bytes());
        }
        let limit = self.timing.transmissions(self.live_count());
        updates.extend(self.gossip.take(budget, limit));
        let sender = self.own.clone();
        self.outgoing.push(Outgoing { to, message: Message { sender, body, updates } });
    }
}

/// Upper bound of the variable part of an encoded body.
fn body_bytes(body: &Body) -> usize {
    match body {
        Body::Ping { .. } | Body::Ack { .. } | Body::Gossip => 0,
        Body::PingRequest { target, .. } => target.as_str().len(),
        Body::SyncRequest { .. } => BUCKET_HASHES_BYTES,
        Body::SyncRecords { records } => records.iter().map(MemberRecord::encoded_bytes).sum(),
    }
}
