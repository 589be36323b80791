//! A stand-in instance, driven directly by a PostgreSQL client library.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use kestrellock_lab::standin::group::DatabaseGroup;
use kestrellock_lab::standin::group::options::GroupOptions;
use postgres::error::SqlState;
use postgres::types::Type;
use postgres::{Client, Config, NoTls, SimpleQueryMessage};

const PATIENCE: Duration = Duration::from_secs(30);

fn group(options: GroupOptions) -> DatabaseGroup {
    DatabaseGroup::start(options).expect("the group starts")
}

fn try_connect(address: SocketAddr) -> Result<Client, postgres::Error> {
    Config::new()
        .host(&address.ip().to_string())
        .port(address.port())
        .user("user")
        .dbname("database")
        .connect(NoTls)
}

fn connect(address: SocketAddr) -> Client {
    try_connect(address).expect("the instance accepts a connection")
}

fn state_of(error: &postgres::Error) -> SqlState {
    error.code().unwrap_or_else(|| panic!("no SQLSTATE in {error:?}")).clone()
}

fn with_table() -> (DatabaseGroup, Client) {
    let group = group(GroupOptions::default());
    let mut client = connect(group.addresses[0]);
    client
        .batch_execute(
            "CREATE TABLE seats (id BIGINT PRIMARY KEY, owner TEXT, paid BOOLEAN DEFAULT false, \
             price INT, at TIMESTAMPTZ DEFAULT now())",
        )
        .expect("the table is created");
    (group, client)
}

#[test]
fn prepared_statements_carry_typed_parameters_both_ways() {
    let (_group, mut client) = with_table();
    let insert = client
        .prepare("INSERT INTO seats (id, owner, paid, price) VALUES ($1, $2, $3, $4)")
        .expect("prepares");
    assert_eq!(insert.params(), [Type::INT8, Type::TEXT, Type::BOOL, Type::INT4]);
    for id in 0..5_i64 {
        let owner = format!("owner {id}");
        let count = client.execute(&insert, &[&id, &owner, &(id % 2 == 0), &(id as i32 * 10)]);
        assert_eq!(count.expect("inserts"), 1);
    }
    let select = client.prepare("SELECT * FROM seats WHERE id = $1").expect("prepares");
    let row = client.query_one(&select, &[&3_i64]).expect("one row");
    assert_eq!(row.get::<_, i64>("id"), 3);
    assert_eq!(row.get::<_, &str>("owner"), "owner 3");
    assert!(!row.get::<_, bool>("paid"));
    assert_eq!(row.get::<_, i32>("price"), 30);
    let rows = client
        .query(
            "SELECT id FROM seats WHERE paid = $1 AND price >= $2 ORDER BY id DESC LIMIT $3",
            &[&true, &0_i32, &2_i64],
        )
        .expect("queries");
    assert_eq!(rows.iter().map(|row| row.get::<_, i64>(0)).collect::<Vec<_>>(), [4, 2]);
}

#[test]
fn portals_fetch_in_steps() {
    let (_group, mut client) = with_table();
    for id in 0..10_i64 {
        client.execute("INSERT INTO seats (id) VALUES ($1)", &[&id]).expect("inserts");
    }
    let mut transaction = client.transaction().expect("begins");
    let portal = transaction.bind("SELECT id FROM seats ORDER BY id", &[]).expect("binds");
    let sizes: Vec<usize> =
        (0..4).map(|_| transaction.query_portal(&portal, 4).expect("fetches").len()).collect();
    assert_eq!(sizes, [4, 4, 2, 0]);
}

#[test]
fn aggregates_and_expressions() {
    let (_group, mut client) = with_table();
    client
        .batch_execute(
            "INSERT INTO seats (id, owner, price) VALUES (1, 'a', 5), (2, 'b', 7), (3, 'a', 9)",
        )
        .expect("inserts");
    let row = client
        .query_one("SELECT count(*), sum(price), max(price), min(owner) FROM seats", &[])
        .expect("one row");
    assert_eq!(row.get::<_, i64>(0), 3);
    assert_eq!(row.get::<_, i64>(1), 21);
    assert_eq!(row.get::<_, i32>(2), 9);
    assert_eq!(row.get::<_, &str>(3), "a");
    let rows = client
        .query("SELECT owner, count(*) FROM seats GROUP BY owner ORDER BY owner", &[])
        .expect("groups");
    let counts: Vec<(String, i64)> = rows.iter().map(|row| (row.get(0), row.get(1))).collect();
    assert_eq!(counts, [("a".to_owned(), 2), ("b".to_owned(), 1)]);
    let rows = client
        .query("SELECT id FROM seats WHERE id IN ($1, 3) AND owner LIKE 'a%'", &[&1_i64])
        .expect("queries");
    assert_eq!(rows.len(), 2);
}

