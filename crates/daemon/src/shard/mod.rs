//! A shard: one event-loop thread with its client connections (front), server connections (gateway)
//! and links to other nodes.
//!
//! The parts exchange messages through an outbox. The shard delivers each message to its own front
//! or gateway, to another shard's mailbox, or over a link to another node.
//!
//! A lock protects the shard's state. The shard's thread holds it while it handles events; the
//! admin thread takes it to read the state for its reports.

pub mod event_loop;
pub mod mailbox;
pub mod recent_answers;
mod reconnecting;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::{NodeVotes, PeerAnswer, PromotionCaller};
use kestrellock_core::quota::Outgoing as QuotaOutgoing;
use kestrellock_peer::message::{GatewayCall, PeerMessage, ToFront, ToGateway};
use mio::{Registry, Token};

use crate::agent::promotion::{answer_caller_query, answer_replacement_query};
use crate::context::NodeContext;
use crate::event::{EventSource, Io, Outgoing, event_source};
use crate::front::Front;
use crate::gateway::Gateway;
use crate::links::{Links, Origin};
use crate::metrics::VoteEvent;
use crate::shard::mailbox::{Mailboxes, ShardMessage};
use crate::shard::recent_answers::RecentAnswers;
use crate::shared::inbox::Received;

/// State of one shard.
pub struct Shard {
    number: u16,
    context: Arc<NodeContext>,
    mailboxes: Arc<Mailboxes>,
    outbox: VecDeque<Outgoing>,
    /// The client-facing part of the node: this shard's client connections and sessions.
    pub front: Front,
    /// The instance-facing part of the node: this shard's pooled connections to instances.
    pub gateway: Gateway,
    /// Connections to other nodes.
    pub links: Links,
    /// Events sent recently to fronts of other nodes.
    recent_answers: RecentAnswers,
    leave_sent: bool,
    links_ended: bool,
}

impl Shard {
    /// Creates a shard without connections.
    pub fn new(number: u16, context: Arc<NodeContext>, mailboxes: Arc<Mailboxes>) -> Self {
        Self {
            number,
            front: Front::new(context.identity.clone(), number),
            gateway: Gateway::default(),
            links: Links::new(&context, number),
            context,
            mailboxes,
            outbox: VecDeque::new(),
            recent_answers: RecentAnswers::default(),
            leave_sent: false,
            links_ended: false,
        }
    }

    /// Runs `work` on this shard, then delivers the messages that it queued.
    fn with_io(
        &mut self,
        registry: &Registry,
        now: Instant,
        work: impl FnOnce(&mut Self, &mut Io),
    ) {
        let context = self.context.clone();
        let mut outbox = std::mem::take(&mut self.outbox);
        let mut io =
            Io { registry, now, outbox: &mut outbox, context: &context, shard: self.number };
        work(self, &mut io);
        self.deliver(&mut io);
        self.handle_lost_peers(&mut io);
        self.deliver(&mut io);
        self.deliver_quotas(&mut io);
        self.outbox = outbox;
    }

    /// Handles readiness of one connection.
    pub fn on_ready(&mut self, ready: Token, registry: &Registry, now: Instant) {
        self.with_io(registry, now, |shard, io| match event_source(ready) {
            (EventSource::Mailbox, _) => {}
            (EventSource::Client, key) => shard.front.on_ready(key, io),
            (EventSource::Server, key) => shard.gateway.on_ready(key, io),
            (EventSource::Link, key) => {
                let received = shard.links.on_ready(key, io);
                let from = shard.links.origin(key);
                shard.handle_link_replacements(io);
                shard.handle_messages(received, from, io);
            }
        });
    }

    /// Handles a message from another thread of the node.
    pub fn on_message(&mut self, message: ShardMessage, registry: &Registry, now: Instant) {
        self.with_io(registry, now, |shard, io| match message {
            ShardMessage::Client(stream) => shard.front.accept(stream, io),
            ShardMessage::Peer(stream) => shard.links.accept(stream, io),
            ShardMessage::Cancel(key) => shard.front.on_cancel(key, io),
            ShardMessage::ToGateway(message) => shard.gateway.on_call(message, io),
            ShardMessage::ToFront(message) => shard.front.on_message(message, io),
            ShardMessage::ToPeer { node, message } => {
                // Best effort: a sender that needs an answer retries.
                let _ = shard.links.send(&node, message, io);
            }
            ShardMessage::EndWork => shard.gateway.end_work_for_stop(io),
            ShardMessage::Leave => shard.send_leave(io),
            ShardMessage::EndLinks => {
                shard.links.end(io);
                shard.links_ended = true;
            }
            ShardMessage::PeerLost(node) => shard.on_peer_lost(&node, io),
        });
    }

