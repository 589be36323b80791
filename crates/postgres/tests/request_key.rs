//! Request keys: the messages sent in each phase, and the answers that the client receives.

use bytes::{Bytes, BytesMut};
use kestrellock_core::ids::TenantName;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::TransactionState::{self, Failed, Idle, Open};
use kestrellock_postgres::extended;
use kestrellock_postgres::request_key::{KeyedRequest, Scope, Step, request_key_setting};
use kestrellock_protocol::request_key::{MAX_KEY_BYTES, RequestKey};

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut output = BytesMut::new();
    extended::put_message(tag, &[body], &mut output);
    output.to_vec()
}

fn done(tag: &str) -> Vec<u8> {
    message(b'C', format!("{tag}\0").as_bytes())
}

fn error(state: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{state}\0Mfailed\0\0").as_bytes())
}

fn row(values: &[&str]) -> Vec<u8> {
    let mut body = (values.len() as u16).to_be_bytes().to_vec();
    for value in values {
        body.extend_from_slice(&(value.len() as u32).to_be_bytes());
        body.extend_from_slice(value.as_bytes());
    }
    message(b'D', &body)
}

fn answer(messages: &[Vec<u8>]) -> Bytes {
    Bytes::from([messages.concat(), message(b'Z', b"I")].concat())
}

fn open_answer(messages: &[Vec<u8>], state: &[u8]) -> Bytes {
    Bytes::from([messages.concat(), message(b'Z', state)].concat())
}

fn request(scope: Scope) -> KeyedRequest {
    let key = RequestKey::new("seat 7's sale").expect("a valid key");
    let sql = if scope == Scope::Begin { "BEGIN;" } else { "UPDATE seats SET owner = 1" };
    KeyedRequest::new(&TenantName::new("fan"), &key, sql, scope)
}

fn sent(request: &KeyedRequest) -> String {
    String::from_utf8_lossy(&request.messages()).into_owned()
}

fn code(step: Step) -> ResultCode {
    match step {
        Step::Refuse(refusal) => refusal.code,
        other => panic!("not a refusal: {other:?}"),
    }
}

fn digest(request: &KeyedRequest) -> String {
    let sent = sent(request);
    sent.split('\'').nth(5).expect("the digest after the key, whose quote is doubled").to_owned()
}

/// Processes an answer after which the request retries, and returns the messages that it sends
/// next.
fn retry(request: &mut KeyedRequest, messages: &[Vec<u8>], state: TransactionState) -> String {
    assert_eq!(request.on_answer(&answer(messages), state), Step::Retry);
    sent(request)
}

/// Processes the answer to the first exchange of a statement, and returns the messages of its
/// commit.
fn run_statement(request: &mut KeyedRequest, tag: &str) -> String {
    let whole_answer = open_answer(&[done("BEGIN"), done("INSERT 0 1"), done(tag)], b"T");
    assert_eq!(request.on_answer(&whole_answer, Open), Step::Continue);
    assert!(request.may_commit());
    sent(request)
}

#[test]
fn record_stores_the_command_tag_and_a_repeated_request_returns_it() {
    for tag in ["UPDATE 0", "UPDATE 1", "INSERT 0 3"] {
        let mut first = request(Scope::Statement);
        let commit = run_statement(&mut first, tag);
        let end = format!("outcome = 'ran: {tag}' WHERE key = 'fan:seat 7''s sale'; COMMIT\0");
        assert!(commit.ends_with(&end), "{commit}");
        let mut repeat = request(Scope::Statement);
        let digest = digest(&repeat);
        retry(&mut repeat, &[done("BEGIN"), error("23505")], Failed);
        let record = answer(&[row(&[&digest, &format!("ran: {tag}")]), done("SELECT 1")]);
        let refusal = Refusal::new(ResultCode::AlreadyRan, tag);
        assert_eq!(repeat.on_answer(&record, Idle), Step::Refuse(refusal));
    }
}

