//! The table of points at which an exchange can fail, and what its caller is told at each.

use kestrellock_core::exchange_state::{
    Effect, Fault, Progress, Stake, failure_code, may_go_out_again,
};
use kestrellock_core::outcome::{Execution, ResultCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const READ: Stake = Stake { effect: Effect::Read, continues_transaction: false };
const WRITE: Stake = Stake { effect: Effect::MayCommit, continues_transaction: false };
const INSIDE: Stake = Stake { effect: Effect::InsideTransaction, continues_transaction: true };
const COMMIT: Stake = Stake { effect: Effect::MayCommit, continues_transaction: true };

#[test]
fn each_point_of_failure_has_its_code() {
    use Fault::*;
    use Progress::*;
    let table = [
        (WRITE, Held, Deadline, ResultCode::NoPrimary),
        (WRITE, Held, GatewayLost, ResultCode::NotSent),
        (COMMIT, Held, GatewayLost, ResultCode::TransactionLost),
        (READ, HandedOver, GatewayLost, ResultCode::ReadInterrupted),
        (INSIDE, HandedOver, GatewaySilent, ResultCode::TransactionLost),
        (WRITE, HandedOver, GatewaySilent, ResultCode::GatewaySilentInDoubt),
        (COMMIT, HandedOver, GatewayLost, ResultCode::GatewayLostInDoubt),
        (WRITE, HandedOver, AnswerLost, ResultCode::GatewaySilentInDoubt),
        (WRITE, Queued, Deadline, ResultCode::DeadlineBeforeSend),
        (WRITE, Queued, BackendLost, ResultCode::NotSent),
        (WRITE, Queued, Superseded, ResultCode::NotPrimary),
        (COMMIT, Queued, BackendLost, ResultCode::TransactionLost),
        (READ, Sent, BackendLost, ResultCode::ReadInterrupted),
        (INSIDE, Sent, BackendLost, ResultCode::TransactionLost),
        (INSIDE, Sent, Superseded, ResultCode::TransactionLost),
        (WRITE, Sent, BackendLost, ResultCode::ConnectionLostInDoubt),
        (WRITE, Sent, Deadline, ResultCode::ConnectionLostInDoubt),
        (COMMIT, Sent, Superseded, ResultCode::SupersededInDoubt),
        (WRITE, Answered, BackendLost, ResultCode::UnconfirmedInDoubt),
        (WRITE, Unconfirmed, Deadline, ResultCode::UnconfirmedInDoubt),
        (COMMIT, Unconfirmed, Superseded, ResultCode::SupersededInDoubt),
    ];
    for (stake, progress, fault, expected) in table {
        assert_eq!(
            failure_code(stake, progress, fault),
            expected,
            "{stake:?} {progress:?} {fault:?}"
        );
    }
}

fn stakes() -> impl Strategy<Value = Stake> {
    let effects =
        prop_oneof![Just(Effect::Read), Just(Effect::InsideTransaction), Just(Effect::MayCommit)];
    (effects, any::<bool>())
        .prop_map(|(effect, continues_transaction)| Stake { effect, continues_transaction })
}

fn progresses() -> impl Strategy<Value = Progress> {
    prop_oneof![
        Just(Progress::Held),
        Just(Progress::HandedOver),
        Just(Progress::Queued),
        Just(Progress::Sent),
        Just(Progress::Answered),
        Just(Progress::Unconfirmed),
    ]
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Deadline),
        Just(Fault::BackendLost),
        Just(Fault::Superseded),
        Just(Fault::GatewayLost),
        Just(Fault::GatewaySilent),
        Just(Fault::AnswerLost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// "Not run" is never said of a commit that may have left, and nothing that may have left
    /// goes out a second time.
    #[test]
    fn a_commit_that_may_have_left_is_in_doubt(
        stake in stakes(), progress in progresses(), fault in faults(),
    ) {
        let code = failure_code(stake, progress, fault);
        let may_have_left = !matches!(progress, Progress::Held | Progress::Queued);
        let doubt = may_have_left && stake.effect == Effect::MayCommit;
        if doubt {
            prop_assert_eq!(code.execution(), Execution::InDoubt);
        }
        if may_have_left {
            prop_assert!(!may_go_out_again(stake, code));
        }
        if !may_have_left {
            prop_assert_eq!(code.execution(), Execution::NotRun);
        }
    }
}
