//! Commits whose answers wait until others of the group have confirmed them: a majority by probes, or, where the
//! proxy replaces primaries and would not wait for this node, the replicas by how they stand.

use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::catalog::{Elector, Group};
use kestrellock_core::confirmation::{Confirmation, FlushReport, ProbeNumber, Verdict};
use kestrellock_core::exchange_state::{Effect, Fault, Progress, Stake, failure_code};
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::position::{Position, Term};
use kestrellock_core::routing::Role;
use kestrellock_peer::message::{LeaseEvent, TransactionState};
use kestrellock_protocol::backend::Report;

use super::notify;
use super::server::ProbeAnswer;
use crate::event::Io;
use crate::policy::Policy;
use crate::shared::statuses::WordOnCommit;

/// Time after which replicas that have not confirmed a commit are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(60);

/// A commit that its primary has answered.
#[derive(Debug)]
pub struct Commit {
    /// Lease that waits.
    pub lease: LeaseId,
    /// Number of the message that will answer it.
    pub sequence: u32,
    /// Instance that ran it.
    pub instance: InstanceName,
    /// What the instance said of itself right after; `None` if it did not say.
    pub report: Option<Report>,
    /// Latest time to answer.
    pub deadline: Instant,
    /// The answer held back.
    pub frames: Bytes,
    /// Transaction state after it.
    pub transaction: TransactionState,
}

/// What shows that a commit stays.
#[derive(Debug)]
enum Proof {
    /// Probes sent after it.
    Probes(Confirmation),
    /// What replicas say that are asked after its answer came, and the store where some do not.
    Standings {
        /// Where the commit stands.
        position: Position,
        /// When its answer came.
        answered: Instant,
    },
}

#[derive(Debug)]
struct Waiting {
    commit: Commit,
    proof: Proof,
}

impl Waiting {
    /// When the answer came of a commit that waits for the word of replicas.
    fn wants_standings_since(&self) -> Option<Instant> {
        match &self.proof {
            Proof::Probes(_) => None,
            Proof::Standings { answered, .. } => Some(*answered),
        }
    }
}

/// Commits of one group that wait for confirmation.
#[derive(Debug, Default)]
pub struct Confirmations {
    waiting: Vec<Waiting>,
    highest_term: Term,
    last_probe: ProbeNumber,
    /// When replicas were last asked how they stand.
    asked_standings: Option<Instant>,
}

impl Confirmations {
    /// Whether any commit waits.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The first probe that the newest waiting commit counts.
    pub fn wanted_probe(&self) -> Option<ProbeNumber> {
        let first_probe = |waiting: &Waiting| match &waiting.proof {
            Proof::Probes(confirmation) => Some(confirmation.first_probe()),
            Proof::Standings { .. } => None,
        };
        self.waiting.iter().filter_map(first_probe).max()
    }

    /// Highest term that any instance has reported.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The number that the next probe will have.
    pub fn coming_probe(&self) -> ProbeNumber {
        self.last_probe.next()
    }

    /// Number for a probe that is about to be sent.
    pub fn next_probe(&mut self) -> ProbeNumber {
        self.last_probe = self.last_probe.next();
        self.last_probe
    }

