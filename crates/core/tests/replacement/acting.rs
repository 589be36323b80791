//! What a node does about the primary: it suspects, takes the right to act, and acts.

use kestrellock_core::ids::InstanceName;
use kestrellock_core::primary_evidence::UNLISTED_EVIDENCE_LIFETIME;
use kestrellock_core::promotion::{
    Attempt, Command, Event, NOTIFY_INTERVAL, Need, ReplacementId, Successor, Timing,
};
use kestrellock_core::store_era::StoreEra;

use crate::messages::{Call, Message, Work};
use crate::node::{Acting, group_name, instance_number};
use crate::plan::Plant;
use crate::store::{Done, LEASE_MS, Operation, node_name};
use crate::world::World;

/// Part of its life before whose end a hold is prolonged.
const RENEW_BEFORE_MS: u64 = 1_500;
/// Time without an attempt after which the right is given up.
const LINGER_MS: u64 = 300;
/// Time after the end of an attempt in which needs may not have heard of it.
const OLD_NEEDS_MS: u64 = 200;
/// A promotion is only sent while the hold lasts for so long yet.
const LEAST_HOLD_MS: u64 = 100;
/// Time between two attempts at one change of the store.
const STORE_RETRY_MS: u64 = 100;
/// Time between two messages of a holder to a node.
const TELL_INTERVAL_MS: u64 = NOTIFY_INTERVAL.as_millis() as u64;
/// Time that such a message is under way.
const TOLD_AFTER_MS: u64 = 3;
/// Time between two messages to a holder.
const TELL_EVERY_MS: u64 = 30;
/// Time between two attempts to record again what the store has lost.
const WRITE_BACK_EVERY_MS: u64 = 100;
/// Time after which a suspicion is written again that the store does not show.
const PUBLISH_AGAIN_MS: u64 = 300;

impl World {
    /// A step of a node.
    pub fn step_node(&mut self, node: usize) {
        self.serve_callers(node);
        self.suspect(node);
        self.demote_old_primaries(node);
        self.watch_refills(node);
        self.tell_holder(node);
        let now = self.at(self.now);
        self.enter(node);
        let live = self.nodes_known_to(node);
        let need = self.nodes[node].need(&live, now);
        if self.nodes[node].is_its_turn(need.as_ref(), self.now, now) {
            self.nodes[node].acquiring = true;
            self.call(node, 0, Operation::Acquire);
        }
        self.leave_earlier_era(node);
        self.take_again(node);
        self.write_back(node);
        if self.nodes[node].acting.is_some() {
            self.act(node, need.as_ref());
        }
    }

    /// The store has come back from a copy, which knows nothing of the node's hold.
    fn leave_earlier_era(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        let Some(acting) = &own.acting else { return };
        if StoreEra::of(acting.fence) < own.newest_era {
            own.retake_until = acting.until;
            own.acting = None;
            self.again.remove(&node);
        }
    }

    /// What the store has lost of replacements is recorded again, until that is done.
    fn write_back(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        if !own.writes_back || self.now < own.wrote_back + WRITE_BACK_EVERY_MS {
            return;
        }
        own.wrote_back = self.now;
        let (successor, is_over) = own.lost();
        match successor.is_some() || is_over {
            true => self.call(node, 0, Operation::WriteBack(successor, is_over)),
            false => own.writes_back = false,
        }
    }

    /// As long as the lost hold would have lasted nobody else can have the right.
    fn take_again(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        let wants = self.now < own.retake_until && own.acting.is_none() && !own.acquiring;
        if wants && own.view.era == own.newest_era {
            own.acquiring = true;
            self.call(node, 0, Operation::Acquire);
        }
    }

    fn suspect(&mut self, node: usize) {
        let now = self.at(self.now);
        let changed = self.nodes[node].suspect(now);
        let own = &self.nodes[node];
        let shown = own.view.votes.get(&node_name(node)).cloned().unwrap_or_default();
        let again = self.now >= self.published[node] + PUBLISH_AGAIN_MS;
        if own.view.revision > 0 && (changed || (again && shown != own.votes)) {
            let votes = own.votes.clone();
            self.published[node] = self.now;
            self.call(node, 0, Operation::Vote(votes));
        }
    }

