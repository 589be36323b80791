//! What this node's own exchanges and connections with one instance show about it.

use std::time::{Duration, Instant};

use kestrellock_core::incarnation::{InstanceIncarnation, has_started_again};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::{GivenUpRequests, Signs};

/// Time between two status queries to an instance in doubt. Reads avoid such an instance, so without
/// queries nothing would show that it responds again. A query uses a connection slot for a moment. Half
/// a second is a tenth of the time until an unresponsive instance is replaced or returns.
const DOUBT_QUESTION_INTERVAL: Duration = Duration::from_millis(500);

/// The newest response has a weight of one in this many in the mean service time.
const SERVICE_WEIGHT: u32 = 8;

/// An exchange that waits for its response.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    number: u64,
    sent: Instant,
    commits: bool,
}

/// State of one instance as derived from this node's own exchanges and connections with it.
#[derive(Clone, Debug, Default)]
pub struct ExchangeRecord {
    /// Position that the instance last reported.
    pub last_position: Option<Position>,
    /// When it reported that position.
    pub last_position_at: Option<Instant>,
    /// Highest term that it reported. Its position lags behind: until the first commit of a new term, its
    /// log ends with a record of the previous term.
    term: Option<Term>,
    /// Highest term that it has been shown to lead: by its own report, or by a commit that it answered.
    /// The terms of its positions do not show that: a demoted primary reports those of its successor.
    leads: Option<Term>,
    /// Moving average of its response time.
    pub mean_service_time: Option<Duration>,
    /// Whether an exchange or a connection has failed since it last responded.
    pub in_doubt: bool,
    /// When it was last sent a status query because it is in doubt.
    asked_in_doubt: Option<Instant>,
    waiting: Vec<Waiting>,
    given_up: GivenUpRequests,
    given_up_commits: GivenUpRequests,
    next_number: u64,
    answered: Option<Instant>,
    refused: Option<Instant>,
    /// Incarnation of its process that the platform reported last.
    incarnation: Option<InstanceIncarnation>,
}

impl ExchangeRecord {
    /// Number of exchanges in flight.
    pub fn in_flight(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Incarnation of its process that the platform reported last.
    pub(super) fn incarnation(&self) -> Option<InstanceIncarnation> {
        self.incarnation
    }

    /// Takes in the incarnation that the platform reports. Returns whether the instance has restarted.
    /// In that case everything is reset except for the exchanges in flight, whose connections end with
    /// the previous process.
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

    /// Records an exchange that was sent at `sent`; `commits` says whether it may commit. Returns its
    /// number.
    pub(super) fn on_sent(&mut self, sent: Instant, commits: bool) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.waiting.push(Waiting { number, sent, commits });
        number
    }

    /// Signs of the instance's health, except for what is known only of its group: the last commit, and
    /// whether the instance is an old primary.
    pub(super) fn signs(&self) -> Signs {
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
            is_outdated: false,
        }
    }

    /// Whether a status query is due, because the instance is in doubt.
    pub(super) fn is_status_query_due(&self, now: Instant) -> bool {
        let asked = self.asked_in_doubt;
        self.in_doubt && asked.is_none_or(|asked| now >= asked + DOUBT_QUESTION_INTERVAL)
    }

    /// Records that a status query is sent because the instance is in doubt.
    pub(super) fn on_status_query(&mut self, now: Instant) {
        self.asked_in_doubt = Some(now);
    }

    /// Highest term that it reported.
    pub(super) fn term(&self) -> Option<Term> {
        self.term
    }

    /// Highest term that it has been shown to lead.
    pub(super) fn led_term(&self) -> Option<Term> {
        self.leads
    }

    /// Records that it has been shown to lead `term`.
    pub(super) fn on_led_term(&mut self, term: Term) {
        self.leads = self.leads.max(Some(term));
    }

    /// Takes in its replication status. The instance responds, so earlier failures no longer count.
    pub(super) fn on_replication_status(&mut self, role: Role, term: Term) {
        self.in_doubt = false;
        if role == Role::Primary {
            self.term = self.term.max(Some(term));
            self.on_led_term(term);
        }
    }

    /// Records the end of an exchange, with its response if there was one.
    pub(super) fn on_ended(&mut self, number: u64, answer: Option<&ExchangeResponse>) {
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

    /// Records the outcome of a connection to it.
    pub(super) fn on_connection(&mut self, reachability: ConnectionOutcome) {
        self.in_doubt = !matches!(reachability, ConnectionOutcome::Established(_));
        match reachability {
            ConnectionOutcome::Established(position) => {
                self.refused = None;
                self.given_up.on_answer();
                self.reach(position, Instant::now());
            }
            ConnectionOutcome::Refused => {
                self.refused.get_or_insert_with(Instant::now);
            }
            ConnectionOutcome::Broken => {}
        }
    }

    fn on_given_up(&mut self, ended: Waiting, now: Instant) {
        self.given_up.on_given_up(ended.sent, now);
        if ended.commits {
            self.given_up_commits.on_given_up(ended.sent, now);
        }
    }

    fn reach(&mut self, position: Option<Position>, at: Instant) {
        if position.is_some() {
            self.last_position = position;
            self.last_position_at = Some(at);
            self.term = self.term.max(position.map(|position| position.term));
        }
    }

    fn on_answer(&mut self, taken: Duration, position: Option<Position>, at: Instant) {
        self.in_doubt = false;
        self.refused = None;
        self.given_up.on_answer();
        self.answered = Some(at);
        self.reach(position, at);
        self.mean_service_time = Some(match self.mean_service_time {
            Some(mean) => (mean * (SERVICE_WEIGHT - 1) + taken) / SERVICE_WEIGHT,
            None => taken,
        });
    }
}

/// Outcome of a connection to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOutcome {
    /// The connection was established, and the instance reported this position.
    Established(Option<Position>),
    /// The connection could not be established.
    Refused,
    /// The connection broke, or was closed, with an exchange in flight.
    Broken,
}

/// The parts of a response that show something about the instance.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeResponse {
    /// When the exchange was sent.
    pub sent: Instant,
    /// When its response was complete.
    pub at: Instant,
    /// Position that the instance reported.
    pub position: Option<Position>,
    /// Role of the instance.
    pub role: Option<Role>,
}
