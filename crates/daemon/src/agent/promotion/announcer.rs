//! Announces the replacements that this node coordinates to the owners of their groups. The owners
//! also learn of them from the store, but an owner that cannot reach the store would otherwise
//! continue to use the old primary.

use std::time::Instant;

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::TELL_INTERVAL;
use kestrellock_peer::message::PeerMessage;

use crate::context::NodeContext;
use crate::shard::mailbox::{Mailboxes, ShardMessage};

/// Shard whose connections carry the messages that this node initiates.
pub const FIRST_SHARD: u16 = 0;

/// Announces the replacements that this node coordinates.
#[derive(Debug, Default)]
pub struct ReplacementAnnouncer {
    last: Option<Instant>,
}

impl ReplacementAnnouncer {
    /// Sends the announcements, unless the last ones are more recent than [`TELL_INTERVAL`].
    pub fn step(&mut self, context: &NodeContext, mailboxes: &Mailboxes, now: Instant) {
        let is_early = self.last.is_some_and(|last| now < last + TELL_INTERVAL);
        if is_early || !context.replacements.has_updates() {
            return;
        }
        self.last = Some(now);
        let updates = context.replacements.take_updates();
        for (group, (intent, recorded)) in updates.running {
            let age = now.saturating_duration_since(recorded);
            context.replacements.on_reported(&group, intent.clone(), age, now);
            let message = PeerMessage::ReplacementUnderWay { group: group.clone(), intent, age };
            announce(&group, &message, context, mailboxes);
        }
        for (group, id, led) in updates.ended {
            context.replacements.on_reported_end(&group, id);
            let message = PeerMessage::ReplacementOver { group: group.clone(), id, led };
            announce(&group, &message, context, mailboxes);
        }
    }
}

fn announce(
    group: &GroupName,
    message: &PeerMessage,
    context: &NodeContext,
    mailboxes: &Mailboxes,
) {
    let ownerships = context.ownerships();
    let owners = ownerships.owners_of(group).iter().map(|owner| &owner.node);
    let others: Vec<&NodeName> = owners.filter(|node| **node != context.identity.node).collect();
    for node in others {
        let message = ShardMessage::ToPeer { node: node.clone(), message: message.clone() };
        mailboxes.send(FIRST_SHARD, message);
    }
}
