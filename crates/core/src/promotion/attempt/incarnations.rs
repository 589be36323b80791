//! Which instances still have their logs, as far as that shows.
//!
//! An instance that has started again holds nothing of what it had received. The copy of the store that the
//! holder goes by may not say so yet; so the store is asked once enough replicas have been stopped, and an
//! instance that says less than before has lost its log whatever the store says.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::Attempt;
use crate::ids::InstanceName;
use crate::incarnation::InstanceIncarnation;
use crate::position::Position;
use crate::promotion::{CombinedReport, Command, Member, ObservedRestart, ReplicationStatus};

/// Time after which an answer of the store is not waited for any more: its calls are given up before.
const STORE_ANSWERS_WITHIN: Duration = Duration::from_secs(3);

/// What is known of starts, beside what the members tell.
#[derive(Clone, Debug, Default)]
pub(super) struct Starts {
    /// What the store said last when it was asked.
    told: BTreeMap<InstanceName, InstanceIncarnation>,
    /// When it was asked for that.
    asked: Option<Instant>,
    /// When it was last asked, if it has not answered.
    waiting: Option<Instant>,
    /// When it last did not answer.
    failed: Option<Instant>,
    /// Instances that said a lower position than before while they were stopped.
    went_back: BTreeSet<InstanceName>,
    /// Starts since which an instance has received everything, as nodes have seen it.
    refilled: BTreeMap<InstanceName, InstanceIncarnation>,
    /// What all nodes have heard of the primary.
    heard: Option<CombinedReport>,
}

impl Starts {
    /// The store has said it.
    pub fn on_told(&mut self, told: BTreeMap<InstanceName, InstanceIncarnation>, asked: Instant) {
        self.told = told;
        self.asked = self.asked.max(Some(asked));
        self.waiting = None;
    }

    /// The store has not said it.
    pub fn on_unknown(&mut self, now: Instant) {
        self.waiting = None;
        self.failed = Some(now);
    }

    /// A node has seen an instance receive everything since a start.
    pub fn on_refilled(&mut self, refilled: ObservedRestart) {
        self.refilled.insert(refilled.instance, refilled.incarnation);
    }

    /// All nodes have said what they have heard.
    pub fn on_heard_by_all(&mut self, heard: CombinedReport) {
        self.heard = Some(heard);
    }

    /// A stopped instance that had received `before` says that it has received `now`.
    pub fn on_position(&mut self, instance: &InstanceName, before: Position, now: Position) {
        if (now.term, now.offset) < (before.term, before.offset) {
            self.went_back.insert(instance.clone());
        }
    }
}

impl Attempt {
    /// Whether the store has been asked since enough replicas were stopped, and has answered. If not, it is asked.
    pub(super) fn knows_starts(&mut self, now: Instant, commands: &mut Vec<Command>) -> bool {
        let since = self.complete.unwrap_or(now);
        if self.starts.asked.is_some_and(|asked| asked >= since) {
            return true;
        }
        let pause = self.timing.store_retry_interval;
        let is_early = self.starts.failed.is_some_and(|failed| now < failed + pause);
        let is_waiting =
            self.starts.waiting.is_some_and(|asked| now < asked + STORE_ANSWERS_WITHIN);
        if !is_waiting && !is_early {
            self.starts.waiting = Some(now);
            commands.push(Command::ReadIncarnations);
        }
        false
    }

    /// Whether an instance still has every commit that it has received, or has received again what it lost.
    pub(super) fn has_its_log(&self, name: &InstanceName) -> bool {
        self.members.get(name).is_some_and(|member| self.keeps_log(member) || self.no_log_is_left())
    }

    /// An instance whose start all nodes have seen holds everything if it has received what any of them has heard:
    /// none has passed on a commit beyond that.
    pub(super) fn compare_with_heard(
        &mut self,
        instance: &InstanceName,
        standing: &ReplicationStatus,
    ) {
        let Some(heard) = &self.starts.heard else { return };
        let member = self.members.get(instance);
        let Some(start) = member.and_then(|member| member.incarnation) else { return };
        let seen = ObservedRestart { instance: instance.clone(), incarnation: start };
        let received = (standing.received.term, standing.received.offset);
        let has_received = received >= (heard.highest_position.term, heard.highest_position.offset);
        if has_received && heard.started_again.contains(&seen) {
            self.starts.on_refilled(seen);
        }
    }

    /// How many instances still have their logs, whether they can be reached or not.
    pub(super) fn logs_left(&self) -> usize {
        let may_run = |member: &&Member| !self.has_ended(member);
        let left = self.members.all.iter().filter(may_run);
        left.filter(|member| self.has_its_log(&member.name)).count()
    }

    /// Whether all instances have lost their logs: what they held is gone, and nothing is gained by waiting.
    fn no_log_is_left(&self) -> bool {
        !self.members.all.iter().any(|member| self.keeps_log(member))
    }

    fn keeps_log(&self, member: &Member) -> bool {
        let told = self.starts.told.get(&member.name);
        let is_same_start = told.is_none_or(|told| member.incarnation == Some(*told));
        let refilled = self.starts.refilled.get(&member.name).copied();
        let is_refilled = refilled.is_some() && refilled == member.incarnation;
        let is_whole = !member.is_refilling || is_refilled;
        is_same_start && is_whole && !self.starts.went_back.contains(&member.name)
    }
}
