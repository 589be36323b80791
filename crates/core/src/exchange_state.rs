//! The result code that a client gets when an exchange cannot be finished, for each point that the
//! exchange may have reached.
//!
//! The code tables below are the complete contract. "Not run" is answered only if no commit can
//! follow. A write that may have been sent is in doubt, whichever node processed it last and
//! whatever happened to that node.

use crate::outcome::ResultCode;

/// The strongest effect an exchange can have once it reaches an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Changes nothing.
    Read,
    /// Changes data inside a transaction that it cannot commit. Once the loss of the transaction
    /// has been reported to the client, nothing more is sent on its server lease, so no commit can
    /// follow.
    InsideTransaction,
    /// May commit.
    MayCommit,
}

/// How far the exchange had come when it failed, as far as the component that reports the failure
/// knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Waiting at the front; no byte has left the node.
    AtFront,
    /// Forwarded to a gateway that has not answered, so it may have reached any later point.
    Forwarded,
    /// Queued at the gateway, or in its socket buffer with no byte taken by the kernel.
    Queued,
    /// Some bytes may have reached the instance.
    Sent,
    /// The instance has answered that the commit succeeded; the commit position is not known yet.
    Answered,
    /// Committed at a known position that a majority has not confirmed yet.
    Unconfirmed,
}

impl Progress {
    /// How far an exchange had come at a gateway whose connection to the instance is lost.
    /// `is_unsent` is true if the connection's unsent output is at least as long as the exchange. A
    /// query that follows the answer is unsent output as well, so an answered commit goes first.
    pub fn at_gateway(is_unsent: bool, is_answered: bool, has_committed: bool) -> Self {
        if is_answered && has_committed {
            Self::Answered
        } else if is_unsent {
            Self::Queued
        } else {
            Self::Sent
        }
    }
}

/// Why the exchange cannot be finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Its deadline has passed.
    Deadline,
    /// The connection to the instance broke.
    InstanceConnectionLost,
    /// A higher term was reported, so the primary that ran the exchange has been replaced.
    Superseded,
    /// The gateway's node crashed, or the link to it broke.
    GatewayLost,
    /// The gateway has not answered within the deadline. It may be paused and resume later.
    GatewaySilent,
    /// Part of the gateway's answer was lost in transit.
    AnswerLost,
    /// The front's process is about to end.
    NodeStopping,
}

/// What a failure of the exchange affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExchangeImpact {
    /// The strongest effect of the exchange.
    pub effect: Effect,
    /// Whether earlier exchanges on the same server lease opened a transaction that is lost with
    /// this one.
    pub continues_transaction: bool,
}

/// The result code for the client.
pub fn failure_code(impact: ExchangeImpact, progress: Progress, fault: Fault) -> ResultCode {
    match progress {
        Progress::AtFront | Progress::Queued => unsent_code(impact, progress, fault),
        Progress::Forwarded | Progress::Sent => sent_code(impact.effect, fault),
        Progress::Answered | Progress::Unconfirmed => match fault {
            Fault::Superseded => ResultCode::SupersededInDoubt,
            Fault::GatewayLost => ResultCode::GatewayLostInDoubt,
            _ => ResultCode::UnconfirmedInDoubt,
        },
    }
}

fn unsent_code(impact: ExchangeImpact, progress: Progress, fault: Fault) -> ResultCode {
    if impact.continues_transaction {
        return ResultCode::TransactionLost;
    }
    match (progress, fault) {
        (Progress::AtFront, Fault::Deadline) => ResultCode::NoPrimary,
        (_, Fault::Deadline) => ResultCode::DeadlineBeforeSend,
        (_, Fault::Superseded) => ResultCode::NotPrimary,
        (_, Fault::NodeStopping) => ResultCode::Stopping,
        _ => ResultCode::NotSent,
    }
}

fn sent_code(effect: Effect, fault: Fault) -> ResultCode {
    match (effect, fault) {
        (Effect::Read, _) => ResultCode::ReadInterrupted,
        (Effect::InsideTransaction, _) => ResultCode::TransactionLost,
        (Effect::MayCommit, Fault::Superseded) => ResultCode::SupersededInDoubt,
        (Effect::MayCommit, Fault::NodeStopping) => ResultCode::StoppedInDoubt,
        (Effect::MayCommit, Fault::GatewayLost) => ResultCode::GatewayLostInDoubt,
        (Effect::MayCommit, Fault::GatewaySilent | Fault::AnswerLost) => {
            ResultCode::GatewaySilentInDoubt
        }
        (Effect::MayCommit, Fault::Deadline | Fault::InstanceConnectionLost) => {
            ResultCode::ConnectionLostInDoubt
        }
    }
}

/// Whether the exchange may be retried on a new server lease after this refusal: it certainly has
/// not run, no transaction was lost with it, and another instance or gateway may succeed.
pub fn may_retry(impact: ExchangeImpact, code: ResultCode) -> bool {
    let is_transient = matches!(
        code,
        ResultCode::NotSent
            | ResultCode::NotPrimary
            | ResultCode::NoFreshInstance
            | ResultCode::NotOwner
            | ResultCode::BackendConnectionRefused
            | ResultCode::BackendBusy
            | ResultCode::WrongInstance
    );
    is_transient && !impact.continues_transaction
}
