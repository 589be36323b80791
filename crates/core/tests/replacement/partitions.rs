//! Partitions that hold what a node has sent. When the partition ends, the messages arrive in
//! order, also those whose sender has abandoned the request, was killed or is suspended. Messages
//! are lost if their sender's machine loses power, or if the connection is reset.

use std::collections::{BTreeMap, BTreeSet};

use kestrellock_core::promotion::{Event, PromotionAnswer};
use rand::RngExt;

use crate::messages::{Call, Message};
use crate::node::{group_name, instance_name};
use crate::plan::FaultKind;
use crate::store::Operation;
use crate::world::World;

/// Time after which a node abandons a promotion request.
const PROMOTION_TIMEOUT_MS: u64 = 1_000;
/// Share of the changes that the store executes late while it does so.
const LATE_WRITE_SHARE: f64 = 0.2;
/// Delay of a change that the store executes late.
const LATE_WRITE_DELAY_MS: std::ops::RangeInclusive<u64> = 1_000..=6_000;

/// What a node's messages are addressed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    /// The platform's promotion service.
    Promotions,
    /// The instances.
    Requests,
    /// The store.
    StoreCalls,
}

/// The messages that partitions hold.
#[derive(Debug, Default)]
pub struct Partitions {
    /// Whether the promotion client resets the connection of a request that it abandons, and the
    /// kernel resets it when the process ends. Otherwise the connection is closed without a reset,
    /// and held requests still arrive.
    pub promotion_client_resets: bool,
    /// Whether the record of each intent requires the revision of the intent that it replaces;
    /// otherwise only the record of one that says that a promotion may be sent.
    pub every_intent_is_conditional: bool,
    /// Whether nodes acknowledge commits whose answers no evidence covers.
    pub acknowledges_uncovered_answers: bool,
    /// Held messages by channel and sender, in the order in which they were sent.
    held: BTreeMap<(Channel, usize), Vec<Message>>,
    /// Promotion requests that their senders wait for.
    awaited: BTreeSet<u64>,
    /// Those of them that have been sent.
    sent: BTreeSet<u64>,
    /// Processes, by node, whose machines have lost power.
    lost_power: BTreeSet<(usize, u64)>,
    /// Number of messages that arrived after they had been held.
    pub late_arrivals: u64,
}

impl Partitions {
    /// Handles the end of a node's process, whose kernel closes its connections.
    pub fn on_process_ended(&mut self, node: usize) {
        if self.promotion_client_resets {
            self.held.remove(&(Channel::Promotions, node));
        }
    }

    /// Discards everything that a node's process has sent: its machine has lost power.
    pub fn on_power_lost(&mut self, node: usize, process: u64) {
        self.lost_power.insert((node, process));
        self.held.retain(|(_, sender), _| *sender != node);
    }

    fn hold(&mut self, channel: Channel, node: usize, message: Message) {
        self.held.entry((channel, node)).or_default().push(message);
    }

    /// Discards a held promotion request.
    fn discard_promotion(&mut self, node: usize, abandoned: u64) {
        let is_abandoned = |message: &Message| matches!(message, Message::Promote { call, .. } if *call == abandoned);
        if let Some(held) = self.held.get_mut(&(Channel::Promotions, node)) {
            held.retain(|message| !is_abandoned(message));
        }
    }
}

impl World {
    /// Holds a message of a partitioned node and drops the answers to it; returns other messages.
    pub fn hold(&mut self, message: Message) -> Option<Message> {
        let (channel, (node, process), is_answer) = match &message {
            Message::Promote { node, process, .. } => {
                (Channel::Promotions, (*node, *process), false)
            }
            Message::PromotionAnswered { node, process, .. } => {
                (Channel::Promotions, (*node, *process), true)
            }
            Message::Request(exchange) => {
                (Channel::Requests, (exchange.node, exchange.process), false)
            }
            Message::Answer(exchange, _) => {
                (Channel::Requests, (exchange.node, exchange.process), true)
            }
            Message::Call(call) => (Channel::StoreCalls, (call.node, call.process), false),
            Message::CallAnswered(call, ..) => {
                (Channel::StoreCalls, (call.node, call.process), true)
            }
            _ => return Some(message),
        };
        let fault = match channel {
            Channel::Promotions => FaultKind::HoldPromotions(node),
            Channel::Requests => FaultKind::HoldRequests(node),
            Channel::StoreCalls => FaultKind::HoldStoreCalls(node),
        };
        if !self.is_active(fault) {
            return Some(message);
        }
        if !is_answer && !self.is_lost_with_sender(channel, node, process) {
            self.partitions.hold(channel, node, message);
        }
        None
    }

    /// Whether a message that is still on its way is lost because its sender's process has ended.
    fn is_lost_with_sender(&self, channel: Channel, node: usize, process: u64) -> bool {
        let has_ended = !self.nodes[node].alive || self.nodes[node].process != process;
        let has_lost_power = self.partitions.lost_power.contains(&(node, process));
        let is_reset = channel == Channel::Promotions && self.partitions.promotion_client_resets;
        has_ended && (has_lost_power || is_reset)
    }

