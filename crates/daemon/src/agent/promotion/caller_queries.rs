//! Asks processes of other nodes whether the promotions that they sent as coordinators have ended,
//! and answers such queries.

use std::time::Instant;

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::PromotionCaller;
use kestrellock_peer::message::PeerMessage;

use super::announcer::FIRST_SHARD;
use crate::context::NodeContext;
use crate::shard::mailbox::{Mailboxes, ShardMessage};

/// Sends the queued queries of this node's coordinator.
pub fn send_queries(context: &NodeContext, mailboxes: &Mailboxes) {
    for (group, caller) in context.promotion_calls.take_queries() {
        let node = caller.node.clone();
        let message = PeerMessage::PromotionCallQuery { group, caller };
        mailboxes.send(FIRST_SHARD, ShardMessage::ToPeer { node, message });
    }
}

/// Answers the query of `from` about a process of this node; `None` while its calls may arrive. The
/// sender repeats the query.
pub fn answer(
    group: GroupName,
    caller: PromotionCaller,
    from: &NodeName,
    context: &NodeContext,
    now: Instant,
) -> Option<PeerMessage> {
    let has_ended = caller.node == context.identity.node
        && context.promotion_calls.confirm_ended(&group, &caller, now);
    if !has_ended {
        return None;
    }
    log::info!(
        event = "promotion_call_query",
        group = group.as_str(),
        from = from.as_str(),
        fence = caller.fence,
        process = caller.process;
        "promotions of this node have ended, as a later coordinator has asked"
    );
    Some(PeerMessage::PromotionCallsEnded { group, caller })
}
