//! Stand-in for the platform's store.
//!
//! It keeps its keys in memory and serves either etcd's v3 HTTP/JSON gateway or the key calls of
//! the users' platform. Tests can inject outages, silence, delays, rate limits, lost responses,
//! broken watches, watches that do not report
//! changes, stale reads and restores of an older snapshot.

pub mod contents;
pub mod faults;
pub mod gateway;
mod key_calls;

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use kestrellock_core::store_era::StoreEra;
use kestrellock_platform::standin::keys::KeyCall;

use self::contents::{Contents, KeyRange};
use self::faults::{Admission, Faults, SilentWatches, StoreCounters, WatchSilence};
use self::gateway::{GatewayError, WatchRequest};
use super::http::{self, Reply, Request};
use super::listener::{Callers, RestartableListener};

/// Interval at which a watch checks whether its client has disconnected.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which expired leases are revoked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The protocol of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// etcd's v3 HTTP/JSON gateway.
    #[default]
    Etcd,
    /// The key calls of the users' platform.
    Platform,
}

#[derive(Debug)]
struct Shared {
    dialect: Dialect,
    contents: Mutex<Contents>,
    changed: Condvar,
    faults: Mutex<Faults>,
    /// Incremented to end all open watches.
    watch_epoch: AtomicU64,
    stopping: AtomicBool,
}

/// A running store.
pub struct PlatformStore {
    /// Address on which it listens.
    pub address: SocketAddr,
    listener: RestartableListener,
    shared: Arc<Shared>,
}

impl PlatformStore {
    /// Starts a store with etcd's protocol on a port chosen by the operating system.
    pub fn start() -> io::Result<Self> {
        Self::start_as(Dialect::Etcd)
    }

    /// Starts a store on a port chosen by the operating system.
    pub fn start_as(dialect: Dialect) -> io::Result<Self> {
        let listener = RestartableListener::bind()?;
        let shared = Arc::new(Shared {
            dialect,
            contents: Mutex::default(),
            changed: Condvar::new(),
            faults: Mutex::new(Faults::new(Instant::now())),
            watch_epoch: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        });
        let handling = shared.clone();
        http::serve(listener.clone(), Arc::new(move |request| handling.clone().handle(request)));
        let expiring = shared.clone();
        thread::spawn(move || expiring.expire_leases());
        Ok(Self { address: listener.address(), listener, shared })
    }

    /// Base URL of the store, for the configuration of clients.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The addresses from which connections were opened so far.
    pub fn callers(&self) -> Callers {
        self.listener.callers()
    }

    /// Limits the requests per second. Requests above the limit fail with status 429.
    pub fn set_rate_limit(&self, limit: Option<u32>) {
        self.shared.faults().set_rate_limit(limit, Instant::now());
    }

    /// Starts an outage, in which connections are refused and all watches end, or ends it.
    pub fn set_outage(&self, outage: bool) {
        if outage {
            self.listener.close();
            self.break_watches();
            self.shared.faults().outage = true;
        } else {
            self.shared.faults().outage = false;
            self.listener.reopen();
        }
    }

    /// Makes the store accept requests without ever responding, or respond to later requests again.
    pub fn set_silent(&self, silent: bool) {
        self.shared.faults().silent = silent;
    }

    /// Sets a delay before each request is handled.
    pub fn set_response_delay(&self, response_delay: Duration) {
        self.shared.faults().response_delay = response_delay;
    }

    /// Loses the responses to the next `count` requests that may change the contents: they take
    /// effect, but their connection is reset instead of a response.
    pub fn lose_next_responses(&self, count: u64) {
        self.shared.faults().responses_to_lose = count;
    }

    /// Ends all open watches.
    pub fn break_watches(&self) {
        self.shared.watch_epoch.fetch_add(1, Ordering::AcqRel);
        self.shared.changed.notify_all();
    }

    /// Makes watches report no changes from now on.
    pub fn silence_watches(&self, silence: WatchSilence) {
        let since = self.revision();
        self.shared.faults().silent_watches = Some(SilentWatches { silence, since });
    }

    /// Makes watches report changes again, also those that were made during the silence.
    pub fn end_watch_silence(&self) {
        self.shared.faults().silent_watches = None;
        self.shared.changed.notify_all();
    }

    /// Drops the history, ends the silence of watches and ends all open watches.
    pub fn forget_history(&self) {
        self.compact();
        self.shared.faults().silent_watches = None;
        self.break_watches();
    }

    /// Answers reads that may be stale with the contents of `snapshot`, or with the current
    /// contents if there is none.
    pub fn set_stale_reads(&self, snapshot: Option<&StoreSnapshot>) {
        let contents = snapshot.map(|snapshot| snapshot.contents.clone());
        self.shared.faults().stale_contents = contents;
    }

    /// Compacts the history before the current revision.
    pub fn compact(&self) {
        let mut contents = self.shared.contents();
        let revision = contents.revision;
        contents.compact(revision);
    }

