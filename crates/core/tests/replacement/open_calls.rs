//! Queries of a coordinator about promotions that earlier processes sent, and what the nodes and
//! machines of these processes answer.

use kestrellock_core::promotion::{Event, ProbeResult, PromotionCaller};

use crate::messages::Message;
use crate::node::{group_name, node_number};
use crate::plan::FaultKind;
use crate::world::World;

impl World {
    /// Finds out whether the promotions of an earlier process have ended.
    pub fn query_caller(&mut self, node: usize, caller: PromotionCaller) {
        if self.aimed.is_none() {
            return self.query_prompt_caller(node, caller);
        }
        let to = node_number(&caller.node);
        if to == node {
            return self.answer_query(node, to, caller);
        }
        let now = self.at(self.now);
        let state = self.nodes[node].coordinator.as_mut();
        if state.is_some_and(|state| state.process_probes.is_due(&caller.node, now)) {
            self.send(Message::Probe { from: node, to });
        }
        self.send(Message::CallerQuery { from: node, to, caller });
    }

    /// A node that runs answers at once. Promotions are delivered within milliseconds in worlds
    /// without aimed faults, so none is open by then.
    fn query_prompt_caller(&mut self, node: usize, caller: PromotionCaller) {
        let other = &self.nodes[node_number(&caller.node)];
        if other.is_running() {
            self.on_event(node, Event::CallsEnded(caller));
        }
    }

    /// Answers a query about a process of this node, unless its promotions may still arrive.
    pub fn answer_query(&mut self, from: usize, to: usize, caller: PromotionCaller) {
        let now = self.at(self.now);
        if !self.nodes[to].own_calls.confirm_ended(&group_name(), &caller, now) {
            return;
        }
        match from == to {
            true => self.on_calls_ended(from, caller),
            false => self.send(Message::CallsEnded { from: to, to: from, caller }),
        }
    }

    /// Handles evidence that the promotions of an earlier process have ended.
    pub fn on_calls_ended(&mut self, node: usize, caller: PromotionCaller) {
        self.trace.record(self.now, || format!("node {node} learns that calls ended: {caller:?}"));
        self.on_event(node, Event::CallsEnded(caller));
    }

    /// Answers a probe for a process: a machine without a process refuses the connection; one
    /// without power, or with a suspended process, is inconclusive.
    pub fn on_probe(&mut self, from: usize, to: usize) {
        let refuses = !self.nodes[to].alive && !self.is_active(FaultKind::PowerLoss(to));
        let result = if refuses { ProbeResult::Refused } else { ProbeResult::Inconclusive };
        self.send(Message::Probed { from: to, to: from, result });
    }

    /// Handles the result of a probe of another node.
    pub fn on_probed(&mut self, node: usize, probed: usize, result: ProbeResult) {
        let (name, now) = (crate::store::node_name(probed), self.at(self.now));
        let Some(state) = &mut self.nodes[node].coordinator else { return };
        if !state.process_probes.on_result(&name, result, now) {
            return;
        }
        let attempt = state.attempt.as_ref();
        let ended = attempt.map(|attempt| attempt.callers_that_end_with(&name));
        ended.into_iter().flatten().for_each(|caller| self.on_calls_ended(node, caller));
    }
}
