//! Counters and histograms of a node, in Prometheus' terms.
//!
//! Every handle is made at start, so that counting is one atomic addition (observing a histogram
//! also takes an uncontended lock). Labels are enums: no text from outside becomes a label.

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

const PREFIX: &str = "kestrellock";
/// Smallest bucket of a duration: 50 microseconds; sixteen doublings reach 1.6 s.
const FIRST_BUCKET_SECONDS: f64 = 50e-6;
const BUCKETS: u16 = 17;

/// A closed set of label values.
pub trait Label: Copy + 'static {
    /// Every value, in the order of [`Label::index`].
    const ALL: &'static [Self];

    /// Position in [`Label::ALL`].
    fn index(self) -> usize;

    /// Text of the label.
    fn text(self) -> String;
}

macro_rules! labels {
    ($(#[$doc:meta])* $name:ident { $($(#[$value_doc:meta])* $value:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($(#[$value_doc])* $value,)* }

        impl Label for $name {
            const ALL: &'static [Self] = &[$(Self::$value,)*];

            fn index(self) -> usize {
                self as usize
            }

            fn text(self) -> String {
                match self { $(Self::$value => $text.to_owned(),)* }
            }
        }
    };
}

impl Label for ResultCode {
    const ALL: &'static [Self] = ResultCode::ALL;

    fn index(self) -> usize {
        self as usize
    }

    fn text(self) -> String {
        self.to_string()
    }
}

labels! {
    /// How a statement ended for its caller.
    StatementResult {
        /// A read that a back end answered.
        ReadAnswered = "read_answered",
        /// A write that a back end answered.
        WriteAnswered = "write_answered",
        /// Refused by the proxy; it did not run.
        NotRun = "not_run",
        /// The proxy cannot say whether it ran.
        InDoubt = "in_doubt",
    }
}

labels! {
    /// Where an exchange was sent.
    Route {
        /// To a replica.
        Replica = "replica",
        /// To the primary, for a read.
        PrimaryRead = "primary_read",
        /// To the primary, for a write.
        PrimaryWrite = "primary_write",
    }
}

labels! {
    /// What became of a connection.
    ConnectionEvent {
        /// Opened.
        Opened = "opened",
        /// Closed, by either side.
        Closed = "closed",
        /// Refused by the one asked.
        Refused = "refused",
        /// Closed while idle, to make room for a connection of another account.
        Replaced = "replaced",
        /// Given up because another one to the same process stands.
        Duplicate = "doubled",
        /// Given up because the other side, which runs, was not heard on it any more.
        Silent = "silent",
    }
}

labels! {
    /// What became of a position probe.
    ProbeEvent {
        /// Sent.
        Sent = "sent",
        /// Answered.
        Answered = "answered",
        /// Lost, refused or unreadable.
        Failed = "failed",
    }
}

labels! {
    /// What became of a datagram or message between nodes.
    MessageEvent {
        /// Sent.
        Sent = "sent",
        /// Received and taken in.
        Received = "received",
        /// Malformed, of another version or cluster, or a replay.
        Refused = "refused",
    }
}

labels! {
    /// How a request to the store ended.
    StoreResult {
        /// Answered.
        Answered = "answered",
        /// Never sent.
        Unreachable = "unreachable",
        /// Sent but not answered.
        Unanswered = "unanswered",
        /// Refused for its rate.
        RateLimited = "rate_limited",
        /// Answered out of protocol.
        Protocol = "protocol",
    }
}

labels! {
    /// What became of a configuration that reached the node.
    ConfigurationEvent {
        /// Put in force.
        Applied = "applied",
        /// Malformed or invalid as a whole; the one in force stayed.
        Refused = "refused",
        /// An entry or instance of it that cannot be used, and was left out.
        LeftOut = "left_out",
        /// An entry of the store that cannot be read.
        Unreadable = "unreadable",
        /// Taken from a peer.
        Fetched = "pulled",
        /// Not sent by a peer in time.
        TimedOut = "given_up",
        /// Told to the peers that ask this node.
        Announced = "announced",
        /// Given to a peer.
        Served = "served",
    }
}

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

    /// Counts one.
    pub fn count(&self, label: L) {
        self.counters[label.index()].inc();
    }

    /// Counts several.
    pub fn add(&self, label: L, amount: u64) {
        self.counters[label.index()].inc_by(amount);
    }

    /// What has been counted.
    pub fn get(&self, label: L) -> u64 {
        self.counters[label.index()].get()
    }
}

