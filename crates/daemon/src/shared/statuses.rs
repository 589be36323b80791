//! What this node has last heard of back-end instances.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::{Position, Term};
use kestrellock_core::primary_evidence::{PrimaryEvidence, ReplicaTerms, Replication};
use kestrellock_core::primary_samples::PrimarySamples;
use kestrellock_core::promotion::Intent;
use kestrellock_core::routing::{InstanceStatus, Role};
use kestrellock_core::suspicion::HealthSignals;
use kestrellock_protocol::backend::Report;

use super::answers::AnswerRecord;
pub use super::answers::{Answered, Reachability};

/// Time that replicas get to answer before the store is asked instead of the slowest: zones are a few
/// milliseconds apart, and a call of the store costs as much as dozens of questions.
const REPLICAS_ANSWER_WITHIN: Duration = Duration::from_millis(10);

/// Newest status of every instance this node has heard of, a lock for each group.
#[derive(Debug, Default)]
pub struct StatusBoard {
    groups: ShardedLock<HashMap<GroupName, Arc<ShardedLock<GroupStatuses>>>>,
}

/// What is known of one group.
#[derive(Debug, Default)]
pub struct GroupStatuses {
    /// Statuses of its instances, where probes tell them.
    pub instances: HashMap<InstanceName, KnownStatus>,
    /// What answers told of its instances, where answers tell positions.
    pub answers: HashMap<InstanceName, AnswerRecord>,
    /// What answers told of its primary's position.
    pub primary: PrimarySamples,
    /// What shows that no other instance leads.
    pub evidence: PrimaryEvidence,
    /// When its primary last answered a commit that wrote.
    committed: Option<Instant>,
}

impl GroupStatuses {
    /// Term that the instance leads or led, by its own last word.
    pub fn led_by(&self, instance: &InstanceName) -> Option<Term> {
        self.answers.get(instance)?.leads()
    }

    fn on_commit_answered(&mut self, instance: &InstanceName, term: Term) {
        self.answers.entry(instance.clone()).or_default().on_leads(term);
        self.committed = Some(Instant::now());
    }

    /// Until when arrivals are known to see everything at the primary `instance` of a group.
    pub fn covered_until(
        &self,
        instance: &InstanceName,
        group: Replication,
        life: Duration,
    ) -> Option<Instant> {
        self.evidence.covers_until(self.led_by(instance)?, group, life)
    }

    /// Whether arrivals until `moment` would be covered if the store said that nobody replaces the
    /// primary, and replicas that have not answered yet are not worth waiting for.
    pub fn lacks_only_the_store(
        &self,
        instance: &InstanceName,
        group: Replication,
        life: Duration,
        moment: Instant,
        now: Instant,
    ) -> bool {
        let Some(term) = self.led_by(instance) else { return false };
        let asked = self.evidence.newest();
        let waited = asked.is_some_and(|asked| now >= asked + REPLICAS_ANSWER_WITHIN);
        let until = self.evidence.would_cover_until(term, group, life);
        waited && until.is_some_and(|until| moment <= until)
    }
}

/// What replicas have said since a primary answered a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WordOnCommit {
    /// Nobody was about to be promoted.
    Confirmed,
    /// Enough of them show that, the others are not worth waiting for, and the store has yet to say that nobody
    /// replaces the primary.
    LacksTheStore,
    /// Too few have said anything.
    Missing,
    /// The primary is being replaced, or has been.
    Replaced,
}

/// What was last heard of an instance, and when.
#[derive(Clone, Debug)]
pub struct KnownStatus {
    /// What was heard.
    pub status: InstanceStatus,
    /// When it came; it has grown older since.
    pub received: Instant,
}

impl StatusBoard {
    /// The group's statuses, shared.
    pub fn group(&self, name: &GroupName) -> Arc<ShardedLock<GroupStatuses>> {
        const POISONED: &str = "a holder of the status lock panicked";
        if let Some(found) = self.groups.read().expect(POISONED).get(name) {
            return found.clone();
        }
        self.groups.write().expect(POISONED).entry(name.clone()).or_default().clone()
    }

