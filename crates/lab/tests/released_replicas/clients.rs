//! Clients whose statements the instances' records are compared with.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::client_record::ClientRecord;
use kestrellock_lab::platform::judged::open_recorded;
use kestrellock_lab::platform::{GROUPS, Platform, database};
use kestrellock_peer::message::TransactionState;

/// Rest of a client between two rounds of its statements.
pub const REST: Duration = Duration::from_millis(10);

/// Clients of one node, which repeat their statements until they are stopped.
#[derive(Clone)]
pub struct Clients {
    address: SocketAddr,
    record: Arc<ClientRecord>,
    stopping: Arc<AtomicBool>,
    running: Arc<Mutex<Vec<JoinHandle<()>>>>,
    /// Ids of the statements that succeeded.
    succeeded: Arc<Mutex<BTreeSet<String>>>,
}

impl Clients {
    /// Clients of a node that have not started yet.
    pub fn at(platform: &Platform, node: usize) -> Self {
        Self {
            address: platform.client_addresses[node],
            record: platform.clients.clone(),
            stopping: Arc::default(),
            running: Arc::default(),
            succeeded: Arc::default(),
        }
    }

    /// Ids of the statements that succeeded.
    pub fn succeeded(&self) -> BTreeSet<String> {
        self.succeeded.lock().expect("no client panics").clone()
    }

    /// Opens a session on a route to the primary.
    pub fn open(&self, name: &str) -> miette::Result<LineSession> {
        open_recorded(self.address, &database(GROUPS[0], Consistency::Primary), name, &self.record)
    }

    /// Starts a client that runs `texts` on its session after `delay`, and again after each rest.
    pub fn start(&self, mut session: LineSession, texts: &'static [&'static str], delay: Duration) {
        let clients = self.clone();
        let client = thread::spawn(move || {
            thread::sleep(delay);
            while !clients.stopping.load(Ordering::Acquire) {
                if clients.run(&mut session, texts).is_err()
                    && let Ok(opened) = clients.open("again")
                {
                    session = opened;
                }
                thread::sleep(REST);
            }
        });
        self.running.lock().expect("no client panics").push(client);
    }

    /// Waits until the clients have ended after their present statements.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        let running = std::mem::take(&mut *self.running.lock().expect("no client panics"));
        running.into_iter().for_each(|client| client.join().expect("it ends"));
    }

    /// Runs statements until one is refused. The error is that of a broken session.
    fn run(&self, session: &mut LineSession, texts: &[&str]) -> miette::Result<()> {
        for text in texts {
            let id = session.next_statement_id();
            let answer = session.run(text)?;
            if !answer.is_success() {
                if answer.state != TransactionState::Idle {
                    session.run("ROLLBACK")?;
                }
                break;
            }
            self.succeeded.lock().expect("no client panics").insert(id);
        }
        Ok(())
    }
}
