//! The state machine of one attempt: from events, the members of the group and the current time it
//! decides which phase follows and which commands the coordinator sends. The submodules implement
//! the phases. The rules that prevent two primaries from acknowledging commits are described in
//! the parent module.

mod events;
mod incarnations;
mod log_evidence;
mod old_primary;
mod other_primaries;
mod planned;
mod promoting;
mod releases;
mod settling;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use incarnations::KnownIncarnations;
use log_evidence::LogEvidence;
use old_primary::OldPrimaryState;
use other_primaries::{OtherPrimaries, claimed_primaries};
use releases::Releases;

pub use log_evidence::MissingLogs;

use super::open_calls::{OpenCalls, PromotionCaller, UNKNOWN_PROCESS};
use super::{
    Command, Intent, Member, Members, Need, Phase, Reason, ReplacementId, Successor, Timing,
};
use crate::ids::{InstanceName, NodeName};
use crate::position::{Position, Term};

/// A replica that has been stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stopped {
    received: Position,
    /// When the query was sent to which it last answered that it is stopped.
    confirmed_at: Instant,
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
    /// Members that were leaving, whose entries have disappeared, and that refuse connections: they
    /// have terminated, and their logs are lost.
    ended: BTreeSet<InstanceName>,
    /// Other members that report that they are primary.
    other_primaries: OtherPrimaries,
    /// The intent that was last submitted to the store; the coordinator retries the write.
    submitted: Option<Intent>,
    /// The intent that is in the store.
    recorded: Option<Intent>,
    /// Whether an earlier coordinator may have sent a promotion, or may have had the old primary step
    /// down. It need not have compared the old primary's log with that of any instance.
    earlier_may_have_promoted: bool,
    /// Number of promotions that this attempt has sent and the platform has not refused. Each may
    /// still take effect.
    sent_promotions: u32,
    /// Number of the coordinator's process.
    process: u64,
    /// Promotions of earlier coordinators that may still arrive.
    open_calls: OpenCalls,
    /// Whether this coordinator has sent a promotion whose call has not ended.
    is_own_call_open: bool,
    /// Whether an earlier attempt has recorded an intent that has not been ended.
    continues_earlier_attempt: bool,
    still_needed: bool,
    /// Highest term seen.
    highest_term: Term,
    /// The minimum term with which this attempt stops replicas.
    stop_term: Term,
    /// Replicas that have reported their status. A replica is only stopped after that, so that a
    /// replica which another coordinator stopped with the same term does not count as stopped by
    /// this attempt.
    reported: BTreeSet<InstanceName>,
    stopped: BTreeMap<InstanceName, Stopped>,
    /// Whether the last primary is now one of the replicas, if no old primary is known.
    last_primary_is_replica: bool,
    /// What is known about restarted instances.
    incarnations: KnownIncarnations,
    /// Reports of nodes, and the operator's decision, about commits that only instances outside the
    /// attempt's reach may hold.
    log_evidence: LogEvidence,
    /// Replicas that may have been stopped, and those that have been released.
    releases: Releases,
    /// When the attempt first sent stops.
    first_stops_at: Option<Instant>,
    /// Whether the attempt has stopped replicas for as long as a replica that can be reached takes.
    has_waited_for_stops: bool,
    /// Whether the old primary has had time to return from a crash.
    has_waited_for_primary: bool,
    /// When enough replicas were stopped; `None` while too few are.
    stopped_since: Option<Instant>,
    /// When the current check began, in which the replicas confirm that they are still stopped;
    /// `None` if no check is in progress.
    stop_check_since: Option<Instant>,
    /// What is known about the old primary.
    old_primary_state: OldPrimaryState,
    /// Until when a planned attempt requires the old primary's log position.
    old_primary_required_until: Option<Instant>,
    /// Whether the attempt requires it now.
    requires_old_primary: bool,
    /// When the attempt first asked the old primary to step down before a promotion.
    step_down_requested_at: Option<Instant>,
    /// Whether the attempt has waited for the old primary to step down since the last check of the
    /// stopped instances began.
    has_awaited_step_down: bool,
    /// Whether every node has revoked its evidence.
    evidence_revoked: bool,
    /// Replicas that did not run when they were to be promoted, and when the platform reported
    /// that.
    not_running: BTreeMap<InstanceName, Instant>,
    chosen: Option<InstanceName>,
    /// The chosen instance, once it has reported itself that it is primary. The store may be down
    /// and so may not show it.
    reported_successor: Option<Successor>,
    /// Whether this attempt chose another instance earlier. If that instance becomes primary after
    /// all, the replicas are stopped with a minimum term above its term and do not follow it until
    /// they are released.
    target_changed: bool,
    last_sent: BTreeMap<(InstanceName, RetriedCommand), Instant>,
}

