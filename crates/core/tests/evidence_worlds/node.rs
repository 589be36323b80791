//! The observed node. It holds a real [`PrimaryEvidence`] and uses it as the daemon does: for the
//! arrival of statements at the old primary and for the answers of commits.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use kestrellock_core::ids::InstanceName;
use kestrellock_core::observed_process::ObservedProcess;
use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::{
    CheckSource, Coverage, EvidenceKind, Lead, MIN_PROMOTION_TIME, PrimaryEvidence, ReplicaTerms,
    Replication,
};
use kestrellock_core::promotion::ReplacementId;

use crate::model::{InstanceId, Status};

/// Length of a time step.
pub const TICK: Duration = Duration::from_millis(100);
/// How much later than the start of a time step answers and statements arrive in it. Requests are
/// sent at the start of the step, so that equal times never decide.
const ARRIVAL_DELAY: Duration = Duration::from_millis(1);
/// The term that the old primary leads.
pub const OLD_TERM: Term = Term(1);
/// How the group replicates according to the observed node's list, which never contains instances
/// that have joined.
const REPLICATION: Replication = Replication { synchronous: 1, instances: 3 };

static BASE: LazyLock<Instant> = LazyLock::new(Instant::now);
static NAMES: LazyLock<[InstanceName; 6]> =
    LazyLock::new(|| ["p", "r1", "r2", "x", "y", "renamed"].map(InstanceName::new));

/// When a request that is sent in time step `tick` is sent.
pub fn sent_at(tick: u8) -> Instant {
    *BASE + TICK * u32::from(tick)
}

/// When an answer or a statement that arrives in time step `tick` arrives.
pub fn arrival_at(tick: u8) -> Instant {
    sent_at(tick) + ARRIVAL_DELAY
}

/// A fault planted in how the node uses the evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlantedUse {
    /// The use of the daemon.
    #[default]
    None,
    /// Reports of enough replicas without a replacement check cover nothing, which shows violations
    /// by other kinds of evidence.
    WithoutUnchecked,
    /// Every answered commit is evidence and is acknowledged at once.
    CommitsWithoutCoverage,
    /// Reports of enough replicas cover arrivals without the primary's own report.
    UncheckedWithoutPrimary,
    /// Answers are covered for as long as arrivals.
    AnswersAsArrivals,
    /// Evidence lasts as long as ever while it is not known how a replacement ended.
    LongAfterExpiry,
    /// A report of the former primary counts as that of another replica, and does not show that it
    /// no longer leads.
    FormerPrimaryRenamed,
    /// Reports renew a claim although the primary's own is missing.
    RenewedWithoutPrimary,
    /// Reports renew a claim that were answered after the earlier evidence ended.
    RenewedTooLate,
    /// A replacement check counts from its result, so that it confirms reports that were answered
    /// too late.
    CheckFromResult,
    /// While a replacement check is in flight, reports of stopped replicas change nothing, so that
    /// the check confirms their earlier reports.
    StopsUnseenByCheck,
}

/// Rules that the product does not have, and that close worlds in which its evidence is false.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposedRules {
    /// Whether the coordinator counts a revocation only if it is reported after enough replicas were
    /// stopped.
    pub revocations_follow_stops: bool,
}

/// What the observed node is and how long evidence lasts there.
#[derive(Clone, Copy, Debug)]
pub struct NodeKind {
    /// Whether the machine list contains it.
    pub is_listed: bool,
    /// Lifetime of evidence at a listed node.
    pub listed_lifetime: Duration,
    /// Lifetime of evidence at an unlisted node.
    pub unlisted_lifetime: Duration,
    /// Rules that the product does not have.
    pub proposed: ProposedRules,
    /// How the node uses the evidence.
    pub planted: PlantedUse,
}

impl NodeKind {
    fn lifetime(&self) -> Duration {
        if self.is_listed { self.listed_lifetime } else { self.unlisted_lifetime }
    }
}

/// A query of an instance's status that has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Query {
    /// Time step in which it was sent.
    pub sent: u8,
    /// The answer, which is under way.
    pub answer: Option<Status>,
}

/// A replacement check that has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Check {
    /// Time step in which it was sent.
    pub sent: u8,
    /// Whether the store has shown no replacement when it read the request; `None` before that.
    pub is_unreplaced: Option<bool>,
}

/// How far a write has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteState {
    /// The old primary waits for a replica.
    AtPrimary,
    /// The answer is under way.
    Answered,
    /// The answer arrived in that time step and is not covered.
    Unconfirmed(u8),
}

/// A write of the observed node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// The commit in the log.
    pub commit: u8,
    /// Time step in which it was sent.
    pub sent: u8,
    /// Number of the old primary's process that runs it.
    pub process: u8,
    /// How far it has come.
    pub state: WriteState,
}

/// The connection of the node to the old primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Connection {
    /// Number of the process to which it leads.
    pub process: u8,
    /// Time step in which it was established.
    pub established: u8,
}