    /// Lets every part handle timeouts and periodic work.
    pub fn on_tick(&mut self, registry: &Registry, now: Instant) {
        self.with_io(registry, now, |shard, io| {
            io.context.quotas.on_tick(io.context, io.now);
            shard.gateway.on_tick(io);
            shard.front.on_tick(io);
            shard.links.on_tick(io);
        });
    }

    /// Whether a part soon acts on the passage of time, so that short ticks are needed.
    pub fn is_waiting(&self) -> bool {
        self.front.is_waiting() || self.gateway.is_waiting()
    }

    /// Whether the gateway must send probes before the next tick.
    pub fn is_urgent(&self, now: Instant) -> bool {
        self.gateway.is_urgent(now)
    }

    /// Lets the gateway send its urgent probes.
    pub fn on_urgent(&mut self, registry: &Registry, now: Instant) {
        self.with_io(registry, now, |shard, io| shard.gateway.on_urgent(io));
    }

    /// Whether no work is left and none has arrived from other nodes for `quiet`.
    pub fn is_drained(&self, quiet: Duration) -> bool {
        self.front.clients() == 0 && self.gateway.is_drained(quiet)
    }

    /// Sends leave messages: exchanges that this node has not answered will never run here.
    fn send_leave(&mut self, io: &mut Io) {
        let node = io.context.identity.node.clone();
        self.links.broadcast(&PeerMessage::Leave { node }, io.now);
        self.leave_sent = true;
    }

    /// Whether the kernel has taken the leave messages and everything before them.
    pub fn has_sent_leave(&self) -> bool {
        self.leave_sent && self.links.are_flushed()
    }

    /// Whether this shard has ended its links and the other nodes have closed them.
    pub fn has_closed_links(&self) -> bool {
        self.links_ended && self.links.are_closed()
    }

