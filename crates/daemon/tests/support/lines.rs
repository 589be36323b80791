//! A node whose clients speak the line protocol, and such a client. No instance runs: the node
//! answers settings and unknown prepared statements by itself.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::credential::CredentialDigest;
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_daemon::environment::Environment;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use kestrellock_platform::lines::LineProtocol;
use kestrellock_protocol::Protocol;
use kestrellock_protocol::backend::BackendTarget;
use kestrellock_store::store::{
    ConfigStore, KeyValue, Snapshot, StoreError, Transaction, TransactionOutcome, Watch, WatchEvent,
};
use serde_json::{Value, json};

use super::{WAIT_TIMEOUT, wait_until};

const WATCH_INTERVAL: Duration = Duration::from_millis(5);
/// The credential with which clients log in.
const CREDENTIAL: &str = "fan i0";

/// The line, with its end, with which a client logs in to `database` with [`CREDENTIAL`]. A client
/// logs in in the same way as a proxy does at an instance.
pub fn login_line(database: &str) -> String {
    let (account, instance) = (AccountName::new("fan"), InstanceName::new("i0"));
    let target = BackendTarget {
        group: &GroupName::new("g"),
        instance: &instance,
        database,
        account: Some(&account),
        user: "",
        password: None,
    };
    let mut line = BytesMut::new();
    LineProtocol.backend().put_startup(&target, &mut line);
    String::from_utf8_lossy(&line).into_owned()
}

/// Keys of the configuration and their values.
type Entries = Vec<(String, Value)>;

/// A store whose content a test changes: its revision and entries.
#[derive(Clone, Default)]
pub struct ChangingStore(Arc<Mutex<(u64, Entries)>>);

impl ChangingStore {
    /// Replaces the content.
    pub fn set(&self, entries: Entries) {
        let mut content = self.0.lock().expect("the store's lock");
        *content = (content.0 + 1, entries);
    }

    fn revision(&self) -> u64 {
        self.0.lock().expect("the store's lock").0
    }
}

impl ConfigStore for ChangingStore {
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let (revision, content) = self.0.lock().expect("the store's lock").clone();
        let entries = content.into_iter().map(|(key, value)| KeyValue {
            key: format!("/kestrellock/{key}"),
            value: value.to_string().into_bytes(),
            mod_revision: revision,
        });
        let entries = entries.filter(|entry| entry.key.starts_with(prefix)).collect();
        Ok(Snapshot { revision, entries })
    }

    fn compare_and_swap(
        &self,
        _: &str,
        _: u64,
        _: &[u8],
    ) -> Result<TransactionOutcome, StoreError> {
        Ok(TransactionOutcome::Conflict)
    }

    fn commit(&self, _: &Transaction) -> Result<TransactionOutcome, StoreError> {
        Ok(TransactionOutcome::Conflict)
    }

    fn watch(&self, _: &str, from: u64) -> Result<Box<dyn Watch>, StoreError> {
        Ok(Box::new(ChangingWatch { store: self.clone(), from }))
    }
}

struct ChangingWatch {
    store: ChangingStore,
    from: u64,
}

impl Watch for ChangingWatch {
    fn next(&mut self, limit: Duration) -> Result<WatchEvent, StoreError> {
        let deadline = Instant::now() + limit;
        while self.store.revision() < self.from {
            if Instant::now() >= deadline {
                return Ok(WatchEvent::TimedOut);
            }
            thread::sleep(WATCH_INTERVAL);
        }
        Ok(WatchEvent::Changed(self.store.revision()))
    }
}

