//! Prometheus metrics of a node.
//!
//! All counters are registered at start, so that counting costs one atomic addition (observing a
//! histogram also takes an uncontended lock). Label values come from enums: text from outside the
//! process never becomes a label.

mod labels;

use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

use kestrellock_core::outcome::ResultCode;
use kestrellock_core::routing::{Access, Role};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

pub use labels::{
    AnswerEvidence, CapacityEvent, ChoiceEvidence, CommitWait, CommitWaitEnd, ConfigurationEvent,
    ConnectionEvent, HeldFor, IsolationEvent, Label, LoggedEvent, MessageEvent, PreparationEvent,
    PrewarmEvent, ProbeEvent, ReplacementCheckEvent, Route, SessionBoundEvent, SessionEndEvent,
    StatementResult, StatusConnectionEvent, StoppedExchange, StorePurpose, StoreResult,
    UnansweredRequest, VoteEvent,
};

const PREFIX: &str = "kestrellock";
/// Upper bound of the first bucket of durations: 50 µs. Sixteen doublings reach 3.3 s.
const FIRST_BUCKET_SECONDS: f64 = 50e-6;
const BUCKET_COUNT: u16 = 17;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    kind: String,
}

/// A counter for each value of a label.
#[derive(Debug)]
pub struct CounterSet<L> {
    counters: Vec<Counter>,
    label: PhantomData<L>,
}

impl<L: Label> CounterSet<L> {
    fn register(registry: &mut Registry, name: &str, help: &str) -> Self {
        let family = Family::<Labels, Counter>::default();
        let counters =
            L::ALL.iter().map(|label| family.get_or_create_owned(&Labels { kind: label.text() }));
        let counters = counters.collect();
        registry.register(name, help, family);
        Self { counters, label: PhantomData }
    }

    /// Increments the counter for `label`.
    pub fn count(&self, label: L) {
        self.counters[label.index()].inc();
    }

    /// Adds `amount` to the counter for `label`.
    pub fn add(&self, label: L, amount: u64) {
        self.counters[label.index()].inc_by(amount);
    }

    /// The current value of the counter for `label`.
    pub fn get(&self, label: L) -> u64 {
        self.counters[label.index()].get()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    purpose: String,
    result: String,
}

/// Counters of calls to the store by purpose and result.
#[derive(Debug)]
pub struct StoreCallCounters {
    by_purpose: Vec<Vec<Counter>>,
}

impl StoreCallCounters {
    fn register(registry: &mut Registry, name: &str, help: &str) -> Self {
        let family = Family::<StoreCallLabels, Counter>::default();
        let counter = |purpose: &StorePurpose, result: &StoreResult| {
            let (purpose, result) = (purpose.text(), result.text());
            family.get_or_create_owned(&StoreCallLabels { purpose, result })
        };
        let of_purpose = |purpose: &StorePurpose| {
            StoreResult::ALL.iter().map(|result| counter(purpose, result)).collect()
        };
        let by_purpose = StorePurpose::ALL.iter().map(of_purpose).collect();
        registry.register(name, help, family);
        Self { by_purpose }
    }

    /// Adds `amount` calls.
    pub fn add(&self, purpose: StorePurpose, result: StoreResult, amount: u64) {
        self.by_purpose[purpose.index()][result.index()].inc_by(amount);
    }

