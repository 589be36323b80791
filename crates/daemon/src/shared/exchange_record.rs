//! What this node's own exchanges and connections with one instance show about it: its position,
//! term and response time, and the signals from which the node decides whether to avoid or suspect
//! the instance.

use std::time::{Duration, Instant};

use kestrellock_core::incarnation::{InstanceIncarnation, has_restarted};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::{AbandonedRequests, HealthSignals};

/// Interval between status queries to an unresponsive instance. Reads avoid such an instance, so
/// without queries nothing would show that it responds again. A query uses a connection slot for a
/// moment. Half a second is a tenth of the time until an unresponsive instance is replaced or
/// returns.
const STATUS_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// The newest response has a weight of one in this many in the mean service time.
const SERVICE_TIME_WEIGHT: u32 = 8;

/// An exchange that waits for its response.
#[derive(Clone, Copy, Debug)]
struct InFlight {
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
    /// Highest term that it reported. Its position lags behind: until the first commit of a new
    /// term, its log ends with a record of the previous term.
    term: Option<Term>,
    /// Highest term that it has been shown to lead: by its own report, or by a commit that it
    /// answered. The terms of its positions do not show that: a demoted primary reports those of
    /// its successor.
    led_term: Option<Term>,
    /// Highest term that its current process has been shown to lead. An instance may restart
    /// without its log under the same name, and then lacks the commits of the term that it led.
    current_led_term: Option<Term>,
    /// Moving average of its response time.
    pub mean_service_time: Option<Duration>,
    /// Whether an exchange or a connection has failed since it last responded.
    pub is_unresponsive: bool,
    /// When it was last sent a status query because it is unresponsive.
    last_status_query: Option<Instant>,
    in_flight: Vec<InFlight>,
    abandoned: AbandonedRequests,
    abandoned_commits: AbandonedRequests,
    next_number: u64,
    last_response: Option<Instant>,
    refused_since: Option<Instant>,
    /// Incarnation of its process that the platform reported last.
    incarnation: Option<InstanceIncarnation>,
}

impl ExchangeRecord {
    /// Number of exchanges in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Incarnation of its process that the platform reported last.
    pub(super) fn incarnation(&self) -> Option<InstanceIncarnation> {
        self.incarnation
    }

    /// Records the incarnation that the platform reports. Returns whether the instance has
    /// restarted. In that case everything is reset except for the exchanges in flight, whose
    /// connections end with the previous process.
    pub(super) fn on_incarnation(&mut self, incarnation: InstanceIncarnation) -> bool {
        let now = Some(incarnation);
        let has_restarted = has_restarted(self.incarnation, now);
        self.incarnation = now;
        if has_restarted {
            let (in_flight, next_number) = (std::mem::take(&mut self.in_flight), self.next_number);
            *self = Self { in_flight, next_number, incarnation: now, ..Self::default() };
        }
        has_restarted
    }

