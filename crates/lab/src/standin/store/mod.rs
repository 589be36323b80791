//! The platform's store: etcd's v3 HTTP/JSON gateway over a map in memory.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tiny_http::{Request, Response, Server};

/// Longest time a watch stays open without an event.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Entry {
    value: String,
    created: u64,
    modified: u64,
}

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    /// Keys and values as the gateway carries them, decoded keys.
    entries: BTreeMap<Vec<u8>, Entry>,
}

#[derive(Debug, Default)]
struct Shared {
    contents: Mutex<Contents>,
    written: Condvar,
}

/// A running store.
pub struct PlatformStore {
    /// Where it listens.
    pub address: SocketAddr,
    server: Arc<Server>,
}

impl PlatformStore {
    /// Starts a store on a port that the system chooses.
    pub fn start() -> std::io::Result<Self> {
        let server = Server::http("127.0.0.1:0").map_err(std::io::Error::other)?;
        let server = Arc::new(server);
        let address = server.server_addr().to_ip().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
        let shared = Arc::new(Shared {
            contents: Mutex::new(Contents { revision: 1, ..Contents::default() }),
            ..Shared::default()
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for request in accepting.incoming_requests() {
                let shared = shared.clone();
                thread::spawn(move || handle(request, &shared));
            }
        });
        Ok(Self { address, server })
    }

    /// Its endpoint, as clients are configured with it.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for PlatformStore {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

fn handle(mut request: Request, shared: &Shared) {
    let mut text = String::new();
    let body: Value = match request.as_reader().read_to_string(&mut text) {
        Ok(_) => serde_json::from_str(&text).unwrap_or(Value::Null),
        Err(_) => return,
    };
    let answer = match request.url() {
        "/v3/kv/range" => shared.range(&body),
        "/v3/kv/txn" => shared.transaction(&body),
        "/v3/watch" => return watch(request, shared, &body),
        _ => None,
    };
    let response = match answer {
        Some(answer) => Response::from_string(answer.to_string()),
        None => {
            Response::from_string("{\"code\":3,\"message\":\"bad request\"}").with_status_code(400)
        }
    };
    // A client that went away before its answer is part of what the stand-in stands for.
    let _ = request.respond(response);
}

fn bytes_of(value: &Value, field: &str) -> Option<Vec<u8>> {
    STANDARD.decode(value.get(field)?.as_str()?).ok()
}

fn number_of(value: &Value, field: &str) -> Option<u64> {
    match value.get(field)? {
        Value::String(text) => text.parse().ok(),
        other => other.as_u64(),
    }
}

/// Whether `key` lies in the range that a request names.
fn in_range(key: &[u8], start: &[u8], end: Option<&[u8]>) -> bool {
    match end {
        None => key == start,
        Some(end) => key >= start && key < end,
    }
}

impl Contents {
    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    fn put(&mut self, key: Vec<u8>, value: String, revision: u64) {
        let created = self.entries.get(&key).map_or(revision, |entry| entry.created);
        self.entries.insert(key, Entry { value, created, modified: revision });
    }
}

fn describe(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": entry.value,
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
    })
}

impl Shared {
    fn range(&self, body: &Value) -> Option<Value> {
        let start = bytes_of(body, "key")?;
        let end = bytes_of(body, "range_end");
        let contents = self.contents.lock().ok()?;
        let found: Vec<Value> = contents
            .entries
            .iter()
            .filter(|(key, _)| in_range(key, &start, end.as_deref()))
            .map(|(key, entry)| describe(key, entry))
            .collect();
        let count = found.len().to_string();
        Some(json!({ "header": contents.header(), "kvs": found, "count": count }))
    }

    fn transaction(&self, body: &Value) -> Option<Value> {
        let mut contents = self.contents.lock().ok()?;
        let mut succeeded = true;
        for compare in body.get("compare")?.as_array()? {
            let key = bytes_of(compare, "key")?;
            let expected = number_of(compare, "mod_revision")?;
            succeeded &= contents.entries.get(&key).map_or(0, |entry| entry.modified) == expected;
        }
        let branch = if succeeded { "success" } else { "failure" };
        let operations = body.get(branch).and_then(Value::as_array).cloned().unwrap_or_default();
        let revision = contents.revision + 1;
        for operation in &operations {
            let put = operation.get("request_put")?;
            let value = put.get("value")?.as_str()?.to_owned();
            contents.put(bytes_of(put, "key")?, value, revision);
            contents.revision = revision;
        }
        self.written.notify_all();
        Some(json!({ "header": contents.header(), "succeeded": succeeded }))
    }

    /// Waits for keys of the range written at or after `from`.
    fn wait(&self, start: &[u8], end: Option<&[u8]>, from: u64) -> Option<Value> {
        let contents = self.contents.lock().ok()?;
        let found = |contents: &Contents| -> Vec<Value> {
            contents
                .entries
                .iter()
                .filter(|(key, entry)| in_range(key, start, end) && entry.modified >= from)
                .map(|(key, entry)| json!({ "kv": describe(key, entry) }))
                .collect()
        };
        let (contents, _) = self
            .written
            .wait_timeout_while(contents, WATCH_LIMIT, |contents| found(contents).is_empty())
            .ok()?;
        let events = found(&contents);
        (!events.is_empty())
            .then(|| json!({ "result": { "header": contents.header(), "events": events } }))
    }
}

/// Answers a watch: a `created` message at once, then one message with events.
fn watch(request: Request, shared: &Shared, body: &Value) {
    let Some(create) = body.get("create_request") else { return };
    let Some(start) = bytes_of(create, "key") else { return };
    let end = bytes_of(create, "range_end");
    let from = number_of(create, "start_revision").unwrap_or(0);
    let mut stream = request.into_writer();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    let created = json!({ "result": { "created": true } });
    let opened =
        stream.write_all(head.as_bytes()).and_then(|()| write_chunk(&mut stream, &created));
    if opened.is_err() {
        return;
    }
    if let Some(events) = shared.wait(&start, end.as_deref(), from) {
        // A watcher that went away misses the event, as it would with the real service.
        let _ = write_chunk(&mut stream, &events);
    }
    let _ = stream.write_all(b"0\r\n\r\n").and_then(|()| stream.flush());
}

fn write_chunk(stream: &mut impl Write, message: &Value) -> std::io::Result<()> {
    let line = format!("{message}\n");
    write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
    stream.flush()
}