    /// The current value of a counter.
    pub fn get(&self, purpose: StorePurpose, result: StoreResult) -> u64 {
        self.by_purpose[purpose.index()][result.index()].get()
    }
}

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Statements by result.
    pub statements: CounterSet<StatementResult>,
    /// Refusals and in-doubt outcomes by numbered code.
    pub codes: CounterSet<ResultCode>,
    /// Retries of requests, by the code of the refusal before.
    pub retries: CounterSet<ResultCode>,
    /// Exchanges by destination.
    pub routes: CounterSet<Route>,
    /// Choices of instances by evidence, and exchanges that wait for evidence.
    pub choices: CounterSet<ChoiceEvidence>,
    /// Answers of commits that wrote, by the evidence that covers them.
    pub commit_answers: CounterSet<AnswerEvidence>,
    /// Commits whose answer waits until replicas have confirmed them, by reason.
    pub commit_waits: CounterSet<CommitWait>,
    /// Commits whose answers no evidence covered, by how their wait ended.
    pub commit_wait_ends: CounterSet<CommitWaitEnd>,
    /// Requests that wait before they are sent to an instance, by what they wait for.
    pub held: CounterSet<HeldFor>,
    /// Events whose log lines are rate-limited and that no other metric counts.
    pub events: CounterSet<LoggedEvent>,
    /// Connections from clients.
    pub client_connections: CounterSet<ConnectionEvent>,
    /// Sessions that this node ended, and requests that it refused with them.
    pub session_ends: CounterSet<SessionEndEvent>,
    /// Whole requests whose connection this node closed without a complete answer.
    pub unanswered_requests: CounterSet<UnansweredRequest>,
    /// Work of fronts that the planned stop of this owner has ended.
    pub stopped_exchanges: CounterSet<StoppedExchange>,
    /// Connections to instances.
    pub instance_connections: CounterSet<ConnectionEvent>,
    /// Connections to instances that were opened in advance for an account.
    pub prewarmed_connections: CounterSet<PrewarmEvent>,
    /// Connections between nodes.
    pub link_connections: CounterSet<ConnectionEvent>,
    /// Preparations of connections to instances for the session of the next statement.
    pub preparations: CounterSet<PreparationEvent>,
    /// Positions that the reads of moved sessions must have reached.
    pub session_bounds: CounterSet<SessionBoundEvent>,
    /// Position probes.
    pub probes: CounterSet<ProbeEvent>,
    /// Connections to instances that carry only status queries.
    pub status_connections: CounterSet<StatusConnectionEvent>,
    /// Membership datagrams.
    pub datagrams: CounterSet<MessageEvent>,
    /// Bytes of membership datagrams.
    pub datagram_bytes: CounterSet<MessageEvent>,
    /// Messages between nodes over TCP.
    pub messages: CounterSet<MessageEvent>,
    /// Requests to the store.
    pub store: CounterSet<StoreResult>,
    /// Calls to the store by purpose and result.
    pub store_calls: StoreCallCounters,
    /// Replacement checks by who was asked and by result.
    pub replacement_checks: CounterSet<ReplacementCheckEvent>,
    /// Votes on primaries that owners exchange directly.
    pub votes: CounterSet<VoteEvent>,
    /// Configurations by event.
    pub configuration: CounterSet<ConfigurationEvent>,
    /// Bytes of configuration fetched from and sent to peers.
    pub configuration_bytes: CounterSet<ConfigurationEvent>,
    /// Beginnings and ends of isolation.
    pub isolation: CounterSet<IsolationEvent>,
    /// 1 while the node is isolated, else 0.
    pub isolated: Gauge,
    /// Division of the capacity of instances among owners.
    pub capacity: CounterSet<CapacityEvent>,
    /// Threads restarted after a panic.
    pub restarts: Counter,
    /// Revision of the active configuration.
    pub revision: Gauge,
    /// Detected restores of the store from an older copy.
    pub store_restores: Counter,
    /// Messages from coordinators that announce a primary replacement.
    pub replacement_messages: Counter,
    /// Ends of primary replacements that were not announced, because the successor had not reported
    /// its term.
    pub unannounced_replacement_ends: Counter,
    /// Planned replacements that promoted an instance without the log of the old primary.
    pub replacements_without_old_primary: Counter,
    /// Primary replacements of this node that wait for the log of an instance.
    pub replacements_waiting_for_log: Gauge,
    /// Primary replacements of this node that wait for the end of earlier promotions.
    pub replacements_waiting_for_calls: Gauge,
    /// Seconds from a statement's arrival to its answer.
    pub statement_seconds: Histogram,
    /// Seconds from a commit's answer to its confirmation by a majority.
    pub confirmation_seconds: Histogram,
    /// Seconds that an exchange waited for a connection to an instance.
    pub queue_seconds: Histogram,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new(Counter::default())
    }
}