    /// Calls `change` with what answers told of a group.
    fn with_group(&self, group: &GroupName, change: impl FnOnce(&mut GroupStatuses)) {
        let board = self.group(group);
        change(&mut board.write().expect("a holder of the status lock panicked"));
    }

    /// An exchange was sent to an instance; `commits`: it may commit. Returns its number.
    pub fn on_sent(&self, group: &GroupName, instance: &InstanceName, commits: bool) -> u64 {
        let mut number = 0;
        self.with_group(group, |known| {
            let record = known.answers.entry(instance.clone()).or_default();
            number = record.on_sent(Instant::now(), commits);
        });
        number
    }

    /// An exchange with an instance is over, answered or not.
    pub fn on_ended(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        number: u64,
        answer: Option<Answered>,
    ) {
        self.with_group(group, |known| {
            let record = known.answers.entry(instance.clone()).or_default();
            record.on_ended(number, answer.as_ref());
            let Some(answer) = answer else { return };
            if let (Some(Role::Primary), Some(position)) = (answer.role, answer.position) {
                known.primary.record(answer.sent, position);
            }
        });
    }

    /// What became of a connection to an instance.
    pub fn on_connection(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        reachability: Reachability,
    ) {
        self.with_group(group, |known| {
            known.answers.entry(instance.clone()).or_default().on_connection(reachability);
        });
    }

    /// A connection to the group broke: its evidence was that of a process that may be gone.
    pub fn forget_evidence(&self, group: &GroupName) {
        self.with_group(group, |known| known.evidence.discard());
    }

    /// The platform tells which start of its process an instance is: what is remembered of an earlier one
    /// ends.
    pub fn on_incarnation(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        incarnation: InstanceIncarnation,
    ) {
        let board = self.group(group);
        let is_known = {
            let known = board.read().expect("a holder of the status lock panicked");
            let record = known.answers.get(instance);
            record.is_some_and(|record| record.incarnation() == Some(incarnation))
        };
        if is_known {
            return;
        }
        self.with_group(group, |known| {
            let record = known.answers.entry(instance.clone()).or_default();
            if record.on_incarnation(incarnation) {
                known.evidence.on_restart(instance);
                log::info!(event = "instance_started_again", group = group.as_str(), instance = instance.as_str(); "an instance has started again under its name; what was known of it is forgotten");
            }
        });
    }

    /// `instance` answered, as the primary of `term`, a commit that wrote and was sent at `sent`.
    pub fn on_commit(&self, group: &GroupName, instance: &InstanceName, term: Term, sent: Instant) {
        self.with_group(group, |known| {
            known.on_commit_answered(instance, term);
            known.evidence.on_commit(term, sent);
        });
    }

    /// The same at a node whose word nobody waits for before another instance is promoted: it is no evidence.
    pub fn on_unproven_commit(&self, group: &GroupName, instance: &InstanceName, term: Term) {
        self.with_group(group, |known| known.on_commit_answered(instance, term));
    }

    /// What the replicas' word says at `now` of a commit that the primary had answered at `answered`, in a group of
    /// such a kind.
    pub fn word_on_commit(
        &self,
        group: &GroupName,
        term: Term,
        replication: Replication,
        answered: Instant,
        now: Instant,
    ) -> WordOnCommit {
        let board = self.group(group);
        let known = board.read().expect("a holder of the status lock panicked");
        let evidence = &known.evidence;
        if evidence.revoked_for().is_some() || term < evidence.highest_led() {
            return WordOnCommit::Replaced;
        }
        if evidence.confirms_commit(term, replication, answered) {
            return WordOnCommit::Confirmed;
        }
        let shown = evidence.would_cover_until(term, replication, Duration::ZERO);
        let has_waited = now >= answered + REPLICAS_ANSWER_WITHIN;
        match has_waited && shown.is_some_and(|asked| asked >= answered) {
            true => WordOnCommit::LacksTheStore,
            false => WordOnCommit::Missing,
        }
    }

    /// The store says that an instance of the group has led `term`.
    pub fn on_led(&self, group: &GroupName, term: Term) {
        self.with_group(group, |known| known.evidence.on_term_led(term));
    }