/// The observed node.
#[derive(Clone, Debug)]
pub struct Node {
    /// What it is.
    pub kind: NodeKind,
    /// The evidence under test.
    pub evidence: PrimaryEvidence,
    /// What its connections show about the old primary's process.
    pub process: ObservedProcess,
    /// Its newest connection to the old primary.
    pub connection: Option<Connection>,
    /// Highest term that the old primary has been shown to lead.
    pub led: Option<Term>,
    /// The same for its current process.
    pub current_led: Option<Term>,
    /// Time step in which it learned of a running replacement.
    pub revoked_at: Option<u8>,
    /// Whether it does not know how a replacement ended.
    pub needs_confirmation: bool,
    /// Queries that have been sent.
    pub queries: [Option<Query>; 5],
    /// A replacement check that has been sent.
    pub check: Option<Check>,
    /// The write that it runs.
    pub write: Option<Write>,
}

impl Node {
    /// A node that has worked with the old primary until `idle_since`.
    pub fn new(kind: NodeKind, idle_since: u8) -> Self {
        let mut node = Self {
            kind,
            evidence: PrimaryEvidence::default(),
            process: ObservedProcess::default(),
            connection: Some(Connection { process: 0, established: idle_since }),
            led: Some(OLD_TERM),
            current_led: Some(OLD_TERM),
            revoked_at: None,
            needs_confirmation: false,
            queries: [None; 5],
            check: None,
            write: None,
        };
        node.evidence.on_commit(OLD_TERM, sent_at(idle_since));
        node.process.on_seen(arrival_at(idle_since), arrival_at(idle_since));
        node
    }

    /// Starts again without any memory. A process that does not reach the store knows no list of
    /// nodes, and one that reaches it finds itself listed only once it has the records of
    /// replacements that are older than its entry.
    pub fn restart(&mut self, reaches_store: bool) {
        self.kind.is_listed &= reaches_store;
        *self = Self {
            evidence: PrimaryEvidence::default(),
            process: ObservedProcess::default(),
            connection: None,
            led: None,
            current_led: None,
            ..Self::new(self.kind, 0)
        };
    }

    fn lifetime(&self) -> Duration {
        let is_short = self.needs_confirmation && self.kind.planted != PlantedUse::LongAfterExpiry;
        match is_short {
            true => self.kind.unlisted_lifetime,
            false => self.kind.lifetime(),
        }
    }

