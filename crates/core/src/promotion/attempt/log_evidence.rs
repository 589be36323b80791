//! Decides whether a set of stopped instances includes every acknowledged commit.
//!
//! A commit is acknowledged once the primary and `synchronous` replicas hold it, whichever replicas
//! these are. Replicas that have ended since count as well: the commit may be left at the primary
//! alone. So the stopped instances are compared with all instances that may hold a commit, not with
//! those that are left. Three kinds of evidence count:
//!
//! 1. *Enough stopped instances*: they intersect every set of instances that can have acknowledged a
//!    commit. Instances that have ended are among those that can, until the others are known to hold
//!    their commits ([`crate::promotion::KnownInstances`]).
//! 2. *The acknowledged position*: all nodes have reported up to which position they may have
//!    acknowledged commits to clients, and pass on none any more
//!    ([`crate::promotion::RestartReports::acknowledged_position`]).
//! 3. *The operator's decision* to accept the loss of commits.
//!
//! Without evidence the attempt waits for the old primary, which returns with its log.

use std::time::Instant;

use super::Attempt;
use crate::ids::InstanceName;
use crate::incarnation::has_restarted;
use crate::position::{LogOffset, Position, Term};
use crate::promotion::{Command, LogHolder, Member, Phase};

/// Reports of nodes, and the operator's decision, about the logs of the group.
#[derive(Clone, Debug, Default)]
pub(super) struct LogEvidence {
    /// All instances that may hold a commit that the others lack, as a node reported them that
    /// knows them all. Used if the coordinator does not know them itself.
    log_holders: Option<Vec<LogHolder>>,
    /// The highest position that the primary has reported to a node, from the nodes' reports.
    reported: Option<Position>,
    /// The highest position up to which any node may have acknowledged commits to clients.
    acknowledged: Option<Position>,
    /// Whether the operator accepts that acknowledged commits are lost.
    accepts_commit_loss: bool,
}

impl LogEvidence {
    /// A node reported all instances that may hold a commit that the others lack. Each report is
    /// evidence by itself, so the one with the fewest instances counts.
    pub fn on_log_holders(&mut self, holders: Vec<LogHolder>) {
        let is_smaller = |known: &Vec<LogHolder>| holders.len() < known.len();
        if self.log_holders.as_ref().is_none_or(is_smaller) {
            self.log_holders = Some(holders);
        }
    }

    /// A node reported the highest position that it knows of the primary.
    pub fn on_reported_position(&mut self, position: Position) {
        let is_higher = self.reported.map(order) < Some(order(position));
        if is_higher {
            self.reported = Some(position);
        }
    }

    /// All nodes have reported up to which position they may have acknowledged commits.
    pub fn on_acknowledged_position(&mut self, position: Position) {
        self.acknowledged = Some(position);
    }

    /// The operator accepts that acknowledged commits are lost.
    pub fn on_commit_loss_accepted(&mut self) {
        self.accepts_commit_loss = true;
    }
}

/// Why an attempt cannot promote an instance yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingLogs {
    /// Number of stopped instances that still have their logs.
    pub stopped: usize,
    /// How many have to be stopped; `None` if the coordinator does not know which instances may
    /// hold commits.
    pub required: Option<usize>,
    /// Instances whose logs are not available: not stopped yet, unreachable or ended.
    pub missing: Vec<InstanceName>,
    /// The highest position of a stopped instance.
    pub best: Option<Position>,
    /// The position up to which commits may have been acknowledged to clients, if all nodes have
    /// reported it.
    pub acknowledged: Option<Position>,
}

pub(super) fn order(position: Position) -> (Term, LogOffset) {
    (position.term, position.offset)
}

