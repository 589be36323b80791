//! The state machine of one attempt.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::{
    Command, Event, Intent, Member, Members, Need, Phase, PromotionAnswer, Reason, ReplacementId,
    Standing, Timing,
};
use crate::ids::{InstanceName, NodeName};
use crate::position::{Position, Term};
use crate::routing::Role;

/// A replica that has been stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stopped {
    received: Position,
    /// When the question was sent to which it last said that it is stopped.
    said: Instant,
}

/// One attempt on one group.
#[derive(Clone, Debug)]
pub struct Attempt {
    intent: Intent,
    members: Members,
    timing: Timing,
    phase: Phase,
    /// Whether the intent has been given to be recorded; whoever does so repeats it.
    record_asked: bool,
    /// Whether the store says that the attempt has been called off.
    call_off_recorded: bool,
    wanted: bool,
    /// Highest term seen.
    highest: Term,
    /// Term with which replicas are stopped.
    term: Term,
    /// Replicas that have said how they stand: none is stopped before, so that one that somebody
    /// else stopped with the same term does not pass for stopped.
    told: BTreeSet<InstanceName>,
    stopped: BTreeMap<InstanceName, Stopped>,
    /// Whether an earlier holder may have stopped replicas.
    others_stopped: bool,
    /// Replicas that may have been stopped by this attempt.
    stop_sent: BTreeSet<InstanceName>,
    /// When enough replicas had been stopped.
    complete: Option<Instant>,
    /// When the old primary last refused a connection.
    former_refused: Option<Instant>,
    former_demoted: bool,
    /// When the question was sent that the old primary last answered.
    former_answered: Option<Instant>,
    /// Whether every node has given its evidence up.
    given_up: bool,
    released: BTreeSet<InstanceName>,
    /// Replicas that did not run when they were to be promoted, and when that was said.
    not_running: BTreeMap<InstanceName, Instant>,
    /// Others that said at the beginning that they lead: they led before `former` did, and are not
    /// its successor unless they stop saying so.
    outdated: BTreeSet<InstanceName>,
    chosen: Option<InstanceName>,
    /// The chosen one, once it has said itself that it leads: the store may be down.
    leads_by_its_word: Option<InstanceName>,
    /// Whether another one was chosen before: replicas are stopped with a higher term than it took,
    /// should it lead after all.
    chosen_again: bool,
    last_sent: BTreeMap<(InstanceName, Repeated), Instant>,
}

/// Commands to one instance that are given again until it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Repeated {
    Ask,
    Stop,
    Demote,
    Release,
}

impl Attempt {
    /// An attempt that begins because of `need`; `highest` is the highest term known of the group.
    pub fn new(
        holder: NodeName,
        id: ReplacementId,
        need: &Need,
        members: Members,
        highest: Term,
        timing: Timing,
    ) -> Self {
        let Need { reason, former, begun: others_stopped, .. } = need.clone();
        let outdated = match reason {
            // Whoever leads may be the one that the earlier holder had promoted.
            Reason::Unfinished => BTreeSet::new(),
            _ => leading(&members, former.as_ref()),
        };
        Self {
            intent: Intent { holder, id, reason, former, called_off: false },
            others_stopped,
            members,
            timing,
            phase: Phase::Recording,
            record_asked: false,
            call_off_recorded: false,
            wanted: true,
            highest,
            term: Term(highest.0 + 1),
            told: BTreeSet::new(),
            stopped: BTreeMap::new(),
            stop_sent: BTreeSet::new(),
            complete: None,
            former_refused: None,
            former_demoted: false,
            former_answered: None,
            given_up: false,
            released: BTreeSet::new(),
            not_running: BTreeMap::new(),
            outdated,
            chosen: None,
            leads_by_its_word: None,
            chosen_again: false,
            last_sent: BTreeMap::new(),
        }
    }

