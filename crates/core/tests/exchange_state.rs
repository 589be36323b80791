//! The points at which an exchange can fail, and the result code that the client gets for each.

use kestrellock_core::exchange_state::{
    Effect, ExchangeImpact, Fault, Progress, failure_code, may_retry,
};
use kestrellock_core::outcome::{Execution, ResultCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const READ: ExchangeImpact = ExchangeImpact { effect: Effect::Read, continues_transaction: false };
const WRITE: ExchangeImpact =
    ExchangeImpact { effect: Effect::MayCommit, continues_transaction: false };
const INSIDE: ExchangeImpact =
    ExchangeImpact { effect: Effect::InsideTransaction, continues_transaction: true };
const COMMIT: ExchangeImpact =
    ExchangeImpact { effect: Effect::MayCommit, continues_transaction: true };

#[test]
fn failures_map_to_the_expected_codes() {
    use Fault::*;
    use Progress::*;
    let table = [
        (WRITE, AtFront, Deadline, ResultCode::NoPrimary),
        (WRITE, AtFront, GatewayLost, ResultCode::NotSent),
        (COMMIT, AtFront, GatewayLost, ResultCode::TransactionLost),
        (READ, Forwarded, GatewayLost, ResultCode::ReadInterrupted),
        (INSIDE, Forwarded, GatewaySilent, ResultCode::TransactionLost),
        (WRITE, Forwarded, GatewaySilent, ResultCode::GatewaySilentInDoubt),
        (COMMIT, Forwarded, GatewayLost, ResultCode::GatewayLostInDoubt),
        (WRITE, Forwarded, AnswerLost, ResultCode::GatewaySilentInDoubt),
        (WRITE, Queued, Deadline, ResultCode::DeadlineBeforeSend),
        (WRITE, Queued, InstanceConnectionLost, ResultCode::NotSent),
        (WRITE, Queued, Superseded, ResultCode::NotPrimary),
        (COMMIT, Queued, InstanceConnectionLost, ResultCode::TransactionLost),
        (READ, Sent, InstanceConnectionLost, ResultCode::ReadInterrupted),
        (INSIDE, Sent, InstanceConnectionLost, ResultCode::TransactionLost),
        (INSIDE, Sent, Superseded, ResultCode::TransactionLost),
        (WRITE, Sent, InstanceConnectionLost, ResultCode::ConnectionLostInDoubt),
        (WRITE, Sent, Deadline, ResultCode::ConnectionLostInDoubt),
        (COMMIT, Sent, Superseded, ResultCode::SupersededInDoubt),
        (WRITE, Answered, InstanceConnectionLost, ResultCode::UnconfirmedInDoubt),
        (WRITE, Unconfirmed, Deadline, ResultCode::UnconfirmedInDoubt),
        (COMMIT, Unconfirmed, Superseded, ResultCode::SupersededInDoubt),
        (WRITE, AtFront, NodeStopping, ResultCode::Stopping),
        (WRITE, Queued, NodeStopping, ResultCode::Stopping),
        (COMMIT, AtFront, NodeStopping, ResultCode::TransactionLost),
        (READ, Forwarded, NodeStopping, ResultCode::ReadInterrupted),
        (INSIDE, Forwarded, NodeStopping, ResultCode::TransactionLost),
        (WRITE, Forwarded, NodeStopping, ResultCode::StoppedInDoubt),
        (COMMIT, Sent, NodeStopping, ResultCode::StoppedInDoubt),
        (COMMIT, Unconfirmed, NodeStopping, ResultCode::UnconfirmedInDoubt),
    ];
    for (impact, progress, fault, expected) in table {
        assert_eq!(
            failure_code(impact, progress, fault),
            expected,
            "{impact:?} {progress:?} {fault:?}"
        );
    }
}

fn impacts() -> impl Strategy<Value = ExchangeImpact> {
    let effects =
        prop_oneof![Just(Effect::Read), Just(Effect::InsideTransaction), Just(Effect::MayCommit)];
    (effects, any::<bool>()).prop_map(|(effect, continues_transaction)| ExchangeImpact {
        effect,
        continues_transaction,
    })
}

fn progress_values() -> impl Strategy<Value = Progress> {
    prop_oneof![
        Just(Progress::AtFront),
        Just(Progress::Forwarded),
        Just(Progress::Queued),
        Just(Progress::Sent),
        Just(Progress::Answered),
        Just(Progress::Unconfirmed),
    ]
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Deadline),
        Just(Fault::InstanceConnectionLost),
        Just(Fault::Superseded),
        Just(Fault::GatewayLost),
        Just(Fault::GatewaySilent),
        Just(Fault::AnswerLost),
        Just(Fault::NodeStopping),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// "Not run" is never answered for a commit that may have been sent, and nothing that may have
    /// been sent is retried.
    #[test]
    fn commits_that_may_have_been_sent_are_in_doubt(
        impact in impacts(), progress in progress_values(), fault in faults(),
    ) {
        let code = failure_code(impact, progress, fault);
        let may_be_sent = !matches!(progress, Progress::AtFront | Progress::Queued);
        let in_doubt = may_be_sent && impact.effect == Effect::MayCommit;
        if in_doubt {
            prop_assert_eq!(code.execution(), Execution::InDoubt);
        }
        if may_be_sent {
            prop_assert!(!may_retry(impact, code));
        }
        if !may_be_sent {
            prop_assert_eq!(code.execution(), Execution::NotRun);
        }
    }
}

/// Guards against the promise that nothing is kept for an answered commit: the connection was lost
/// while the position query that follows the answer was unsent, which was taken for the exchange.
#[test]
fn answered_commit_with_an_unsent_position_query_is_in_doubt() {
    let impact = ExchangeImpact { effect: Effect::Read, continues_transaction: false };
    for is_unsent in [false, true] {
        let progress = Progress::at_gateway(is_unsent, true, true);
        let code = failure_code(impact, progress, Fault::InstanceConnectionLost);
        assert_eq!(code, ResultCode::UnconfirmedInDoubt);
    }
    assert_eq!(Progress::at_gateway(true, false, false), Progress::Queued);
    assert_eq!(Progress::at_gateway(false, false, false), Progress::Sent);
    assert_eq!(Progress::at_gateway(false, false, true), Progress::Sent);
}