#[test]
fn transactions_commit_roll_back_and_use_savepoints() {
    let (group, mut client) = with_table();
    let mut other = connect(group.addresses[0]);
    let mut transaction = client.transaction().expect("begins");
    transaction.execute("INSERT INTO seats (id) VALUES (1)", &[]).expect("inserts");
    assert_eq!(count(&mut other), 0);
    let mut nested = transaction.transaction().expect("sets a savepoint");
    nested.execute("INSERT INTO seats (id) VALUES (2)", &[]).expect("inserts");
    let duplicate = nested.execute("INSERT INTO seats (id) VALUES (1)", &[]);
    assert_eq!(state_of(&duplicate.expect_err("a duplicate")), SqlState::UNIQUE_VIOLATION);
    nested.rollback().expect("rolls back to the savepoint");
    transaction.execute("INSERT INTO seats (id) VALUES (3)", &[]).expect("inserts");
    transaction.commit().expect("commits");
    assert_eq!(count(&mut other), 2);
    let mut transaction = client.transaction().expect("begins");
    transaction.execute("DELETE FROM seats", &[]).expect("deletes");
    transaction.rollback().expect("rolls back");
    assert_eq!(count(&mut other), 2);
}

fn count(client: &mut Client) -> i64 {
    client.query_one("SELECT count(*) FROM seats", &[]).expect("counts").get(0)
}

#[test]
fn a_failed_transaction_refuses_everything_until_its_end() {
    let (_group, mut client) = with_table();
    client.batch_execute("BEGIN").expect("begins");
    let error = client.query("SELECT missing FROM seats", &[]).expect_err("an unknown column");
    assert_eq!(state_of(&error), SqlState::UNDEFINED_COLUMN);
    let error = client.query("SELECT 1", &[]).expect_err("an aborted block");
    assert_eq!(state_of(&error), SqlState::IN_FAILED_SQL_TRANSACTION);
    client.batch_execute("ROLLBACK").expect("rolls back");
    assert_eq!(count(&mut client), 0);
}

#[test]
fn errors_carry_their_sqlstate() {
    let (group, mut client) = with_table();
    let mut replica = connect(group.addresses[1]);
    assert!(group.wait_for_replicas(PATIENCE));
    let cases = [
        ("SELEC 1", SqlState::SYNTAX_ERROR),
        ("SELECT * FROM missing", SqlState::UNDEFINED_TABLE),
        ("INSERT INTO seats (id) VALUES ('x')", SqlState::INVALID_TEXT_REPRESENTATION),
        ("INSERT INTO seats (owner) VALUES ('x')", SqlState::NOT_NULL_VIOLATION),
        ("CREATE TABLE seats (id BIGINT)", SqlState::DUPLICATE_TABLE),
        ("LISTEN channel", SqlState::FEATURE_NOT_SUPPORTED),
        ("SELECT 1 / 0", SqlState::DIVISION_BY_ZERO),
    ];
    for (sql, state) in cases {
        let error = client.batch_execute(sql).expect_err(sql);
        assert_eq!(state_of(&error), state, "{sql}");
    }
    let error = replica.batch_execute("DELETE FROM seats").expect_err("a replica is read only");
    assert_eq!(state_of(&error), SqlState::READ_ONLY_SQL_TRANSACTION);
    let mut reading = client.build_transaction().read_only(true).start().expect("begins");
    let error = reading.execute("DELETE FROM seats", &[]).expect_err("read only");
    assert_eq!(state_of(&error), SqlState::READ_ONLY_SQL_TRANSACTION);
}

#[test]
fn conflicting_inserts_do_nothing_or_update_and_return_rows() {
    let (_group, mut client) = with_table();
    let insert = "INSERT INTO seats (id, owner) VALUES ($1, $2)";
    let nothing = format!("{insert} ON CONFLICT DO NOTHING RETURNING owner");
    let update = format!(
        "{insert} ON CONFLICT (id) DO UPDATE SET owner = excluded.owner RETURNING id, owner"
    );
    let written = client.query(&nothing, &[&1_i64, &"first"]).expect("inserts");
    assert_eq!(written[0].get::<_, &str>(0), "first");
    assert!(client.query(&nothing, &[&1_i64, &"second"]).expect("does nothing").is_empty());
    let updated = client.query_one(&update, &[&1_i64, &"third"]).expect("updates");
    assert_eq!(updated.get::<_, &str>(1), "third");
}

#[test]
fn settings_are_kept_shown_and_reset() {
    let (_group, mut client) = with_table();
    let mut show = |sql: &str| match &client.simple_query(sql).expect(sql)[..] {
        [.., SimpleQueryMessage::Row(row), SimpleQueryMessage::CommandComplete(_)] => {
            row.get(0).expect("a value").to_owned()
        }
        other => panic!("{sql} answered {other:?}"),
    };
    assert_eq!(show("SET statement_timeout = '5s'; SHOW statement_timeout"), "5s");
    assert_eq!(show("RESET statement_timeout; SHOW statement_timeout"), "0");
    assert_eq!(show("SET application_name TO 'x'; DISCARD ALL; SHOW application_name"), "");
}