/// Commands to one instance that are repeated until it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RetriedCommand {
    QueryStatus,
    Stop,
    Demote,
    Release,
}

impl Attempt {
    /// An attempt that begins because of `need`; `highest_term` is the highest term known of the
    /// group.
    pub fn new(
        coordinator: NodeName,
        id: ReplacementId,
        need: &Need,
        members: Members,
        highest_term: Term,
        timing: Timing,
    ) -> Self {
        let Need {
            reason,
            old_primary: former,
            has_begun: earlier_attempt_stopped,
            may_have_promoted: promoting,
            awaits_log,
            old_primary_required_until,
            callers,
            callers_known_since,
            ..
        } = need.clone();
        let last_primary_is_replica = need.last_primary_is_replica;
        // An instance that reports to be primary may be the one that the earlier coordinator had
        // promoted.
        let outdated = match promoting || reason == Reason::Unfinished {
            true => BTreeSet::new(),
            false => claimed_primaries(&members, former.as_ref()),
        };
        Self {
            intent: Intent {
                holder: coordinator,
                id,
                reason,
                former,
                called_off: false,
                promoting,
                awaits_log,
                callers: callers.clone(),
            },
            last_primary_is_replica,
            incarnations: KnownIncarnations::default(),
            log_evidence: LogEvidence::default(),
            releases: Releases::after(earlier_attempt_stopped),
            members,
            displaced: BTreeSet::new(),
            ended: BTreeSet::new(),
            other_primaries: OtherPrimaries::new(outdated),
            timing,
            phase: Phase::Recording,
            submitted: None,
            recorded: None,
            earlier_may_have_promoted: promoting,
            sent_promotions: 0,
            process: UNKNOWN_PROCESS,
            open_calls: OpenCalls::new(callers, callers_known_since),
            is_own_call_open: false,
            continues_earlier_attempt: earlier_attempt_stopped,
            still_needed: true,
            highest_term,
            stop_term: Term(highest_term.0 + 1),
            reported: BTreeSet::new(),
            stopped: BTreeMap::new(),
            first_stops_at: None,
            has_waited_for_stops: false,
            has_waited_for_primary: false,
            stopped_since: None,
            stop_check_since: None,
            old_primary_state: OldPrimaryState::default(),
            old_primary_required_until,
            requires_old_primary: false,
            step_down_requested_at: None,
            has_awaited_step_down: false,
            evidence_revoked: false,
            not_running: BTreeMap::new(),
            chosen: None,
            reported_successor: None,
            target_changed: false,
            last_sent: BTreeMap::new(),
        }
    }

    /// Sets the number of the process that runs the attempt, by which a later coordinator
    /// distinguishes it from other processes of the same node.
    pub fn in_process(mut self, process: u64) -> Self {
        self.process = process;
        // The coordinator sends one promotion of a group at a time.
        let own = self.own_caller();
        self.open_calls.on_ended(&own);
        self
    }

    /// The process that runs the attempt, as a caller of the platform.
    fn own_caller(&self) -> PromotionCaller {
        let (node, fence) = (self.intent.holder.clone(), self.intent.id.fence);
        PromotionCaller { node, process: self.process, fence }
    }

    /// Earlier callers whose promotions may still arrive. The attempt sends no promotion while there
    /// are any.
    pub fn open_callers(&self) -> &[PromotionCaller] {
        self.open_calls.callers()
    }