impl Attempt {
    /// Whether the stopped instances `stopped` include every acknowledged commit.
    pub(super) fn include_every_commit(&self, stopped: &[&InstanceName]) -> bool {
        let usable: Vec<&InstanceName> =
            stopped.iter().copied().filter(|name| self.has_usable_log(name)).collect();
        if usable.is_empty() || self.lack_commits_of_old_primary(&usable) {
            return self.may_lose_commits() && !usable.is_empty();
        }
        let are_enough = match self.required_stops() {
            Some(required) => usable.len() >= required,
            None => self.include_last_primary(&usable),
        };
        are_enough || self.reach_acknowledged_position(&usable) || self.may_lose_commits()
    }

    /// How many instances must be stopped, whether or not the old primary is one of them. Never more
    /// than still have their logs: the attempt does not wait for an instance that has lost its log.
    /// `None` if it is not known which instances may hold commits.
    pub(super) fn required_stops(&self) -> Option<usize> {
        let unlisted_holders = self.unlisted_holders()?;
        let counted = self.members.all.iter().filter(|member| self.counts(member));
        let replicas = match self.old_primary() {
            Some(old_primary) => counted.filter(|member| member.name != *old_primary).count(),
            None => counted.count().saturating_sub(usize::from(self.last_primary_is_replica)),
        };
        let required = self.members.required_stops(replicas + unlisted_holders);
        Some(required.min(self.usable_log_count()).max(1))
    }

    /// Whether a member may have counted for the acknowledgement of a commit. Not so if another
    /// member has its log. Where no replica is required for an acknowledgement, an instance that has
    /// ended does not count: the primary alone has every commit anyway.
    fn counts(&self, member: &Member) -> bool {
        let counts_when_ended = self.members.synchronous > 0;
        let may_hold_commits = !member.has_vanished || self.is_reported_holder(member);
        !self.has_successor_at_address(member)
            && (counts_when_ended || !self.has_ended(member))
            && may_hold_commits
    }

    /// Whether a member may hold a commit that the others lack, as far as another node has reported.
    /// True if the coordinator knows all such members itself.
    fn is_reported_holder(&self, member: &Member) -> bool {
        let holders = self.log_evidence.log_holders.as_ref();
        self.members.knows_log_holders
            || holders
                .is_none_or(|holders| holders.iter().any(|holder| holder.instance == member.name))
    }

    /// Number of instances that are not members and may hold a commit that the members lack; `None`
    /// if it is not known.
    fn unlisted_holders(&self) -> Option<usize> {
        if self.members.knows_log_holders || self.members.synchronous == 0 {
            return Some(0);
        }
        let holders = self.log_evidence.log_holders.as_ref()?;
        let unlisted = holders.iter().filter(|holder| self.members.get(&holder.instance).is_none());
        Some(unlisted.count())
    }

    /// Whether a member has restarted since another node reported that it holds commits, and the
    /// coordinator does not know of all restarts itself.
    pub(super) fn has_restarted_since_report(&self, member: &Member) -> bool {
        if self.members.knows_log_holders {
            return false;
        }
        let holders = self.log_evidence.log_holders.iter().flatten();
        let mut reported = holders.filter(|holder| holder.instance == member.name);
        reported.any(|holder| has_restarted(holder.incarnation, member.incarnation))
    }

    /// Whether the stopped instances include the last primary, which has every acknowledged commit.
    /// If it has lost its log, or none is known, nothing is left to wait for, and all others have to
    /// be stopped.
    fn include_last_primary(&self, usable: &[&InstanceName]) -> bool {
        let are_all_stopped = usable.len() >= self.usable_log_count();
        let Some(old_primary) = self.old_primary() else { return are_all_stopped };
        let has_lost_log = self
            .members
            .get(old_primary)
            .is_some_and(|member| !self.has_usable_log(old_primary) || self.has_ended(member));
        if has_lost_log {
            return are_all_stopped;
        }
        usable.contains(&old_primary) || self.may_ignore_history(usable)
    }

