//! Who may enter, and whom a cancel request reaches.

mod support;

use std::time::Duration;

use kestrellock_lab::demo::Demo;
use kestrellock_lab::logins::password_of;
use postgres::NoTls;
use postgres::error::SqlState;
use support::{config, connect, retried};

#[test]
fn a_login_needs_its_password_and_reaches_only_its_databases() {
    let demo = Demo::start().expect("demonstration");
    connect(&demo, 0);
    let gidanmu = password_of("gidanmu");
    // (user, password, database, SQLSTATE)
    let table = [
        ("atlas", "wrong", "orders", "28P01"),
        ("atlas", gidanmu.as_str(), "orders", "28P01"),
        ("nobody", "wrong", "orders", "28P01"),
        ("gidanmu", gidanmu.as_str(), "orders", "3D000"),
        // A stranger does not learn which databases exist.
        ("gidanmu", "wrong", "orders", "28P01"),
        ("nobody", "wrong", "none", "28P01"),
    ];
    for (user, password, database, state) in table {
        let mut config = config(&demo, 0);
        config.user(user).password(password).dbname(database);
        let Err(error) = config.connect(NoTls) else { panic!("{user} is let in to {database}") };
        let code = error.code().map(SqlState::code);
        assert_eq!(code, Some(state), "{user} to {database}: {error:?}");
    }
    let mut config = config(&demo, 0);
    config.user("gidanmu").password(&gidanmu).dbname("tickets");
    config.connect(NoTls).expect("the right password");
    demo.stop();
}

#[test]
fn a_token_of_another_group_is_refused() {
    let demo = Demo::start().expect("demonstration");
    connect(&demo, 0);
    for token in ["1:resale-tickets:1:0", "2:yearbook-orders:1:0", "garbage"] {
        let outcome = support::connect_with_token(&demo, 0, token);
        assert_eq!(outcome.err().as_deref(), Some("22023"), "{token}");
    }
    assert_eq!(support::connect_with_token(&demo, 0, "1:yearbook-orders:1:0"), Ok(()));
    demo.stop();
}

#[test]
fn a_cancel_request_ends_the_callers_own_statement_only() {
    let demo = Demo::start().expect("demonstration");
    let mut sleeper = connect(&demo, 0);
    let mut bystander = connect(&demo, 0);
    retried(|| sleeper.simple_query("SELECT 1")).expect("ready");
    let key = sleeper.cancel_token();
    let other = bystander.cancel_token();
    let cancelled = std::thread::spawn(move || sleeper.simple_query("SELECT pg_sleep(30)"));
    let bystanding = std::thread::spawn(move || {
        bystander.simple_query("SELECT pg_sleep(1)").map(|_| ()).map_err(|error| error.to_string())
    });
    // A request that comes before the statement does nothing, so it is repeated.
    let limit = std::time::Instant::now() + Duration::from_secs(30);
    while !cancelled.is_finished() && std::time::Instant::now() < limit {
        key.cancel_query(NoTls).expect("a cancel request is always accepted");
        std::thread::sleep(Duration::from_millis(50));
    }
    let error = cancelled.join().expect("thread").expect_err("the statement was cancelled");
    assert_eq!(error.code(), Some(&SqlState::QUERY_CANCELED), "{error:?}");
    assert_eq!(bystanding.join().expect("thread"), Ok(()), "another session was cancelled");
    other.cancel_query(NoTls).expect("cancelling nothing does nothing");
    demo.stop();
}
