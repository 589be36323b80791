//! Request keys over the whole path: repeats on other nodes, concurrent repeats, transactions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_lab::demo::Demo;
use kestrellock_lab::logins::password_of;
use postgres::{Client, NoTls};

const LIMIT: Duration = Duration::from_secs(30);

fn connect(address: SocketAddr) -> Client {
    let limit = Instant::now() + LIMIT;
    let mut config = postgres::Config::new();
    config.host(&address.ip().to_string()).port(address.port());
    config.user("atlas").password(password_of("atlas")).dbname("orders");
    loop {
        match config.connect(NoTls) {
            Ok(client) => return client,
            Err(error) => assert!(Instant::now() < limit, "no login: {error}"),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The message of an error; empty if there was none.
fn told(client: &mut Client, sql: &str) -> String {
    match client.simple_query(sql) {
        Ok(_) => String::new(),
        Err(error) => {
            error.as_db_error().map_or_else(|| error.to_string(), |one| one.message().to_owned())
        }
    }
}

/// The result code at the head of an error; empty if there was none.
fn run(client: &mut Client, sql: &str) -> String {
    told(client, sql).split(' ').next().unwrap_or_default().to_owned()
}

fn keyed(client: &mut Client, key: &str, sql: &str) -> String {
    assert_eq!(run(client, &format!("SET kestrellock.request_id = '{key}'")), "");
    run(client, sql)
}

fn count(client: &mut Client) -> String {
    let messages = client.simple_query("SELECT count(*) FROM deposits").expect("a count");
    let value = messages.iter().find_map(|message| match message {
        postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    value.expect("a row")
}

#[test]
fn a_keyed_request_runs_once_on_whichever_node_it_is_repeated() {
    let demo = Demo::start().expect("the demonstration starts");
    let nodes = &demo.client_addresses;
    let (mut first, mut second) = (connect(nodes[0]), connect(nodes[1]));
    assert_eq!(run(&mut first, "CREATE TABLE deposits (id BIGINT, body TEXT)"), "");

    let insert = "INSERT INTO deposits VALUES (1, 'first')";
    assert_eq!(keyed(&mut first, "a", insert), "");
    assert_eq!(keyed(&mut second, "a", insert), "KL1702");
    assert_eq!(keyed(&mut second, "a", "INSERT INTO deposits VALUES (2, 'other')"), "KL1701");
    // The key was for one statement.
    assert_eq!(run(&mut first, insert), "");
    assert_eq!(count(&mut first), "2");

    // A statement that fails leaves no record, so its repeat may run.
    assert_ne!(keyed(&mut first, "b", "INSERT INTO nowhere VALUES (1)"), "");
    assert_eq!(keyed(&mut second, "b", insert), "");

    // A transaction holds the key from its beginning to its end.
    assert_eq!(keyed(&mut first, "c", "BEGIN"), "");
    assert_eq!(run(&mut first, insert), "");
    assert_eq!(run(&mut first, "COMMIT"), "");
    assert_eq!(keyed(&mut second, "c", "BEGIN"), "KL1702");
    // A transaction that is rolled back releases it.
    assert_eq!(keyed(&mut first, "d", "BEGIN"), "");
    assert_eq!(run(&mut first, "ROLLBACK"), "");
    assert_eq!(keyed(&mut second, "d", insert), "");
    assert_eq!(count(&mut first), "5");

    // Several statements in one message cannot be recorded.
    assert_eq!(keyed(&mut first, "e", &format!("{insert}; {insert}; COMMIT")), "KL1705");

    // Concurrent repeats on all nodes: one runs.
    let outcomes: Vec<String> = std::thread::scope(|scope| {
        let repeats: Vec<_> = nodes
            .iter()
            .map(|address| scope.spawn(move || keyed(&mut connect(*address), "f", insert)))
            .collect();
        repeats.into_iter().map(|repeat| repeat.join().expect("no panic")).collect()
    });
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_empty()).count(), 1, "{outcomes:?}");
    assert_eq!(outcomes.iter().filter(|outcome| *outcome == "KL1702").count(), 2, "{outcomes:?}");
    assert_eq!(count(&mut first), "6");
    demo.stop();
}

/// A purchase of a taken seat runs without effect: its repeat must not read as "bought".
#[test]
fn a_repeat_is_told_what_the_first_run_did() {
    let demo = Demo::start().expect("the demonstration starts");
    let nodes = &demo.client_addresses;
    let (mut first, mut second) = (connect(nodes[0]), connect(nodes[1]));
    assert_eq!(run(&mut first, "CREATE TABLE seats (id BIGINT, owner TEXT)"), "");
    assert_eq!(run(&mut first, "INSERT INTO seats VALUES (7, '')"), "");
    let purchase = "UPDATE seats SET owner = 'a' WHERE id = 7 AND owner = ''";
    for (key, tag) in [("bought", "UPDATE 1"), ("taken", "UPDATE 0")] {
        assert_eq!(keyed(&mut first, key, purchase), "");
        assert_eq!(run(&mut second, &format!("SET kestrellock.request_id = '{key}'")), "");
        assert_eq!(told(&mut second, purchase), format!("KL1702 ran: {tag}"));
    }
    // No transaction stays open behind a statement, whether it ran or failed.
    assert_ne!(keyed(&mut first, "failed", "INSERT INTO nowhere VALUES (1)"), "");
    assert_eq!(run(&mut first, "BEGIN"), "");
    assert_eq!(run(&mut first, "ROLLBACK"), "");
    assert_eq!(keyed(&mut first, "sale", "BEGIN"), "");
    assert_eq!(run(&mut first, "COMMIT"), "");
    assert_eq!(run(&mut second, "SET kestrellock.request_id = 'sale'"), "");
    assert_eq!(told(&mut second, "BEGIN"), "KL1702 ran: COMMIT");
    demo.stop();
}