    fn tell_holder(&mut self, node: usize) {
        let own = &self.nodes[node];
        let Some(intent) = own.intent() else { return };
        let Some(id) = own.evidence.revoked_for() else { return };
        if self.now < own.told + TELL_EVERY_MS {
            return;
        }
        let holder = (0..self.nodes.len()).find(|one| node_name(*one) == intent.holder);
        let Some(to) = holder else { return };
        self.nodes[node].told = self.now;
        let own = &self.nodes[node];
        let witness = own.known.restart_report(&group_name(), own.heard.highest());
        self.send(Message::GivenUp { to, from: node, id, witness });
    }

    fn act(&mut self, node: usize, need: Option<&Need>) {
        let now = self.now;
        let Some(acting) = &mut self.nodes[node].acting else { return };
        if now >= acting.until {
            self.nodes[node].acting = None;
            self.again.remove(&node);
            return;
        }
        let fence = acting.fence;
        if !acting.renewing && now + RENEW_BEFORE_MS >= acting.until {
            acting.renewing = true;
            self.call(node, fence, Operation::Renew);
        }
        self.begin_attempt(node, need);
        self.step_attempt(node, need);
        self.tell_nodes(node);
        let Some(acting) = &self.nodes[node].acting else { return };
        let idle = acting.ended.is_some_and(|ended| now >= ended + LINGER_MS);
        if acting.attempt.is_none() && idle {
            self.nodes[node].acting = None;
            self.call(node, fence, Operation::Release);
        }
    }

    /// Tells the other nodes of the replacement, again and again: some do not hear of it from the store.
    fn tell_nodes(&mut self, node: usize) {
        let now = self.now;
        let Some(acting) = &mut self.nodes[node].acting else { return };
        let under_way = acting.attempt.as_ref().and_then(Attempt::recorded_intent);
        let is_early = acting.told.is_some_and(|told| now < told + TELL_INTERVAL_MS);
        let Some(intent) = under_way.filter(|_| self.is_told && !is_early).cloned() else { return };
        let recorded = acting.recorded.unwrap_or(now);
        acting.told = Some(now);
        for to in (0..self.nodes.len()).filter(|to| *to != node) {
            let intent = intent.clone();
            self.send_after(TOLD_AFTER_MS, Message::UnderWay { to, intent, recorded });
        }
    }

    /// Tells the other nodes that a replacement is over.
    fn tell_end(&mut self, node: usize, id: ReplacementId, successor: Option<&Successor>) {
        if !self.is_told {
            return;
        }
        for to in (0..self.nodes.len()).filter(|to| *to != node) {
            let successor = successor.cloned();
            self.send_after(TOLD_AFTER_MS, Message::Over { to, id, successor });
        }
    }

    fn begin_attempt(&mut self, node: usize, need: Option<&Need>) {
        let now = self.now;
        let highest = self.highest_term(node);
        let timing = self.timing();
        let own = &mut self.nodes[node];
        let members = own.known.members(&group_name());
        let Some(acting) = &mut own.acting else { return };
        let is_old = acting.begun > 0 && acting.ended.is_some_and(|end| now < end + OLD_NEEDS_MS);
        let Some(need) = need.filter(|_| acting.attempt.is_none() && !is_old) else { return };
        acting.begun += 1;
        acting.recorded = None;
        acting.told = None;
        let id = ReplacementId { fence: acting.fence, attempt: acting.begun };
        let holder = node_name(node);
        acting.attempt = Some(Attempt::new(holder, id, need, members, highest, timing));
    }

    fn timing(&self) -> Timing {
        let mut timing =
            Timing { unlisted_evidence_lifetime: UNLISTED_EVIDENCE_LIFETIME, ..Timing::default() };
        if self.plant == Plant::NoLapse {
            timing.evidence_lifetime = std::time::Duration::ZERO;
            timing.unlisted_evidence_lifetime = std::time::Duration::ZERO;
        }
        timing
    }