    /// Delivers the held messages of a node, unless another partition still holds them.
    pub fn release_held(&mut self, channel: Channel, node: usize) {
        let held = self.partitions.held.remove(&(channel, node)).unwrap_or_default();
        for message in held {
            self.trace.record(self.now, || format!("arrives late from node {node}: {message:?}"));
            self.partitions.late_arrivals += 1;
            self.deliver(message);
        }
    }

    /// Whether a message between two nodes is lost because one of them is cut off from the others.
    pub fn is_cut_from_peers(&self, message: &Message) -> bool {
        let (from, to) = match message {
            Message::EvidenceRevoked { from, to, .. }
            | Message::ReplacementStarted { from, to, .. }
            | Message::ReplacementFinished { from, to, .. }
            | Message::CallerQuery { from, to, .. }
            | Message::CallsEnded { from, to, .. }
            | Message::Probe { from, to }
            | Message::Probed { from, to, .. } => (*from, *to),
            _ => return false,
        };
        self.is_active(FaultKind::CutPeers(from)) || self.is_active(FaultKind::CutPeers(to))
    }

    /// Begins a promotion request, unless the process has one open or a later coordinator has asked
    /// about this fencing token. Requests in worlds without aimed faults have no timeout and are not
    /// counted.
    pub fn begin_promotion(&mut self, node: usize, instance: usize, fence: u64, call: u64) -> bool {
        let (name, now) = (instance_name(instance), self.at(self.now));
        let calls = &mut self.nodes[node].own_calls;
        if self.aimed.is_none() || calls.begin(&group_name(), &name, fence, now) {
            return true;
        }
        self.partitions.awaited.insert(call);
        let (process, answer) = (self.nodes[node].process, PromotionAnswer::NotSent);
        let refused = Message::PromotionAnswered { node, process, instance, call, answer };
        self.send(refused);
        false
    }

    /// Handles the answer to a promotion request. Returns whether the node still waits for it.
    pub fn on_promotion_answered(
        &mut self,
        node: usize,
        call: u64,
        answer: PromotionAnswer,
    ) -> bool {
        if self.aimed.is_none() {
            return true;
        }
        let is_awaited = self.partitions.awaited.remove(&call);
        if self.partitions.sent.remove(&call) {
            let now = self.at(self.now);
            self.nodes[node].own_calls.end(&group_name(), answer.may_take_effect(), now);
        }
        is_awaited
    }

    /// Begins to wait for the answer to a promotion request, with a timeout.
    pub fn await_promotion(&mut self, node: usize, instance: usize, call: u64) {
        let process = self.nodes[node].process;
        self.partitions.awaited.insert(call);
        self.partitions.sent.insert(call);
        let timeout = Message::PromotionTimedOut { node, process, instance, call };
        self.send_after(PROMOTION_TIMEOUT_MS, timeout);
    }

    /// Handles the timeout of a promotion request: its node abandons it.
    pub fn on_promotion_timed_out(&mut self, node: usize, instance: usize, call: u64) {
        if !self.partitions.awaited.remove(&call) {
            return;
        }
        if self.partitions.promotion_client_resets {
            self.partitions.discard_promotion(node, call);
        }
        if self.partitions.sent.remove(&call) {
            let now = self.at(self.now);
            self.nodes[node].own_calls.end(&group_name(), true, now);
        }
        let answer = PromotionAnswer::Unknown;
        self.on_event(node, Event::Promoted { instance: instance_name(instance), answer });
    }

    /// The revision of the group's intent that the record of an intent requires. Worlds without
    /// aimed faults require other conditions instead ([`crate::store::Contents::apply`]).
    pub fn expected_intent(&self, node: usize, fence: u64, operation: &Operation) -> Option<u64> {
        let Operation::RecordIntent(intent) = operation else { return None };
        let is_conditional = intent.promoting || self.partitions.every_intent_is_conditional;
        (self.aimed.is_some() && is_conditional).then(|| self.nodes[node].expected_intent(fence))
    }

    /// Whether the store executes a call late and does not answer it.
    pub fn is_executed_late(&mut self, call: &Call) -> bool {
        if self.capture_intent(call) {
            return true;
        }
        let is_change_of_record = matches!(
            call.operation,
            Operation::Vote(_)
                | Operation::RecordIntent(_)
                | Operation::RecordSuccessor(_)
                | Operation::Finish(..)
                | Operation::ReleaseLease
        );
        let is_late = self.is_active(FaultKind::StoreWritesLate)
            && is_change_of_record
            && self.rng.random_bool(LATE_WRITE_SHARE);
        if is_late {
            let delay = self.rng.random_range(LATE_WRITE_DELAY_MS);
            self.send_after(delay, Message::LateCall(call.clone()));
        }
        is_late
    }

    /// Executes a call late, if its conditions still hold.
    pub fn on_late_call(&mut self, call: &Call) {
        let lease = (call.era, call.fence);
        let result = self.store.apply(
            call.node,
            lease,
            &group_name(),
            &call.operation,
            call.expected_intent,
            self.now,
        );
        self.partitions.late_arrivals += 1;
        self.trace.record(self.now, || {
            format!("executed late for node {}: {:?}: {result:?}", call.node, call.operation)
        });
    }
}
