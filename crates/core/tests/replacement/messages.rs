//! What is under way between nodes, instances, store and platform.

use kestrellock_core::position::{Position, Term};
use kestrellock_core::promotion::{
    Command, CoordinationView, Intent, PromotionAnswer, ReplacementId, ReplicationStatus,
    RestartReport, Successor,
};
use kestrellock_core::store_era::StoreEra;

use crate::checker::CommitId;
use crate::returns::Keys;
use crate::store::{Announced, CallResult, Operation};

/// What a node asks of an instance.
#[derive(Clone, Debug)]
pub enum Work {
    /// A write.
    Write(CommitId),
    /// A read that arrived at that time.
    Read {
        /// When.
        arrived: u64,
    },
    /// How it stands, as evidence.
    StatusQuery,
    /// A command of a holder.
    Command(Command),
}

/// What an instance answers.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The commit has reached a replica; how far the primary's log goes.
    Committed(Term, Position),
    /// The read is done.
    Read(Term),
    /// It does not lead.
    NotPrimary,
    /// How it stands.
    Status(ReplicationStatus),
    /// It receives again.
    Released,
    /// Nothing runs there.
    Refused,
    /// The connection led to an earlier process; this one runs now.
    Broken(u32),
}

/// A message to an instance, and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The node.
    pub node: usize,
    /// Its process.
    pub process: u64,
    /// The instance.
    pub instance: usize,
    /// Number of the request; names the commit of a write.
    pub request: u64,
    /// When it was sent.
    pub sent: u64,
    /// Process of the instance that the connection leads to.
    pub instance_process: u32,
    /// What is asked.
    pub work: Work,
}

/// A change of the store that a node waits for.
#[derive(Clone, Debug)]
pub struct Call {
    /// The node.
    pub node: usize,
    /// Its process.
    pub process: u64,
    /// Number of the call.
    pub number: u64,
    /// The era of the store that the node knew.
    pub era: StoreEra,
    /// Fence of its hold.
    pub fence: u64,
    /// What it is.
    pub operation: Operation,
    /// When it was sent.
    pub sent: u64,
}

/// What is under way.
#[derive(Clone, Debug)]
pub enum Message {
    /// To an instance.
    Request(Exchange),
    /// From an instance.
    Answer(Exchange, Reply),
    /// To the store.
    Call(Call),
    /// From the store, of the era that it tells.
    CallAnswered(Call, CallResult, StoreEra),
    /// A node waits no longer for an answer of the store.
    CallLost(Call),
    /// A node hears of changes.
    View {
        /// The node.
        node: usize,
        /// Its process.
        process: u64,
        /// What the store says.
        view: CoordinationView,
        /// What instances say there.
        announced: Vec<Announced>,
        /// What nodes have written of replacements, by era.
        keys: Keys,
    },
    /// To the platform.
    Promote {
        /// The node.
        node: usize,
        /// Its process.
        process: u64,
        /// The instance.
        instance: usize,
        /// Fence of its hold.
        fence: u64,
    },
    /// From the platform.
    PromotionAnswered {
        /// The node.
        node: usize,
        /// Its process.
        process: u64,
        /// The instance.
        instance: usize,
        /// What it said.
        answer: PromotionAnswer,
    },
    /// The platform has promoted.
    PromotionDone {
        /// The instance.
        instance: usize,
        /// Its process: another one holds nothing of what was to lead.
        incarnation: u64,
    },
    /// A holder tells a node that a replacement is under way.
    ReplacementStarted {
        /// The node.
        to: usize,
        /// The replacement.
        intent: Intent,
        /// When its holder first knew it to be recorded.
        recorded: u64,
    },
    /// A holder tells a node that a replacement is over.
    ReplacementFinished {
        /// The node.
        to: usize,
        /// The replacement.
        id: ReplacementId,
        /// Who was promoted.
        successor: Option<Successor>,
    },
    /// A node tells a holder that it has given its evidence up.
    EvidenceRevoked {
        /// The holder.
        to: usize,
        /// The node.
        from: usize,
        /// The replacement.
        id: ReplacementId,
        /// What it knows of the group.
        report: RestartReport,
    },
    /// An instance writes its entry again.
    Announce {
        /// The instance.
        instance: usize,
    },
    /// The store drops what a dead process has written.
    VotesExpire {
        /// The node.
        node: usize,
        /// The process.
        process: u64,
    },
}
