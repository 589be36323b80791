//! Commands that a primary replacement sends to instances, and the platform's promotion call.

use std::net::SocketAddr;
use std::time::Instant;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{PromotionAnswer, ReplicationStatus};
use thiserror::Error;

/// An instance that receives commands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlTarget {
    /// Group of the instance.
    pub group: GroupName,
    /// The instance.
    pub instance: InstanceName,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Why an instance did not confirm a command.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ControlError {
    /// Nothing listens on the instance's address.
    #[error("the connection was refused")]
    Refused,
    /// Another instance listens on the address.
    #[error("another instance answers at the address")]
    Displaced,
    /// The instance did not answer and may have carried out the command.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The instance answered that it has not carried out the command.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// A command to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceCommand {
    /// Report the replication status.
    Ask,
    /// Reject replication below this minimum term.
    Stop(Term),
    /// Step down as primary if the instance's term is lower than this one.
    Demote(Term),
    /// Accept replication again.
    Release,
}

/// Sends commands to instances.
pub trait InstanceControl: Send + Sync {
    /// Executes a command and returns the instance's replication status afterwards.
    ///
    /// `valid_until` is the end of the lease on which the command depends, if there is one. Nothing
    /// is written after it, and the command has been answered by then or its connection is reset.
    fn execute(
        &self,
        target: &ControlTarget,
        command: InstanceCommand,
        valid_until: Option<Instant>,
    ) -> Result<ReplicationStatus, ControlError>;
}

/// A request to promote an instance to primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionRequest {
    /// The group.
    pub group: GroupName,
    /// The instance to promote.
    pub instance: InstanceName,
    /// The node on whose behalf the request is made.
    pub coordinator: NodeName,
    /// The coordinator's fencing token.
    pub fence: u64,
    /// End of the coordinator's lease: the call has ended by then.
    pub deadline: Instant,
}

/// How a promotion call has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOutcome {
    /// The platform's answer. [`PromotionAnswer::NotSent`] if nothing of the call was written.
    pub answer: PromotionAnswer,
    /// When a connection for the call was established.
    pub connected: Option<Instant>,
    /// When the first byte of the call was written.
    pub sent: Option<Instant>,
    /// Description of the failure, if there was no answer.
    pub failure: Option<String>,
}

/// The platform's promotion call.
pub trait PromotionService: Send + Sync {
    /// Asks the platform to promote an instance.
    ///
    /// When this function returns, the call has ended: it was answered, or its connection has been
    /// reset, so that no part of it arrives at the platform later. It returns before the request's
    /// deadline. If this process is killed during the call, the kernel resets the connection. If it
    /// is suspended, the kernel discards what the platform has not acknowledged by the deadline.
    ///
    /// What has arrived at the platform before the end may still be executed. A process that is
    /// suspended between its last comparison of the time and the write sends the call when it
    /// continues.
    fn promote(&self, request: &PromotionRequest) -> PromotionOutcome;
}
