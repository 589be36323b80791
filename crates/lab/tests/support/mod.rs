//! What the tests of the path share.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::{Duration, Instant};

use kestrellock_lab::demo::Demo;
use kestrellock_lab::logins::password_of;
use kestrellock_lab::scenario::caller::connection::{Connection, ConnectionError, Endpoint};
use postgres::{Client, Config, NoTls};

const LIMIT: Duration = Duration::from_secs(30);
const INTERVAL: Duration = Duration::from_millis(20);

/// Repeats `action` until it succeeds or the limit has passed.
pub fn retried<T, E>(mut action: impl FnMut() -> Result<T, E>) -> Result<T, E> {
    let limit = Instant::now() + LIMIT;
    loop {
        match action() {
            Err(_) if Instant::now() < limit => std::thread::sleep(INTERVAL),
            outcome => return outcome,
        }
    }
}

/// Settings of a client of the first tenant at one node.
pub fn config(demo: &Demo, node: usize) -> Config {
    let address = demo.client_addresses[node];
    let mut config = Config::new();
    config.host(&address.ip().to_string()).port(address.port()).user("atlas").dbname("orders");
    config.password(password_of("atlas"));
    config
}

/// A client of the first tenant, once the node serves it.
pub fn connect(demo: &Demo, node: usize) -> Client {
    let config = config(demo, node);
    retried(|| config.connect(NoTls)).expect("the node accepts callers")
}

/// Logs in with a session token, which the client library cannot carry; the SQLSTATE of a refusal.
pub fn connect_with_token(demo: &Demo, node: usize, token: &str) -> Result<(), String> {
    let endpoint = Endpoint {
        address: demo.client_addresses[node],
        from: None,
        user: "atlas".to_owned(),
        database: "orders".to_owned(),
    };
    match Connection::connect(&endpoint, Some(token), LIMIT) {
        Ok(connection) => {
            connection.close();
            Ok(())
        }
        Err(ConnectionError::Refused(error)) => Err(error.sqlstate),
        Err(error) => panic!("{error}"),
    }
}
