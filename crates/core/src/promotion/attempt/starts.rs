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
use crate::promotion::Command;

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
        let pause = self.timing.store_retry;
        let is_early = self.starts.failed.is_some_and(|failed| now < failed + pause);
        let is_waiting =
            self.starts.waiting.is_some_and(|asked| now < asked + STORE_ANSWERS_WITHIN);
        if !is_waiting && !is_early {
            self.starts.waiting = Some(now);
            commands.push(Command::ReadStarts);
        }
        false
    }

    /// Whether an instance still has every commit that it has received.
    pub(super) fn has_its_log(&self, name: &InstanceName) -> bool {
        let Some(member) = self.members.get(name) else { return false };
        let told = self.starts.told.get(name);
        let is_same_start = told.is_none_or(|told| member.incarnation == Some(*told));
        is_same_start && !member.is_refilling && !self.starts.went_back.contains(name)
    }
}
