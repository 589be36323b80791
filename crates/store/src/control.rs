//! Commands that a primary replacement sends to instances, and the platform's promotion call.

use std::net::SocketAddr;

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
    fn execute(
        &self,
        target: &ControlTarget,
        command: InstanceCommand,
    ) -> Result<ReplicationStatus, ControlError>;
}

/// The platform's promotion call.
pub trait PromotionService: Send + Sync {
    /// Promotes `instance` to primary of `group`, on behalf of `coordinator` with the fencing token
    /// `fence`.
    fn promote(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        coordinator: &NodeName,
        fence: u64,
    ) -> PromotionAnswer;
}