#[test]
fn lost_transaction_restarts_the_statement_and_lost_commit_stays_in_doubt() {
    let lost = Refusal::new(ResultCode::TransactionLost, "lost");
    let doubt = Refusal::new(ResultCode::ConnectionLostInDoubt, "lost");
    let first = sent(&request(Scope::Statement));
    for refusal in [&lost, &doubt] {
        let mut statement = request(Scope::Statement);
        run_statement(&mut statement, "UPDATE 1");
        assert_eq!(statement.on_refused(refusal.clone(), true), Step::Retry);
        assert_eq!(sent(&statement), first);
        assert!(!statement.may_commit());
        let mut expired = request(Scope::Statement);
        run_statement(&mut expired, "UPDATE 1");
        assert_eq!(expired.on_refused(refusal.clone(), false), Step::Refuse(refusal.clone()));
    }
    // The second attempt is lost too, but the first one is still in doubt.
    let mut statement = request(Scope::Statement);
    run_statement(&mut statement, "UPDATE 1");
    assert_eq!(statement.on_refused(doubt.clone(), true), Step::Retry);
    assert_eq!(statement.on_refused(lost, false), Step::Refuse(doubt));
}

#[test]
fn failed_commit_is_reported_as_the_error_of_the_statement() {
    for (messages, state) in
        [(vec![error("40001")], Failed), (vec![done("UPDATE 1"), error("23503")], Idle)]
    {
        let mut statement = request(Scope::Statement);
        run_statement(&mut statement, "UPDATE 1");
        let step = statement.on_answer(&open_answer(&messages, b"E"), state);
        let error = messages.last().cloned();
        assert_eq!(step, Step::RollBack(answer(&[error.expect("an error")])));
    }
}

/// The client receives the server's error, unless an earlier attempt may have run.
#[test]
fn failed_insert_of_the_record_is_reported_as_the_error_of_the_statement() {
    let failed = open_answer(&[done("BEGIN"), error("42501")], b"E");
    let step = request(Scope::Statement).on_answer(&failed, Failed);
    assert_eq!(step, Step::RollBack(answer(&[error("42501")])));
    let doubt = Refusal::new(ResultCode::SupersededInDoubt, "replaced");
    let mut statement = request(Scope::Statement);
    run_statement(&mut statement, "UPDATE 1");
    assert_eq!(statement.on_refused(doubt.clone(), true), Step::Retry);
    assert_eq!(statement.on_answer(&failed, Failed), Step::Refuse(doubt));
    assert_eq!(
        code(request(Scope::Begin).on_answer(&failed, Failed)),
        ResultCode::RequestKeyUnsupported
    );
}

#[test]
fn read_only_error_retries_the_statement_on_the_primary() {
    let refused = open_answer(&[done("BEGIN"), error("25006")], b"E");
    assert_eq!(request(Scope::Statement).on_answer(&refused, Failed), Step::FindPrimary);
}

#[test]
fn record_is_inserted_before_the_statement_and_its_reply_is_hidden() {
    let mut statement = request(Scope::Statement);
    let text = sent(&statement);
    assert!(text.contains("VALUES ('fan:seat 7''s sale', '"), "{text}");
    assert!(text.contains("BEGIN; INSERT INTO"), "{text}");
    assert!(text.ends_with("'ran'); UPDATE seats SET owner = 1\0"), "{text}");
    assert!(!statement.may_commit());
    run_statement(&mut statement, "UPDATE 1");
    let committed = answer(&[done("UPDATE 1"), done("COMMIT")]);
    assert_eq!(statement.on_answer(&committed, Idle), Step::Answer(answer(&[done("UPDATE 1")])));
    let mut begin = request(Scope::Begin);
    assert!(sent(&begin).contains("BEGIN; INSERT INTO"));
    let whole_answer = answer(&[done("BEGIN"), done("INSERT 0 1")]);
    assert_eq!(begin.on_answer(&whole_answer, Open), Step::Answer(answer(&[done("BEGIN")])));
}

#[test]
fn missing_table_is_created_and_the_statement_is_retried() {
    let mut statement = request(Scope::Statement);
    let first = sent(&statement);
    let no_table = [done("BEGIN"), error("42P01")];
    assert!(retry(&mut statement, &no_table, Failed).contains("CREATE TABLE IF NOT EXISTS"));
    // Another node created the table first.
    assert_eq!(retry(&mut statement, &[error("42P07")], Idle), first);
    for _ in 0..2 {
        retry(&mut statement, &no_table, Failed);
        retry(&mut statement, &[error("42501")], Idle);
    }
    let refused = open_answer(&no_table, b"E");
    assert_eq!(statement.on_answer(&refused, Failed), Step::RollBack(answer(&[error("42P01")])));
}

