//! Clients that write through the nodes, and what they were told.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::check::statements::record::RouteKind;
use crate::platform::client::LineSession;
use crate::platform::client_record::ClientRecord;

/// Time between two writes of a client.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a client gives a write up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A write that was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcknowledgedWrite {
    /// Id of its statement.
    pub id: String,
    /// Number of the node through which it was written.
    pub node: usize,
    /// When its client began to send it.
    pub begun: Instant,
    /// When its client received the answer.
    pub acknowledged: Instant,
}

/// What all clients have done so far.
#[derive(Clone, Debug, Default)]
pub struct WriteHistory {
    /// Number of writes that were tried, including those for which no session could be opened.
    pub tried: usize,
    /// The writes that were acknowledged, in the order of their answers.
    pub acknowledged: Vec<AcknowledgedWrite>,
}

impl WriteHistory {
    /// The longest time between `begin` and `end` without an acknowledged write.
    pub fn longest_gap(&self, begin: Instant, end: Instant) -> Duration {
        let times = self.acknowledged.iter().map(|write| write.acknowledged);
        let mut times: Vec<Instant> = times.filter(|at| (begin..end).contains(at)).collect();
        times.sort();
        let starts = [begin].into_iter().chain(times.iter().copied());
        let ends = times.iter().copied().chain([end]);
        starts.zip(ends).map(|(start, end)| end - start).max().unwrap_or_default()
    }
}

#[derive(Default)]
struct Shared {
    history: Mutex<WriteHistory>,
    stop: AtomicBool,
}

impl Shared {
    fn history(&self) -> MutexGuard<'_, WriteHistory> {
        self.history.lock().expect("a holder of the history's lock panicked")
    }
}

/// Clients that write until this value is dropped. Each begins at another node, and goes on to the
/// next one if it cannot open a session.
pub struct Writers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    /// Starts a client for each of `addresses` and records what it sends in `record`.
    pub fn start(addresses: &[SocketAddr], database: &str, record: &Arc<ClientRecord>) -> Self {
        let shared = Arc::new(Shared::default());
        let threads = (0..addresses.len()).map(|number| {
            let mut client = Client {
                shared: shared.clone(),
                record: record.clone(),
                number,
                addresses: addresses.to_vec(),
                node: number,
                database: database.to_owned(),
                session: None,
                sessions: 0,
            };
            thread::spawn(move || client.run())
        });
        let threads = threads.collect();
        Self { shared, threads }
    }

    /// What the clients have done so far.
    pub fn history(&self) -> WriteHistory {
        self.shared.history().clone()
    }
}

impl Drop for Writers {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            // The panic hook has already reported a panic of this thread.
            let _ = thread.join();
        }
    }
}

struct Client {
    shared: Arc<Shared>,
    record: Arc<ClientRecord>,
    number: usize,
    addresses: Vec<SocketAddr>,
    /// Number of the node that it uses.
    node: usize,
    database: String,
    session: Option<LineSession>,
    /// Number of sessions opened so far.
    sessions: usize,
}

impl Client {
    fn run(&mut self) {
        while !self.shared.stop.load(Ordering::Acquire) {
            self.shared.history().tried += 1;
            let begun = Instant::now();
            if let Some(id) = self.write() {
                let (node, acknowledged) = (self.node, Instant::now());
                let write = AcknowledgedWrite { id, node, begun, acknowledged };
                self.shared.history().acknowledged.push(write);
            }
            thread::sleep(WRITE_INTERVAL);
        }
    }

    /// Writes once. Returns the statement's id if it was acknowledged.
    fn write(&mut self) -> Option<String> {
        let mut session = match self.session.take() {
            Some(session) => session,
            None => match self.open() {
                Some(session) => session,
                None => {
                    self.node = (self.node + 1) % self.addresses.len();
                    return None;
                }
            },
        };
        let id = session.next_statement_id();
        let answer = session.run(&format!("WRITE thing{} {id}", self.number)).ok()?;
        self.session = Some(session);
        answer.is_success().then_some(id)
    }

    fn open(&mut self) -> Option<LineSession> {
        self.sessions += 1;
        let name = format!("{}-c{}s{}", self.database, self.number, self.sessions);
        let stream = TcpStream::connect(self.addresses[self.node]).ok()?;
        let session = LineSession::open_on(stream, ANSWER_TIMEOUT, &self.database, &name).ok()?;
        Some(session.recorded_by(self.record.session(&name, RouteKind::Primary)))
    }
}