    /// Takes a snapshot of the contents.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot { contents: self.shared.contents().clone() }
    }

    /// Restores a snapshot: later writes are lost, and their revisions are assigned a second time.
    /// All watches end.
    pub fn restore(&self, snapshot: &StoreSnapshot) {
        self.shared.contents().restore(&snapshot.contents);
        self.break_watches();
    }

    /// Writes a key, as another authorized client would.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.put(key, value);
    }

    /// Removes a key, as another authorized client would.
    pub fn remove(&self, key: &str) {
        self.shared.remove(key);
    }

    /// The current value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.contents().get(key.as_bytes()).map(|entry| entry.value.clone())
    }

    /// A handle that other threads can keep to write keys.
    pub fn writer(&self) -> StoreWriter {
        StoreWriter { shared: self.shared.clone() }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.shared.contents().revision
    }

    /// Its era, which starts at one and increases with each restore.
    pub fn era(&self) -> StoreEra {
        StoreEra(self.shared.contents().era)
    }

    /// Position of the last change, which combines era and revision.
    pub fn position(&self) -> u64 {
        let contents = self.shared.contents();
        let position = StoreEra(contents.era).position(contents.revision);
        position.expect("the revision does not fit into a position")
    }

    /// The request counters.
    pub fn counters(&self) -> StoreCounters {
        self.shared.faults().counters()
    }
}

/// The contents of a store at one moment.
#[derive(Clone, Debug)]
pub struct StoreSnapshot {
    contents: Contents,
}

/// Writes keys of a store from any thread.
#[derive(Clone, Debug)]
pub struct StoreWriter {
    shared: Arc<Shared>,
}

impl StoreWriter {
    /// Writes a key.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.put(key, value);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.remove(key);
    }
}

impl Drop for PlatformStore {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        self.break_watches();
        self.listener.stop();
    }
}

impl Shared {
    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().expect("a holder of the contents lock panicked")
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("a holder of the faults lock panicked")
    }

    fn put(&self, key: &str, value: &[u8]) {
        let mut contents = self.contents();
        let revision = contents.revision + 1;
        contents.put(key.as_bytes().to_vec(), value.to_vec(), 0, revision);
        drop(contents);
        self.changed.notify_all();
    }

    fn remove(&self, key: &str) {
        let mut contents = self.contents();
        let revision = contents.revision + 1;
        contents.delete(&KeyRange { start: key.as_bytes().to_vec(), end: None }, revision);
        drop(contents);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        while !self.stopping.load(Ordering::Acquire) {
            if self.contents().expire(Instant::now()) {
                self.changed.notify_all();
            }
            thread::sleep(LEASE_CHECK_INTERVAL);
        }
    }

    fn handle(self: Arc<Self>, request: Request) -> Reply {
        let call = match self.dialect {
            Dialect::Etcd => None,
            Dialect::Platform => KeyCall::parse(&request.path, &request.body),
        };
        let is_watch = request.path == "/v3/watch" || matches!(call, Some(KeyCall::Watch { .. }));
        let admission = self.faults().admit(is_watch, Instant::now());
        match admission {
            Admission::Silence => return Reply::Silence,
            Admission::Reset => return Reply::Reset,
            Admission::Refuse if self.dialect == Dialect::Platform => {
                return self.rate_limited_reply();
            }
            Admission::Refuse => return refuse(GatewayError::RATE),
            Admission::Handle(delay) if delay.is_zero() => {}
            Admission::Handle(delay) => {
                thread::sleep(delay);
                if self.faults().outage {
                    return Reply::Reset;
                }
            }
        }
        if self.dialect == Dialect::Platform {
            return self.handle_key_call(call);
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return refuse(GatewayError::MALFORMED);
        };
        if is_watch {
            return match gateway::watch_request(&body) {
                Ok(watch) => Reply::Stream(Box::new(move |stream| self.watch(stream, &watch))),
                Err(error) => refuse(error),
            };
        }
        let response = gateway::handle(&mut self.contents(), &request.path, &body, Instant::now());
        self.changed.notify_all();
        match response {
            Err(error) => refuse(error),
            Ok(_) if gateway::is_change(&request.path) && self.faults().loses_response() => {
                Reply::Reset
            }
            Ok(response) => Reply::ok(response),
        }
    }

    fn watch(&self, stream: &mut TcpStream, request: &WatchRequest) -> io::Result<()> {
        let epoch = self.watch_epoch.load(Ordering::Acquire);
        http::begin_chunks(stream)?;
        let (first, mut next) = {
            let contents = self.contents();
            if request.start != 0 && request.start < contents.compacted {
                (gateway::watch_compacted(&contents), None)
            } else {
                let next = if request.start == 0 { contents.revision + 1 } else { request.start };
                (gateway::watch_created(&contents), Some(next))
            }
        };
        http::write_chunk(stream, &first)?;
        while let Some(from) = next {
            let contents = self.contents();
            let events = contents.events(&request.range, from);
            if events.is_empty() || self.faults().silent_watches.is_some() {
                let waited = self.changed.wait_timeout(contents, WATCH_CHECK_INTERVAL);
                drop(waited.expect("a holder of the contents lock panicked"));
            } else {
                let message = gateway::watch_events(&contents, &events, request.with_previous);
                next = events.last().map(|event| event.revision + 1);
                drop(contents);
                http::write_chunk(stream, &message)?;
            }
            if self.watch_epoch.load(Ordering::Acquire) != epoch || is_closed(stream) {
                return Ok(());
            }
        }
        http::end_chunks(stream)
    }
}

fn refuse(error: GatewayError) -> Reply {
    Reply::json(error.status, error.body())
}

/// Whether the client has closed its side.
fn is_closed(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0_u8; 1]));
    // If blocking mode cannot be restored, the stream counts as closed.
    let restored = stream.set_nonblocking(false);
    let is_open = matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
    restored.is_err() || !(is_open || matches!(peeked, Ok(1..)))
}