    /// Whether the attempt goes on without the old primary although no node knows the history of the
    /// group: all nodes have just started. So that such a start does not leave the group without a
    /// primary for good, the others suffice once the old primary has had time to return, unless there
    /// is a sign that they lack commits: the primary has reported a higher position to a node, or an
    /// earlier coordinator has recorded that it waits for the log.
    fn may_ignore_history(&self, usable: &[&InstanceName]) -> bool {
        let others = self.members.replicas(self.old_primary());
        let mut others =
            others.filter(|other| !self.has_ended(other) && self.has_usable_log(&other.name));
        let are_others_stopped = others.all(|other| usable.contains(&&other.name));
        let reported = self.log_evidence.reported.map(order);
        let lacks_commits = reported > self.highest_position(usable).map(order);
        let has_sign = lacks_commits || self.intent.awaits_log;
        self.has_waited_for_primary && are_others_stopped && !has_sign
    }

    /// Whether one of the stopped instances has received the log up to the position up to which
    /// commits may have been acknowledged to clients.
    pub(super) fn reach_acknowledged_position(&self, usable: &[&InstanceName]) -> bool {
        let Some(acknowledged) = self.log_evidence.acknowledged else { return false };
        self.highest_position(usable).map(order) >= Some(order(acknowledged))
    }

    pub(super) fn highest_position(&self, usable: &[&InstanceName]) -> Option<Position> {
        let stopped = usable.iter().filter_map(|name| self.stopped.get(*name));
        stopped.map(|stopped| stopped.received).max_by_key(|position| order(*position))
    }

    /// Whether the operator accepts the loss of commits, and the instances that can be reached have
    /// had time to stop.
    fn may_lose_commits(&self) -> bool {
        self.log_evidence.accepts_commit_loss && self.has_waited_for_stops
    }

    /// Why the attempt cannot promote an instance, while it stops replicas.
    pub fn missing_logs(&self) -> Option<MissingLogs> {
        if !matches!(self.phase, Phase::Stopping { .. }) {
            return None;
        }
        let stopped: Vec<&InstanceName> = self.stopped.keys().collect();
        if self.include_every_commit(&stopped) {
            return None;
        }
        let usable = stopped.iter().filter(|name| self.has_usable_log(name));
        let members = self.members.all.iter().map(|member| &member.name);
        let missing = members.filter(|name| !self.stopped.contains_key(*name));
        Some(MissingLogs {
            stopped: usable.count(),
            required: self.required_stops(),
            missing: missing.cloned().collect(),
            best: self.highest_position(&stopped),
            acknowledged: self.log_evidence.acknowledged,
        })
    }

    /// Remembers whether the instances that can be reached have had time to stop, and the old
    /// primary to return.
    pub(super) fn update_waits(&mut self, now: Instant) {
        let waited = now.saturating_duration_since(*self.first_stops_at.get_or_insert(now));
        self.has_waited_for_stops |= waited >= self.timing.stopping_timeout;
        self.has_waited_for_primary |= waited >= self.timing.primary_return_timeout;
    }

    /// Whether the store has not confirmed the record that the attempt waits. If that write is repeated
    /// after the record that a promotion may be sent, it would replace it.
    pub(super) fn is_log_wait_pending(&self) -> bool {
        let is_recorded = self.recorded.as_ref().is_some_and(|recorded| recorded.awaits_log);
        self.intent.awaits_log && !is_recorded
    }

    /// Whether even all replicas that may run are too few: an instance has ended, and the others are
    /// not known to hold its commits.
    pub(super) fn replicas_cannot_suffice(&self) -> bool {
        let replicas = self.replicas();
        let usable = replicas.iter().filter(|replica| self.has_usable_log(&replica.name)).count();
        self.required_stops().is_some_and(|required| required > usable)
    }

    /// Records in the store that the attempt waits for the old primary's log, because all replicas
    /// are too few. The nodes may all restart meanwhile.
    pub(super) fn record_log_wait(&mut self, commands: &mut Vec<Command>) {
        let waits = self.has_waited_for_stops && self.replicas_cannot_suffice();
        if waits && !self.intent.awaits_log && !self.is_write_pending() {
            self.intent.awaits_log = true;
            self.record_intent(commands);
        }
    }
}
