//! What this node has last heard of back-end instances.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::primary_evidence::{Following, PrimaryEvidence, Replication};
use kestrellock_core::primary_samples::PrimarySamples;
use kestrellock_core::promotion::Intent;
use kestrellock_core::routing::{InstanceStatus, Role};
use kestrellock_core::suspicion::{GivenUpRequests, Signs};
use kestrellock_protocol::backend::Report;

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
        self.answers.get(instance)?.leads
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

/// Time that replicas get to answer before the store is asked instead of the slowest: zones are a few
/// milliseconds apart, and a call of the store costs as much as dozens of questions.
const REPLICAS_ANSWER_WITHIN: Duration = Duration::from_millis(10);

/// Time between two questions to an instance in doubt: reads avoid it, so that nothing else would show
/// that it answers. A question costs a slot for a moment; half a second is a tenth of what an instance
/// that is silent takes to be replaced or to return.
const DOUBT_QUESTION_INTERVAL: Duration = Duration::from_millis(500);

/// Weight of the newest answer in the mean service time: one in so many.
const SERVICE_WEIGHT: u32 = 8;

/// An exchange that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    number: u64,
    sent: Instant,
    commits: bool,
}

/// What this node's own exchanges with an instance tell of it.
#[derive(Clone, Debug, Default)]
pub struct AnswerRecord {
    /// Position that it last told.
    pub reached: Option<Position>,
    /// When it told that.
    pub reached_at: Option<Instant>,
    /// Highest term by its own word. Its position lags behind that: until the first commit of a new
    /// term its log ends with one of the term before.
    term: Option<Term>,
    /// Highest term that it has shown to lead: by saying so, or by a commit that it answered. The terms
    /// of its positions do not show it: a primary that was demoted tells those of its successor.
    leads: Option<Term>,
    /// Mean time that its answers took lately.
    pub service: Option<Duration>,
    /// Whether an exchange or a connection has failed there since it last answered.
    pub in_doubt: bool,
    /// When it was last asked how it stands because it is in doubt.
    asked_in_doubt: Option<Instant>,
    waiting: Vec<Waiting>,
    given_up: GivenUpRequests,
    given_up_commits: GivenUpRequests,
    next_number: u64,
    answered: Option<Instant>,
    refused: Option<Instant>,
}

impl AnswerRecord {
    /// Exchanges that are under way.
    pub fn running(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// What it shows of the instance's health; whether it commits is known of its group.
    fn signs(&self) -> Signs {
        let waiting = self.waiting.iter().map(|waiting| waiting.sent);
        let now = Instant::now();
        let given_up = self.given_up.sent(now);
        let committing = self.waiting.iter().filter(|waiting| waiting.commits);
        let committing = committing.map(|waiting| waiting.sent);
        Signs {
            refused: self.refused,
            waiting: waiting.chain(given_up).min(),
            committing: committing.chain(self.given_up_commits.sent(now)).min(),
            committed: None,
            answered: self.answered,
        }
    }

    /// Whether it is to be asked now how it stands, to take the doubt back.
    fn is_question_due(&self, now: Instant) -> bool {
        let asked = self.asked_in_doubt;
        self.in_doubt && asked.is_none_or(|asked| now >= asked + DOUBT_QUESTION_INTERVAL)
    }

    fn on_given_up(&mut self, ended: Waiting, now: Instant) {
        self.given_up.on_given_up(ended.sent, now);
        if ended.commits {
            self.given_up_commits.on_given_up(ended.sent, now);
        }
    }

    fn reach(&mut self, position: Option<Position>, at: Instant) {
        if position.is_some() {
            self.reached = position;
            self.reached_at = Some(at);
            self.term = self.term.max(position.map(|position| position.term));
        }
    }

    fn on_answer(&mut self, taken: Duration, position: Option<Position>, at: Instant) {
        self.in_doubt = false;
        self.refused = None;
        self.given_up.on_answer();
        self.answered = Some(at);
        self.reach(position, at);
        self.service = Some(match self.service {
            Some(mean) => (mean * (SERVICE_WEIGHT - 1) + taken) / SERVICE_WEIGHT,
            None => taken,
        });
    }
}

/// What became of a connection to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It was made; the instance told this position.
    Made(Option<Position>),
    /// It could not be made.
    Refused,
    /// It broke, or was given up, with something under way.
    Broken,
}

