//! Holds back the answers of commits until other instances of the group have confirmed them.
//!
//! If the group elects its primary, a majority confirms a commit in its answers to probes. If the
//! proxy replaces primaries, this node must know that the commit cannot be lost to a replacement. A
//! commit is acknowledged at once if evidence that the node had before covers its answer: a
//! coordinator lets that evidence expire before it has another instance promoted. That the node is
//! on the machine list is not enough, because a coordinator waits for a node that it cannot reach
//! only until the node's evidence has expired. The node first queries the replication status of the
//! replicas if no evidence covers the answer, if it is not listed yet, or if it does not know how a
//! replacement of the primary ended. In the first case evidence that arrives later, but was requested
//! early enough, confirms the commit as well.

use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::catalog::{Elector, Group};
use kestrellock_core::confirmation::{Confirmation, FlushReport, ProbeNumber, Verdict};
use kestrellock_core::exchange_state::{Effect, ExchangeImpact, Fault, Progress, failure_code};
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::position::{Position, Term};
use kestrellock_core::primary_evidence::Lead;
use kestrellock_core::routing::Role;
use kestrellock_peer::message::{LeaseEvent, TransactionState};
use kestrellock_protocol::backend::Report;

use super::notify_front;
use super::server::ProbeAnswer;
use crate::event::Io;
use crate::metrics::{CommitWait, CommitWaitEnd, LoggedEvent};
use crate::policy::Policy;
use crate::shared::statuses::{CommitConfirmation, UncoveredAnswer};

/// Interval after which replicas that have not confirmed a commit are queried again.
const STATUS_QUERY_INTERVAL: Duration = Duration::from_millis(60);

/// A commit that its primary has answered.
#[derive(Debug)]
pub struct Commit {
    /// Lease of the commit.
    pub lease: LeaseId,
    /// Sequence number of the event that will carry the answer.
    pub sequence: u32,
    /// Instance that ran the commit.
    pub instance: InstanceName,
    /// Whether evidence that this node had before covers the answer: no promotion can have released
    /// a replica by then. Not used in groups that elect their primary.
    pub is_covered: bool,
    /// The instance's report right after the commit, if there was one.
    pub report: Option<Report>,
    /// Latest time to answer the client.
    pub deadline: Instant,
    /// The answer that is held back.
    pub frames: Bytes,
    /// Transaction state after the commit.
    pub transaction: TransactionState,
}

/// How a pending commit is confirmed.
#[derive(Debug)]
enum ConfirmationMethod {
    /// Answers to probes that were sent after the commit.
    Probes(Confirmation),
    /// Replication statuses, and a replacement check by the store if some replicas do not answer.
    ReplicaStatuses {
        /// Position of the commit.
        position: Position,
        /// When the answer of the commit arrived.
        answered: Instant,
        /// How long evidence lasted at this node when the answer arrived, if evidence counts that was
        /// requested before the answer. It does not at a node for which no coordinator may have
        /// waited then.
        lifetime: Option<Duration>,
    },
}

#[derive(Debug)]
struct PendingCommit {
    commit: Commit,
    method: ConfirmationMethod,
}

impl PendingCommit {
    /// When the answer of the commit arrived, if it waits for replication statuses.
    fn awaits_replica_statuses_since(&self) -> Option<Instant> {
        match &self.method {
            ConfirmationMethod::Probes(_) => None,
            ConfirmationMethod::ReplicaStatuses { answered, .. } => Some(*answered),
        }
    }
}

/// Commits of one group that wait for confirmation.
#[derive(Debug, Default)]
pub struct Confirmations {
    pending: Vec<PendingCommit>,
    highest_term: Term,
    last_probe: ProbeNumber,
    /// When the replicas were last queried.
    last_status_query: Option<Instant>,
}

impl Confirmations {
    /// Whether any commit waits.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The first probe that counts for the newest waiting commit.
    pub fn wanted_probe(&self) -> Option<ProbeNumber> {
        let first_probe = |pending: &PendingCommit| match &pending.method {
            ConfirmationMethod::Probes(confirmation) => Some(confirmation.first_probe()),
            ConfirmationMethod::ReplicaStatuses { .. } => None,
        };
        self.pending.iter().filter_map(first_probe).max()
    }