    /// Which replacement it is.
    pub fn id(&self) -> ReplacementId {
        self.intent.id
    }

    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The old primary.
    pub fn former(&self) -> Option<&InstanceName> {
        self.intent.former.as_ref()
    }

    /// The instance that is being promoted, or has been.
    pub fn chosen(&self) -> Option<&InstanceName> {
        self.chosen.as_ref()
    }

    /// Whether a promotion may have been sent.
    pub fn is_committed(&self) -> bool {
        self.chosen.is_some()
    }

    /// Takes an event in.
    pub fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Recorded if self.phase == Phase::Recording => self.on_recorded(now),
            Event::Recorded => self.call_off_recorded = self.intent.called_off,
            Event::Stands { instance, standing, sent } => {
                self.on_standing(instance, standing, sent)
            }
            Event::Unanswered(_) => {}
            Event::Refused { instance, sent } => {
                if self.former() == Some(&instance) {
                    self.former_refused = Some(sent);
                }
                // A replica that does not run has forgotten that it was stopped when it returns.
                if matches!(self.phase, Phase::Settling { .. } | Phase::Cancelling { .. }) {
                    self.released.insert(instance);
                }
            }
            Event::Promoted { instance, answer } => self.on_promoted(&instance, answer, now),
            Event::Members(members) => {
                let leading = leading(&members, self.former());
                self.outdated.retain(|name| leading.contains(name));
                self.members = members;
            }
            Event::Released(instance) => {
                self.released.insert(instance);
            }
            Event::EvidenceGivenUp => self.given_up = true,
            Event::Wanted(wanted) => self.wanted = wanted,
        }
    }

    fn on_recorded(&mut self, now: Instant) {
        self.phase = match self.intent.reason {
            Reason::Leaving => Phase::Draining { until: now + self.timing.drain },
            Reason::Suspected | Reason::Missing | Reason::Unfinished => {
                Phase::Stopping { since: now }
            }
        };
    }

    fn on_standing(&mut self, instance: InstanceName, standing: Standing, sent: Instant) {
        let seen = standing.term.max(standing.held).max(standing.received.term);
        self.highest = self.highest.max(seen);
        if self.former() == Some(&instance) {
            self.former_demoted |= standing.role == Role::Replica;
            self.former_answered = Some(sent);
            // An old primary that answers again does not refuse any more.
            if self.former_refused.is_some_and(|refused| sent > refused) {
                self.former_refused = None;
            }
            if standing.term >= self.term && !self.is_committed() {
                self.stop_with_a_higher_term();
            }
            return;
        }
        if standing.role == Role::Primary && self.chosen.as_ref() == Some(&instance) {
            self.leads_by_its_word = Some(instance);
            return;
        }
        // One that answers a while after the platform had said so runs again.
        let pause = self.timing.retry;
        self.not_running.retain(|name, said| *name != instance || sent < *said + pause);
        // A stop with a term that somebody has led is none: the replica receives on.
        let led = standing.term.max(standing.received.term);
        let stopped_before = self.told.insert(instance.clone()) && standing.held >= self.term;
        if (led >= self.term || stopped_before) && !self.is_committed() {
            self.stop_with_a_higher_term();
        }
        let is_stopped = standing.held >= self.term && standing.role == Role::Replica;
        if is_stopped {
            let stopped = Stopped { received: standing.received, said: sent };
            self.stopped.insert(instance, stopped);
        } else {
            self.stopped.remove(&instance);
            // Somebody else stopped it with a term as high.
            if standing.held > self.term && !self.is_committed() {
                self.stop_with_a_higher_term();
            }
        }
    }

    fn stop_with_a_higher_term(&mut self) {
        self.term = Term(self.highest.0 + 1);
        self.stopped.clear();
        self.last_sent.retain(|(_, kind), _| *kind != Repeated::Stop);
    }

    fn on_promoted(&mut self, instance: &InstanceName, answer: PromotionAnswer, now: Instant) {
        if !matches!(self.phase, Phase::Promoting { .. }) || self.chosen.as_ref() != Some(instance)
        {
            return;
        }
        match answer {
            PromotionAnswer::Accepted => {
                self.phase = Phase::Promoting { again: now + self.timing.announcement };
            }
            PromotionAnswer::NotRunning => {
                // It has not been promoted and will not be: another one may be.
                self.stopped.remove(instance);
                self.not_running.insert(instance.clone(), now);
                self.chosen = None;
                self.complete = None;
                self.phase = Phase::Stopping { since: now };
            }
            PromotionAnswer::Unknown => {
                self.phase = Phase::Promoting { again: now + self.timing.retry };
            }
        }
    }

    /// Moves on as far as what is known allows, and says what to do.
    pub fn step(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        loop {
            let before = self.phase;
            self.advance(now, &mut commands);
            if self.phase == before {
                return commands;
            }
        }
    }

    fn advance(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let successor = self.successor();
        match self.phase {
            Phase::Recording => {
                if !self.record_asked {
                    self.record_asked = true;
                    commands.push(Command::Record(self.intent.clone()));
                }
            }
            Phase::Over => {}
            Phase::Settling { until } => self.settle(until, now, commands),
            Phase::Cancelling { until } => self.cancel(until, now, commands),
            // Whoever has been promoted, by this holder or an earlier one, leads from now on.
            _ if successor.is_some() => {
                self.chosen = successor;
                commands.extend(self.chosen.clone().map(Command::Install));
                self.phase = Phase::Settling { until: now + self.timing.demotion };
            }
            Phase::Promoting { again } => {
                // Replicas may have restarted meanwhile, and have forgotten that they were stopped.
                if now >= again {
                    self.complete = Some(now);
                    self.phase = Phase::Checking;
                }
            }
            _ if !self.wanted && !self.is_committed() => {
                self.phase = Phase::Cancelling { until: now + self.timing.release };
            }
            Phase::Draining { until } => {
                if now >= until {
                    self.phase = Phase::Stopping { since: now };
                }
            }
            Phase::Stopping { since } => self.stop(since, now, commands),
            Phase::Lapsing { since } => {
                let life = match self.given_up {
                    true => self.timing.unlisted_evidence_life,
                    false => self.timing.evidence_life,
                };
                let wait = life.saturating_sub(self.timing.quickest_promotion);
                if now >= since + wait || self.nobody_reads_there() {
                    self.phase = Phase::Checking;
                }
            }
            Phase::Checking => self.check(now, commands),
        }
    }

    /// The member that leads in place of the old primary.
    fn successor(&self) -> Option<InstanceName> {
        let leading = leading(&self.members, self.former());
        let told = leading.into_iter().find(|name| !self.outdated.contains(name));
        told.or_else(|| self.leads_by_its_word.clone())
    }

    /// Whether the old primary has refused a connection since enough replicas were stopped.
    fn nobody_reads_there(&self) -> bool {
        let Some(complete) = self.complete else { return false };
        self.former_refused.is_some_and(|refused| refused >= complete)
    }

    fn replicas(&self) -> Vec<Member> {
        self.members.replicas(self.former()).cloned().collect()
    }

    fn stop(&mut self, since: Instant, now: Instant, commands: &mut Vec<Command>) {
        // A primary that answers can still read, and one without replicas that receive cannot be
        // helped by stopping those.
        let answers = self.former_answered.is_some_and(|sent| now < sent + self.timing.stopping);
        let works = self.intent.reason == Reason::Leaving || answers;
        let ends = works && !self.is_committed();
        if ends && now >= since + self.timing.stopping {
            self.phase = Phase::Cancelling { until: now + self.timing.release };
            return;
        }
        if self.term <= self.highest && self.stopped.is_empty() {
            self.term = Term(self.highest.0 + 1);
        }
        let term = self.term;
        for replica in self.replicas() {
            if self.stopped.contains_key(&replica.name) {
                continue;
            }
            if !self.told.contains(&replica.name) {
                self.send(&replica.name, Repeated::Ask, now, commands, Command::Ask);
                continue;
            }
            self.stop_sent.insert(replica.name.clone());
            self.send(&replica.name, Repeated::Stop, now, commands, |instance| Command::Stop {
                instance,
                term,
            });
        }
        self.ask_former(now, commands);
        if self.enough_stopped() {
            self.complete = Some(now);
            self.phase = Phase::Lapsing { since: now };
            // Whether the old primary refuses connections now.
            self.last_sent.retain(|(instance, _), _| Some(instance) != self.intent.former.as_ref());
            self.ask_former(now, commands);
        }
    }

    fn ask_former(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if let Some(former) = self.intent.former.clone() {
            self.send(&former, Repeated::Ask, now, commands, Command::Ask);
        }
    }

    /// Whether one of those stopped holds every answered commit, and no further one is answered.
    fn enough_stopped(&self) -> bool {
        let told = |name: &InstanceName| self.members.get(name).is_some();
        let stopped = self.stopped.keys().filter(|name| told(name)).count();
        stopped >= self.members.needed(self.former())
    }

    fn check(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if !self.enough_stopped() {
            self.complete = None;
            self.phase = Phase::Stopping { since: now };
            return;
        }
        let complete = self.complete.unwrap_or(now);
        let unchecked: Vec<InstanceName> = self
            .stopped
            .iter()
            .filter(|(_, stopped)| stopped.said < complete)
            .map(|(name, _)| name.clone())
            .collect();
        let checked = self.stopped.len() - unchecked.len();
        // Before the first promotion, nothing is answered any more if nobody reads there.
        let is_settled = !self.is_committed() && self.nobody_reads_there();
        if checked >= self.members.needed(self.former()) || is_settled {
            self.promote(now, commands);
            return;
        }
        for name in unchecked {
            self.send(&name, Repeated::Ask, now, commands, Command::Ask);
        }
    }

    fn promote(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let Some(best) = self.best() else {
            self.complete = None;
            self.phase = Phase::Stopping { since: now };
            return;
        };
        if self.chosen.as_ref().is_some_and(|chosen| !self.is_as_good(chosen, &best)) {
            return self.choose_again(now);
        }
        let chosen = self.chosen.get_or_insert(best).clone();
        self.phase = Phase::Promoting { again: now + self.timing.announcement };
        commands.push(Command::Promote(chosen));
    }

    /// Whether the one that was chosen before holds as much as the best by now. If not, the other one
    /// had forgotten meanwhile that it was stopped, and may hold answered commits alone.
    fn is_as_good(&self, chosen: &InstanceName, best: &InstanceName) -> bool {
        let position = |name: &InstanceName| {
            self.stopped.get(name).map(|one| (one.received.term, one.received.offset))
        };
        position(chosen) == position(best)
    }

    /// Begins again with a higher term: nodes take replicas that were stopped for a promotion as
    /// evidence for the one promoted, which the one chosen before may be yet.
    fn choose_again(&mut self, now: Instant) {
        self.chosen = None;
        self.chosen_again = true;
        self.complete = None;
        self.stop_with_a_higher_term();
        self.phase = Phase::Stopping { since: now };
    }

    /// The stopped replica with the highest position; among equals one that stays.
    fn best(&self) -> Option<InstanceName> {
        let order = |position: &Position| (position.term, position.offset);
        let highest = self.stopped.values().map(|stopped| order(&stopped.received)).max()?;
        let mut best: Vec<&InstanceName> = self
            .stopped
            .iter()
            .filter(|(_, stopped)| order(&stopped.received) == highest)
            .map(|(name, _)| name)
            .filter(|name| !self.not_running.contains_key(*name))
            .collect();
        let leaves = |name: &InstanceName| self.members.get(name).is_none_or(|one| one.leaving);
        best.sort_by_key(|name| (leaves(name), (*name).clone()));
        best.first().map(|name| (*name).clone())
    }

    /// The old primary first, then the replicas: one that receives again while the old primary still
    /// leads, and that cannot hear of the successor, would follow it and say so.
    fn settle(&mut self, until: Instant, now: Instant, commands: &mut Vec<Command>) {
        let since = until - self.timing.demotion;
        let is_in_order = !self.former_still_leads(since);
        if is_in_order || self.chosen_again {
            self.release(now, commands);
        }
        if !is_in_order {
            self.demote_former(now, commands);
        }
        if now >= until || (is_in_order && self.all_released()) {
            commands.push(Command::Finish { successor: self.chosen.clone() });
            self.phase = Phase::Over;
        }
    }

    /// Whether the old primary may lead. One that has refused a connection since its successor led
    /// returns as a replica.
    fn former_still_leads(&self, since: Instant) -> bool {
        let former = self.former().and_then(|name| self.members.get(name));
        let is_down = self.former_refused.is_some_and(|refused| refused >= since);
        // One that has vanished tells nobody whether it leads.
        let may_lead =
            former.is_some_and(|member| member.leads || self.intent.reason == Reason::Missing);
        may_lead && !self.former_demoted && !is_down
    }

    fn demote_former(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let term = Term(self.highest.0.max(self.term.0));
        let Some(former) = self.intent.former.clone() else { return };
        self.send(&former, Repeated::Demote, now, commands, |instance| Command::Demote {
            instance,
            term,
        });
    }

    /// Releases the replicas. Where that takes a while, because one cannot be reached, nodes are told
    /// to go on with the old primary meanwhile.
    fn cancel(&mut self, until: Instant, now: Instant, commands: &mut Vec<Command>) {
        self.release(now, commands);
        let since = until - self.timing.release;
        if !self.all_released() && now >= since + self.timing.call_off && !self.intent.called_off {
            self.intent.called_off = true;
            commands.push(Command::Record(self.intent.clone()));
        }
        // One change of the store at a time.
        let is_changing = self.intent.called_off && !self.call_off_recorded;
        if !is_changing && (now >= until || self.all_released()) {
            commands.push(Command::Finish { successor: None });
            self.phase = Phase::Over;
        }
    }

    /// Replicas that may be stopped: also those whose answer was lost, or that an earlier holder
    /// stopped.
    fn to_release(&self) -> Vec<InstanceName> {
        let others = self.replicas().into_iter().map(|replica| replica.name);
        let others = others.filter(|name| Some(name) != self.chosen.as_ref());
        let may_be_stopped =
            |name: &InstanceName| self.others_stopped || self.stop_sent.contains(name);
        others.filter(|name| may_be_stopped(name) && !self.released.contains(name)).collect()
    }

    fn all_released(&self) -> bool {
        self.to_release().is_empty()
    }

    fn release(&mut self, now: Instant, commands: &mut Vec<Command>) {
        for name in self.to_release() {
            self.send(&name, Repeated::Release, now, commands, Command::Release);
        }
    }

    /// Sends a command to an instance unless it was sent a moment ago.
    fn send(
        &mut self,
        instance: &InstanceName,
        kind: Repeated,
        now: Instant,
        commands: &mut Vec<Command>,
        command: impl FnOnce(InstanceName) -> Command,
    ) {
        let key = (instance.clone(), kind);
        let pause =
            if kind == Repeated::Demote { self.timing.retry * 5 } else { self.timing.retry };
        let due = self.last_sent.get(&key).is_none_or(|sent| now >= *sent + pause);
        if due {
            self.last_sent.insert(key, now);
            commands.push(command(instance.clone()));
        }
    }
}

/// Members other than the old primary that say they lead.
fn leading(members: &Members, former: Option<&InstanceName>) -> BTreeSet<InstanceName> {
    let leading = members.replicas(former).filter(|member| member.leads);
    leading.map(|member| member.name.clone()).collect()
}
