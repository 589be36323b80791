//! Request keys: what goes out at each step, and what the caller is told.

use bytes::{Bytes, BytesMut};
use kestrellock_core::ids::TenantName;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_daemon::front::request_key::{
    KeyedRequest, MAX_KEY_BYTES, RequestKey, Scope, Step, setting,
};
use kestrellock_daemon::net::extended;
use kestrellock_peer::message::TransactionState::{self, Failed, Idle, Open};

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

/// Plays an answer to which the request goes on, and returns what it sends next.
fn go_on(request: &mut KeyedRequest, messages: &[Vec<u8>], state: TransactionState) -> String {
    assert_eq!(request.on_answer(&answer(messages), state), Step::Again);
    sent(request)
}

#[test]
fn the_record_goes_in_front_and_its_reply_stays_hidden() {
    let mut statement = request(Scope::Statement);
    let text = sent(&statement);
    assert!(text.contains("VALUES ('fan:seat 7''s sale', '"), "{text}");
    assert!(text.ends_with("'ran'); UPDATE seats SET owner = 1\0"), "{text}");
    let whole = answer(&[done("INSERT 0 1"), done("UPDATE 1")]);
    assert_eq!(statement.on_answer(&whole, Idle), Step::Answer(answer(&[done("UPDATE 1")])));
    let mut begin = request(Scope::Begin);
    assert!(sent(&begin).contains("BEGIN; INSERT INTO"));
    let whole = answer(&[done("BEGIN"), done("INSERT 0 1")]);
    assert_eq!(begin.on_answer(&whole, Open), Step::Answer(answer(&[done("BEGIN")])));
}

#[test]
fn a_missing_table_is_created_once_and_the_statement_runs_again() {
    let mut statement = request(Scope::Statement);
    let first = sent(&statement);
    assert!(go_on(&mut statement, &[error("42P01")], Idle).contains("CREATE TABLE IF NOT EXISTS"));
    // Another node was quicker.
    assert_eq!(go_on(&mut statement, &[error("42P07")], Idle), first);
    for _ in 0..2 {
        go_on(&mut statement, &[error("42P01")], Idle);
        go_on(&mut statement, &[error("42501")], Idle);
    }
    let refused = answer(&[error("42P01")]);
    assert_eq!(statement.on_answer(&refused, Idle), Step::Answer(refused));
}

#[test]
fn a_repeat_gets_the_recorded_outcome() {
    for scope in [Scope::Statement, Scope::Begin] {
        let own = digest(&request(Scope::Statement));
        let own = if scope == Scope::Begin { digest(&request(Scope::Begin)) } else { own };
        let table = [
            (own.as_str(), "ran", ResultCode::AlreadyRan),
            (own.as_str(), "abandoned", ResultCode::Abandoned),
            ("another digest", "ran", ResultCode::RequestKeyReused),
        ];
        for (digest, outcome, expected) in table {
            let mut repeat = request(scope);
            let (failed, state) = match scope {
                Scope::Statement => (vec![error("23505")], Idle),
                Scope::Begin => (vec![done("BEGIN"), error("23505")], Failed),
            };
            assert!(go_on(&mut repeat, &failed, state).contains("SELECT digest, outcome"));
            let record = answer(&[row(&[digest, outcome]), done("SELECT 1")]);
            assert_eq!(code(repeat.on_answer(&record, Idle)), expected, "{scope:?} {outcome}");
        }
    }
}

/// The statement's own violation of another unique key is its caller's affair.
#[test]
fn an_error_of_the_statement_itself_is_passed_on() {
    let mut statement = request(Scope::Statement);
    let whole = answer(&[done("INSERT 0 1"), error("23505")]);
    assert_eq!(statement.on_answer(&whole, Idle), Step::Answer(answer(&[error("23505")])));
}

#[test]
fn doubt_is_settled_while_there_is_time() {
    let doubt = Refusal::new(ResultCode::SupersededInDoubt, "replaced");
    let mut statement = request(Scope::Statement);
    assert_eq!(statement.on_refused(doubt.clone(), true), Step::Again);
    let none = Refusal::new(ResultCode::NoPrimary, "none");
    assert_eq!(statement.on_refused(none.clone(), false), Step::Refuse(doubt.clone()));
    // A failure of the second attempt says nothing of the first: the key is closed before.
    let failed = [done("INSERT 0 1"), error("23514")];
    assert!(go_on(&mut statement, &failed, Idle).contains("'abandoned'"));
    let abandoned = answer(&[done("INSERT 0 1")]);
    assert_eq!(code(statement.on_answer(&abandoned, Idle)), ResultCode::Abandoned);
    // Without doubt a refusal is what it says.
    assert_eq!(request(Scope::Statement).on_refused(none.clone(), false), Step::Refuse(none));
}

#[test]
fn a_transaction_in_doubt_is_abandoned_or_found_to_have_run() {
    let key = RequestKey::new("k").expect("a valid key");
    let doubt = Refusal::new(ResultCode::ConnectionLostInDoubt, "lost");
    let settle = || KeyedRequest::settle(&TenantName::new("fan"), &key, doubt.clone());
    assert!(sent(&settle()).contains("'abandoned'"));
    assert_eq!(
        code(settle().on_answer(&answer(&[done("INSERT 0 1")]), Idle)),
        ResultCode::Abandoned
    );
    let mut ran = settle();
    let own = sent(&ran).split('\'').nth(3).expect("the digest").to_owned();
    go_on(&mut ran, &[error("23505")], Idle);
    let record = answer(&[row(&[&own, "ran"])]);
    assert_eq!(code(ran.on_answer(&record, Idle)), ResultCode::AlreadyRan);
    assert_eq!(settle().on_refused(doubt.clone(), true), Step::Again);
    assert_eq!(settle().on_refused(doubt.clone(), false), Step::Refuse(doubt.clone()));
}

#[test]
fn the_setting_is_recognised_and_keys_are_checked() {
    let table = [
        ("SET kestrellock.request_id = 'a'", Some("a")),
        ("set session Kestrellock.Request_ID to 'it''s';", Some("it's")),
        ("SET kestrellock.request_id=''", Some("")),
        ("SET search_path = 'a'", None),
        ("SELECT 'SET kestrellock.request_id = 1'", None),
        ("SET", None),
    ];
    for (sql, expected) in table {
        assert_eq!(setting(sql).as_deref(), expected, "{sql}");
    }
    let longest = "x".repeat(MAX_KEY_BYTES);
    assert!(RequestKey::new(&longest).is_ok());
    for bad in ["", "a\0b", &format!("{longest}x")] {
        let refusal = RequestKey::new(bad).expect_err("refused");
        assert_eq!(refusal.code, ResultCode::RequestKeyInvalid);
    }
}
