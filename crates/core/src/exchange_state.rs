//! What a caller is told when an exchange cannot be finished, for each point it may have reached.
//!
//! The table is the whole contract: "not run" is said only where no commit can follow, and a
//! write that may have left is in doubt, whoever held it last and whatever became of the holder.

use crate::outcome::ResultCode;

/// The worst an exchange can do once it reaches a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Changes nothing.
    Read,
    /// Changes things inside a transaction that it cannot commit. Once its caller has been told
    /// that the transaction is lost, nothing more is sent on its lease, so no commit can follow.
    InsideTransaction,
    /// May commit.
    MayCommit,
}

/// How far an exchange had come when it failed, as far as its present holder knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Held by the front; no byte has left the node.
    AtFront,
    /// Handed to a gateway that has not answered; it may be anywhere beyond.
    Forwarded,
    /// Queued at the gateway, or in its socket buffer with no byte taken by the kernel.
    Queued,
    /// Some bytes may have reached the back end.
    Sent,
    /// The back end has answered that the commit succeeded; its position is not known yet.
    Answered,
    /// Committed at a known position that a majority has yet to confirm.
    Unconfirmed,
}

/// Why the exchange cannot be finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Its deadline has passed.
    Deadline,
    /// The connection to the back end broke.
    InstanceConnectionLost,
    /// A higher term has been seen: the primary it ran on has been replaced.
    Superseded,
    /// The gateway's node died, or the connection to it broke.
    GatewayLost,
    /// The gateway has not answered within the deadline; it may be paused and resume.
    GatewaySilent,
    /// Part of the gateway's answer was lost on the way.
    AnswerLost,
}

/// An exchange's place in its transaction and its worst effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExchangeImpact {
    /// Its worst effect.
    pub effect: Effect,
    /// Whether earlier exchanges of the same lease opened a transaction that is lost with it.
    pub continues_transaction: bool,
}

/// What the caller is told.
pub fn failure_code(stake: ExchangeImpact, progress: Progress, fault: Fault) -> ResultCode {
    match progress {
        Progress::AtFront | Progress::Queued => unsent_code(stake, progress, fault),
        Progress::Forwarded | Progress::Sent => sent_code(stake.effect, fault),
        Progress::Answered | Progress::Unconfirmed => match fault {
            Fault::Superseded => ResultCode::SupersededInDoubt,
            Fault::GatewayLost => ResultCode::GatewayLostInDoubt,
            _ => ResultCode::UnconfirmedInDoubt,
        },
    }
}

fn unsent_code(stake: ExchangeImpact, progress: Progress, fault: Fault) -> ResultCode {
    if stake.continues_transaction {
        return ResultCode::TransactionLost;
    }
    match (progress, fault) {
        (Progress::AtFront, Fault::Deadline) => ResultCode::NoPrimary,
        (_, Fault::Deadline) => ResultCode::DeadlineBeforeSend,
        (_, Fault::Superseded) => ResultCode::NotPrimary,
        _ => ResultCode::NotSent,
    }
}

fn sent_code(effect: Effect, fault: Fault) -> ResultCode {
    match (effect, fault) {
        (Effect::Read, _) => ResultCode::ReadInterrupted,
        (Effect::InsideTransaction, _) => ResultCode::TransactionLost,
        (Effect::MayCommit, Fault::Superseded) => ResultCode::SupersededInDoubt,
        (Effect::MayCommit, Fault::GatewayLost) => ResultCode::GatewayLostInDoubt,
        (Effect::MayCommit, Fault::GatewaySilent | Fault::AnswerLost) => {
            ResultCode::GatewaySilentInDoubt
        }
        (Effect::MayCommit, Fault::Deadline | Fault::InstanceConnectionLost) => {
            ResultCode::ConnectionLostInDoubt
        }
    }
}

/// Whether a refusal leaves the exchange free to go out again on a new lease: it has surely not
/// run, no transaction was lost with it, and another instance or gateway may do better.
pub fn may_retry(stake: ExchangeImpact, code: ResultCode) -> bool {
    let elsewhere = matches!(
        code,
        ResultCode::NotSent
            | ResultCode::NotPrimary
            | ResultCode::NoFreshInstance
            | ResultCode::NotOwner
            | ResultCode::BackendConnectionRefused
            | ResultCode::BackendBusy
            | ResultCode::WrongInstance
    );
    elsewhere && !stake.continues_transaction
}
