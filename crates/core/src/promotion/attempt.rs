//! The state machine of one attempt: its steps, one after the other. What each does is in the modules
//! below.

mod events;
mod incarnations;
mod old_primary;
mod other_primaries;
mod promoting;
mod releases;
mod settling;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use incarnations::Starts;
use old_primary::FormerWord;
use other_primaries::{OtherLeaders, leading};
use releases::Releases;

use super::{
    Command, Intent, Member, Members, Need, Phase, Reason, ReplacementId, Successor, Timing,
};
use crate::ids::{InstanceName, NodeName};
use crate::position::{Position, Term};

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
    /// Members at whose addresses other instances answer.
    displaced: BTreeSet<InstanceName>,
    /// Members that were leaving, whose entries have gone, and that refuse connections: they have ended, and
    /// what they held with them.
    ended: BTreeSet<InstanceName>,
    /// Others that say they lead.
    leaders: OtherLeaders,
    /// The intent that was last given to be recorded; whoever does so repeats it.
    given: Option<Intent>,
    /// What the store says of it.
    recorded: Option<Intent>,
    /// Promotions that have been sent, by this holder or an earlier one, and that the platform has not
    /// refused: each may be carried out.
    sent_promotions: u32,
    wanted: bool,
    /// Highest term seen.
    highest: Term,
    /// Term with which replicas are stopped.
    term: Term,
    /// Replicas that have said how they stand: none is stopped before, so that one that somebody
    /// else stopped with the same term does not pass for stopped.
    told: BTreeSet<InstanceName>,
    stopped: BTreeMap<InstanceName, Stopped>,
    /// Whether the last primary is one of the replicas, where none is named.
    last_primary_follows: bool,
    /// What is known of instances that have started again.
    starts: Starts,
    /// Replicas that may have been stopped, and those that receive again.
    releases: Releases,
    /// When enough replicas had been stopped.
    complete: Option<Instant>,
    /// Since when nothing is missing for a promotion but that the replicas say once more that they are stopped.
    checks_since: Option<Instant>,
    /// What the old primary has said.
    former_word: FormerWord,
    /// Whether every node has given its evidence up.
    given_up: bool,
    /// Replicas that did not run when they were to be promoted, and when that was said.
    not_running: BTreeMap<InstanceName, Instant>,
    chosen: Option<InstanceName>,
    /// The chosen one, once it has said itself that it leads: the store may be down.
    leads_by_its_word: Option<Successor>,
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
        let Need {
            reason,
            old_primary: former,
            has_begun: others_stopped,
            may_have_promoted: promoting,
            ..
        } = need.clone();
        let last_primary_follows = need.last_primary_is_replica;
        // Whoever leads may be the one that the earlier holder had promoted.
        let outdated = match promoting || reason == Reason::Unfinished {
            true => BTreeSet::new(),
            false => leading(&members, former.as_ref()),
        };
        Self {
            intent: Intent { holder, id, reason, former, called_off: false, promoting },
            last_primary_follows,
            starts: Starts::default(),
            releases: Releases::after(others_stopped),
            members,
            displaced: BTreeSet::new(),
            ended: BTreeSet::new(),
            leaders: OtherLeaders::new(outdated),
            timing,
            phase: Phase::Recording,
            given: None,
            recorded: None,
            sent_promotions: u32::from(promoting),
            wanted: true,
            highest,
            term: Term(highest.0 + 1),
            told: BTreeSet::new(),
            stopped: BTreeMap::new(),
            complete: None,
            checks_since: None,
            former_word: FormerWord::default(),
            given_up: false,
            not_running: BTreeMap::new(),
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

    /// What nodes are to be told: the intent as it stands in the store, while the attempt is under way.
    pub fn recorded_intent(&self) -> Option<&Intent> {
        self.recorded.as_ref().filter(|_| self.phase != Phase::Over)
    }

    /// The term that the successor has said it leads.
    pub fn successor_term(&self) -> Option<Term> {
        let chosen = self.chosen.as_ref();
        let said = self.leads_by_its_word.as_ref();
        said.filter(|said| chosen == Some(&said.instance)).and_then(|said| said.term)
    }

    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The old primary.
    pub fn old_primary(&self) -> Option<&InstanceName> {
        self.intent.former.as_ref()
    }

    /// The instance that is being promoted, or has been.
    pub fn chosen(&self) -> Option<&InstanceName> {
        self.chosen.as_ref()
    }

    /// Whether an instance has been chosen.
    fn is_committed(&self) -> bool {
        self.chosen.is_some()
    }

    /// Whether a promotion may be carried out, or have been: the attempt cannot be called off.
    fn may_have_promoted(&self) -> bool {
        self.sent_promotions > 0
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
                if self.given.is_none() {
                    self.record(commands);
                }
            }
            Phase::Over => {}
            Phase::Settling { until } => self.settle(until, now, commands),
            Phase::Cancelling { until } => self.cancel(until, now, commands),
            // Whoever has been promoted, by this holder or an earlier one, leads from now on.
            _ if successor.is_some() => {
                self.chosen = successor;
                commands.extend(self.chosen.clone().map(Command::RecordSuccessor));
                self.phase = Phase::Settling { until: now + self.timing.demotion_timeout };
            }
            Phase::Promoting { again } => {
                self.question_other_leaders(now, commands);
                // One that was away when the promotion was sent may be back as a primary at any time until the
                // successor leads, and would answer commits through replicas that the promotion releases.
                self.demote_former(now, commands);
                self.question_former_if_chosen(now, commands);
                // Replicas may have restarted meanwhile, and have forgotten that they were stopped.
                if now >= again {
                    self.set_complete(Some(now));
                    self.phase = Phase::Checking;
                }
            }
            _ if !self.wanted && !self.may_have_promoted() => {
                self.phase = Phase::Cancelling { until: now + self.timing.release_timeout };
            }
            Phase::Draining { until } => {
                if now >= until {
                    self.phase = Phase::Stopping { since: now };
                }
            }
            Phase::Stopping { since } => self.stop(since, now, commands),
            Phase::Lapsing { since } => {
                let life = match self.given_up {
                    true => self.timing.unlisted_evidence_lifetime,
                    false => self.timing.evidence_lifetime,
                };
                let wait = life.saturating_sub(self.timing.min_promotion_time);
                if now >= since + wait || self.nobody_reads_there() {
                    self.phase = Phase::Checking;
                }
            }
            Phase::Checking => self.check(now, commands),
        }
    }

    /// Enough replicas have been stopped, or not any more.
    fn set_complete(&mut self, complete: Option<Instant>) {
        self.complete = complete;
        self.checks_since = None;
    }

    /// Gives the intent to be recorded, unless that has been done.
    fn record(&mut self, commands: &mut Vec<Command>) {
        if self.given.as_ref() != Some(&self.intent) {
            self.given = Some(self.intent.clone());
            commands.push(Command::RecordIntent(self.intent.clone()));
        }
    }

    /// The replicas that may run, the old primary among them once it follows. One at whose address another
    /// member answers has ended: what it held is gone, or is held by that one.
    fn replicas(&self) -> Vec<Member> {
        let leading = self.old_primary().filter(|_| !self.former_word.follows);
        let replicas = self.members.replicas(leading);
        replicas.filter(|member| !self.has_ended(member)).cloned().collect()
    }

    fn has_ended(&self, member: &Member) -> bool {
        let is_displaced = member.shares_address && self.displaced.contains(&member.name);
        is_displaced || self.ended.contains(&member.name)
    }

    /// How many of them must be stopped, whether the old primary is one of them or not: no more than still have
    /// their logs. An old primary that is gone for good, or has lost its log as well, is not waited for.
    fn needed(&self) -> usize {
        let replicas = self.replicas();
        let beside_it = match self.old_primary() {
            Some(former) => replicas.iter().filter(|member| member.name != *former).count(),
            None => replicas.len().saturating_sub(usize::from(self.last_primary_follows)),
        };
        self.members.required_stops(beside_it).min(self.logs_left()).max(1)
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
        let due =
            self.last_sent.get(&key).is_none_or(|sent| now >= *sent + self.timing.retry_interval);
        if due {
            self.last_sent.insert(key, now);
            commands.push(command(instance.clone()));
        }
    }
}
