//! Request keys: what goes out at each step, and what the caller is told.

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

/// Plays an answer to which the request goes on, and returns what it sends next.
fn go_on(request: &mut KeyedRequest, messages: &[Vec<u8>], state: TransactionState) -> String {
    assert_eq!(request.on_answer(&answer(messages), state), Step::Retry);
    sent(request)
}

/// Plays the first exchange of a statement up to its commit, and returns what that is.
fn run_statement(request: &mut KeyedRequest, tag: &str) -> String {
    let whole = open_answer(&[done("BEGIN"), done("INSERT 0 1"), done(tag)], b"T");
    assert_eq!(request.on_answer(&whole, Open), Step::Continue);
    assert!(request.may_commit());
    sent(request)
}

#[test]
fn the_record_holds_the_command_tag_before_the_commit_and_a_repeat_is_told_it() {
    for tag in ["UPDATE 0", "UPDATE 1", "INSERT 0 3"] {
        let mut first = request(Scope::Statement);
        let commit = run_statement(&mut first, tag);
        let end = format!("outcome = 'ran: {tag}' WHERE key = 'fan:seat 7''s sale'; COMMIT\0");
        assert!(commit.ends_with(&end), "{commit}");
        let mut repeat = request(Scope::Statement);
        let own = digest(&repeat);
        go_on(&mut repeat, &[done("BEGIN"), error("23505")], Failed);
        let record = answer(&[row(&[&own, &format!("ran: {tag}")]), done("SELECT 1")]);
        let told = Refusal::new(ResultCode::AlreadyRan, tag);
        assert_eq!(repeat.on_answer(&record, Idle), Step::Refuse(told));
    }
}

#[test]
fn a_statement_that_loses_its_transaction_starts_over_and_a_lost_commit_is_in_doubt() {
    let lost = Refusal::new(ResultCode::TransactionLost, "lost");
    let doubt = Refusal::new(ResultCode::ConnectionLostInDoubt, "lost");
    let first = sent(&request(Scope::Statement));
    for refusal in [&lost, &doubt] {
        let mut statement = request(Scope::Statement);
        run_statement(&mut statement, "UPDATE 1");
        assert_eq!(statement.on_refused(refusal.clone(), true), Step::Retry);
        assert_eq!(sent(&statement), first);
        assert!(!statement.may_commit());
        let mut late = request(Scope::Statement);
        run_statement(&mut late, "UPDATE 1");
        assert_eq!(late.on_refused(refusal.clone(), false), Step::Refuse(refusal.clone()));
    }
    // The second attempt is lost too: the first is still in doubt.
    let mut statement = request(Scope::Statement);
    run_statement(&mut statement, "UPDATE 1");
    assert_eq!(statement.on_refused(doubt.clone(), true), Step::Retry);
    assert_eq!(statement.on_refused(lost, false), Step::Refuse(doubt));
}

#[test]
fn a_commit_that_fails_is_the_statements_error() {
    for (messages, state) in
        [(vec![error("40001")], Failed), (vec![done("UPDATE 1"), error("23503")], Idle)]
    {
        let mut statement = request(Scope::Statement);
        run_statement(&mut statement, "UPDATE 1");
        let told = statement.on_answer(&open_answer(&messages, b"E"), state);
        let own = messages.last().cloned();
        assert_eq!(told, Step::RollBack(answer(&[own.expect("an error")])));
    }
}

