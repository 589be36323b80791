//! What callers did and were told, and what the run did to the nodes meanwhile.

use std::fmt;

/// Declares a newtype over text.
macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub String);

        impl $name {
            /// From text.
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
    /// Identifies what a caller wants done once. Repeats of a keyed request share it.
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

/// Number of a caller's session; it outlives connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionNumber(pub u32);

/// A row that callers read and write as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// A row that is overwritten again and again, such as a caption.
    Register(u32),
    /// A row that gets an owner once, such as a seat.
    Seat(u32),
}

/// How a transaction was meant to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// By `COMMIT`.
    Commit,
    /// By `ROLLBACK`.
    RollBack,
}

/// What a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read one row.
    Read(RowKey),
    /// Overwrite a register with the operation's id.
    Write(RowKey),
    /// Insert one deposit.
    Deposit,
    /// Take a seat if nobody has it.
    Purchase(RowKey),
    /// Insert this many parts in one transaction block.
    Transaction {
        /// Number of parts.
        parts: u32,
        /// How it was to end.
        ending: Ending,
    },
}

impl Action {
    /// Whether it may change anything.
    pub fn may_write(&self) -> bool {
        !matches!(self, Self::Read(_))
    }
}

/// An answer of the database, as the caller got it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The request's mark, which the first row of the answer repeats.
    pub mark: Option<String>,
    /// Value read; `None` if the answer had none.
    pub value: Option<String>,
    /// Rows received.
    pub rows: u32,
    /// Command tag of the last statement.
    pub tag: String,
}

/// What an error said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Number at the head of the proxy's message; `None` for an error of the database.
    pub number: Option<u16>,
    /// SQLSTATE.
    pub sqlstate: String,
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer.
    Answered(Answer),
    /// With an error that says it did not run.
    NotRun(Told),
    /// With an error that leaves it in doubt.
    InDoubt(Told),
    /// With the word that the same request key ran before.
    AlreadyRan(Told),
    /// With the word that the request key never ran and never will.
    Abandoned(Told),
    /// The connection ended without a word.
    Disconnected,
}

impl Outcome {
    /// Whether the caller knows that the request took effect. A purchase that found the seat
    /// taken had an answer and no effect, and the word that it ran before does not say which.
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

    /// Whether the caller was told for certain that the request had no effect.
    pub fn denies_effect(&self, action: &Action) -> bool {
        match self {
            Self::NotRun(_) | Self::Abandoned(_) => true,
            Self::Answered(_) => !self.is_acknowledged(action),
            Self::InDoubt(_) | Self::AlreadyRan(_) | Self::Disconnected => false,
        }
    }
}

/// One request as sent to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// What it was to do.
    pub operation: OperationId,
    /// Session that sent it; a session has one attempt under way at a time.
    pub session: SessionNumber,
    /// Group it addressed.
    pub group: GroupId,
    /// Node it was sent to.
    pub node: NodeId,
    /// When it was sent.
    pub invoked: RunTime,
    /// When its outcome was known to the caller.
    pub completed: RunTime,
    /// What it asked for.
    pub action: Action,
    /// Whether it carried a request key.
    pub keyed: bool,
    /// Whether its connection began with the session's token.
    pub with_token: bool,
    /// Mark that the answer's row must repeat; differs between attempts that read.
    pub mark: String,
    /// Statements of the same transaction that were answered before the outcome.
    pub statements_answered: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// A stop of a node that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// The node.
    pub node: NodeId,
    /// When it was asked to stop.
    pub began: RunTime,
    /// When it had stopped.
    pub ended: RunTime,
}

/// The revision that a node had in force at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationSample {
    /// When it was looked at.
    pub at: RunTime,
    /// The revision.
    pub revision: u64,
}

/// Revisions seen on one node from one start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationTrack {
    /// The node.
    pub node: NodeId,
    /// When it started.
    pub started: RunTime,
    /// What was seen, in order of time.
    pub samples: Vec<ConfigurationSample>,
}

/// A change of configuration that an operator was told is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// When it was accepted.
    pub at: RunTime,
    /// Its revision.
    pub revision: u64,
}

/// Everything seen from outside the database groups during a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Attempts of all sessions.
    pub attempts: Vec<Attempt>,
    /// Planned stops.
    pub planned_stops: Vec<PlannedStop>,
    /// Whether nothing but planned stops happened, so that no request has an excuse to fail.
    pub only_planned_stops: bool,
    /// Revisions seen on the nodes.
    pub configuration: Vec<ConfigurationTrack>,
    /// Changes accepted.
    pub accepted_changes: Vec<AcceptedChange>,
}