    /// Records an exchange that was sent at `sent`; `commits` says whether it may commit. Returns
    /// its number.
    pub(super) fn on_sent(&mut self, sent: Instant, commits: bool) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.in_flight.push(InFlight { number, sent, commits });
        number
    }

    /// Signs of the instance's health, except for what is known only of its group: the last commit,
    /// and whether the instance is an old primary.
    pub(super) fn signs(&self) -> HealthSignals {
        let in_flight = self.in_flight.iter().map(|exchange| exchange.sent);
        let now = Instant::now();
        let abandoned = self.abandoned.oldest_sent(now);
        let committing = self.in_flight.iter().filter(|exchange| exchange.commits);
        let committing = committing.map(|exchange| exchange.sent);
        HealthSignals {
            refused_since: self.refused_since,
            oldest_request: in_flight.chain(abandoned).min(),
            oldest_commit: committing.chain(self.abandoned_commits.oldest_sent(now)).min(),
            last_commit: None,
            last_answer: self.last_response,
            is_outdated: false,
        }
    }

    /// Whether a status query is due, because the instance is unresponsive.
    pub(super) fn is_status_query_due(&self, now: Instant) -> bool {
        let last_query = self.last_status_query;
        self.is_unresponsive
            && last_query.is_none_or(|last_query| now >= last_query + STATUS_QUERY_INTERVAL)
    }

    /// Records that a status query is sent because the instance is unresponsive.
    pub(super) fn on_status_query(&mut self, now: Instant) {
        self.last_status_query = Some(now);
    }

    /// Highest term that it reported.
    pub(super) fn term(&self) -> Option<Term> {
        self.term
    }

    /// Highest term that it has been shown to lead.
    pub(super) fn led_term(&self) -> Option<Term> {
        self.led_term
    }

    /// Highest term that its current process has been shown to lead.
    pub(super) fn current_led_term(&self) -> Option<Term> {
        self.current_led_term
    }

    /// Records that it has been shown to lead `term`.
    pub(super) fn on_led_term(&mut self, term: Term) {
        self.led_term = self.led_term.max(Some(term));
        self.current_led_term = self.current_led_term.max(Some(term));
    }

    /// Its process may have ended, or may have become a replica: that it leads has to be shown again.
    pub(super) fn on_lead_in_doubt(&mut self) {
        self.current_led_term = None;
    }

    /// Records its replication status. The instance responds, so earlier failures no longer count.
    pub(super) fn on_replication_status(&mut self, role: Role, term: Term) {
        self.is_unresponsive = false;
        match role {
            Role::Primary => {
                self.term = self.term.max(Some(term));
                self.on_led_term(term);
            }
            // It has stepped down, or its process has started again.
            Role::Replica => self.on_lead_in_doubt(),
        }
    }

    /// Records the end of an exchange, with its response if there was one.
    pub(super) fn on_ended(&mut self, number: u64, response: Option<&ExchangeResponse>) {
        let index = self.in_flight.iter().position(|exchange| exchange.number == number);
        let ended = index.map(|index| self.in_flight.swap_remove(index));
        match (response, ended) {
            (Some(response), _) => {
                self.on_response(response);
            }
            (None, ended) => {
                self.is_unresponsive = true;
                if let Some(ended) = ended {
                    self.on_abandoned(ended, Instant::now());
                }
            }
        }
    }

    /// Records the outcome of a connection to it.
    pub(super) fn on_connection(&mut self, outcome: ConnectionOutcome) {
        self.is_unresponsive = !matches!(outcome, ConnectionOutcome::Established { .. });
        match outcome {
            ConnectionOutcome::Established { position, opened_at } => {
                self.refused_since = None;
                self.abandoned.on_answer();
                self.check_log_kept(position, opened_at);
                self.set_position(position, Instant::now());
            }
            ConnectionOutcome::Refused => {
                self.refused_since.get_or_insert_with(Instant::now);
            }
            ConnectionOutcome::Broken => {}
        }
    }

    /// Whether it has refused connections since it last responded.
    pub(super) fn refuses_connections(&self) -> bool {
        self.refused_since.is_some()
    }

    fn on_abandoned(&mut self, ended: InFlight, now: Instant) {
        self.abandoned.on_abandoned(ended.sent, now);
        if ended.commits {
            self.abandoned_commits.on_abandoned(ended.sent, now);
        }
    }

    /// The instance reported `position`, or an empty log, in answer to a request that was sent at
    /// `requested_at`. If it reported a higher position before that, its process has ended.
    fn check_log_kept(&mut self, position: Option<Position>, requested_at: Instant) {
        let earlier = self.last_position.zip(self.last_position_at);
        let order = |position: Position| (position.term, position.offset);
        let has_lost_log = earlier.is_some_and(|(last, reported_at)| {
            requested_at > reported_at && position.map(order) < Some(order(last))
        });
        if has_lost_log {
            self.on_lead_in_doubt();
        }
    }

    fn set_position(&mut self, position: Option<Position>, reported_at: Instant) {
        if position.is_some() {
            self.last_position = position;
            self.last_position_at = Some(reported_at);
            self.term = self.term.max(position.map(|position| position.term));
        }
    }

    fn on_response(&mut self, response: &ExchangeResponse) {
        let ExchangeResponse { sent, completed_at: completed, position, .. } = *response;
        let elapsed = completed.saturating_duration_since(sent);
        if position.is_some() && !response.continues_transaction {
            self.check_log_kept(position, sent);
        }
        if response.is_read_only {
            self.on_lead_in_doubt();
        }
        self.is_unresponsive = false;
        self.refused_since = None;
        self.abandoned.on_answer();
        self.last_response = Some(completed);
        self.set_position(position, completed);
        self.mean_service_time = Some(match self.mean_service_time {
            Some(mean) => (mean * (SERVICE_TIME_WEIGHT - 1) + elapsed) / SERVICE_TIME_WEIGHT,
            None => elapsed,
        });
    }
}

/// Outcome of a connection to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOutcome {
    /// The connection was established.
    Established {
        /// Position that the instance reported.
        position: Option<Position>,
        /// When the connection was opened.
        opened_at: Instant,
    },
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
    pub completed_at: Instant,
    /// Position that the instance reported.
    pub position: Option<Position>,
    /// Position that it reported after a commit, if the exchange may have committed.
    pub commit_position: Option<Position>,
    /// Role that the instance announces in the platform's store.
    pub role: Option<Role>,
    /// Whether the instance answered that it accepts no writes.
    pub is_read_only: bool,
    /// Whether the exchange continued a transaction and acknowledged no commit of writes.
    pub continues_transaction: bool,
}