#[test]
fn a_cancel_request_ends_the_statement_of_its_own_connection_only() {
    let (group, mut client) = with_table();
    let mut other = connect(group.addresses[0]);
    let token = client.cancel_token();
    let sleeping = thread::spawn(move || client.batch_execute("SELECT pg_sleep(600)"));
    let untouched = thread::spawn(move || other.batch_execute("SELECT pg_sleep(0.2)"));
    while !sleeping.is_finished() {
        token.cancel_query(NoTls).expect("the cancel request is taken");
        thread::sleep(Duration::from_millis(10));
    }
    let error = sleeping.join().expect("no panic").expect_err("cancelled");
    assert_eq!(state_of(&error), SqlState::QUERY_CANCELED);
    untouched.join().expect("no panic").expect("the other statement finishes");
}

#[test]
fn connections_over_the_limit_are_refused() {
    let group = group(GroupOptions { connections: 2, ..GroupOptions::default() });
    let first = connect(group.addresses[0]);
    let _second = connect(group.addresses[0]);
    let error = try_connect(group.addresses[0]).err().expect("a third connection is refused");
    assert_eq!(state_of(&error), SqlState::TOO_MANY_CONNECTIONS);
    drop(first);
    while try_connect(group.addresses[0]).is_err() {
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_storm_of_connections_fills_exactly_the_limit() {
    const LIMIT: usize = 3;
    const CALLERS: usize = 20;
    let setup = Duration::from_millis(20);
    let options =
        GroupOptions { connections: LIMIT, connection_setup: setup, ..GroupOptions::default() };
    let group = group(options);
    let address = group.addresses[0];
    let callers: Vec<_> =
        (0..CALLERS).map(|_| thread::spawn(move || try_connect(address))).collect();
    let outcomes: Vec<Result<Client, postgres::Error>> =
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect();
    let refused = outcomes.iter().filter_map(|outcome| outcome.as_ref().err());
    assert!(refused.clone().all(|error| state_of(error) == SqlState::TOO_MANY_CONNECTIONS));
    assert_eq!(refused.count(), CALLERS - LIMIT);
    assert_eq!(group.instances[0].connections.count(), LIMIT);
}

#[test]
fn an_insert_waits_for_an_open_transaction_with_the_same_key() {
    let (group, mut client) = with_table();
    for (ends_with, expected) in [("COMMIT", 0), ("ROLLBACK", 1)] {
        client.batch_execute("DELETE FROM seats").expect("deletes");
        client.batch_execute("BEGIN").expect("begins");
        client.batch_execute("INSERT INTO seats (id) VALUES (1)").expect("inserts");
        let address = group.addresses[0];
        let waiting = thread::spawn(move || {
            connect(address)
                .execute("INSERT INTO seats (id) VALUES (1) ON CONFLICT DO NOTHING", &[])
        });
        connect(address)
            .execute("INSERT INTO seats (id) VALUES (2)", &[])
            .expect("another key does not wait");
        thread::sleep(Duration::from_millis(20));
        assert!(!waiting.is_finished(), "the second insert did not wait");
        client.batch_execute(ends_with).expect("ends");
        let count = waiting.join().expect("no panic").expect("inserts or does nothing");
        assert_eq!(count, expected, "after {ends_with}");
    }
}

#[test]
fn updates_of_one_row_follow_each_other_and_none_is_lost() {
    const WRITERS: usize = 8;
    const UPDATES: usize = 50;
    let (group, mut client) = with_table();
    client.batch_execute("INSERT INTO seats (id, price) VALUES (1, 0)").expect("inserts");
    let address = group.addresses[0];
    let writers: Vec<_> = (0..WRITERS)
        .map(|_| {
            thread::spawn(move || {
                let mut client = connect(address);
                for _ in 0..UPDATES {
                    client
                        .execute("UPDATE seats SET price = price + 1 WHERE id = 1", &[])
                        .expect("updates");
                }
            })
        })
        .collect();
    writers.into_iter().for_each(|writer| writer.join().expect("no panic"));
    let price: i32 =
        client.query_one("SELECT price FROM seats WHERE id = 1", &[]).expect("one row").get(0);
    assert_eq!(price, (WRITERS * UPDATES) as i32);
}

#[test]
fn crossed_locks_end_in_a_deadlock_error_and_not_in_a_hang() {
    let (group, mut first) = with_table();
    first.batch_execute("INSERT INTO seats (id, price) VALUES (1, 0), (2, 0)").expect("inserts");
    let mut second = connect(group.addresses[0]);
    first.batch_execute("BEGIN; UPDATE seats SET price = 1 WHERE id = 1").expect("locks 1");
    second.batch_execute("BEGIN; SELECT * FROM seats WHERE id = 2 FOR UPDATE").expect("locks 2");
    let crossing =
        thread::spawn(move || first.batch_execute("UPDATE seats SET price = 1 WHERE id = 2"));
    let own = second.batch_execute("UPDATE seats SET price = 2 WHERE id = 1");
    drop(second);
    let other = crossing.join().expect("no panic");
    let error = own.err().or(other.err()).expect("one of them fails");
    assert_eq!(state_of(&error), SqlState::T_R_DEADLOCK_DETECTED);
}
