//! Resolves the exchanges that were in progress on a link that went silent, after another link has
//! replaced it.
//!
//! The front sends the list of its leases at the other node. The gateway's node ends all other
//! leases of that front, sends the events that the front has missed again, and reports exchanges
//! that it does not know. The front may retry such an exchange only if it certainly never arrived.

use std::time::Instant;

use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::{HeldLease, LeaseEvent, PeerMessage, ToFront};

use super::Shard;
use crate::event::Io;

/// Whether the event is the last one of its exchange.
fn is_final(event: &LeaseEvent) -> bool {
    !matches!(event, LeaseEvent::Part(_))
}

impl Shard {
    /// Handles the messages that had arrived on replaced links, then sends the other nodes the
    /// leases that this node's front has there. Messages that waited for the new link were sent on
    /// it before this list, so an exchange that the other node does not know when it receives the
    /// list has never reached it.
    pub(super) fn handle_link_replacements(&mut self, io: &mut Io) {
        for replacement in self.links.take_link_replacements() {
            let node = replacement.old.node.clone();
            self.handle_messages(replacement.received, Some(replacement.old), io);
            self.deliver(io);
            // Read the clock again: the reported age of an exchange must not be too low.
            let leases = self.front.held_leases(&node, Instant::now());
            let sender = io.context.identity.node.clone();
            let message = PeerMessage::Reconnected { node: sender, leases };
            // If the link cannot take the message, it breaks and its exchanges are lost with it.
            let _ = self.links.send(&node, message, io);
        }
    }

    /// Handles the list of the leases that a front has here. Its other leases end, and events that
    /// it has not received are sent again. An exchange that is unknown here has not arrived and
    /// never will.
    ///
    /// `opened` is when the link was opened that the list arrived on. The front sent the list later
    /// than that, so the age of an exchange is at most the age that the front reports plus the age
    /// of the link, however long the list was in transit.
    pub(super) fn on_reconnected(
        &mut self,
        node: &NodeName,
        held: &[HeldLease],
        opened: Option<Instant>,
        io: &mut Io,
    ) {
        self.links.close_replaced(node, io);
        self.gateway.retain_leases(node, held, io);
        for lease in held {
            self.resend_missed(node, lease, opened, io);
        }
    }

    fn resend_missed(
        &mut self,
        node: &NodeName,
        held: &HeldLease,
        opened: Option<Instant>,
        io: &mut Io,
    ) {
        let missed = self.recent_answers.since(&held.lease, held.next_sequence);
        let next_sequence = missed.last().map_or(held.next_sequence, |(last, _)| last + 1);
        let is_answered = missed.iter().any(|(_, event)| is_final(event));
        for (sequence, event) in missed {
            self.resend_to_front(node, held, sequence, event, io);
        }
        let Some(sent_ago) = held.sent_ago else { return };
        if is_answered || self.gateway.is_lease_active(&held.lease) {
            return;
        }
        let now = Instant::now();
        let age = opened.map(|opened| sent_ago + now.saturating_duration_since(opened));
        let has_not_run = age.is_some_and(|age| self.recent_answers.covers(age, now));
        // An idle transaction of the lease is rolled back here; its front ends it too.
        self.gateway.mark_not_run(&held.lease, io);
        let event = LeaseEvent::NotInProgress { has_not_run };
        self.resend_to_front(node, held, next_sequence, event, io);
    }

    fn resend_to_front(
        &mut self,
        node: &NodeName,
        held: &HeldLease,
        sequence: u32,
        event: LeaseEvent,
        io: &mut Io,
    ) {
        let message = ToFront::Resent { lease: held.lease.clone(), sequence, event };
        let shard = Some(held.lease.shard);
        // If the front cannot be reached, its deadline ends the exchange.
        let _ = self.links.send(node, PeerMessage::ToFront { shard, message }, io);
    }
}
