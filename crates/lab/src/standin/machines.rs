//! Stand-in for the platform's machine list, which may lag, be wrong, be slow or be unavailable.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use serde::Serialize;

use super::http::{self, Reply, Request};
use super::listener::RestartableListener;

const MACHINES_PATH: &str = "/machines";
const NOT_FOUND: u16 = 404;

/// State of a machine according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The platform considers the machine running.
    Live,
    /// The machine is about to be removed.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListedMachine {
    /// Node that runs on it.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address on which it accepts connections from other nodes.
    pub peer_address: SocketAddr,
    /// Its state.
    pub state: ListedState,
}

#[derive(Debug)]
struct ListVersion {
    visible_from: Instant,
    machines: Vec<ListedMachine>,
}

#[derive(Debug, Default)]
struct Contents {
    /// Versions of the list, ordered by the time at which they become visible.
    versions: Vec<ListVersion>,
    lag: Duration,
    false_list: Option<Vec<ListedMachine>>,
    response_delay: Duration,
    outage: bool,
    requests: u64,
}

impl Contents {
    fn visible_machines(&mut self, now: Instant) -> Vec<ListedMachine> {
        let visible = self.versions.iter().rposition(|version| version.visible_from <= now);
        let Some(newest) = visible else { return Vec::new() };
        self.versions.drain(..newest);
        self.false_list.clone().unwrap_or_else(|| self.versions[0].machines.clone())
    }
}

/// A running machine list server.
pub struct MachineListServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    listener: RestartableListener,
    contents: Arc<Mutex<Contents>>,
}

impl MachineListServer {
    /// Starts a server with an empty list on a port chosen by the operating system.
    pub fn start() -> io::Result<Self> {
        let listener = RestartableListener::bind()?;
        let contents = Arc::new(Mutex::new(Contents::default()));
        let visible_machines = contents.clone();
        http::serve(listener.clone(), Arc::new(move |request| handle(&visible_machines, &request)));
        Ok(Self { address: listener.address(), listener, contents })
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        lock(&self.contents)
    }

    /// Base URL of the server; the list is at `/machines`.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes the list. The change becomes visible after the lag.
    pub fn set_machines(&self, machines: Vec<ListedMachine>) {
        let mut contents = self.contents();
        let visible_from = Instant::now() + contents.lag;
        contents.versions.push(ListVersion { visible_from, machines });
    }

    /// Sets the lag after which later changes become visible.
    pub fn set_lag(&self, lag: Duration) {
        self.contents().lag = lag;
    }

    /// Makes the server report a false list, or the true list again with `None`.
    pub fn set_false_list(&self, false_list: Option<Vec<ListedMachine>>) {
        self.contents().false_list = false_list;
    }

    /// Sets a delay before each response.
    pub fn set_response_delay(&self, response_delay: Duration) {
        self.contents().response_delay = response_delay;
    }

    /// Starts an outage, in which connections are refused, or ends it.
    pub fn set_outage(&self, outage: bool) {
        self.contents().outage = outage;
        match outage {
            true => self.listener.close(),
            false => self.listener.reopen(),
        }
    }

    /// Number of requests so far.
    pub fn requests(&self) -> u64 {
        self.contents().requests
    }
}

impl Drop for MachineListServer {
    fn drop(&mut self) {
        self.listener.stop();
    }
}

fn lock(contents: &Mutex<Contents>) -> MutexGuard<'_, Contents> {
    contents.lock().expect("a holder of the list lock panicked")
}

fn handle(contents: &Mutex<Contents>, request: &Request) -> Reply {
    if request.path != MACHINES_PATH {
        return Reply::json(NOT_FOUND, "{}".into());
    }
    let response_delay = {
        let mut contents = lock(contents);
        contents.requests += 1;
        contents.response_delay
    };
    thread::sleep(response_delay);
    let mut contents = lock(contents);
    if contents.outage {
        return Reply::Reset;
    }
    let visible_machines = contents.visible_machines(Instant::now());
    Reply::ok(serde_json::json!(visible_machines))
}