    /// Highest term that any instance has reported.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The number that the next probe will have.
    pub fn upcoming_probe(&self) -> ProbeNumber {
        self.last_probe.next()
    }

    /// Number for a probe that is about to be sent.
    pub fn next_probe(&mut self) -> ProbeNumber {
        self.last_probe = self.last_probe.next();
        self.last_probe
    }

    /// Adds a commit. The report of its primary is the first confirmation and may already suffice.
    pub fn add_commit(&mut self, commit: Commit, name: &GroupName, group: &Group, io: &mut Io) {
        let Some(report) = commit.report else {
            return refuse(commit, Progress::Answered, Fault::InstanceConnectionLost, io);
        };
        // The instance was primary when it committed. It has been demoted since, and may have to
        // discard the commit.
        if report.role == Role::Replica {
            return refuse(commit, Progress::Unconfirmed, Fault::Superseded, io);
        }
        let position = report.flushed;
        if io.context.policy == Policy::NoConfirmation {
            return acknowledge(commit, Some(position), io);
        }
        if position.term < self.highest_term {
            return refuse(commit, Progress::Unconfirmed, Fault::Superseded, io);
        }
        let first_probe = self.last_probe.next();
        let instance = commit.instance.clone();
        let confirmation = Confirmation::new(instance, position, group.confirmation, first_probe);
        if confirmation.verdict(group.majority()) != Verdict::Confirmed {
            let method = ConfirmationMethod::Probes(confirmation);
            return self.pending.push(PendingCommit { commit, method });
        }
        let is_uninformed = io.context.needs_replica_confirmation(name, &commit.instance);
        if group.elector == Elector::Group || (commit.is_covered && !is_uninformed) {
            return acknowledge(commit, Some(position), io);
        }
        log_wait(&commit, position, name, group, io);
        if !io.context.has_lasting_evidence(name, group, io.now) {
            // Reports of replicas confirm the commit only together with a replacement check.
            io.context.replacement_check_requests.request(name);
        }
        let method = ConfirmationMethod::ReplicaStatuses {
            position,
            answered: Instant::now(),
            lifetime: (!is_uninformed).then(|| io.context.evidence_lifetime(name)),
        };
        self.pending.push(PendingCommit { commit, method });
    }

    /// Whether the replicas are due to be queried now.
    pub fn should_query_replicas(&mut self, now: Instant) -> bool {
        let newest =
            self.pending.iter().filter_map(PendingCommit::awaits_replica_statuses_since).max();
        let Some(newest) = newest else { return false };
        let is_due =
            |queried_at: Instant| queried_at <= newest || now >= queried_at + STATUS_QUERY_INTERVAL;
        let is_due_now = self.last_status_query.is_none_or(is_due);
        if is_due_now {
            // Read the clock again: the answer may have arrived after this process received the
            // event.
            self.last_status_query = Some(Instant::now());
        }
        is_due_now
    }

