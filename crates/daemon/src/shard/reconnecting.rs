//! Settles what was under way on a connection between nodes that went silent, once another one has
//! taken its place: the front names its leases, and the gateway tells of each what the front has missed.

use std::time::Instant;

use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::{HeldLease, LeaseEvent, PeerMessage, ToFront};

use super::Shard;
use crate::event::Io;

/// Whether nothing follows for the exchange that it belongs to.
fn is_final(event: &LeaseEvent) -> bool {
    !matches!(event, LeaseEvent::Part(_))
}

impl Shard {
    /// Takes in what had arrived on connections that were replaced, then tells the other nodes which
    /// leases this node's front has with them. Whatever waited for the new connection went out on it
    /// before, so all that is not known to the other node then has never reached it.
    pub(super) fn follow_replacements(&mut self, io: &mut Io) {
        for replacement in self.links.take_replacements() {
            let node = replacement.old.node.clone();
            self.take_in(replacement.received, Some(replacement.old), io);
            self.deliver(io);
            // Read again: what is told of the time since statements were sent must not be too little.
            let leases = self.front.held_leases(&node, Instant::now());
            let sender = io.context.identity.node.clone();
            let message = PeerMessage::Reconnected { node: sender, leases };
            // A connection that cannot take it breaks, and what is under way is lost with it.
            let _ = self.links.send(&node, message, io);
        }
    }

    /// A front names the leases that it has here: others are over, and answers that it has not heard
    /// are given again. An exchange of which nothing is known has not arrived and never will.
    /// `opened` is when the connection was opened that tells this: the front told it after that, so that an
    /// exchange is no older than what the front says and the age of the connection together, however
    /// long the message was on its way.
    pub(super) fn on_reconnected(
        &mut self,
        node: &NodeName,
        held: &[HeldLease],
        opened: Option<Instant>,
        io: &mut Io,
    ) {
        self.links.drop_replaced(node, io);
        self.gateway.retain_leases(node, held, io);
        for lease in held {
            self.repeat_missed(node, lease, opened, io);
        }
    }

    fn repeat_missed(
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
            self.tell_front(node, held, sequence, event, io);
        }
        let Some(sent_ago) = held.sent_ago else { return };
        if is_answered || self.gateway.is_lease_active(&held.lease) {
            return;
        }
        let now = Instant::now();
        let age = opened.map(|opened| sent_ago + now.saturating_duration_since(opened));
        let has_not_run = age.is_some_and(|age| self.recent_answers.covers(age, now));
        // A transaction that rests here is rolled back: its front ends it as well.
        self.gateway.mark_not_run(&held.lease, io);
        let event = LeaseEvent::NotUnderWay { has_not_run };
        self.tell_front(node, held, next_sequence, event, io);
    }

    fn tell_front(
        &mut self,
        node: &NodeName,
        held: &HeldLease,
        sequence: u32,
        event: LeaseEvent,
        io: &mut Io,
    ) {
        let message = ToFront::Again { lease: held.lease.clone(), sequence, event };
        let shard = Some(held.lease.shard);
        // A front that cannot be reached finds its deadline.
        let _ = self.links.send(node, PeerMessage::ToFront { shard, message }, io);
    }
}
