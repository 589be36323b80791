//! The platform's store: keys, ranges, watches, conditional changes and leases over HTTP/1.1, as
//! the protocol page describes them.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: revision, key, and the item that was written, if it was not removed.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    /// Ends the leases whose time is over, and removes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

#[derive(Default)]
struct Shared {
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    /// Where it listens.
    pub address: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "privateKey": key,
        "value": item.value,
        "revision": item.revision,
        "createRev": item.created,
        "leaseId": item.lease,
    })
}

impl Store {
    /// Starts a store without keys.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let store = Self { shared: Arc::default(), address };
        // A counter of revisions begins above 0.
        store.shared.lock().revision = 100;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || serve(stream, |request| store.answer(request)));
            }
        });
        Ok(store)
    }

    /// Writes a key, as the operator and the instances do.
    pub fn put(&self, key: &str, value: &Value) {
        let mut contents = self.shared.lock();
        contents.revision += 1;
        contents.put(key, STANDARD.encode(value.to_string()), 0);
        drop(contents);
        self.shared.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        self.shared.lock().expire();
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/v1/kv-key") => self.key(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.change(&request.body),
            ("POST", "/v1/kv-lease") => self.lease(&request.body),
            ("POST", _) if path.starts_with("/v1/kv-keep/") => self.keep(path),
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => self.end(path),
            _ => (404, json!({ "error": "no such call" })),
        }
    }

    fn key(&self, request: &Request) -> (u16, Value) {
        let contents = self.shared.lock();
        let key = request.field("privateKey").unwrap_or_default();
        match contents.items.get(&key) {
            Some(item) => {
                let mut found = item_json(&key, item);
                found["atRev"] = json!(contents.revision);
                (200, found)
            }
            None => (404, json!({ "atRev": contents.revision })),
        }
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let contents = self.shared.lock();
        let prefix = request.field("pathPrefix").unwrap_or_default();
        let after = request.field("after").unwrap_or_default();
        let found = contents
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
        let items: Vec<Value> = found.take(500).map(|(key, item)| item_json(key, item)).collect();
        let last = items.last().and_then(|item| item["privateKey"].as_str()).unwrap_or_default();
        let more = items.len() == 500
            && contents.items.keys().any(|key| key.starts_with(&prefix) && key.as_str() > last);
        (200, json!({ "items": items, "more": more, "atRev": contents.revision }))
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let prefix = request.field("pathPrefix").unwrap_or_default();
        let number = |name| request.field(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let end = Instant::now() + wait;
        let mut contents = self.shared.lock();
        loop {
            contents.expire();
            let events: Vec<Value> = contents
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => json!({ "privateKey": key, "revision": revision, "gone": true }),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return (200, json!({ "events": events, "atRev": contents.revision }));
            }
            let pause = (end - now).min(Duration::from_millis(50));
            let waited = self.shared.changed.wait_timeout(contents, pause);
            contents = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn change(&self, body: &Value) -> (u16, Value) {
        let mut contents = self.shared.lock();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value, name: &str| value[name].as_str().unwrap_or_default().to_owned();
        let conditions = rows("expectedRev");
        let holds = conditions.iter().all(|row| {
            let found = contents.items.get(&text(row, "privateKey"));
            found.map_or(0, |item| item.revision) == row["revision"].as_u64().unwrap_or(0)
        });
        if !holds {
            let keys = conditions.iter().map(|row| text(row, "privateKey"));
            let items: Vec<Value> =
                keys.filter_map(|key| Some(item_json(&key, contents.items.get(&key)?))).collect();
            return (412, json!({ "items": items }));
        }
        let puts = rows("put");
        let removed: Vec<String> =
            rows("remove").iter().map(|key| key.as_str().unwrap_or_default().to_owned()).collect();
        let written = puts.iter().map(|row| text(row, "privateKey"));
        let foreign = |key: &String| key.starts_with("op/") || key.starts_with("servers/");
        if written.chain(removed.iter().cloned()).any(|key| foreign(&key)) {
            return (403, json!({ "error": "not the system's to write" }));
        }
        let lease_of = |row: &Value| row["leaseId"].as_u64().unwrap_or(0);
        let is_over = |lease: u64| lease != 0 && !contents.leases.contains_key(&lease);
        if puts.iter().any(|row| is_over(lease_of(row))) {
            return (404, json!({ "error": "no such lease" }));
        }
        contents.revision += 1;
        for row in &puts {
            contents.put(&text(row, "privateKey"), text(row, "value"), lease_of(row));
        }
        removed.iter().for_each(|key| contents.remove(key));
        let revision = contents.revision;
        drop(contents);
        self.shared.changed.notify_all();
        (200, json!({ "revision": revision }))
    }

    fn lease(&self, body: &Value) -> (u16, Value) {
        let mut contents = self.shared.lock();
        let ttl_ms = body["ttlMs"].as_u64().unwrap_or(0).clamp(1_000, 600_000);
        contents.next_lease += 1;
        let id = 77_000 + contents.next_lease;
        let ttl = Duration::from_millis(ttl_ms);
        contents.leases.insert(id, (ttl, Instant::now() + ttl));
        (200, json!({ "leaseId": id, "ttlMs": ttl_ms }))
    }

    fn keep(&self, path: &str) -> (u16, Value) {
        let mut contents = self.shared.lock();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match contents.leases.get_mut(&id) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, json!({ "ttlMs": ttl.as_millis() as u64 }))
            }
            None => (404, json!({ "error": "the lease is over" })),
        }
    }

    fn end(&self, path: &str) -> (u16, Value) {
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        self.shared.lock().end_lease(id);
        self.shared.changed.notify_all();
        (200, json!({}))
    }
}

/// A request over HTTP.
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path, without the query.
    pub path: String,
    query: Vec<(String, String)>,
    /// Its body; null without one.
    pub body: Value,
}

impl Request {
    fn field(&self, name: &str) -> Option<String> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.clone())
    }
}

/// Serves the requests of one connection until it closes.
pub fn serve(stream: TcpStream, mut answer: impl FnMut(&Request) -> (u16, Value)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let (status, body) = answer(&request);
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if output.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        input.read_line(&mut header).ok()?;
        let header = header.trim();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((target.as_str(), ""));
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let query = fields.map(|(name, value)| (decoded(name), decoded(value))).collect();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some(Request { method, path: path.to_owned(), query, body })
}

/// Text without its percent signs.
fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, behind)) = rest.split_first() {
        let hexadecimal = behind.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = hexadecimal.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &behind[2..];
            }
            (b'+', _) => {
                bytes.push(b' ');
                rest = behind;
            }
            (other, _) => {
                bytes.push(*other);
                rest = behind;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
