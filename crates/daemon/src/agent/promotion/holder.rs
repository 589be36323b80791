//! Acts on needs for as long as this node holds the right to.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{
    Attempt, Command, Event, KnownInstances, Need, Phase, ReplacementId, Successor, Timing,
};
use kestrellock_core::store_era::StoreEra;
use kestrellock_store::control::{ControlTarget, Order};
use kestrellock_store::coordination::{Coordination, Hold};

use super::SuccessionServices;
use super::orders::{Orders, Report};
use crate::context::NodeContext;
use crate::supervisor::StopFlag;

/// Time between two looks at the attempts.
const STEP: Duration = Duration::from_millis(3);
/// Time between two attempts to take the right anew.
const TAKE_AGAIN_STEP: Duration = Duration::from_millis(50);
/// Part of its life before whose end a hold is prolonged.
const RENEW_BEFORE: Duration = Duration::from_millis(1_500);
/// Time without a need after which the right is given up.
const LINGER: Duration = Duration::from_millis(300);
/// Time between two attempts at one change of the store.
const STORE_RETRY: Duration = Duration::from_millis(100);
/// Time after the end of an attempt in which needs may not have heard of it.
const OLD_NEEDS: Duration = Duration::from_millis(200);
/// A promotion is only sent while the hold lasts for so long yet.
const LEAST_HOLD: Duration = Duration::from_millis(100);

/// What the watch tells the holder.
#[derive(Clone, Debug, Default)]
pub struct Situation {
    /// Needs by group.
    pub needs: BTreeMap<GroupName, Need>,
    /// The instances of each group.
    pub known: KnownInstances,
    /// Whether the store may tell starts of instances that are over.
    pub starts_may_be_old: bool,
    /// Attempts that were called off since the watch last looked.
    pub called_off: Vec<GroupName>,
}

/// The situation, shared between watch and holder.
pub type SharedSituation = Arc<Mutex<Situation>>;

struct Running {
    attempt: Attempt,
    /// The change of the store that has to be given again at that time.
    again: Option<(Instant, Command)>,
    pending: Option<Command>,
    began: Instant,
    /// When the intent was first known to be recorded.
    recorded: Option<Instant>,
    phase: Phase,
}

struct HolderThread<'a> {
    context: &'a NodeContext,
    situation: &'a SharedSituation,
    coordination: Arc<dyn Coordination>,
    orders: Orders,
    hold: Hold,
    /// Whether the store has said that the hold is over.
    is_over: bool,
    /// Whether the store may tell starts of instances that are over.
    starts_may_be_old: bool,
    renewing: bool,
    attempts: BTreeMap<GroupName, Running>,
    /// Attempts begun under this hold.
    begun: u32,
    /// When attempts ended: needs that were judged before do not count.
    ended: BTreeMap<GroupName, Instant>,
}

/// How acting under a hold ended.
enum Ending {
    /// The node stops, nothing is left to do, or the hold is over.
    Done,
    /// The store has come back from a copy, which knows nothing of the hold.
    StoreCameBack {
        /// Until when it would have lasted.
        until: Instant,
    },
}

/// Takes the right to act, acts on all needs, and gives the right up.
pub fn act(
    context: &NodeContext,
    services: &SuccessionServices,
    situation: &SharedSituation,
    stop: &StopFlag,
) {
    let mut taken = take_hold(context, services);
    while let Some(hold) = taken {
        let ending = act_under(hold, context, services, situation, stop);
        context.replacements.on_hold_over();
        taken = match ending {
            Ending::Done => None,
            Ending::StoreCameBack { until } => take_again(until, context, services, stop),
        };
    }
}

/// Takes the right anew, in place of a hold that would have lasted until `until`: as long as that nobody else can
/// have it, and what was begun goes on.
fn take_again(
    until: Instant,
    context: &NodeContext,
    services: &SuccessionServices,
    stop: &StopFlag,
) -> Option<Hold> {
    while Instant::now() < until && !stop.is_stopping() {
        let hold = take_hold(context, services);
        if hold.is_some() {
            return hold;
        }
        stop.sleep(TAKE_AGAIN_STEP);
    }
    None
}

fn take_hold(context: &NodeContext, services: &SuccessionServices) -> Option<Hold> {
    match services.coordination.acquire(&context.identity.node) {
        Ok(hold) => hold,
        Err(error) => {
            log::warn!(event = "hold_failed", error = error.to_string().as_str(); "the right to replace primaries could not be taken");
            None
        }
    }
}

