//! What the tests of the path share.

use std::time::{Duration, Instant};

use kestrellock_lab::demo::Demo;
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
    let address = demo.caller_addresses[node];
    let mut config = Config::new();
    config.host(&address.ip().to_string()).port(address.port()).user("atlas").dbname("orders");
    config
}

/// A client of the first tenant, once the node serves it.
pub fn connect(demo: &Demo, node: usize) -> Client {
    let config = config(demo, node);
    retried(|| config.connect(NoTls)).expect("the node accepts callers")
}
