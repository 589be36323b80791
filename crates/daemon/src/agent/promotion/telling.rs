//! Tells the owners of a group that its primary is being replaced, beside what the store says: an owner that does not
//! reach the store would go on at the old primary.

use std::time::Instant;

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::NOTIFY_INTERVAL;
use kestrellock_peer::message::PeerMessage;

use crate::context::NodeContext;
use crate::shard::mailbox::{Mailboxes, ShardMessage};

/// Shard whose connections carry messages that this node begins.
pub const FIRST_SHARD: u16 = 0;

/// What this node tells others of the replacements that it carries out.
#[derive(Debug, Default)]
pub struct Telling {
    last: Option<Instant>,
}

impl Telling {
    /// Tells what is due.
    pub fn step(&mut self, context: &NodeContext, mailboxes: &Mailboxes, now: Instant) {
        let is_early = self.last.is_some_and(|last| now < last + NOTIFY_INTERVAL);
        if is_early || !context.replacements.has_news() {
            return;
        }
        self.last = Some(now);
        let news = context.replacements.take_news();
        for (group, (intent, recorded)) in news.under_way {
            let age = now.saturating_duration_since(recorded);
            context.replacements.on_told(&group, intent.clone(), age, now);
            let message = PeerMessage::ReplacementUnderWay { group: group.clone(), intent, age };
            tell(&group, &message, context, mailboxes);
        }
        for (group, id, led) in news.over {
            context.replacements.on_over(&group, id);
            let message = PeerMessage::ReplacementOver { group: group.clone(), id, led };
            tell(&group, &message, context, mailboxes);
        }
    }
}

fn tell(group: &GroupName, message: &PeerMessage, context: &NodeContext, mailboxes: &Mailboxes) {
    let ownerships = context.ownerships();
    let owners = ownerships.owners_of(group).iter().map(|owner| &owner.node);
    let others: Vec<&NodeName> = owners.filter(|node| **node != context.identity.node).collect();
    for node in others {
        let message = ShardMessage::ToPeer { node: node.clone(), message: message.clone() };
        mailboxes.send(FIRST_SHARD, message);
    }
}
