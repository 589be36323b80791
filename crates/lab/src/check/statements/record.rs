//! What clients sent, and what instances received and committed.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::check::final_state::LogPlace;

/// The guarantee that a route gives to reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Reads see every acknowledged commit.
    Primary,
    /// Reads see the commits that were acknowledged longer ago than this.
    BoundedStaleness(Duration),
    /// Like [`RouteKind::BoundedStaleness`]; besides, reads see the commits of their session.
    ReadYourWrites(Duration),
}

/// A statement that a client sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentStatement {
    /// Name of the session, which is unique in a run.
    pub session: String,
    /// Guarantee of the session's route.
    pub route: RouteKind,
    /// Id of the statement, which is unique in a run.
    pub id: String,
    /// Its text.
    pub text: String,
    /// Id of the `BEGIN` of the transaction to which the client meant it to belong; its own id for a
    /// `BEGIN`, and `None` for a single statement.
    pub transaction: Option<String>,
    /// When the client began to send it.
    pub sent: Instant,
    /// When the client had received a success answer to it.
    pub acknowledged: Option<Instant>,
}

/// A statement that an instance received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedStatement {
    /// The instance.
    pub instance: String,
    /// Number of the connection, which is unique in the group.
    pub connection: u64,
    /// Address from which the connection was opened.
    pub source: IpAddr,
    /// Id of the statement.
    pub id: String,
    /// Its text as the instance received it.
    pub text: String,
    /// Whether it addresses the instance or the state of its connection, and no data: a status query, a
    /// reset, a rollback, or a command of a promotion.
    pub is_command: bool,
    /// Whether the instance ran it, rather than refused it.
    pub ran: bool,
    /// For a read or a write that ran, the end of the log on which it ran; the default place for an
    /// empty log.
    pub log_end: Option<LogPlace>,
}

/// A commit with writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedWrites {
    /// Its place in the log.
    pub place: LogPlace,
    /// Place of the commit before it in the log; the default place if there is none.
    pub previous: LogPlace,
    /// Id of the statement that committed: a `COMMIT`, or the write itself.
    pub statement: String,
    /// Ids of the writes.
    pub writes: Vec<String>,
}

/// What the instances of a group recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatements {
    /// Received statements; those of one connection are in order of arrival.
    pub received: Vec<ReceivedStatement>,
    /// Commits of all instances, in any order.
    pub commits: Vec<CommittedWrites>,
    /// Addresses of the nodes; `None` if they cannot be told from others.
    pub node_addresses: Option<Vec<IpAddr>>,
}
