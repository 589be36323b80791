//! Guards against a write that commits by itself because the `BEGIN` in front of it was refused,
//! and against refusals that reach requests of a client which waits for each answer.

use kestrellock_core::classify::{StatementClass, TextFacts};
use kestrellock_core::pipelined_transaction::{PipelinedRequest, PipelinedTransaction, RequestEnd};
use proptest::prelude::*;

const REFUSED: RequestEnd =
    RequestEnd { was_in_transaction: false, is_in_transaction: false, was_refused: true };
const ANSWERED_IDLE: RequestEnd = RequestEnd { was_refused: false, ..REFUSED };
const TRANSACTION_LOST: RequestEnd = RequestEnd { was_in_transaction: true, ..ANSWERED_IDLE };

fn after(class: StatementClass, end: RequestEnd) -> PipelinedTransaction {
    let mut transaction = PipelinedTransaction::default();
    transaction.on_request_end(&TextFacts::of(class), end);
    transaction
}

#[test]
fn what_was_sent_behind_a_refused_begin_is_refused_up_to_the_end_of_the_transaction() {
    let begins = [StatementClass::Begin, StatementClass::BeginReadOnly];
    for (class, end) in
        begins.into_iter().flat_map(|class| [(class, REFUSED), (class, ANSWERED_IDLE)])
    {
        let mut transaction = after(class, end);
        for class in [StatementClass::Write, StatementClass::Begin, StatementClass::Unknown] {
            assert_eq!(transaction.on_request(class), PipelinedRequest::Refused);
        }
        let commit = transaction.on_request(StatementClass::Commit);
        assert_eq!(commit, PipelinedRequest::EndsTransaction);
        assert_eq!(transaction.on_request(StatementClass::Write), PipelinedRequest::Runs);
    }
}

#[test]
fn a_transaction_that_ends_before_its_client_asks_for_it_refuses_what_was_sent_behind() {
    for class in [StatementClass::Read, StatementClass::Write] {
        assert!(after(class, TRANSACTION_LOST).is_refused(), "{class:?}");
    }
    for class in [StatementClass::Commit, StatementClass::Rollback, StatementClass::Unknown] {
        assert!(!after(class, TRANSACTION_LOST).is_refused(), "{class:?}");
    }
}

#[test]
fn a_text_with_several_statements_refuses_what_was_sent_behind_only_if_it_did_not_run() {
    let mut facts = TextFacts::of(StatementClass::Begin);
    facts.then(&TextFacts::of(StatementClass::Write));
    let mut transaction = PipelinedTransaction::default();
    transaction.on_request_end(&facts, ANSWERED_IDLE);
    assert!(!transaction.is_refused());
    transaction.on_request_end(&facts, REFUSED);
    assert!(transaction.is_refused());
}

fn classes() -> impl Strategy<Value = StatementClass> {
    prop::sample::select(vec![
        StatementClass::Read,
        StatementClass::BeginReadOnly,
        StatementClass::Begin,
        StatementClass::Commit,
        StatementClass::Rollback,
        StatementClass::Write,
        StatementClass::Unknown,
    ])
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Before each request of a client that waits, everything that it has sent is read.
    #[test]
    fn no_request_of_a_client_that_waits_for_each_answer_is_refused(
        requests in prop::collection::vec((classes(), any::<(bool, bool, bool)>()), 0..40),
    ) {
        let mut transaction = PipelinedTransaction::default();
        for (class, (was_in_transaction, is_in_transaction, was_refused)) in requests {
            transaction.on_input_read();
            prop_assert_eq!(transaction.on_request(class), PipelinedRequest::Runs);
            let end = RequestEnd { was_in_transaction, is_in_transaction, was_refused };
            transaction.on_request_end(&TextFacts::of(class), end);
        }
    }
}
