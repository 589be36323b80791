//! Messages between nodes, instances, the store and the platform.

use kestrellock_core::position::{Position, Term};
use kestrellock_core::promotion::{
    Command, CoordinationView, Intent, ProbeResult, PromotionAnswer, PromotionCaller,
    ReplacementId, ReplicationStatus, RestartReport, Successor,
};
use kestrellock_core::store_era::StoreEra;

use crate::checker::CommitId;
use crate::returns::Keys;
use crate::store::{Announced, CallResult, Operation};

/// A node's request to an instance.
#[derive(Clone, Debug)]
pub enum Work {
    /// A write.
    Write {
        /// The commit that it makes.
        commit: CommitId,
        /// When the client's request arrived at the node.
        arrived: u64,
    },
    /// A read.
    Read {
        /// When the client's request arrived at the node.
        arrived: u64,
    },
    /// A query for the replication status, as evidence.
    StatusQuery,
    /// A command of a coordinator.
    Command(Command),
    /// Opens a connection.
    Connect,
}

/// An instance's answer.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The commit has reached a replica; the primary's term and the end of its log.
    Committed(Term, Position),
    /// The read has run; the primary's term.
    Read(Term),
    /// The instance is not primary.
    NotPrimary,
    /// Its replication status.
    Status(ReplicationStatus),
    /// It accepts replication again.
    Released,
    /// The connection is open and leads to this process.
    Connected(u32),
    /// Connection refused: no process runs there.
    Refused,
    /// The connection led to an earlier process; the number of the current one.
    Broken(u32),
}

/// A connection of a node to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connection {
    /// Process of the instance that it leads to.
    pub process: u32,
    /// When the node learned that it was established.
    pub established: u64,
}

/// One request to an instance and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Number of the node.
    pub node: usize,
    /// Number of the node's process.
    pub process: u64,
    /// Index of the instance.
    pub instance: usize,
    /// Number of the request; for a write also the ID of the commit.
    pub request: u64,
    /// When it was sent.
    pub sent: u64,
    /// The connection that carries it.
    pub connection: Connection,
    /// The request.
    pub work: Work,
}

/// An operation on the store that a node waits for.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the node.
    pub node: usize,
    /// Number of the node's process.
    pub process: u64,
    /// Number of the call.
    pub number: u64,
    /// The era of the store that the node knew.
    pub era: StoreEra,
    /// Fencing token of the node's coordinator lease; zero without a lease.
    pub fence: u64,
    /// The operation.
    pub operation: Operation,
    /// For the record of an intent, the revision of the group's intent that it requires.
    pub expected_intent: Option<u64>,
    /// When it was sent.
    pub sent: u64,
}

/// A message or a timer in flight.
#[derive(Clone, Debug)]
pub enum Message {
    /// From a node to an instance.
    Request(Exchange),
    /// From an instance to a node.
    Answer(Exchange, Reply),
    /// From a node to the store.
    Call(Call),
    /// From the store to a node, with the store's current era.
    CallAnswered(Call, CallResult, StoreEra),
    /// The connections of a node to a process that has ended are closed.
    ConnectionsClosed {
        /// Number of the node.
        node: usize,
        /// Number of the node's process.
        process: u64,
        /// Index of the instance.
        instance: usize,
        /// Process of the instance that has ended.
        instance_process: u32,
    },
    /// A node's call to the store has timed out.
    CallLost(Call),
    /// The store's watch sends changes to a node.
    View {
        /// Number of the node.
        node: usize,
        /// Number of the node's process.
        process: u64,
        /// State of replacements in the store.
        view: CoordinationView,
        /// Entries of the instances.
        announced: Vec<Announced>,
        /// What nodes have written about replacements, by era.
        keys: Keys,
    },
    /// A coordinator asks the platform for a promotion.
    Promote {
        /// Number of the node.
        node: usize,
        /// Number of the node's process.
        process: u64,
        /// Index of the instance.
        instance: usize,
        /// Fencing token of the coordinator.
        fence: u64,
        /// Number of the request.
        call: u64,
    },
    /// The platform answers a promotion request.
    PromotionAnswered {
        /// Number of the node.
        node: usize,
        /// Number of the node's process.
        process: u64,
        /// Index of the instance.
        instance: usize,
        /// Number of the request.
        call: u64,
        /// The platform's answer.
        answer: PromotionAnswer,
    },
    /// A coordinator abandons a promotion request.
    PromotionTimedOut {
        /// Number of the node.
        node: usize,
        /// Number of the node's process.
        process: u64,
        /// Index of the instance.
        instance: usize,
        /// Number of the request.
        call: u64,
    },
    /// A coordinator asks a node whether the promotions of an earlier process have ended.
    CallerQuery {
        /// Number of the coordinator.
        from: usize,
        /// Number of the node.
        to: usize,
        /// The process.
        caller: PromotionCaller,
    },
    /// A node answers that they have ended.
    CallsEnded {
        /// Number of the node.
        from: usize,
        /// Number of the coordinator.
        to: usize,
        /// The process.
        caller: PromotionCaller,
    },
    /// A coordinator probes whether a process runs at a node.
    Probe {
        /// Number of the coordinator.
        from: usize,
        /// Number of the node.
        to: usize,
    },
    /// Result of a probe.
    Probed {
        /// Number of the node.
        from: usize,
        /// Number of the coordinator.
        to: usize,
        /// The result.
        result: ProbeResult,
    },
    /// The store executes an operation late. Nobody waits for the answer.
    LateCall(Call),
    /// The platform finishes a promotion.
    PromotionDone {
        /// Index of the instance.
        instance: usize,
        /// Its incarnation when the promotion started: a later process may lack its data.
        incarnation: u64,
    },
    /// A coordinator notifies a node of an active replacement.
    ReplacementStarted {
        /// Number of the coordinator.
        from: usize,
        /// Number of the node.
        to: usize,
        /// Intent of the replacement.
        intent: Intent,
        /// When the coordinator learned that the intent is recorded.
        recorded: u64,
    },
    /// A coordinator notifies a node of a finished replacement.
    ReplacementFinished {
        /// Number of the coordinator.
        from: usize,
        /// Number of the node.
        to: usize,
        /// The replacement.
        id: ReplacementId,
        /// The promoted instance; none if the replacement was cancelled.
        successor: Option<Successor>,
    },
    /// A node reports to the coordinator that it has revoked its evidence.
    EvidenceRevoked {
        /// Number of the coordinator.
        to: usize,
        /// Number of the node.
        from: usize,
        /// The replacement.
        id: ReplacementId,
        /// What the node knows of restarts in the group.
        report: RestartReport,
    },
    /// An instance writes its entry again.
    Announce {
        /// Index of the instance.
        instance: usize,
    },
    /// The store drops the votes of a dead node.
    VotesExpire {
        /// Number of the node.
        node: usize,
        /// Number of the node's process.
        process: u64,
    },
}