    /// Handles messages that arrived on the link `from`; `None` if that link has been removed.
    fn handle_messages(&mut self, received: Vec<PeerMessage>, from: Option<Origin>, io: &mut Io) {
        for message in received {
            match message {
                PeerMessage::Configuration { from, message } => {
                    let shard = self.number;
                    io.context.distribution_inbox.deliver(Received { from, shard, message });
                }
                PeerMessage::EvidenceRevoked { node, group, id, witness } => {
                    io.context.revoked_evidence.add(&group, id, &node, witness, io.now);
                }
                PeerMessage::ReplacementInProgress { group, intent, age } => {
                    io.context.metrics.replacement_messages.inc();
                    // Read the clock again: a copy of the store that was requested since `io.now` may
                    // lack the replacement.
                    io.context.replacements.on_reported(&group, intent, age, Instant::now());
                }
                PeerMessage::ReplacementFinished { group, id, led } => {
                    // The term comes first: once the replacement is known to have ended, an answer of
                    // the old primary is covered for longer, unless its successor's term is known.
                    if let Some(term) = led {
                        io.context.statuses.on_led(&group, term);
                    }
                    io.context.replacements.on_reported_end(&group, id);
                }
                PeerMessage::PromotionCallQuery { group, caller } => {
                    if let Some(origin) = &from {
                        self.answer_caller_query(&origin.node, group, caller, io);
                    }
                }
                PeerMessage::PromotionCallsEnded { group, caller } => {
                    // Only a process of the caller's node knows.
                    if from.as_ref().is_some_and(|origin| origin.node == caller.node) {
                        io.context.promotion_calls.on_ended(group, caller);
                    }
                }
                PeerMessage::ReplacementQuery { number, groups, nodes_digest } => {
                    if let Some(origin) = &from {
                        let answer =
                            answer_replacement_query(number, groups, nodes_digest, io.context);
                        // Without the answer the other node's check is not confirmed.
                        let _ = self.links.send(&origin.node, answer, io);
                    }
                }
                PeerMessage::ReplacementQueryAnswer { number, unreplaced } => {
                    if let Some(origin) = &from {
                        io.context.replacement_checks.add_answer(PeerAnswer {
                            from: origin.node.clone(),
                            number,
                            unreplaced: unreplaced.into_iter().collect(),
                            arrived: Instant::now(),
                        });
                    }
                }
                PeerMessage::PrimaryVotes { round, votes } => {
                    if let Some(origin) = &from {
                        self.on_votes(&origin.node, round, votes, io);
                    }
                }
                PeerMessage::PrimaryVotesReceived { round } => {
                    if let Some(origin) = &from {
                        io.context.peer_votes.on_confirmed(&origin.node, round);
                    }
                }
                PeerMessage::Quota(message) => {
                    if let Some(origin) = &from {
                        io.context.quotas.on_message(&origin.node, message, io.context, io.now);
                    }
                }
                PeerMessage::Cancel(key) => self.cancel_locally(key, io),
                PeerMessage::Pong => {}
                PeerMessage::Reconnected { node, leases } => {
                    let opened = from.as_ref().map(|origin| origin.opened);
                    self.on_reconnected(&node, &leases, opened, io);
                }
                PeerMessage::Ping => {
                    if let Some(origin) = &from {
                        // If the pong is lost, the other node pings again or replaces the link.
                        let _ = self.links.send(&origin.node, PeerMessage::Pong, io);
                    }
                }
                PeerMessage::Leave { node } => {
                    self.links.on_left(&node);
                    self.front.on_peer_left(&node, io);
                }
                PeerMessage::ToGateway(message) => {
                    let node = io.context.identity.node.clone();
                    io.outbox.push_back(Outgoing::Gateway { node, message });
                }
                PeerMessage::ToFront { shard, message } => {
                    let node = io.context.identity.node.clone();
                    io.outbox.push_back(Outgoing::Front { node, shard, message });
                }
            }
        }
    }

    fn answer_caller_query(
        &mut self,
        from: &NodeName,
        group: GroupName,
        caller: PromotionCaller,
        io: &mut Io,
    ) {
        if let Some(answer) = answer_caller_query(group, caller, from, io.context, io.now) {
            // If the answer is lost, the coordinator asks again.
            let _ = self.links.send(from, answer, io);
        }
    }

    fn on_votes(&mut self, from: &NodeName, round: u64, votes: NodeVotes, io: &mut Io) {
        let nodes = (&io.context.identity.node, from);
        let owners = io.context.ownership_snapshot();
        if io.context.peer_votes.on_votes(nodes, votes, &owners, io.now) {
            io.context.metrics.votes.count(VoteEvent::Received);
            // If the confirmation is lost, the sender's votes also go through the store.
            let _ = self.links.send(from, PeerMessage::PrimaryVotesReceived { round }, io);
        }
    }

    fn deliver(&mut self, io: &mut Io) {
        while let Some(outgoing) = io.outbox.pop_front() {
            match outgoing {
                Outgoing::Gateway { node, message } => self.deliver_to_gateway(node, message, io),
                Outgoing::Front { node, shard, message } => {
                    self.deliver_to_front(node, shard, message, io);
                }
                Outgoing::Cancel(key) => self.cancel(key, io),
            }
        }
    }

    /// Sends the queued quota messages and resumes operations that waited for quota answers.
    fn deliver_quotas(&mut self, io: &mut Io) {
        loop {
            let (messages, answered) = io.context.quotas.take_updates();
            if messages.is_empty() && answered.is_empty() {
                return;
            }
            for QuotaOutgoing { to, message } in messages {
                if self.links.send(&to, PeerMessage::Quota(message), io).is_some() {
                    io.context.quotas.on_unreachable(&to, io.now);
                }
            }
            self.front.on_quota_answers(&answered, io);
            self.deliver(io);
        }
    }

    /// Sends the messages queued for other nodes since the last call, many in one system call.
    pub fn flush_links(&mut self, registry: &Registry, now: Instant) {
        self.with_io(registry, now, |shard, io| shard.links.flush(io));
    }