    /// Answers the commits that the replication statuses of the replicas decide.
    pub fn resolve_by_replica_statuses(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let mut kept = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            let ConfirmationMethod::ReplicaStatuses { position, answered, lifetime } =
                pending.method
            else {
                kept.push(pending);
                continue;
            };
            let instance = &pending.commit.instance;
            if !io.context.replacements.may_acknowledge_commit(name, instance, Instant::now()) {
                io.context.metrics.commit_wait_ends.count(CommitWaitEnd::Replaced);
                refuse_late(name, pending.commit, io);
                continue;
            }
            let lead = Lead { instance, term: position.term };
            let (statuses, replication) = (&io.context.statuses, group.replication());
            // Evidence may last longer again by now. A coordinator has waited only for as long as it
            // lasted when the answer arrived.
            let lifetime = lifetime
                .filter(|_| !io.context.needs_replica_confirmation(name, instance))
                .map(|at_answer| at_answer.min(io.context.evidence_lifetime(name)));
            let answer = UncoveredAnswer { answered, lifetime };
            match statuses.commit_confirmation(name, lead, replication, answer, Instant::now()) {
                CommitConfirmation::Covered => {
                    io.context.metrics.commit_wait_ends.count(CommitWaitEnd::Covered);
                    acknowledge(pending.commit, Some(position), io);
                }
                CommitConfirmation::Confirmed => {
                    io.context.metrics.commit_wait_ends.count(CommitWaitEnd::Confirmed);
                    acknowledge(pending.commit, Some(position), io);
                }
                CommitConfirmation::Replaced => {
                    io.context.metrics.commit_wait_ends.count(CommitWaitEnd::Replaced);
                    refuse(pending.commit, Progress::Unconfirmed, Fault::Superseded, io);
                }
                CommitConfirmation::LacksReplacementCheck => {
                    io.context.replacement_check_requests.request(name);
                    kept.push(pending);
                }
                CommitConfirmation::Unconfirmed => kept.push(pending),
            }
        }
        self.pending = kept;
    }

    /// Leases whose commits wait.
    pub fn leases(&self) -> impl Iterator<Item = &LeaseId> {
        self.pending.iter().map(|pending| &pending.commit.lease)
    }

    /// Drops the pending commit of an abandoned lease.
    pub fn forget(&mut self, lease: &LeaseId) {
        self.pending.retain(|pending| pending.commit.lease != *lease);
    }

    /// Ends the wait for the commits of an unreachable front. They have taken effect, so their
    /// outcome is reported as in doubt: the front may reconnect and request it.
    pub fn fail_commits_of_node(&mut self, node: &NodeName, io: &mut Io) {
        let of_node = |pending: &mut PendingCommit| pending.commit.lease.node == *node;
        for pending in self.pending.extract_if(.., of_node) {
            refuse(pending.commit, Progress::Unconfirmed, Fault::GatewayLost, io);
        }
    }

    /// Ends the wait for all commits, because the process is about to end. Returns their number.
    pub fn fail_for_stop(&mut self, io: &mut Io) -> usize {
        let pending = std::mem::take(&mut self.pending);
        let count = pending.len();
        for pending in pending {
            refuse(pending.commit, Progress::Unconfirmed, Fault::NodeStopping, io);
        }
        count
    }

    /// Processes an instance's answer to a probe, and answers the commits that it decides.
    pub fn on_report(
        &mut self,
        instance: &InstanceName,
        answer: &ProbeAnswer,
        group: &Group,
        io: &mut Io,
    ) {
        let flushed = answer.report.flushed;
        self.highest_term = self.highest_term.max(flushed.term);
        let evidence = FlushReport { instance, probe: answer.number, flushed };
        let mut kept = Vec::new();
        for mut pending in std::mem::take(&mut self.pending) {
            let ConfirmationMethod::Probes(confirmation) = &mut pending.method else {
                kept.push(pending);
                continue;
            };
            match confirmation.on_flush_report(evidence, group.majority()) {
                Verdict::Waiting => kept.push(pending),
                Verdict::Confirmed => {
                    let position = confirmation.position();
                    acknowledge(pending.commit, Some(position), io);
                }
                Verdict::Superseded(_) => {
                    refuse(pending.commit, Progress::Unconfirmed, Fault::Superseded, io);
                }
            }
        }
        self.pending = kept;
    }

    /// Answers the commits whose deadline has passed: their outcome is in doubt, unless what has
    /// arrived by now confirms them.
    pub fn expire(&mut self, name: &GroupName, group: Option<&Group>, io: &mut Io) {
        let is_late = |pending: &PendingCommit| pending.commit.deadline <= io.now;
        if let Some(group) = group.filter(|_| self.pending.iter().any(is_late)) {
            self.resolve_by_replica_statuses(name, group, io);
        }
        let (late, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.commit.deadline <= io.now);
        self.pending = kept;
        for pending in late {
            if let ConfirmationMethod::ReplicaStatuses { answered, .. } = pending.method {
                log_in_doubt(name, &pending.commit, answered, io);
            }
            refuse(pending.commit, Progress::Unconfirmed, Fault::Deadline, io);
        }
    }
}