/// Everything a node counts.
pub struct Metrics {
    registry: Registry,
    /// Statements by result.
    pub statements: CounterSet<StatementResult>,
    /// Refusals and doubts by numbered code.
    pub codes: CounterSet<ResultCode>,
    /// Exchanges by destination.
    pub routes: CounterSet<Route>,
    /// Callers' connections.
    pub client_connections: CounterSet<ConnectionEvent>,
    /// Connections to back ends.
    pub instance_connections: CounterSet<ConnectionEvent>,
    /// Connections between nodes.
    pub link_connections: CounterSet<ConnectionEvent>,
    /// Position probes.
    pub probes: CounterSet<ProbeEvent>,
    /// Membership datagrams.
    pub datagrams: CounterSet<MessageEvent>,
    /// Bytes of membership datagrams.
    pub datagram_bytes: CounterSet<MessageEvent>,
    /// Messages between nodes over TCP.
    pub messages: CounterSet<MessageEvent>,
    /// Requests to the store.
    pub store: CounterSet<StoreResult>,
    /// Configurations that arrived.
    pub configuration: CounterSet<ConfigurationEvent>,
    /// Bytes of configuration taken from and given to peers.
    pub configuration_bytes: CounterSet<ConfigurationEvent>,
    /// Threads restarted after a panic.
    pub restarts: Counter,
    /// Revision of the configuration in force.
    pub revision: Gauge,
    /// Returns of the store from an older copy.
    pub store_restores: Counter,
    /// Messages of nodes that replace primaries.
    pub replacement_messages: Counter,
    /// Seconds from a statement's arrival to its answer.
    pub statement_seconds: Histogram,
    /// Seconds from a commit's answer to its confirmation by a majority.
    pub confirmation_seconds: Histogram,
    /// Seconds that an exchange waited for a connection.
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
    /// All zero; `restarts` is the supervisors' own counter.
    pub fn new(restarts: Counter) -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let r = &mut registry;
        r.register("restarts", "Threads restarted after a panic", restarts.clone());
        let revision = Gauge::default();
        r.register("revision", "Revision of the configuration in force", revision.clone());
        let store_restores = Counter::default();
        let help = "Returns of the store from an older copy";
        r.register("store_returns", help, store_restores.clone());
        let replacement_messages = Counter::default();
        let help = "Messages of nodes that replace primaries";
        r.register("replacements_told", help, replacement_messages.clone());
        Self {
            statements: CounterSet::register(r, "statements", "Statements by result"),
            codes: CounterSet::register(r, "codes", "Refusals and doubts by numbered code"),
            routes: CounterSet::register(r, "routes", "Exchanges by destination"),
            client_connections: CounterSet::register(r, "callers", "Connections of callers"),
            instance_connections: CounterSet::register(r, "backends", "Connections to back ends"),
            link_connections: CounterSet::register(r, "links", "Connections between nodes"),
            probes: CounterSet::register(r, "probes", "Position probes"),
            datagrams: CounterSet::register(r, "datagrams", "Membership datagrams"),
            datagram_bytes: CounterSet::register(r, "datagram_bytes", "Bytes of datagrams"),
            messages: CounterSet::register(r, "messages", "Messages between nodes over TCP"),
            store: CounterSet::register(r, "store_requests", "Requests to the store by result"),
            configuration: CounterSet::register(r, "configurations", "Configurations by event"),
            configuration_bytes: CounterSet::register(
                r,
                "configuration_bytes",
                "Bytes of configuration exchanged with peers",
            ),
            restarts,
            revision,
            store_restores,
            replacement_messages,
            statement_seconds: durations(r, "statement_seconds", "From arrival to answer"),
            confirmation_seconds: durations(
                r,
                "confirmation_seconds",
                "From a commit's answer to its confirmation",
            ),
            queue_seconds: durations(r, "queue_seconds", "Wait for a back-end connection"),
            registry,
        }
    }

    /// Counts a numbered refusal or doubt.
    pub fn count_code(&self, code: ResultCode) {
        self.codes.count(code);
    }

    /// Counts an exchange for which an instance of that role was chosen.
    pub fn count_route(&self, access: &Access, role: Option<Role>) {
        self.routes.count(match (access, role) {
            (Access::Write { .. }, _) => Route::PrimaryWrite,
            (Access::PrimaryRead { .. }, _) => Route::PrimaryRead,
            (Access::Read { .. }, Some(Role::Primary)) => Route::PrimaryRead,
            (Access::Read { .. }, _) => Route::Replica,
        });
    }

    /// Counts a statement and the time it took.
    pub fn count_statement(&self, result: StatementResult, took: Duration) {
        self.statements.count(result);
        self.statement_seconds.observe(took.as_secs_f64());
    }

    /// The Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}

fn durations(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let histogram = Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS));
    registry.register(name, help, histogram.clone());
    histogram
}