    fn lead() -> Lead<'static> {
        Lead { instance: &NAMES[InstanceId::P as usize], term: OLD_TERM }
    }

    /// The old primary answered a request that was sent in time step `sent`.
    fn on_primary_answer(&mut self, process: u8, sent: u8) {
        let new = Connection { process, established: sent };
        let known = self.connection.filter(|known| known.process >= process).unwrap_or(new);
        if known.process == process {
            self.connection = Some(known);
            // Later than everything else that is sent in that step, which may have happened before.
            let established = arrival_at(known.established.min(sent));
            self.process.on_seen(established, sent_at(sent));
        }
    }

    /// A status arrived.
    pub fn on_status(&mut self, instance: InstanceId, status: Status, sent: u8, now: u8) {
        let name = &NAMES[instance as usize];
        let term = Term(status.term);
        let is_old_primary = instance == InstanceId::P;
        if is_old_primary {
            self.on_primary_answer(status.process, sent);
            if status.leads {
                self.on_led(term);
            } else if self.kind.planted != PlantedUse::FormerPrimaryRenamed {
                self.current_led = None;
            }
        }
        if status.leads {
            self.evidence.on_primary_report(name, term, sent_at(sent), arrival_at(now));
            return self.renew_claim();
        }
        let renamed = self.kind.planted == PlantedUse::FormerPrimaryRenamed && is_old_primary;
        let name = if renamed { &NAMES[5] } else { name };
        let terms = ReplicaTerms { term, min_term: Term(status.min_term) };
        let is_unseen = self.kind.planted == PlantedUse::StopsUnseenByCheck && self.check.is_some();
        if is_unseen && terms.min_term > OLD_TERM {
            return;
        }
        self.evidence.on_replica_report(name, terms, sent_at(sent), arrival_at(now));
        self.renew_claim();
    }

    /// A replacement check begins.
    pub fn on_check_started(&mut self, now: u8) {
        self.evidence.on_check_started(CheckSource::Store, sent_at(now));
    }

    /// The store, or every other node, showed no replacement to a check that was sent in time step
    /// `sent`.
    pub fn on_no_replacement(&mut self, sent: u8, now: u8) {
        let counted = match self.kind.planted {
            PlantedUse::CheckFromResult => now,
            _ => sent,
        };
        self.evidence.on_no_replacement(sent_at(counted));
        self.renew_claim();
    }

    fn renew_claim(&mut self) {
        if !self.kind.is_listed || self.needs_confirmation {
            return self.evidence.keep_checked_claim(Self::lead(), REPLICATION);
        }
        let added = match self.kind.planted {
            PlantedUse::RenewedTooLate => Duration::from_millis(300),
            _ => Duration::ZERO,
        };
        let lifetime = self.lifetime() + added;
        if self.kind.planted == PlantedUse::RenewedWithoutPrimary {
            let newest = self.evidence.newest().unwrap_or(*BASE);
            let primary = &NAMES[InstanceId::P as usize];
            self.evidence.on_primary_report(primary, OLD_TERM, newest, newest);
        }
        self.evidence.renew_claim(Self::lead(), REPLICATION, lifetime, Some(&self.process));
    }

    fn on_led(&mut self, term: Term) {
        self.led = self.led.max(Some(term));
        self.current_led = self.current_led.max(Some(term));
    }

    /// The answer of its write arrived. Returns whether it acknowledges the commit.
    pub fn on_commit_answer(&mut self, now: u8) -> bool {
        let Some(write) = self.write else { return false };
        self.on_primary_answer(write.process, write.sent);
        let must_confirm = !self.kind.is_listed || self.needs_confirmation;
        let is_covered = match self.kind.planted {
            PlantedUse::CommitsWithoutCoverage => !must_confirm,
            _ => !must_confirm && self.covers_answer(now),
        };
        let leads = self.led >= Some(OLD_TERM);
        if leads {
            self.on_led(OLD_TERM);
        } else {
            self.current_led = None;
            self.evidence.on_term_led(OLD_TERM);
        }
        if leads && is_covered {
            self.evidence.on_commit(OLD_TERM, sent_at(write.sent));
        }
        self.write =
            (!is_covered).then_some(Write { state: WriteState::Unconfirmed(now), ..write });
        is_covered
    }

    /// Whether lasting evidence covers an answer that arrived in time step `answered`.
    fn covers_answer(&self, answered: u8) -> bool {
        if self.led != Some(OLD_TERM) {
            return false;
        }
        let added = match self.kind.planted {
            PlantedUse::AnswersAsArrivals => MIN_PROMOTION_TIME,
            _ => Duration::ZERO,
        };
        let lifetime = self.lifetime() + added;
        let coverage = self.evidence.answer_coverage(Self::lead(), REPLICATION, lifetime);
        let covered = coverage.map(|coverage| self.at_process(&self.process, coverage).until);
        covered.is_some_and(|until| arrival_at(answered) <= until)
    }

    /// Whether replicas, or evidence that has arrived since, confirm the commit that waits. The node
    /// then acknowledges it.
    pub fn confirms_waiting_commit(&self) -> bool {
        let Some(Write { state: WriteState::Unconfirmed(answered), .. }) = self.write else {
            return false;
        };
        let is_replaced =
            self.evidence.revoked_for().is_some() || OLD_TERM < self.evidence.highest_led();
        let must_confirm = !self.kind.is_listed || self.needs_confirmation;
        let is_confirmed =
            self.evidence.confirms_commit(Self::lead(), REPLICATION, arrival_at(answered));
        !is_replaced && (is_confirmed || (!must_confirm && self.covers_answer(answered)))
    }

    /// What covers arrivals of statements at the old primary, on a connection that leads to
    /// `process`.
    pub fn coverage(&self, process: u8, now: u8) -> Option<Coverage> {
        self.current_led?;
        let lead = Self::lead();
        let mut coverage = self.evidence.coverage(lead, REPLICATION, self.lifetime());
        if self.kind.planted == PlantedUse::UncheckedWithoutPrimary {
            let until = self.evidence.would_cover_until(lead, REPLICATION, Duration::ZERO);
            let unchecked = until.map(|until| Coverage {
                term: OLD_TERM,
                until,
                kind: EvidenceKind::UncheckedReplicas,
                requested_at: until,
                replacement_check_at: None,
            });
            coverage = coverage.into_iter().chain(unchecked).max_by_key(|coverage| coverage.until);
        }
        let is_lasting_only = matches!(
            self.kind.planted,
            PlantedUse::WithoutUnchecked | PlantedUse::RenewedWithoutPrimary
        );
        if is_lasting_only {
            coverage = coverage.filter(|found| found.kind != EvidenceKind::UncheckedReplicas);
        }
        let mut observed = self.process.clone();
        if self.connection.is_none_or(|connection| connection.process != process) {
            observed.on_seen(arrival_at(now), arrival_at(now));
        }
        coverage.map(|coverage| self.at_process(&observed, coverage))
    }

    fn at_process(&self, process: &ObservedProcess, coverage: Coverage) -> Coverage {
        let lifetime = coverage.until.saturating_duration_since(coverage.requested_at);
        Coverage { until: process.covers_until(coverage.requested_at, lifetime), ..coverage }
    }

    /// It learns of replacement `attempt`.
    pub fn on_intent(&mut self, attempt: u8, now: u8) {
        self.evidence.revoke(ReplacementId { fence: 1, attempt: u32::from(attempt) });
        self.revoked_at = Some(now);
    }

    /// It no longer takes a replacement for running.
    pub fn on_intent_over(&mut self, is_end_known: bool) {
        self.evidence.end_revocation();
        self.revoked_at = None;
        self.needs_confirmation = !is_end_known;
    }
}
