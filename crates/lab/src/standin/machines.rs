//! The platform's list of machines, which lags and may be wrong.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use serde::Serialize;

use super::door::Door;
use super::http::{self, Reply, Request};

const PATH: &str = "/machines";
const NOT_FOUND: u16 = 404;

/// What the platform knows of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Believed to run.
    Live,
    /// About to go.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListedMachine {
    /// What runs on it.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it accepts others of its kind.
    pub peer_address: SocketAddr,
    /// State.
    pub state: ListedState,
}

#[derive(Debug)]
struct Version {
    visible: Instant,
    machines: Vec<ListedMachine>,
}

#[derive(Debug, Default)]
struct Contents {
    /// Versions in the order in which they become visible.
    versions: Vec<Version>,
    lag: Duration,
    lie: Option<Vec<ListedMachine>>,
    slowness: Duration,
    outage: bool,
    requests: u64,
}

impl Contents {
    fn told(&mut self, now: Instant) -> Vec<ListedMachine> {
        let visible = self.versions.iter().rposition(|version| version.visible <= now);
        let Some(newest) = visible else { return Vec::new() };
        self.versions.drain(..newest);
        self.lie.clone().unwrap_or_else(|| self.versions[0].machines.clone())
    }
}

/// A running machine list.
pub struct MachineListServer {
    /// Where it listens.
    pub address: SocketAddr,
    door: Door,
    contents: Arc<Mutex<Contents>>,
}

impl MachineListServer {
    /// Starts an empty list on a port that the system chooses.
    pub fn start() -> io::Result<Self> {
        let door = Door::open()?;
        let contents = Arc::new(Mutex::new(Contents::default()));
        let told = contents.clone();
        http::serve(door.clone(), Arc::new(move |request| handle(&told, &request)));
        Ok(Self { address: door.address(), door, contents })
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        locked(&self.contents)
    }

    /// Its endpoint; the list is under `/machines`.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes the list; the change is told after the lag.
    pub fn set_machines(&self, machines: Vec<ListedMachine>) {
        let mut contents = self.contents();
        let visible = Instant::now() + contents.lag;
        contents.versions.push(Version { visible, machines });
    }

    /// Time until later changes are told.
    pub fn set_lag(&self, lag: Duration) {
        self.contents().lag = lag;
    }

    /// Tells another list than the true one, or the true one again.
    pub fn set_lie(&self, lie: Option<Vec<ListedMachine>>) {
        self.contents().lie = lie;
    }

    /// Waits before each answer.
    pub fn set_slowness(&self, slowness: Duration) {
        self.contents().slowness = slowness;
    }

    /// Refuses connections, or serves again.
    pub fn set_outage(&self, outage: bool) {
        self.contents().outage = outage;
        match outage {
            true => self.door.shut(),
            false => self.door.reopen(),
        }
    }

    /// Requests so far.
    pub fn requests(&self) -> u64 {
        self.contents().requests
    }
}

impl Drop for MachineListServer {
    fn drop(&mut self) {
        self.door.stop();
    }
}

fn locked(contents: &Mutex<Contents>) -> MutexGuard<'_, Contents> {
    contents.lock().expect("a holder of the list lock panicked")
}

fn handle(contents: &Mutex<Contents>, request: &Request) -> Reply {
    if request.path != PATH {
        return Reply::json(NOT_FOUND, "{}".into());
    }
    let slowness = {
        let mut contents = locked(contents);
        contents.requests += 1;
        contents.slowness
    };
    thread::sleep(slowness);
    let mut contents = locked(contents);
    if contents.outage {
        return Reply::Reset;
    }
    let told = contents.told(Instant::now());
    Reply::ok(serde_json::json!(told))
}
