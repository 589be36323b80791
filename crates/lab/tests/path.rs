//! The path of a statement, driven through a PostgreSQL client library against the demonstration.

mod support;

use kestrellock_lab::demo::Demo;
use postgres::{Client, SimpleQueryMessage};
use support::{connect, retried};

fn first_value(client: &mut Client, sql: &str) -> Option<String> {
    let messages = client.simple_query(sql).unwrap_or_else(|error| panic!("{sql}: {error:?}"));
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

fn error_code(client: &mut Client, sql: &str) -> String {
    let error = client.simple_query(sql).expect_err(sql);
    error.code().unwrap_or_else(|| panic!("{sql}: {error:?}")).code().to_owned()
}

#[test]
fn a_client_library_works_through_every_node() {
    let demo = Demo::start().expect("demonstration");
    let mut writer = connect(&demo, 0);
    let create = "CREATE TABLE pages (id BIGINT PRIMARY KEY, body TEXT)";
    retried(|| writer.batch_execute(create)).expect(create);
    let insert = writer.prepare("INSERT INTO pages VALUES ($1, $2)").expect("prepare");
    for id in 0..10_i64 {
        let body = format!("page {id}");
        assert_eq!(writer.execute(&insert, &[&id, &body]).expect("insert"), 1);
        let rows = writer.query("SELECT body FROM pages WHERE id = $1", &[&id]).expect("select");
        assert_eq!(rows.len(), 1, "the session does not see row {id}");
        assert_eq!(rows[0].get::<_, String>(0), body);
    }
    let mut transaction = writer.transaction().expect("begin");
    transaction.execute(&insert, &[&100_i64, &"kept"]).expect("insert");
    transaction.commit().expect("commit");
    let mut transaction = writer.transaction().expect("begin");
    transaction.execute(&insert, &[&101_i64, &"dropped"]).expect("insert");
    transaction.rollback().expect("rollback");
    let rows = writer.query("SELECT id FROM pages WHERE id >= 100", &[]).expect("select");
    let ids: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(ids, [100]);
    demo.stop();
}

#[test]
fn settings_stay_with_their_session() {
    let demo = Demo::start().expect("demonstration");
    let mut first = connect(&demo, 0);
    let mut second = connect(&demo, 0);
    retried(|| first.batch_execute("SET search_path = 'first'")).expect("set");
    second.batch_execute("SET search_path = 'second'").expect("set");
    let mut third = connect(&demo, 0);
    let default = first_value(&mut third, "SHOW search_path");
    for _ in 0..10 {
        assert_eq!(first_value(&mut first, "SHOW search_path").as_deref(), Some("first"));
        assert_eq!(first_value(&mut second, "SHOW search_path").as_deref(), Some("second"));
        assert_eq!(first_value(&mut third, "SHOW search_path"), default);
    }
    first.batch_execute("BEGIN").expect("begin");
    first.batch_execute("SET search_path = 'undone'").expect("set");
    first.batch_execute("ROLLBACK").expect("rollback");
    assert_eq!(first_value(&mut first, "SHOW search_path").as_deref(), Some("first"));
    first.batch_execute("RESET search_path").expect("reset");
    assert_eq!(first_value(&mut first, "SHOW search_path"), default);
    demo.stop();
}

#[test]
fn what_a_shared_connection_cannot_offer_is_refused_with_a_code() {
    let demo = Demo::start().expect("demonstration");
    let mut client = connect(&demo, 1);
    for sql in [
        "LISTEN a",
        "CREATE TEMP TABLE t (id BIGINT)",
        "SELECT pg_advisory_lock(1)",
        "PREPARE a AS SELECT 1",
        "COPY t FROM STDIN",
    ] {
        assert_eq!(error_code(&mut client, sql), "0A000", "{sql}");
        assert_eq!(first_value(&mut client, "SELECT 1").as_deref(), Some("1"), "after {sql}");
    }
    demo.stop();
}

#[test]
fn a_refusal_ends_the_open_transaction() {
    let demo = Demo::start().expect("demonstration");
    let mut client = connect(&demo, 0);
    let create = "CREATE TABLE kept (id BIGINT PRIMARY KEY)";
    retried(|| client.batch_execute(create)).expect(create);
    client.batch_execute("BEGIN").expect("begin");
    client.batch_execute("INSERT INTO kept VALUES (1)").expect("insert");
    assert_eq!(error_code(&mut client, "LISTEN a"), "0A000");
    // What follows must not run on its own.
    assert_eq!(error_code(&mut client, "INSERT INTO kept VALUES (2)"), "40001");
    client.batch_execute("COMMIT").expect("the end of the transaction is accepted");
    assert_eq!(first_value(&mut client, "SELECT count(*) FROM kept").as_deref(), Some("0"));
    demo.stop();
}

#[test]
fn a_session_without_a_token_sees_what_was_acknowledged_before_it_began() {
    let demo = Demo::start().expect("demonstration");
    let mut writer = connect(&demo, 0);
    let create = "CREATE TABLE proofs (id BIGINT PRIMARY KEY)";
    retried(|| writer.batch_execute(create)).expect(create);
    for id in 0..15_i64 {
        writer.execute("INSERT INTO proofs VALUES ($1)", &[&id]).expect("insert");
        // The replicas lag by much more than this takes.
        let mut other = connect(&demo, id as usize % demo.client_addresses.len());
        let count = other.prepare("SELECT count(*) FROM proofs WHERE id >= $1").expect("prepare");
        for _ in 0..3 {
            let row = other.query_one(&count, &[&0_i64]).expect("count");
            assert_eq!(row.get::<_, i64>(0), id + 1, "after write {id}");
        }
    }
    demo.stop();
}