#[test]
fn repeated_request_returns_the_recorded_outcome() {
    for scope in [Scope::Statement, Scope::Begin] {
        let same = digest(&request(Scope::Statement));
        let same = if scope == Scope::Begin { digest(&request(Scope::Begin)) } else { same };
        let table = [
            (same.as_str(), "ran", ResultCode::AlreadyRan),
            (same.as_str(), "abandoned", ResultCode::Abandoned),
            ("another digest", "ran", ResultCode::RequestKeyReused),
        ];
        for (digest, outcome, expected) in table {
            let mut repeat = request(scope);
            let failed = [done("BEGIN"), error("23505")];
            assert!(retry(&mut repeat, &failed, Failed).contains("SELECT digest, outcome"));
            let record = answer(&[row(&[digest, outcome]), done("SELECT 1")]);
            assert_eq!(code(repeat.on_answer(&record, Idle)), expected, "{scope:?} {outcome}");
        }
    }
}

/// A statement that violates a unique key of the tenant's own must not be taken for a conflict on
/// the request key, although both have the same SQLSTATE.
#[test]
fn error_of_the_statement_itself_is_forwarded() {
    let mut statement = request(Scope::Statement);
    let whole_answer = open_answer(&[done("BEGIN"), done("INSERT 0 1"), error("23505")], b"E");
    assert_eq!(
        statement.on_answer(&whole_answer, Failed),
        Step::RollBack(answer(&[error("23505")]))
    );
}

#[test]
fn statement_in_doubt_is_retried_until_its_deadline() {
    let doubt = Refusal::new(ResultCode::SupersededInDoubt, "replaced");
    let mut statement = request(Scope::Statement);
    assert_eq!(statement.on_refused(doubt.clone(), true), Step::Retry);
    let none = Refusal::new(ResultCode::NoPrimary, "none");
    assert_eq!(statement.on_refused(none.clone(), false), Step::Refuse(doubt.clone()));
    // A failure of the second attempt says nothing about the first, so the key is recorded as
    // abandoned before the client receives the failure.
    let failed = [done("BEGIN"), done("INSERT 0 1"), error("23514")];
    assert!(retry(&mut statement, &failed, Failed).contains("'abandoned'"));
    let abandoned = answer(&[done("INSERT 0 1")]);
    assert_eq!(code(statement.on_answer(&abandoned, Idle)), ResultCode::Abandoned);
    // Without an attempt in doubt, the refusal is returned unchanged.
    assert_eq!(request(Scope::Statement).on_refused(none.clone(), false), Step::Refuse(none));
}

#[test]
fn transaction_in_doubt_is_abandoned_or_reported_as_committed() {
    let key = RequestKey::new("k").expect("a valid key");
    let doubt = Refusal::new(ResultCode::ConnectionLostInDoubt, "lost");
    let resolve = || KeyedRequest::resolve(&TenantName::new("fan"), &key, doubt.clone());
    assert!(sent(&resolve()).contains("'abandoned'"));
    assert_eq!(
        code(resolve().on_answer(&answer(&[done("INSERT 0 1")]), Idle)),
        ResultCode::Abandoned
    );
    let mut ran = resolve();
    let digest = sent(&ran).split('\'').nth(3).expect("the digest").to_owned();
    retry(&mut ran, &[error("23505")], Idle);
    let record = answer(&[row(&[&digest, "ran"])]);
    assert_eq!(code(ran.on_answer(&record, Idle)), ResultCode::AlreadyRan);
    assert_eq!(resolve().on_refused(doubt.clone(), true), Step::Retry);
    assert_eq!(resolve().on_refused(doubt.clone(), false), Step::Refuse(doubt.clone()));
}

#[test]
fn request_key_setting_is_parsed_and_keys_are_validated() {
    let table = [
        ("SET kestrellock.request_id = 'a'", Some("a")),
        ("set session Kestrellock.Request_ID to 'it''s';", Some("it's")),
        ("SET kestrellock.request_id=''", Some("")),
        ("SET search_path = 'a'", None),
        ("SELECT 'SET kestrellock.request_id = 1'", None),
        ("SET", None),
    ];
    for (sql, expected) in table {
        assert_eq!(request_key_setting(sql).as_deref(), expected, "{sql}");
    }
    let longest = "x".repeat(MAX_KEY_BYTES);
    assert!(RequestKey::new(&longest).is_ok());
    for bad in ["", "a\0b", &format!("{longest}x")] {
        let refusal = RequestKey::new(bad).expect_err("an invalid key");
        assert_eq!(refusal.code, ResultCode::RequestKeyInvalid);
    }
}