/// An answer of an instance, as far as it tells of the instance.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// When the exchange was sent.
    pub sent: Instant,
    /// When its answer ended.
    pub at: Instant,
    /// Position that it told.
    pub position: Option<Position>,
    /// Role of the instance.
    pub role: Option<Role>,
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
            number = record.next_number;
            record.next_number += 1;
            record.waiting.push(Waiting { number, sent: Instant::now(), commits });
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
            let place = record.waiting.iter().position(|waiting| waiting.number == number);
            let ended = place.map(|place| record.waiting.swap_remove(place));
            let Some(answer) = answer else {
                record.in_doubt = true;
                if let Some(ended) = ended {
                    record.on_given_up(ended, Instant::now());
                }
                return;
            };
            let taken = answer.at.saturating_duration_since(answer.sent);
            record.on_answer(taken, answer.position, answer.at);
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
            let record = known.answers.entry(instance.clone()).or_default();
            record.in_doubt = !matches!(reachability, Reachability::Made(_));
            match reachability {
                Reachability::Made(position) => {
                    record.refused = None;
                    record.given_up.on_answer();
                    record.reach(position, Instant::now());
                }
                Reachability::Refused => {
                    record.refused.get_or_insert_with(Instant::now);
                }
                Reachability::Broken => {}
            }
        });
    }

    /// A connection to the group broke: its evidence was that of a process that may be gone.
    pub fn forget_evidence(&self, group: &GroupName) {
        self.with_group(group, |known| known.evidence.forget());
    }

    /// `instance` answered, as the primary of `term`, a commit that wrote and was sent at `sent`.
    pub fn on_commit(&self, group: &GroupName, instance: &InstanceName, term: Term, sent: Instant) {
        self.with_group(group, |known| {
            let record = known.answers.entry(instance.clone()).or_default();
            record.leads = record.leads.max(Some(term));
            known.evidence.on_commit(term, sent);
            known.committed = Some(Instant::now());
        });
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
                Some(intent) => known.evidence.give_up(intent.id),
                None => known.evidence.take_up(),
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
        let following = Following { term, held: report.held };
        self.with_group(group, |known| {
            known.answers.entry(instance.clone()).or_default().in_doubt = false;
            match report.role {
                Role::Replica => {
                    known.evidence.on_replica(instance, following, asked, Instant::now());
                }
                Role::Primary => {
                    let record = known.answers.entry(instance.clone()).or_default();
                    record.term = record.term.max(Some(term));
                    record.leads = record.leads.max(Some(term));
                }
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
            record.asked_in_doubt = Some(now);
            instance.clone()
        });
        asked.collect()
    }

    /// The store, asked at `asked`, had nobody replace the primary that this node takes for it.
    pub fn on_unreplaced(&self, group: &GroupName, asked: Instant) {
        self.with_group(group, |known| known.evidence.on_unreplaced(asked));
    }

    /// What this node's exchanges with an instance show of its health.
    pub fn signs(&self, group: &GroupName, instance: &InstanceName) -> Signs {
        let board = self.group(group);
        let known = board.read().expect("a holder of the status lock panicked");
        let signs = known.answers.get(instance).map(AnswerRecord::signs).unwrap_or_default();
        Signs { committed: known.committed, ..signs }
    }

    /// Highest term known of a group.
    pub fn highest_term(&self, group: &GroupName) -> Term {
        let board = self.group(group);
        let known = board.read().expect("a holder of the status lock panicked");
        let told = known.answers.values().filter_map(|record| record.term);
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