    fn step_attempt(&mut self, node: usize, need: Option<&Need>) {
        let now = self.at(self.now);
        let nodes = self.nodes_to_hear(node);
        let own = &mut self.nodes[node];
        let members = own.known.members(&group_name());
        let refilling = members.all.iter().filter(|one| one.is_refilling);
        let refilling: Vec<InstanceName> = refilling.map(|one| one.name.clone()).collect();
        let Some(acting) = &mut own.acting else { return };
        let fence = acting.fence;
        let Some(attempt) = &mut acting.attempt else { return };
        attempt.on_event(Event::Members(members), now);
        attempt.on_event(Event::StillNeeded(need.is_some_and(|need| need.is_current)), now);
        if let Some(witnesses) = own.given_up.get(&attempt.id()) {
            attempt.on_reports(witnesses, &nodes, now);
        }
        let before = attempt.phase();
        let commands = attempt.step(now);
        if attempt.phase() != before || !commands.is_empty() {
            let (phase, refilling) = (attempt.phase(), refilling);
            self.trace.note(self.now, || {
                format!("node {node}: {phase:?} {commands:?}; refilling {refilling:?}")
            });
        }
        for command in commands {
            self.carry_out(node, fence, command);
        }
        let due = self.again.get(&node).is_some_and(|(at, _)| self.now >= *at);
        if due && let Some((_, operation)) = self.again.remove(&node) {
            self.call(node, fence, operation);
        }
    }

    fn carry_out(&mut self, node: usize, fence: u64, command: Command) {
        match &command {
            Command::RecordIntent(intent) => {
                self.call(node, fence, Operation::Record(intent.clone()))
            }
            Command::RecordSuccessor(successor) => {
                self.call(node, fence, Operation::Install(successor.clone()));
            }
            Command::Finish { id, successor } => {
                if successor.is_none() {
                    let now = self.at(self.now);
                    self.nodes[node].on_called_off(now);
                }
                self.call(node, fence, Operation::Finish(*id, successor.clone()));
            }
            Command::ReadIncarnations => self.call(node, fence, Operation::ReadStarts),
            Command::Promote(instance) => self.promote(node, fence, instance),
            Command::QueryStatus(instance)
            | Command::Stop { instance, .. }
            | Command::Demote { instance, .. }
            | Command::Release(instance) => {
                let (instance, request) = (instance_number(instance), self.number());
                self.ask(node, instance, request, Work::Control(command));
            }
        }
    }

    fn promote(&mut self, node: usize, fence: u64, instance: &InstanceName) {
        let lasts = |acting: &Acting| self.now + LEAST_HOLD_MS < acting.until;
        if !self.nodes[node].acting.as_ref().is_some_and(lasts) {
            return;
        }
        let instance = match self.plant {
            Plant::WrongReplica => self.furthest_behind(instance_number(instance)),
            _ => instance_number(instance),
        };
        let fence = if self.plant == Plant::FenceReused { 1 } else { fence };
        let process = self.nodes[node].process;
        self.send(Message::Promote { node, process, instance, fence });
    }

    fn furthest_behind(&self, chosen: usize) -> usize {
        let former = self.nodes.iter().find_map(|node| node.leader());
        let others = (0..self.instances.len()).filter(|one| Some(*one) != former);
        let alive = others.filter(|one| self.instances[*one].alive);
        alive.min_by_key(|one| self.instances[*one].log.len()).unwrap_or(chosen)
    }

    /// Something happened to the attempt of a node.
    pub fn on_event(&mut self, node: usize, event: Event) {
        let now = self.at(self.now);
        let acting = self.nodes[node].acting.as_mut();
        if let Some(attempt) = acting.and_then(|acting| acting.attempt.as_mut()) {
            attempt.on_event(event, now);
        }
    }