    /// Earlier callers on `node` whose calls have ended if the node runs no process.
    pub fn callers_that_end_with(&self, node: &NodeName) -> Vec<PromotionCaller> {
        let callers = self.open_calls.callers().iter();
        callers
            .filter(|caller| caller.node == *node && caller.resets_its_calls())
            .cloned()
            .collect()
    }

    /// The processes whose promotions may still arrive once the attempt has finished. The next
    /// attempt on the group has to know them.
    pub fn callers_at_end(&self) -> Vec<PromotionCaller> {
        let own = self.is_own_call_open.then(|| self.own_caller());
        self.open_calls.callers().iter().cloned().chain(own).collect()
    }

    /// Earlier callers for which the attempt has stopped waiting without evidence that their calls
    /// have ended.
    pub fn unconfirmed_callers(&self) -> &[PromotionCaller] {
        self.open_calls.given_up()
    }

    /// Which replacement the attempt belongs to.
    pub fn id(&self) -> ReplacementId {
        self.intent.id
    }

    /// The intent as it is in the store, until the attempt has finished. Nodes are notified of it.
    pub fn recorded_intent(&self) -> Option<&Intent> {
        self.recorded.as_ref().filter(|_| self.phase != Phase::Over)
    }

    /// The term that the successor has reported that it leads.
    pub fn successor_term(&self) -> Option<Term> {
        let chosen = self.chosen.as_ref();
        let reported = self.reported_successor.as_ref();
        reported
            .filter(|reported| chosen == Some(&reported.instance))
            .and_then(|reported| reported.term)
    }

    /// Whether the coordinator announces the end of the attempt to the nodes directly. Nodes that
    /// cannot reach the store recognize the old primary only by the successor's term. If that term
    /// is unknown, they have to wait for the store, which names the successor.
    pub fn may_announce_end(&self) -> bool {
        !self.has_chosen() || self.successor_term().is_some()
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The old primary, if it is known.
    pub fn old_primary(&self) -> Option<&InstanceName> {
        self.intent.former.as_ref()
    }

    /// The instance that is being promoted, or has been.
    pub fn chosen(&self) -> Option<&InstanceName> {
        self.chosen.as_ref()
    }

    /// Whether an instance has been chosen.
    fn has_chosen(&self) -> bool {
        self.chosen.is_some()
    }

    /// Whether the attempt cannot be cancelled: a promotion may take effect or have taken effect, or
    /// the old primary may have stepped down.
    fn may_have_promoted(&self) -> bool {
        self.earlier_may_have_promoted
            || self.sent_promotions > 0
            || self.step_down_requested_at.is_some()
    }

    /// Advances through as many phases as the current knowledge allows, and returns the commands to
    /// carry out.
    pub fn step(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        self.update_old_primary_requirement(now);
        let is_queried = self.recorded.is_some() || self.waits_before_its_record();
        if is_queried && self.phase != Phase::Over {
            self.open_calls.step(&self.timing, now, &mut commands);
        }
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
            Phase::Recording if self.submitted.is_some() => {}
            Phase::Recording if !self.waits_before_its_record() => self.record_first(commands),
            Phase::Recording if self.still_needed => {}
            Phase::Recording => self.phase = Phase::Over,
            Phase::Over => {}
            Phase::Settling { until } => self.settle(until, now, commands),
            Phase::Cancelling { until } => self.cancel(until, now, commands),
            // The instance that this coordinator or an earlier one had promoted is the primary from
            // now on.
            _ if successor.is_some() => {
                self.chosen = successor;
                commands.extend(self.chosen.clone().map(Command::RecordSuccessor));
                self.phase = Phase::Settling { until: now + self.timing.demotion_timeout };
            }
            Phase::Promoting { again } => {
                self.query_other_primaries(now, commands);
                // An old primary that was unreachable when the promotion was sent may return as a
                // primary at any time until the successor is primary, and would acknowledge commits
                // through replicas that the promotion releases.
                self.demote_old_primary(now, commands);
                self.query_old_primary_if_chosen(now, commands);
                // Replicas may have restarted meanwhile, and a restarted replica is no longer
                // stopped.
                if now >= again {
                    self.set_stopped_since(Some(now));
                    self.phase = Phase::Checking;
                }
            }
            _ if !self.still_needed && !self.may_have_promoted() => {
                self.phase = Phase::Cancelling { until: now + self.timing.release_timeout };
            }
            Phase::Draining { until } => {
                if now >= until {
                    self.phase = Phase::Stopping { since: now };
                }
            }
            Phase::Stopping { since } => self.stop(since, now, commands),
            Phase::Lapsing { since } => self.lapse(since, now, commands),
            Phase::Checking => self.check(now, commands),
        }
    }