    /// Adds a commit; its own primary, which reported after it, is the first to confirm.
    pub fn wait_for(&mut self, commit: Commit, group: &Group, io: &mut Io) {
        let Some(report) = commit.report else {
            return refuse(commit, Progress::Answered, Fault::BackendLost, io);
        };
        // It led when it committed: it has stepped down since, and may have to drop the commit.
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
            let proof = Proof::Probes(confirmation);
            return self.waiting.push(Waiting { commit, proof });
        }
        if group.elector == Elector::Group || io.context.is_waited_for() {
            return acknowledge(commit, Some(position), io);
        }
        log::info!(
            event = "commit_waits",
            lease:? = commit.lease,
            instance = commit.instance.as_str(),
            term = position.term.0,
            offset = position.offset.0;
            "the machine list does not name this node yet: replicas are asked whether the commit stays"
        );
        let proof = Proof::Standings { position, answered: Instant::now() };
        self.waiting.push(Waiting { commit, proof });
    }

    /// Whether replicas are to be asked now how they stand.
    pub fn should_ask_standings(&mut self, now: Instant) -> bool {
        let newest = self.waiting.iter().filter_map(Waiting::wants_standings_since).max();
        let Some(newest) = newest else { return false };
        let is_due = |asked: Instant| asked <= newest || now >= asked + ASK_AGAIN;
        let asks = self.asked_standings.is_none_or(is_due);
        if asks {
            // Read again: the answer may have come since the event was taken up.
            self.asked_standings = Some(Instant::now());
        }
        asks
    }

    /// Answers the commits that the word of replicas decides.
    pub fn decide_by_standings(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        let mut kept = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let Proof::Standings { position, answered } = waiting.proof else {
                kept.push(waiting);
                continue;
            };
            let (term, replication) = (position.term, group.replication());
            let statuses = &io.context.statuses;
            match statuses.word_on_commit(name, term, replication, answered, Instant::now()) {
                WordOnCommit::Confirmed => acknowledge(waiting.commit, Some(position), io),
                WordOnCommit::Replaced => {
                    refuse(waiting.commit, Progress::Unconfirmed, Fault::Superseded, io);
                }
                WordOnCommit::LacksTheStore => {
                    io.context.store_looks.want(name);
                    kept.push(waiting);
                }
                WordOnCommit::Missing => kept.push(waiting),
            }
        }
        self.waiting = kept;
    }

    /// Leases whose commits wait.
    pub fn leases(&self) -> impl Iterator<Item = &LeaseId> {
        self.waiting.iter().map(|waiting| &waiting.commit.lease)
    }

    /// Drops a commit whose caller is gone.
    pub fn forget(&mut self, lease: &LeaseId) {
        self.waiting.retain(|waiting| waiting.commit.lease != *lease);
    }

    /// Gives up the commits of a front that cannot be reached. They have taken effect, so the front is
    /// told that their outcome is in doubt: it may come back on another connection and ask.
    pub fn give_up_node(&mut self, node: &NodeName, io: &mut Io) {
        let of_node = |waiting: &mut Waiting| waiting.commit.lease.node == *node;
        for waiting in self.waiting.extract_if(.., of_node) {
            refuse(waiting.commit, Progress::Unconfirmed, Fault::GatewayLost, io);
        }
    }

    /// Takes in an instance's answer, and answers the commits that it decides.
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
        for mut waiting in std::mem::take(&mut self.waiting) {
            let Proof::Probes(confirmation) = &mut waiting.proof else {
                kept.push(waiting);
                continue;
            };
            match confirmation.on_flush_report(evidence, group.majority()) {
                Verdict::Waiting => kept.push(waiting),
                Verdict::Confirmed => {
                    let position = confirmation.position();
                    acknowledge(waiting.commit, Some(position), io);
                }
                Verdict::Superseded(_) => {
                    refuse(waiting.commit, Progress::Unconfirmed, Fault::Superseded, io);
                }
            }
        }
        self.waiting = kept;
    }

    /// Answers commits whose time is up: in doubt.
    pub fn expire(&mut self, io: &mut Io) {
        let (late, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.commit.deadline <= io.now);
        self.waiting = kept;
        for waiting in late {
            refuse(waiting.commit, Progress::Unconfirmed, Fault::Deadline, io);
        }
    }
}

fn acknowledge(commit: Commit, confirmed: Option<Position>, io: &mut Io) {
    let Commit { lease, sequence, frames, transaction, instance, .. } = commit;
    let event = LeaseEvent::Done { frames, transaction, confirmed, instance };
    notify(&lease, sequence, event, io);
}

/// An old primary has answered so late after its replacement began that another instance may have been chosen without
/// the commit: the outcome is in doubt.
pub fn refuse_late(group: &GroupName, commit: Commit, io: &mut Io) {
    log::info!(
        event = "answer_too_late",
        group = group.as_str(),
        lease:? = commit.lease,
        instance = commit.instance.as_str();
        "a primary that is being replaced answered a commit too late"
    );
    refuse(commit, Progress::Unconfirmed, Fault::Superseded, io);
}

fn refuse(commit: Commit, progress: Progress, fault: Fault, io: &mut Io) {
    let stake = Stake { effect: Effect::MayCommit, continues_transaction: false };
    let detail = match fault {
        Fault::Superseded => "a new primary appeared before a majority confirmed the commit",
        Fault::Deadline => "no majority confirmed the commit in time",
        _ => "the primary did not say where the commit stands",
    };
    let refusal = Refusal::new(failure_code(stake, progress, fault), detail);
    notify(&commit.lease, commit.sequence, LeaseEvent::Refused(refusal), io);
}