fn act_under(
    hold: Hold,
    context: &NodeContext,
    services: &SuccessionServices,
    situation: &SharedSituation,
    stop: &StopFlag,
) -> Ending {
    let coordination = services.coordination.clone();
    log::info!(event = "hold_taken", fence = hold.fence; "this node replaces primaries");
    let era = StoreEra::of(hold.fence);
    let (orders, reports) = Orders::start(services.clone());
    let mut thread = HolderThread {
        context,
        situation,
        coordination: coordination.clone(),
        orders,
        hold,
        is_over: false,
        starts_may_be_old: true,
        renewing: false,
        attempts: BTreeMap::new(),
        begun: 0,
        ended: BTreeMap::new(),
    };
    let mut idle_since = Instant::now();
    loop {
        stop.wait_while_paused();
        if stop.is_stopping() {
            // A planned stop lets another node act at once.
            if context.is_stopping() {
                let _ = coordination.release(&thread.hold);
            }
            return Ending::Done;
        }
        if coordination.era() > era {
            log::warn!(event = "hold_outdated", fence = thread.hold.fence, era = coordination.era().0; "the store has come back from a copy: the right to replace primaries is taken anew");
            return Ending::StoreCameBack { until: thread.hold.until };
        }
        if thread.is_over || Instant::now() >= thread.hold.until {
            log::warn!(event = "hold_lost", fence = thread.hold.fence; "the right to replace primaries is over");
            return Ending::Done;
        }
        if let Ok(report) = reports.recv_timeout(STEP) {
            thread.take_in(report);
            reports.try_iter().for_each(|report| thread.take_in(report));
        }
        thread.step();
        if !thread.attempts.is_empty() {
            idle_since = Instant::now();
        } else if idle_since.elapsed() >= LINGER {
            break;
        }
    }
    // If it cannot be given up, it ends by itself.
    let _ = coordination.release(&thread.hold);
    log::info!(event = "hold_given_up", fence = thread.hold.fence; "nothing is left to replace");
    Ending::Done
}