    /// Whether the attempt waits for the end of earlier promotions before it records its intent. From
    /// the record on nodes give the old primary no work, which may work and would be without writes
    /// for as long as the attempt waits.
    fn waits_before_its_record(&self) -> bool {
        self.submitted.is_none()
            && !self.continues_earlier_attempt
            && !self.open_calls.callers().is_empty()
    }

    /// Whether the attempt has ended before it recorded anything, since it was no longer needed. There
    /// is nothing to finish in the store.
    pub fn is_withdrawn(&self) -> bool {
        self.phase == Phase::Over && self.submitted.is_none()
    }

    /// Records the intent for the first time.
    fn record_first(&mut self, commands: &mut Vec<Command>) {
        if !self.continues_earlier_attempt {
            // The callers of the last replacement have ended, or were waited for in vain.
            self.intent.callers = self.open_calls.callers().to_vec();
        }
        self.record_intent(commands);
    }

    /// Sets since when enough replicas are stopped; `None` if too few are.
    fn set_stopped_since(&mut self, stopped_since: Option<Instant>) {
        self.stopped_since = stopped_since;
        self.stop_check_since = None;
    }

    /// Records that this process may send a promotion from now on.
    fn record_promoting(&mut self, commands: &mut Vec<Command>) {
        let own = self.own_caller();
        self.intent.promoting = true;
        self.intent.callers = self.open_calls.callers().to_vec();
        self.intent.callers.push(own);
        self.record_intent(commands);
    }

    /// Whether the store shows that this process may send a promotion.
    fn is_promoting_recorded(&self) -> bool {
        let own = self.own_caller();
        let is_recorded = |recorded: &Intent| recorded.promoting && recorded.callers.contains(&own);
        self.recorded.as_ref().is_some_and(is_recorded)
    }

    /// Submits the intent to the store, unless it was submitted in this form already.
    fn record_intent(&mut self, commands: &mut Vec<Command>) {
        if self.submitted.as_ref() != Some(&self.intent) {
            self.submitted = Some(self.intent.clone());
            commands.push(Command::RecordIntent(self.intent.clone()));
        }
    }

    /// Whether the store has not confirmed the intent that was last submitted. At most one write is
    /// pending at a time: a repeated older one would replace a newer one.
    fn is_write_pending(&self) -> bool {
        self.submitted != self.recorded
    }

    /// The replicas that may run, including the old primary once it is a replica. A member at whose
    /// address another member answers has terminated: its log is lost, or that member has it.
    fn replicas(&self) -> Vec<Member> {
        let primary = self.old_primary().filter(|_| !self.old_primary_state.is_replica);
        let replicas = self.members.replicas(primary);
        replicas.filter(|member| !self.has_ended(member)).cloned().collect()
    }

    /// Whether the process of a member has ended, so that it cannot be stopped.
    fn has_ended(&self, member: &Member) -> bool {
        self.has_successor_at_address(member)
            || member.has_ended
            || self.ended.contains(&member.name)
    }

    /// Whether another member answers at the address of a member: it has the log of that member.
    fn has_successor_at_address(&self, member: &Member) -> bool {
        member.shares_address && self.displaced.contains(&member.name)
    }

    /// Sends a command to an instance, unless the same kind was sent within the retry interval.
    fn send(
        &mut self,
        instance: &InstanceName,
        kind: RetriedCommand,
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