    /// Forwards a cancel request to every node that may own the session.
    fn cancel(&mut self, key: CancelKey, io: &mut Io) {
        let live = io.context.live.load();
        for peer in live.iter().filter(|peer| key.may_belong_to(&peer.candidate.node)) {
            let node = &peer.candidate.node;
            if *node == io.context.identity.node {
                self.cancel_locally(key, io);
            } else {
                // Best effort, like every cancel request.
                let _ = self.links.send(node, PeerMessage::Cancel(key), io);
            }
        }
    }

    fn cancel_locally(&mut self, key: CancelKey, io: &mut Io) {
        for shard in (0..io.context.shards).filter(|shard| *shard != self.number) {
            self.mailboxes.send(shard, ShardMessage::Cancel(key));
        }
        self.front.on_cancel(key, io);
    }

    /// Handles links that closed or went silent and messages that were never sent: notifies the
    /// other shards, membership, quotas and the front.
    fn handle_lost_peers(&mut self, io: &mut Io) {
        let mut lost = self.links.take_lost();
        if self.links_ended {
            // The other nodes close links that this node has ended.
            lost.clear();
        }
        for node in lost {
            for shard in (0..io.context.shards).filter(|shard| *shard != self.number) {
                self.mailboxes.send(shard, ShardMessage::PeerLost(node.clone()));
            }
            io.context.membership.hint_unreachable(&node);
            self.on_peer_lost(&node, io);
        }
        for node in self.links.take_silent() {
            log::warn!(event = "peer_silent", peer = node.as_str(); "a node does not respond to messages or pings");
            io.context.routing_overrides.avoid(&node, io.now);
            if io.context.isolation.is_enabled()
                && let Some(zone) = io.context.zone_of(&node)
            {
                io.context.routing_overrides.on_silent_node(&node, &zone, io.now);
            }
            io.context.quotas.on_unreachable(&node, io.now);
            self.front.on_peer_silent(&node, io);
        }
        for message in self.links.take_unsent() {
            if let PeerMessage::ToGateway(message) = message {
                self.on_undelivered(message, io);
            }
        }
    }

    /// Handles a lost link to `node`. Every shard is notified, because answers travel over the
    /// links of any shard.
    fn on_peer_lost(&mut self, node: &NodeName, io: &mut Io) {
        io.context.quotas.on_unreachable(node, io.now);
        self.front.on_peer_lost(node, io);
        self.gateway.on_peer_lost(node, io);
    }

    fn deliver_to_gateway(&mut self, node: NodeName, message: ToGateway, io: &mut Io) {
        if node != io.context.identity.node {
            let unsent = self.links.send(&node, PeerMessage::ToGateway(message), io);
            if let Some(PeerMessage::ToGateway(message)) = unsent {
                self.on_undelivered(message, io);
            }
            return;
        }
        let shard = io.context.shard_of(&message.group);
        if shard == self.number {
            self.gateway.on_call(message, io);
        } else {
            self.mailboxes.send(shard, ShardMessage::ToGateway(message));
        }
    }

    /// Handles a message to a gateway that was never sent.
    fn on_undelivered(&mut self, message: ToGateway, io: &mut Io) {
        if let GatewayCall::Exchange(exchange) = message.call {
            self.front.on_undelivered(&exchange, io);
        }
    }

    fn deliver_to_front(
        &mut self,
        node: NodeName,
        shard: Option<u16>,
        message: ToFront,
        io: &mut Io,
    ) {
        if node != io.context.identity.node {
            if let ToFront::Lease { lease, sequence, event } = &message {
                // Read the clock again: this process may have been paused since the event arrived.
                self.recent_answers.record(lease, *sequence, event, Instant::now());
            }
            // If the front cannot be reached, it notices the gap in the sequence or its deadline
            // passes.
            let _ = self.links.send(&node, PeerMessage::ToFront { shard, message }, io);
            return;
        }
        match (shard, message) {
            (_, ToFront::Statuses { group, statuses }) => {
                io.context.statuses.update(&group, statuses)
            }
            (Some(shard), message) if shard != self.number => {
                self.mailboxes.send(shard, ShardMessage::ToFront(message));
            }
            (_, message) => self.front.on_message(message, io),
        }
    }
}