impl HolderThread<'_> {
    fn situation(&self) -> Situation {
        self.situation.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn take_in(&mut self, report: Report) {
        let now = Instant::now();
        match report {
            Report::Event(group, event) => {
                if let Some(running) = self.attempts.get_mut(&group) {
                    if matches!(event, Event::IntentRecorded(_)) {
                        running.pending = None;
                        running.recorded.get_or_insert(now);
                    }
                    running.attempt.on_event(event, now);
                }
            }
            Report::Installed => {}
            Report::Finished(group) => {
                self.tell_end(&group);
                self.attempts.remove(&group);
                self.ended.insert(group, now);
            }
            Report::StoreFailed(group) => {
                if let Some(running) = self.attempts.get_mut(&group) {
                    let pending = running.pending.take();
                    running.again = pending.map(|command| (now + STORE_RETRY, command));
                }
            }
            Report::Renewed(hold) => {
                self.renewing = false;
                self.hold = hold;
            }
            Report::HoldOver => self.is_over = true,
        }
    }

    /// Has the other nodes told that an attempt is over.
    fn tell_end(&self, group: &GroupName) {
        let Some(running) = self.attempts.get(group) else { return };
        let led = running.attempt.successor_term();
        self.context.replacements.on_ended(group, running.attempt.id(), led);
    }

    fn step(&mut self) {
        let now = Instant::now();
        let situation = self.situation();
        self.starts_may_be_old = situation.starts_may_be_old;
        if !self.renewing && now + RENEW_BEFORE >= self.hold.until {
            self.renewing = true;
            self.orders.renew(&self.hold);
        }
        for (group, need) in &situation.needs {
            let ended = self.ended.get(group);
            let is_old = ended.is_some_and(|ended| now < *ended + OLD_NEEDS);
            if !self.attempts.contains_key(group) && !is_old {
                self.begin(group, need, &situation.known, now);
            }
        }
        let groups: Vec<GroupName> = self.attempts.keys().cloned().collect();
        for group in groups {
            self.step_group(&group, &situation, now);
        }
    }

    fn begin(&mut self, group: &GroupName, need: &Need, known: &KnownInstances, now: Instant) {
        self.begun += 1;
        let highest = self.context.statuses.highest_term(group);
        let attempt = Attempt::new(
            self.context.identity.node.clone(),
            ReplacementId { fence: self.hold.fence, attempt: self.begun },
            need,
            known.members(group),
            highest,
            Timing::default(),
        );
        log::info!(event = "attempt", group = group.as_str(), reason:? = need.reason, former:? = need.old_primary, term = highest.0; "a primary is to be replaced");
        let phase = attempt.phase();
        let running =
            Running { attempt, again: None, pending: None, began: now, recorded: None, phase };
        self.attempts.insert(group.clone(), running);
    }

    fn step_group(&mut self, group: &GroupName, situation: &Situation, now: Instant) {
        let Some(running) = self.attempts.get_mut(group) else { return };
        let wanted = situation.needs.get(group).is_some_and(|need| need.is_current);
        running.attempt.on_event(Event::Members(situation.known.members(group)), now);
        running.attempt.on_event(Event::StillNeeded(wanted), now);
        let id = running.attempt.id();
        let said = self.context.given_up.for_replacement(group, id);
        if let Some(said) = said {
            running.attempt.on_reports(
                &said,
                &nodes_to_hear(self.context, &*self.coordination),
                now,
            );
        }
        let mut commands = running.attempt.step(now);
        if running.again.as_ref().is_some_and(|(at, _)| now >= *at) {
            commands.extend(running.again.take().map(|(_, command)| command));
        }
        if running.phase != running.attempt.phase() {
            running.phase = running.attempt.phase();
            let after = now.saturating_duration_since(running.began).as_millis() as u64;
            log::info!(event = "phase", group = group.as_str(), phase:? = running.phase, chosen:? = running.attempt.chosen(), after_ms = after; "the attempt goes on");
        }
        if let Some(intent) = running.attempt.recorded_intent() {
            let recorded = running.recorded.unwrap_or(now);
            self.context.replacements.on_carried_out(group, intent, recorded);
        }
        for command in commands {
            self.carry_out(group, command, &situation.known, now);
        }
    }

    fn carry_out(
        &mut self,
        group: &GroupName,
        command: Command,
        known: &KnownInstances,
        now: Instant,
    ) {
        match command {
            Command::ReadIncarnations if self.starts_may_be_old => {
                log::info!(event = "starts_unknown", group = group.as_str(); "the store has come back from a copy: instances may not have told yet that they have started again");
                if let Some(running) = self.attempts.get_mut(group) {
                    running.attempt.on_event(Event::IncarnationsUnavailable, now);
                }
            }
            Command::ReadIncarnations => {
                let members = known.members(group).all;
                let instances = members.into_iter().map(|member| member.name).collect();
                self.orders.read_starts(group.clone(), instances);
            }
            Command::QueryStatus(instance) => self.tell(group, &instance, Order::Ask, known),
            Command::Stop { instance, term } => {
                self.tell(group, &instance, Order::Stop(term), known);
            }
            Command::Demote { instance, term } => {
                self.tell(group, &instance, Order::Demote(term), known);
            }
            Command::Release(instance) => self.tell(group, &instance, Order::Release, known),
            Command::Promote(instance) => {
                if now + LEAST_HOLD < self.hold.until {
                    let holder = self.context.identity.node.clone();
                    self.orders.promote(group.clone(), instance, holder, &self.hold);
                }
            }
            Command::RecordIntent(ref intent) => {
                self.orders.record(&self.hold, group.clone(), intent.clone());
                self.keep_pending(group, command);
            }
            Command::RecordSuccessor(successor) => {
                self.orders.install(&self.hold, group.clone(), successor);
            }
            Command::Finish { id, ref successor } => {
                self.report_end(group, successor.as_ref(), now);
                self.orders.finish(&self.hold, group.clone(), id, successor.clone());
                self.keep_pending(group, command);
            }
        }
    }

    fn keep_pending(&mut self, group: &GroupName, command: Command) {
        if let Some(running) = self.attempts.get_mut(group) {
            running.pending = Some(command);
        }
    }

    fn report_end(&self, group: &GroupName, successor: Option<&Successor>, now: Instant) {
        let began = self.attempts.get(group).map_or(now, |running| running.began);
        let took = now.saturating_duration_since(began).as_millis() as u64;
        log::info!(event = "attempt_over", group = group.as_str(), successor:? = successor, took_ms = took; "the attempt is over");
        if successor.is_none() {
            let mut situation = self.situation.lock().unwrap_or_else(PoisonError::into_inner);
            situation.called_off.push(group.clone());
        }
    }

    fn tell(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        order: Order,
        known: &KnownInstances,
    ) {
        let Some(address) = known.address(group, instance) else { return };
        let (group, instance) = (group.clone(), instance.clone());
        self.orders.tell(ControlTarget { group, instance, address }, order);
    }
}

/// The nodes whose word is waited for. This node's own list may be seconds old, and lack nodes that have entered
/// themselves since; the store's was read anew when the intent was recorded. None while nothing has been read.
fn nodes_to_hear(context: &NodeContext, coordination: &dyn Coordination) -> Vec<NodeName> {
    let mut nodes = context.listed_names();
    if nodes.is_empty() {
        return nodes;
    }
    nodes.extend(coordination.view().nodes.iter().cloned());
    nodes.sort();
    nodes.dedup();
    nodes
}