impl Metrics {
    /// Registers all metrics. `restarts` is the counter that the supervisors increase.
    pub fn new(restarts: Counter) -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let r = &mut registry;
        r.register("restarts", "Threads restarted after a panic", restarts.clone());
        let revision = Gauge::default();
        r.register("revision", "Revision of the configuration in force", revision.clone());
        let isolated = Gauge::default();
        r.register("isolated", "Whether the node is isolated (1) or not (0)", isolated.clone());
        let store_restores = Counter::default();
        let help = "Returns of the store from an older copy";
        r.register("store_returns", help, store_restores.clone());
        let replacement_messages = Counter::default();
        let help = "Messages of nodes that replace primaries";
        r.register("replacements_told", help, replacement_messages.clone());
        let unannounced_replacement_ends = Counter::default();
        let help = "Ends of primary replacements without the term of the successor";
        r.register("replacement_ends_unannounced", help, unannounced_replacement_ends.clone());
        let replacements_without_old_primary = Counter::default();
        let help = "Planned primary replacements without the log of the old primary";
        let counter = replacements_without_old_primary.clone();
        r.register("replacements_without_old_primary", help, counter);
        let replacements_waiting_for_log = Gauge::default();
        let help = "Primary replacements of this node that wait for the log of an instance";
        r.register("replacements_waiting_for_log", help, replacements_waiting_for_log.clone());
        let replacements_waiting_for_calls = Gauge::default();
        let help = "Primary replacements of this node that wait for the end of earlier promotions";
        r.register("replacements_waiting_for_calls", help, replacements_waiting_for_calls.clone());
        Self {
            statements: CounterSet::register(r, "statements", "Statements by result"),
            codes: CounterSet::register(r, "codes", "Refusals and doubts by numbered code"),
            retries: CounterSet::register(
                r,
                "retries",
                "Retries by the code of the refusal before",
            ),
            routes: CounterSet::register(r, "routes", "Exchanges by destination"),
            choices: CounterSet::register(r, "choices", "Choices of instances by evidence"),
            commit_answers: CounterSet::register(
                r,
                "commit_answers",
                "Answers of commits that wrote, by the evidence that covers them",
            ),
            commit_waits: CounterSet::register(
                r,
                "commit_waits",
                "Commits whose answer waits until replicas have confirmed them, by reason",
            ),
            commit_wait_ends: CounterSet::register(
                r,
                "commit_wait_ends",
                "Commits that waited for confirmation, by how the wait ended",
            ),
            held: CounterSet::register(
                r,
                "held",
                "Requests that wait before they are sent, by what they wait for",
            ),
            events: CounterSet::register(r, "events", "Events whose log lines are limited in rate"),
            client_connections: CounterSet::register(r, "callers", "Connections of callers"),
            session_ends: CounterSet::register(
                r,
                "session_ends",
                "Sessions that the node ended, and requests refused with them",
            ),
            unanswered_requests: CounterSet::register(
                r,
                "unanswered_requests",
                "Requests whose connection the node closed without a complete answer",
            ),
            stopped_exchanges: CounterSet::register(
                r,
                "stopped_exchanges",
                "Exchanges and transactions that the stop of this owner has ended",
            ),
            instance_connections: CounterSet::register(r, "backends", "Connections to back ends"),
            prewarmed_connections: CounterSet::register(
                r,
                "prewarmed",
                "Connections to back ends that were opened in advance",
            ),
            link_connections: CounterSet::register(r, "links", "Connections between nodes"),
            preparations: CounterSet::register(
                r,
                "preparations",
                "Statements' session states that connections to back ends lacked",
            ),
            session_bounds: CounterSet::register(
                r,
                "session_bounds",
                "Positions of earlier groups of sessions",
            ),
            probes: CounterSet::register(r, "probes", "Position probes"),
            status_connections: CounterSet::register(
                r,
                "status_connections",
                "Connections to back ends that carry only status queries",
            ),
            datagrams: CounterSet::register(r, "datagrams", "Membership datagrams"),
            datagram_bytes: CounterSet::register(r, "datagram_bytes", "Bytes of datagrams"),
            messages: CounterSet::register(r, "messages", "Messages between nodes over TCP"),
            store: CounterSet::register(r, "store_requests", "Requests to the store by result"),
            store_calls: StoreCallCounters::register(
                r,
                "store_calls",
                "Calls to the store by purpose and result",
            ),
            replacement_checks: CounterSet::register(
                r,
                "replacement_checks",
                "Checks whether primaries are being replaced, by result",
            ),
            votes: CounterSet::register(r, "votes", "Votes on primaries from owner to owner"),
            configuration: CounterSet::register(r, "configurations", "Configurations by event"),
            configuration_bytes: CounterSet::register(
                r,
                "configuration_bytes",
                "Bytes of configuration exchanged with peers",
            ),
            isolation: CounterSet::register(r, "isolation", "Beginnings and ends of isolation"),
            isolated,
            capacity: CounterSet::register(r, "capacity", "Capacity shared among owners"),
            restarts,
            revision,
            store_restores,
            replacement_messages,
            unannounced_replacement_ends,
            replacements_without_old_primary,
            replacements_waiting_for_log,
            replacements_waiting_for_calls,
            statement_seconds: duration_histogram(r, "statement_seconds", "From arrival to answer"),
            confirmation_seconds: duration_histogram(
                r,
                "confirmation_seconds",
                "From a commit's answer to its confirmation",
            ),
            queue_seconds: duration_histogram(r, "queue_seconds", "Wait for a back-end connection"),
            registry,
        }
    }

    /// Counts a numbered refusal or in-doubt outcome.
    pub fn count_code(&self, code: ResultCode) {
        self.codes.count(code);
    }

    /// Counts an exchange that was sent to an instance with this role.
    pub fn count_route(&self, access: &Access, role: Option<Role>) {
        self.routes.count(match (access, role) {
            (Access::Write { .. }, _) => Route::PrimaryWrite,
            (Access::PrimaryRead { .. }, _) => Route::PrimaryRead,
            (Access::Read { .. }, Some(Role::Primary)) => Route::PrimaryRead,
            (Access::Read { .. }, _) => Route::Replica,
        });
    }

    /// Counts a statement and its duration.
    pub fn count_statement(&self, result: StatementResult, duration: Duration) {
        self.statements.count(result);
        self.statement_seconds.observe(duration.as_secs_f64());
    }

    /// All metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}

fn duration_histogram(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let histogram = Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
    registry.register(name, help, histogram.clone());
    histogram
}
