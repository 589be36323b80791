//! What this node's own exchanges with one instance tell of it.

use std::time::{Duration, Instant};

use kestrellock_core::incarnation::{InstanceIncarnation, has_started_again};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::{AbandonedRequests, HealthSignals};

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
    given_up: AbandonedRequests,
    given_up_commits: AbandonedRequests,
    next_number: u64,
    answered: Option<Instant>,
    refused: Option<Instant>,
    /// Which start of its process the platform tells.
    incarnation: Option<InstanceIncarnation>,
}

impl AnswerRecord {
    /// Exchanges that are under way.
    pub fn running(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Which start of its process the platform told last.
    pub(super) fn incarnation(&self) -> Option<InstanceIncarnation> {
        self.incarnation
    }

    /// The platform tells which start of its process this is. Returns whether it has started again: then
    /// nothing is known of it but what is under way on connections, which end with the process before.
    pub(super) fn on_incarnation(&mut self, incarnation: InstanceIncarnation) -> bool {
        let now = Some(incarnation);
        let has_started_again = has_started_again(self.incarnation, now);
        self.incarnation = now;
        if has_started_again {
            let (waiting, next_number) = (std::mem::take(&mut self.waiting), self.next_number);
            *self = Self { waiting, next_number, incarnation: now, ..Self::default() };
        }
        has_started_again
    }

    /// An exchange was sent at `sent`; `commits`: it may commit. Returns its number.
    pub(super) fn on_sent(&mut self, sent: Instant, commits: bool) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.waiting.push(Waiting { number, sent, commits });
        number
    }

    /// What it shows of the instance's health; whether it commits is known of its group.
    pub(super) fn signs(&self) -> HealthSignals {
        let waiting = self.waiting.iter().map(|waiting| waiting.sent);
        let now = Instant::now();
        let given_up = self.given_up.oldest_sent(now);
        let committing = self.waiting.iter().filter(|waiting| waiting.commits);
        let committing = committing.map(|waiting| waiting.sent);
        HealthSignals {
            refused_since: self.refused,
            oldest_request: waiting.chain(given_up).min(),
            oldest_commit: committing.chain(self.given_up_commits.oldest_sent(now)).min(),
            last_commit: None,
            last_answer: self.answered,
            is_outdated: false,
        }
    }

    /// Whether it is to be asked now how it stands, to take the doubt back.
    pub(super) fn is_question_due(&self, now: Instant) -> bool {
        let asked = self.asked_in_doubt;
        self.in_doubt && asked.is_none_or(|asked| now >= asked + DOUBT_QUESTION_INTERVAL)
    }

    /// It is asked now how it stands, because it is in doubt.
    pub(super) fn on_question(&mut self, now: Instant) {
        self.asked_in_doubt = Some(now);
    }

    /// Highest term by its own word.
    pub(super) fn term(&self) -> Option<Term> {
        self.term
    }

    /// Highest term that it has shown to lead.
    pub(super) fn leads(&self) -> Option<Term> {
        self.leads
    }

    /// It has shown that it leads `term`.
    pub(super) fn on_leads(&mut self, term: Term) {
        self.leads = self.leads.max(Some(term));
    }

    /// It said how it stands: it answers, whatever failed there before.
    pub(super) fn on_standing(&mut self, role: Role, term: Term) {
        self.in_doubt = false;
        if role == Role::Primary {
            self.term = self.term.max(Some(term));
            self.on_leads(term);
        }
    }

    /// An exchange is over, answered or not.
    pub(super) fn on_ended(&mut self, number: u64, answer: Option<&Answered>) {
        let place = self.waiting.iter().position(|waiting| waiting.number == number);
        let ended = place.map(|place| self.waiting.swap_remove(place));
        match (answer, ended) {
            (Some(answer), _) => {
                let taken = answer.at.saturating_duration_since(answer.sent);
                self.on_answer(taken, answer.position, answer.at);
            }
            (None, ended) => {
                self.in_doubt = true;
                if let Some(ended) = ended {
                    self.on_given_up(ended, Instant::now());
                }
            }
        }
    }

    /// What became of a connection to it.
    pub(super) fn on_connection(&mut self, reachability: Reachability) {
        self.in_doubt = !matches!(reachability, Reachability::Made(_));
        match reachability {
            Reachability::Made(position) => {
                self.refused = None;
                self.given_up.on_answer();
                self.reach(position, Instant::now());
            }
            Reachability::Refused => {
                self.refused.get_or_insert_with(Instant::now);
            }
            Reachability::Broken => {}
        }
    }

    fn on_given_up(&mut self, ended: Waiting, now: Instant) {
        self.given_up.on_abandoned(ended.sent, now);
        if ended.commits {
            self.given_up_commits.on_abandoned(ended.sent, now);
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