    /// Gives evidence of groups up for the replacements under way, and takes it up again for others.
    pub fn follow_replacements(&self, intents: &BTreeMap<GroupName, Intent>) {
        let groups: Vec<GroupName> = self
            .groups
            .read()
            .expect("a holder of the status lock panicked")
            .keys()
            .cloned()
            .collect();
        for group in groups.iter().chain(intents.keys()) {
            self.with_group(group, |known| match intents.get(group) {
                Some(intent) => known.evidence.revoke(intent.id),
                None => known.evidence.end_revocation(),
            });
        }
    }

    /// An instance said how it stands, asked at `asked`.
    pub fn on_standing(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        report: &Report,
        asked: Instant,
    ) {
        let term = report.flushed.term;
        let following = ReplicaTerms { term, min_term: report.held };
        self.with_group(group, |known| {
            let record = known.answers.entry(instance.clone()).or_default();
            record.on_standing(report.role, term);
            if report.role == Role::Primary {
                known.evidence.on_term_led(term);
            }
            if report.role == Role::Replica {
                known.evidence.on_replica_report(instance, following, asked, Instant::now());
            }
        });
    }

    /// Instances in doubt that are to be asked now how they stand; each again after a while.
    pub fn questions_in_doubt(&self, group: &GroupName, now: Instant) -> Vec<InstanceName> {
        let board = self.group(group);
        let is_due = {
            let known = board.read().expect("a holder of the status lock panicked");
            known.answers.values().any(|record| record.is_question_due(now))
        };
        if !is_due {
            return Vec::new();
        }
        let mut known = board.write().expect("a holder of the status lock panicked");
        let due = known.answers.iter_mut().filter(|(_, record)| record.is_question_due(now));
        let asked = due.map(|(instance, record)| {
            record.on_question(now);
            instance.clone()
        });
        asked.collect()
    }

    /// The store, asked at `asked`, had nobody replace the primary that this node takes for it.
    pub fn on_unreplaced(&self, group: &GroupName, asked: Instant) {
        self.with_group(group, |known| known.evidence.on_no_replacement(asked));
    }

    /// What this node's exchanges with an instance show of its health.
    pub fn signs(&self, group: &GroupName, instance: &InstanceName) -> HealthSignals {
        let board = self.group(group);
        let known = board.read().expect("a holder of the status lock panicked");
        let signs = known.answers.get(instance).map(AnswerRecord::signs).unwrap_or_default();
        let is_outdated = known.evidence.is_outdated(known.led_by(instance));
        HealthSignals { last_commit: known.committed, is_outdated, ..signs }
    }

    /// The highest position that a group's primary has told this node.
    pub fn heard(&self, group: &GroupName) -> Option<Position> {
        let board = self.group(group);
        let known = board.read().expect("a holder of the status lock panicked");
        known.primary.highest()
    }

    /// Highest term of a group that is known to have been led.
    pub fn highest_led(&self, group: &GroupName) -> Term {
        let board = self.group(group);
        let known = board.read().expect("a holder of the status lock panicked");
        let told = known.answers.values().filter_map(AnswerRecord::term);
        told.max().unwrap_or_default().max(known.evidence.highest_led())
    }

    /// Highest term known of a group.
    pub fn highest_term(&self, group: &GroupName) -> Term {
        let board = self.group(group);
        let known = board.read().expect("a holder of the status lock panicked");
        let told = known.answers.values().filter_map(AnswerRecord::term);
        told.max().unwrap_or_default().max(known.evidence.term())
    }

    /// Takes in newer statuses of a group.
    pub fn update(&self, group: &GroupName, statuses: impl IntoIterator<Item = InstanceStatus>) {
        let board = self.group(group);
        let mut board = board.write().expect("a holder of the status lock panicked");
        for mut status in statuses {
            // Only the owner of an instance knows its queue; other gateways probe it too.
            let known =
                board.instances.get(&status.instance).and_then(|known| known.status.queue_wait);
            status.queue_wait = status.queue_wait.or(known);
            let received = Instant::now();
            board.instances.insert(status.instance.clone(), KnownStatus { status, received });
        }
    }
}
