//! Telling instances what replaces a primary needs, and the platform to promote one.

use std::net::SocketAddr;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{PromotionAnswer, Standing};
use thiserror::Error;

/// An instance to speak to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlTarget {
    /// Group of the instance.
    pub group: GroupName,
    /// The instance.
    pub instance: InstanceName,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Why an instance did not do what it was told.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ControlError {
    /// Nothing runs at its address.
    #[error("the connection was refused")]
    Refused,
    /// Another instance runs at its address.
    #[error("another instance answers at the address")]
    Displaced,
    /// No answer; it may have done it.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// It answered that it has not done it.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// What an instance may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceCommand {
    /// Say how you stand.
    Ask,
    /// Receive nothing below this term.
    Stop(Term),
    /// Step down, if your term is lower.
    Demote(Term),
    /// Receive again.
    Release,
}

/// Speaks to instances.
pub trait InstanceControl: Send + Sync {
    /// Gives an order and returns how the instance stands afterwards.
    fn execute(
        &self,
        target: &ControlTarget,
        order: InstanceCommand,
    ) -> Result<Standing, ControlError>;
}

/// The platform's promotion call.
pub trait PromotionService: Send + Sync {
    /// Has `instance` take over as the primary of `group`; `holder` acts under `fence`.
    fn promote(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        holder: &NodeName,
        fence: u64,
    ) -> PromotionAnswer;
}