/// Counts and logs a commit that waits until replicas have confirmed it.
fn log_wait(commit: &Commit, position: Position, name: &GroupName, group: &Group, io: &Io) {
    let is_listed = io.context.is_listed();
    io.context.metrics.commit_waits.count(match (is_listed, commit.is_covered) {
        (false, _) => CommitWait::Unlisted,
        (true, false) => CommitWait::Uncovered,
        (true, true) => CommitWait::ReplacementUnknown,
    });
    if !io.context.event_log_limiters.commit_waits.admits(io.now) {
        return;
    }
    let age = |age: Duration| age.as_millis() as u64;
    log::info!(
        event = "commit_waits",
        group = name.as_str(),
        is_listed = is_listed,
        is_covered = commit.is_covered,
        lacks_claim = io.context.lacks_claim(name, group, &commit.instance),
        evidence_age_ms = io.context.evidence_age(name, io.now).map(age),
        store_copy_age_ms = io.context.store_copy_age(io.now).map(age),
        lease:? = commit.lease,
        instance = commit.instance.as_str(),
        term = position.term.0,
        offset = position.offset.0;
        "another instance may have been promoted; querying replicas to confirm the commit"
    );
}

/// Logs why a commit that waited for replication statuses is in doubt.
fn log_in_doubt(name: &GroupName, commit: &Commit, answered: Instant, io: &Io) {
    io.context.metrics.commit_wait_ends.count(CommitWaitEnd::InDoubt);
    if !io.context.event_log_limiters.commits_in_doubt.admits(io.now) {
        return;
    }
    let age = |age: Duration| age.as_millis() as u64;
    let instance = &commit.instance;
    log::info!(
        event = "commit_in_doubt",
        group = name.as_str(),
        lease:? = commit.lease,
        instance = instance.as_str(),
        waited_ms = age(io.now.saturating_duration_since(answered)),
        is_listed = io.context.is_listed(),
        needs_replica_confirmation = io.context.needs_replica_confirmation(name, instance),
        evidence_age_ms = io.context.evidence_age(name, io.now).map(age),
        store_copy_age_ms = io.context.store_copy_age(io.now).map(age);
        "the deadline of an answered commit passed before replicas confirmed it"
    );
}

fn acknowledge(commit: Commit, confirmed: Option<Position>, io: &mut Io) {
    let Commit { lease, sequence, frames, transaction, instance, .. } = commit;
    let event = LeaseEvent::Done { frames, transaction, confirmed, instance };
    notify_front(&lease, sequence, event, io);
}

/// Answers a commit that an old primary acknowledged so long after its replacement began that
/// another instance may have been chosen without the commit: the outcome is in doubt.
pub fn refuse_late(group: &GroupName, commit: Commit, io: &mut Io) {
    io.context.metrics.events.count(LoggedEvent::AnswerTooLate);
    if io.context.event_log_limiters.late_answers.admits(io.now) {
        log::info!(
            event = "answer_too_late",
            group = group.as_str(),
            lease:? = commit.lease,
            instance = commit.instance.as_str();
            "a primary that is being replaced answered a commit too late"
        );
    }
    refuse(commit, Progress::Unconfirmed, Fault::Superseded, io);
}

/// Refuses a commit of a group that is not configured any more: how many replicas have to confirm it
/// is not known. The client learns that the outcome is unknown.
pub fn refuse_of_removed_group(group: &GroupName, commit: Commit, io: &mut Io) {
    log::info!(
        event = "answer_of_removed_group",
        group = group.as_str(),
        lease:? = commit.lease,
        instance = commit.instance.as_str();
        "an instance of a group that is not configured any more answered a commit"
    );
    refuse(commit, Progress::Unconfirmed, Fault::Deadline, io);
}

fn refuse(commit: Commit, progress: Progress, fault: Fault, io: &mut Io) {
    let impact = ExchangeImpact { effect: Effect::MayCommit, continues_transaction: false };
    let detail = match fault {
        Fault::Superseded => "a new primary appeared before a majority confirmed the commit",
        Fault::Deadline => "no majority confirmed the commit in time",
        Fault::NodeStopping => "the node stopped before the commit was confirmed",
        _ => "the primary did not say where the commit stands",
    };
    let refusal = Refusal::new(failure_code(impact, progress, fault), detail);
    notify_front(&commit.lease, commit.sequence, LeaseEvent::Refused(refusal), io);
}