    /// The store has answered.
    pub fn on_called(&mut self, call: Call, done: Done, era: StoreEra) {
        if !self.calls.remove(&call.number) {
            return;
        }
        let own = &mut self.nodes[call.node];
        own.newest_era = own.newest_era.max(era);
        if era != call.era {
            self.on_other_era(&call);
            return;
        }
        match (&call.operation, done) {
            (Operation::Acquire, Done::Yes(fence)) => {
                self.trace.note(self.now, || format!("node {} acts, fence {fence}", call.node));
                let own = &mut self.nodes[call.node];
                own.acquiring = false;
                own.retake_until = 0;
                own.acting = Some(Acting {
                    fence,
                    until: call.sent + LEASE_MS,
                    renewing: false,
                    attempt: None,
                    begun: 0,
                    ended: Some(self.now),
                    listed: Vec::new(),
                    recorded: None,
                    told: None,
                });
            }
            (Operation::Acquire, Done::Conflict) => self.nodes[call.node].acquiring = false,
            (Operation::Look, Done::Yes(revision)) => {
                self.on_looked(call.node, revision, call.sent);
            }
            (Operation::ReadStarts, Done::Starts(told)) => {
                let asked = self.at(call.sent);
                let may_be_old = self.nodes[call.node].era.incarnations_may_be_stale(asked);
                let event = match may_be_old && self.plant != Plant::StartsBelieved {
                    true => Event::IncarnationsUnavailable,
                    false => Event::Incarnations { by_instance: told, requested_at: asked },
                };
                self.on_event(call.node, event);
            }
            (Operation::Renew, done) => self.on_renewed(&call, done),
            (Operation::Record(intent), Done::Recorded(listed)) => {
                if let Some(acting) = &mut self.nodes[call.node].acting {
                    acting.recorded.get_or_insert(self.now);
                    if self.plant != Plant::ListFromCopy {
                        acting.listed = listed;
                    }
                }
                self.on_event(call.node, Event::IntentRecorded(intent.clone()));
            }
            (Operation::Finish(id, successor), Done::Yes(_)) => {
                self.tell_end(call.node, *id, successor.as_ref());
                if let Some(acting) = &mut self.nodes[call.node].acting {
                    acting.attempt = None;
                    acting.ended = Some(self.now);
                }
            }
            (Operation::Record(_) | Operation::Finish(..), Done::Conflict) => {
                self.call_again(&call)
            }
            _ => {}
        }
    }

    /// The store is of another era than the node knew: what was done stands under keys of one that is over.
    fn on_other_era(&mut self, call: &Call) {
        match call.operation {
            Operation::Acquire => self.nodes[call.node].acquiring = false,
            Operation::ReadStarts => self.on_event(call.node, Event::IncarnationsUnavailable),
            _ => {}
        }
    }

    fn on_renewed(&mut self, call: &Call, done: Done) {
        let now = self.now;
        if let Some(acting) = &mut self.nodes[call.node].acting {
            acting.renewing = false;
            let lasts = matches!(done, Done::Yes(_));
            acting.until = if lasts { call.sent + LEASE_MS } else { now };
        }
    }

    /// The store has not answered.
    pub fn on_call_lost(&mut self, call: Call) {
        if !self.calls.remove(&call.number) {
            return;
        }
        match call.operation {
            Operation::Acquire => self.nodes[call.node].acquiring = false,
            Operation::Renew => {
                if let Some(acting) = &mut self.nodes[call.node].acting {
                    acting.renewing = false;
                }
            }
            Operation::ReadStarts => self.on_event(call.node, Event::IncarnationsUnavailable),
            Operation::Record(_) | Operation::Finish(..) => self.call_again(&call),
            _ => {}
        }
    }

    fn call_again(&mut self, call: &Call) {
        let holds = self.nodes[call.node].acting.as_ref();
        if holds.is_some_and(|acting| acting.fence == call.fence && acting.attempt.is_some()) {
            let again = (self.now + STORE_RETRY_MS, call.operation.clone());
            self.again.insert(call.node, again);
        }
    }
}