/// A configuration that knows the credentials `known`.
fn configuration(known: &[&str]) -> Entries {
    let digests: Vec<String> =
        known.iter().map(|key| CredentialDigest::of(key).to_string()).collect();
    let instance = json!({
        "name": "i0", "zone": "a", "address": "127.0.0.1:1", "slots": 4, "connections": 20,
    });
    let values = [
        ("groups/g", json!({ "database": "db", "user": "kestrellock", "instances": [instance] })),
        (
            "templates/t",
            json!({
                "groups": ["g"], "max_staleness_ms": 60_000, "capacity": 10, "deadline_ms": 5_000,
            }),
        ),
        (
            "tenants/fan",
            json!({ "template": "t", "open_databases": ["db"], "needs_credential": true }),
        ),
        ("accounts/fan", json!({ "credentials": digests })),
    ];
    values.map(|(key, value)| (key.to_owned(), value)).to_vec()
}

/// A node whose clients speak the line protocol.
pub struct LineNode {
    pub node: Option<Node>,
    pub address: SocketAddr,
    store: ChangingStore,
}

impl LineNode {
    /// Starts a node that knows the credential of [`LineClient::connect`].
    pub fn start(change: impl FnOnce(&mut Settings)) -> Self {
        Self::start_with(Arc::new(LineProtocol), change)
    }

    /// Starts such a node with another implementation of the protocol.
    pub fn start_with(protocol: Arc<dyn Protocol>, change: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = Settings::loopback(NodeName::new("n"), ZoneName::new("a"));
        change(&mut settings);
        let listeners = Listeners::bind(&mut settings).expect("free ports");
        let store = ChangingStore::default();
        store.set(configuration(&[CREDENTIAL]));
        let environment = Environment {
            store: Arc::new(store.clone()),
            catalog: None,
            machine_list: None,
            replacement: None,
            protocol,
        };
        let address = settings.caller_address;
        let node = Node::start_in(&settings, listeners, environment, Policy::Standard);
        Self { node: Some(node.expect("it starts")), address, store }
    }

    /// Takes the credential of all clients away.
    pub fn revoke(&self) {
        self.store.set(configuration(&[]));
    }

    /// The running node.
    pub fn node(&self) -> &Node {
        self.node.as_ref().expect("it runs")
    }
}

impl Drop for LineNode {
    fn drop(&mut self) {
        self.node.take().into_iter().for_each(Node::kill);
    }
}

/// A client of the line protocol.
pub struct LineClient {
    reader: BufReader<TcpStream>,
}

impl LineClient {
    /// Opens a connection without a login.
    pub fn open(address: SocketAddr) -> Self {
        Self::of(TcpStream::connect(address).expect("a connection"))
    }

    /// A client on a connection, without a login.
    pub fn of(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
        Self { reader: BufReader::new(stream) }
    }

    /// Logs in; retries until the node has its configuration.
    pub fn connect(address: SocketAddr) -> Self {
        let mut connected = None;
        wait_until("a login", || {
            let mut client = Self::open(address);
            client.send_bytes(login_line("db").as_bytes());
            let accepted = client.line().is_ok_and(|line| line.starts_with("READY"));
            connected = accepted.then_some(client);
            connected.is_some()
        });
        connected.expect("a login")
    }

    /// Sends one line.
    pub fn send(&mut self, line: &str) {
        self.send_bytes(format!("{line}\r\n").as_bytes());
    }

    /// Sends bytes.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).expect("the connection is open");
    }

    /// Sends text, unless the node has closed the connection.
    pub fn try_send(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    /// A second handle of the connection, to send while answers are not read.
    pub fn sender(&self) -> TcpStream {
        self.reader.get_ref().try_clone().expect("a second handle")
    }

    /// The next line, without its end; empty at the end of the stream.
    pub fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        Ok(line.trim_end().to_owned())
    }

    /// All lines until the node closes the connection, and how it does so.
    pub fn lines_to_close(&mut self) -> (Vec<String>, io::Result<()>) {
        let mut lines = Vec::new();
        loop {
            match self.line() {
                Ok(line) if line.is_empty() => return (lines, Ok(())),
                Ok(line) => lines.push(line),
                Err(error) => return (lines, Err(error)),
            }
        }
    }
}