/// The server's reason reaches the caller, unless an earlier attempt may have run.
#[test]
fn a_record_that_fails_is_the_statements_error() {
    let failed = open_answer(&[done("BEGIN"), error("42501")], b"E");
    let told = request(Scope::Statement).on_answer(&failed, Failed);
    assert_eq!(told, Step::RollBack(answer(&[error("42501")])));
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
fn a_read_only_instance_sends_the_statement_to_the_primary() {
    let refused = open_answer(&[done("BEGIN"), error("25006")], b"E");
    assert_eq!(request(Scope::Statement).on_answer(&refused, Failed), Step::FindPrimary);
}

#[test]
fn the_record_goes_in_front_and_its_reply_stays_hidden() {
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
    let whole = answer(&[done("BEGIN"), done("INSERT 0 1")]);
    assert_eq!(begin.on_answer(&whole, Open), Step::Answer(answer(&[done("BEGIN")])));
}

#[test]
fn a_missing_table_is_created_once_and_the_statement_runs_again() {
    let mut statement = request(Scope::Statement);
    let first = sent(&statement);
    let no_table = [done("BEGIN"), error("42P01")];
    assert!(go_on(&mut statement, &no_table, Failed).contains("CREATE TABLE IF NOT EXISTS"));
    // Another node was quicker.
    assert_eq!(go_on(&mut statement, &[error("42P07")], Idle), first);
    for _ in 0..2 {
        go_on(&mut statement, &no_table, Failed);
        go_on(&mut statement, &[error("42501")], Idle);
    }
    let refused = open_answer(&no_table, b"E");
    assert_eq!(statement.on_answer(&refused, Failed), Step::RollBack(answer(&[error("42P01")])));
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
            let failed = [done("BEGIN"), error("23505")];
            assert!(go_on(&mut repeat, &failed, Failed).contains("SELECT digest, outcome"));
            let record = answer(&[row(&[digest, outcome]), done("SELECT 1")]);
            assert_eq!(code(repeat.on_answer(&record, Idle)), expected, "{scope:?} {outcome}");
        }
    }
}

/// The statement's own violation of another unique key is its caller's affair.
#[test]
fn an_error_of_the_statement_itself_is_passed_on() {
    let mut statement = request(Scope::Statement);
    let whole = open_answer(&[done("BEGIN"), done("INSERT 0 1"), error("23505")], b"E");
    assert_eq!(statement.on_answer(&whole, Failed), Step::RollBack(answer(&[error("23505")])));
}

#[test]
fn doubt_is_settled_while_there_is_time() {
    let doubt = Refusal::new(ResultCode::SupersededInDoubt, "replaced");
    let mut statement = request(Scope::Statement);
    assert_eq!(statement.on_refused(doubt.clone(), true), Step::Retry);
    let none = Refusal::new(ResultCode::NoPrimary, "none");
    assert_eq!(statement.on_refused(none.clone(), false), Step::Refuse(doubt.clone()));
    // A failure of the second attempt says nothing of the first: the key is closed before.
    let failed = [done("BEGIN"), done("INSERT 0 1"), error("23514")];
    assert!(go_on(&mut statement, &failed, Failed).contains("'abandoned'"));
    let abandoned = answer(&[done("INSERT 0 1")]);
    assert_eq!(code(statement.on_answer(&abandoned, Idle)), ResultCode::Abandoned);
    // Without doubt a refusal is what it says.
    assert_eq!(request(Scope::Statement).on_refused(none.clone(), false), Step::Refuse(none));
}

#[test]
fn a_transaction_in_doubt_is_abandoned_or_found_to_have_run() {
    let key = RequestKey::new("k").expect("a valid key");
    let doubt = Refusal::new(ResultCode::ConnectionLostInDoubt, "lost");
    let settle = || KeyedRequest::resolve(&TenantName::new("fan"), &key, doubt.clone());
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
    assert_eq!(settle().on_refused(doubt.clone(), true), Step::Retry);
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
        assert_eq!(request_key_setting(sql).as_deref(), expected, "{sql}");
    }
    let longest = "x".repeat(MAX_KEY_BYTES);
    assert!(RequestKey::new(&longest).is_ok());
    for bad in ["", "a\0b", &format!("{longest}x")] {
        let refusal = RequestKey::new(bad).expect_err("refused");
        assert_eq!(refusal.code, ResultCode::RequestKeyInvalid);
    }
}
