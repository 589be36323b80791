//! The requests of clients with their outcomes, and what the run did to the nodes meanwhile.

use std::fmt;

/// Declares a newtype over text.
macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub String);

        impl $name {
            /// Creates the id from its text.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )*};
}

text_ids! {
    /// Identifies an operation that a client wants to take effect once. Retries of a request that
    /// carries a request key share the id.
    OperationId;
    /// A database group.
    GroupId;
    /// A node of the proxy.
    NodeId;
    /// An instance of a group.
    InstanceId;
}

/// Time since the run began, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunTime(pub u64);

/// Number of a client's session. A session can span several connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionNumber(pub u32);

/// A row that clients read and write as a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// A row that is overwritten repeatedly, such as a caption.
    Register(u32),
    /// A row whose owner is set once, such as a seat.
    Seat(u32),
}

/// How the client meant to end a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// By `COMMIT`.
    Commit,
    /// By `ROLLBACK`.
    RollBack,
}

/// What a client requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read one row.
    Read(RowKey),
    /// Overwrite a register with the operation's id.
    Write(RowKey),
    /// Insert one deposit.
    Deposit,
    /// Become the owner of a seat that has none.
    Purchase(RowKey),
    /// Insert several parts in one transaction block.
    Transaction {
        /// Number of parts.
        parts: u32,
        /// How the client meant to end it.
        ending: Ending,
    },
}

impl Action {
    /// Whether the action may change data.
    pub fn may_write(&self) -> bool {
        !matches!(self, Self::Read(_))
    }
}

/// An answer of the database, as the client received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Mark in the first row of the answer, which must equal the mark of the request.
    pub mark: Option<String>,
    /// Value read; `None` if the answer has no value.
    pub value: Option<String>,
    /// Rows received.
    pub rows: u32,
    /// Command tag of the last statement.
    pub tag: String,
}

/// Contents of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Error number at the start of the proxy's message; `None` for an error of the database.
    pub number: Option<u16>,
    /// SQLSTATE.
    pub sqlstate: String,
}

/// How an attempt ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The client received an answer.
    Answered(Answer),
    /// An error states that the request did not run.
    NotRun(Told),
    /// An error leaves open whether the request took effect.
    InDoubt(Told),
    /// An error states that a request with the same key ran before.
    AlreadyRan(Told),
    /// An error states that the request with this key never ran and never will.
    Abandoned(Told),
    /// The connection closed without an answer or error.
    Disconnected,
}

impl Outcome {
    /// Whether the client knows that the request took effect. A purchase of a seat that is already
    /// taken gets an answer but has no effect, and [`Outcome::AlreadyRan`] does not tell whether a
    /// purchase got the seat.
    pub fn is_acknowledged(&self, action: &Action) -> bool {
        match (self, action) {
            (Self::AlreadyRan(_), Action::Purchase(_)) => false,
            (Self::AlreadyRan(_), _) => true,
            (Self::Answered(answer), Action::Purchase(_)) => answer.tag == "UPDATE 1",
            (Self::Answered(_), Action::Transaction { ending, .. }) => *ending == Ending::Commit,
            (Self::Answered(_), _) => true,
            _ => false,
        }
    }

    /// Whether the outcome states that the request had no effect.
    pub fn denies_effect(&self, action: &Action) -> bool {
        match self {
            Self::NotRun(_) | Self::Abandoned(_) => true,
            Self::Answered(_) => !self.is_acknowledged(action),
            Self::InDoubt(_) | Self::AlreadyRan(_) | Self::Disconnected => false,
        }
    }
}

/// One request that a client sent to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Operation that the request carries out. Retries have the same operation.
    pub operation: OperationId,
    /// Session that sent it. A session has at most one attempt in progress.
    pub session: SessionNumber,
    /// Group that it addressed.
    pub group: GroupId,
    /// Node that received it.
    pub node: NodeId,
    /// When the client sent it.
    pub invoked: RunTime,
    /// When the client knew its outcome.
    pub completed: RunTime,
    /// What the client requested.
    pub action: Action,
    /// Whether it carried a request key.
    pub keyed: bool,
    /// Whether the client presented the session's token when it opened the connection.
    pub with_token: bool,
    /// Mark that the first row of the answer must repeat; unique among attempts that read.
    pub mark: String,
    /// Number of statements of the same transaction that were answered before the outcome.
    pub statements_answered: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
}

/// A planned stop of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// The node.
    pub node: NodeId,
    /// When the stop was requested.
    pub began: RunTime,
    /// When the node had stopped.
    pub ended: RunTime,
}

/// The configuration revision that was active on a node at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationSample {
    /// When the sample was taken.
    pub at: RunTime,
    /// The active revision.
    pub revision: u64,
}

/// Revisions observed on a node from its start to its end. A restarted node has another track.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationTrack {
    /// The node.
    pub node: NodeId,
    /// When the node started.
    pub started: RunTime,
    /// Samples in order of time.
    pub samples: Vec<ConfigurationSample>,
}

/// A change of configuration that was confirmed to an operator as accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// When it was accepted.
    pub at: RunTime,
    /// Its revision.
    pub revision: u64,
}

/// What the run observed outside the database groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Attempts of all sessions.
    pub attempts: Vec<Attempt>,
    /// Planned stops.
    pub planned_stops: Vec<PlannedStop>,
    /// Whether the run had no faults other than planned stops, which must not fail any request.
    pub only_planned_stops: bool,
    /// Configuration revisions observed on the nodes.
    pub configuration: Vec<ConfigurationTrack>,
    /// Accepted changes of configuration.
    pub accepted_changes: Vec<AcceptedChange>,
}
