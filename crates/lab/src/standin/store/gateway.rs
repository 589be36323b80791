//! JSON API of etcd's v3 gateway: executes requests on the contents and encodes the responses.

use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::contents::{Contents, Entry, Event, KeyRange};

const COMPACTED: &str = "etcdserver: mvcc: required revision has been compacted";
const FUTURE: &str = "etcdserver: mvcc: required revision is a future revision";

/// An error response of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayError {
    /// HTTP status.
    pub status: u16,
    /// gRPC status code.
    pub code: u16,
    /// Message.
    pub message: &'static str,
}

impl GatewayError {
    /// The request cannot be parsed.
    pub const MALFORMED: Self = Self { status: 400, code: 3, message: "malformed request" };
    /// The path is not supported.
    pub const UNKNOWN: Self = Self { status: 404, code: 5, message: "Not Found" };
    /// The request exceeds the rate limit.
    pub const RATE: Self = Self { status: 429, code: 8, message: "etcdserver: too many requests" };
    const NO_LEASE: Self =
        Self { status: 404, code: 5, message: "etcdserver: requested lease not found" };
    const LEASE_EXISTS: Self =
        Self { status: 400, code: 9, message: "etcdserver: lease already exists" };
    const OLD_REVISION: Self = Self { status: 400, code: 11, message: COMPACTED };
    const FUTURE_REVISION: Self = Self { status: 400, code: 11, message: FUTURE };

    /// Body of the response.
    pub fn body(&self) -> String {
        json!({ "error": self.message, "code": self.code, "message": self.message }).to_string()
    }
}

type GatewayResult = Result<Value, GatewayError>;

/// Looks up a field by its name in snake case, as published, or in camel case, as some clients
/// send it.
fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    value.get(name).or_else(|| {
        let mut parts = name.split('_');
        let mut camel = parts.next()?.to_owned();
        for part in parts {
            camel.push_str(&part[..1].to_uppercase());
            camel.push_str(&part[1..]);
        }
        value.get(camel)
    })
}

fn bytes(value: &Value, name: &str) -> Result<Option<Vec<u8>>, GatewayError> {
    let Some(text) = field(value, name).and_then(Value::as_str) else { return Ok(None) };
    STANDARD.decode(text).map(Some).map_err(|_| GatewayError::MALFORMED)
}

fn number(value: &Value, name: &str) -> u64 {
    match field(value, name) {
        Some(Value::String(text)) => text.parse().unwrap_or(0),
        Some(other) => other.as_u64().unwrap_or(0),
        None => 0,
    }
}

fn flag(value: &Value, name: &str) -> bool {
    field(value, name).and_then(Value::as_bool).unwrap_or(false)
}

/// Parses the key range of a request.
pub fn key_range(value: &Value) -> Result<KeyRange, GatewayError> {
    let start = bytes(value, "key")?.ok_or(GatewayError::MALFORMED)?;
    Ok(KeyRange { start, end: bytes(value, "range_end")? })
}

fn header(contents: &Contents) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": contents.revision.to_string(), "raft_term": "1" })
}

fn key_value_json(key: &[u8], entry: &Entry) -> Value {
    let mut described = json!({
        "key": STANDARD.encode(key),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
        "version": entry.version.to_string(),
        "value": STANDARD.encode(&entry.value),
    });
    if entry.lease != 0 {
        described["lease"] = json!(entry.lease.to_string());
    }
    described
}

/// Encodes an event of a watch.
pub fn event_json(event: &Event, with_previous: bool) -> Value {
    let mut described = match &event.entry {
        Some(entry) => json!({ "kv": key_value_json(&event.key, entry) }),
        None => json!({
            "type": "DELETE",
            "kv": { "key": STANDARD.encode(&event.key), "mod_revision": event.revision.to_string() },
        }),
    };
    if let Some(previous) = event.previous.as_ref().filter(|_| with_previous) {
        described["prev_kv"] = key_value_json(&event.key, previous);
    }
    described
}

/// A request to create a watch.
#[derive(Clone, Debug)]
pub struct WatchRequest {
    /// Keys to watch.
    pub range: KeyRange,
    /// First revision to send; zero for future changes only.
    pub start: u64,
    /// Whether events include the previous entry.
    pub with_previous: bool,
}

/// Parses a watch request.
pub fn watch_request(body: &Value) -> Result<WatchRequest, GatewayError> {
    let create = field(body, "create_request").ok_or(GatewayError::MALFORMED)?;
    Ok(WatchRequest {
        range: key_range(create)?,
        start: number(create, "start_revision"),
        with_previous: flag(create, "prev_kv"),
    })
}

/// The first message of a watch.
pub fn watch_created(contents: &Contents) -> Value {
    json!({ "result": { "header": header(contents), "created": true } })
}

/// The only message of a watch whose start revision is compacted.
pub fn watch_compacted(contents: &Contents) -> Value {
    json!({ "result": {
        "header": header(contents),
        "created": true,
        "canceled": true,
        "compact_revision": contents.compacted.to_string(),
        "cancel_reason": COMPACTED,
    } })
}

/// A watch message with events.
pub fn watch_events(contents: &Contents, events: &[Event], with_previous: bool) -> Value {
    let events: Vec<Value> = events.iter().map(|event| event_json(event, with_previous)).collect();
    json!({ "result": { "header": header(contents), "events": events } })
}

/// Whether requests to a path may change the contents.
pub fn is_change(path: &str) -> bool {
    !matches!(path, "/v3/kv/range" | "/v3/watch" | "/v3/lease/timetolive")
}

/// Handles a request that is not a watch.
pub fn handle(contents: &mut Contents, path: &str, body: &Value, now: Instant) -> GatewayResult {
    match path {
        "/v3/kv/range" => range(contents, body),
        "/v3/kv/put" => {
            let revision = contents.revision + 1;
            put(contents, body, revision)
        }
        "/v3/kv/deleterange" => {
            let revision = contents.revision + 1;
            delete(contents, body, revision)
        }
        "/v3/kv/txn" => transaction(contents, body),
        "/v3/kv/compaction" => compact(contents, body),
        "/v3/lease/grant" => grant(contents, body, now),
        "/v3/lease/keepalive" => keep_alive(contents, body, now),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => match contents.revoke(number(body, "ID")) {
            true => Ok(json!({ "header": header(contents) })),
            false => Err(GatewayError::NO_LEASE),
        },
        "/v3/lease/timetolive" => {
            let remaining = contents.remaining_time(number(body, "ID"), now);
            let remaining =
                remaining.map_or("-1".to_owned(), |remaining| remaining.as_secs().to_string());
            Ok(
                json!({ "header": header(contents), "ID": number(body, "ID").to_string(), "TTL": remaining }),
            )
        }
        "/v3/maintenance/status" => Ok(json!({ "header": header(contents), "version": "3.5.0" })),
        _ => Err(GatewayError::UNKNOWN),
    }
}

fn range(contents: &Contents, body: &Value) -> GatewayResult {
    let at = number(body, "revision");
    if at > contents.revision {
        return Err(GatewayError::FUTURE_REVISION);
    }
    if at != 0 && at < contents.compacted {
        return Err(GatewayError::OLD_REVISION);
    }
    let found = contents.range(&key_range(body)?, Some(at));
    let count = found.len();
    let limit = match number(body, "limit") {
        0 => count,
        limit => limit as usize,
    };
    let mut response = json!({ "header": header(contents), "count": count.to_string() });
    if flag(body, "count_only") {
        return Ok(response);
    }
    let described: Vec<Value> =
        found.iter().take(limit).map(|(key, entry)| key_value_json(key, entry)).collect();
    response["kvs"] = json!(described);
    if limit < count {
        response["more"] = json!(true);
    }
    Ok(response)
}

fn put(contents: &mut Contents, body: &Value, revision: u64) -> GatewayResult {
    let key = bytes(body, "key")?.ok_or(GatewayError::MALFORMED)?;
    let value = bytes(body, "value")?.unwrap_or_default();
    let previous = contents.get(&key).map(|entry| key_value_json(&key, entry));
    if !contents.put(key, value, number(body, "lease"), revision) {
        return Err(GatewayError::NO_LEASE);
    }
    let mut response = json!({ "header": header(contents) });
    if let Some(previous) = previous.filter(|_| flag(body, "prev_kv")) {
        response["prev_kv"] = previous;
    }
    Ok(response)
}

fn delete(contents: &mut Contents, body: &Value, revision: u64) -> GatewayResult {
    let deleted = contents.delete(&key_range(body)?, revision);
    Ok(json!({ "header": header(contents), "deleted": deleted.to_string() }))
}

fn transaction(contents: &mut Contents, body: &Value) -> GatewayResult {
    let empty = Vec::new();
    let list = |name: &str| field(body, name).and_then(Value::as_array).unwrap_or(&empty);
    let mut succeeded = true;
    for compare in list("compare") {
        succeeded &= comparison_holds(contents, compare)?;
    }
    let operations = list(if succeeded { "success" } else { "failure" });
    check_operations(contents, operations)?;
    let revision = contents.revision + 1;
    let mut responses = Vec::with_capacity(operations.len());
    for operation in operations {
        responses.push(execute_operation(contents, operation, revision)?);
    }
    Ok(json!({ "header": header(contents), "succeeded": succeeded, "responses": responses }))
}

/// Validates all operations of a transaction before any of them takes effect.
fn check_operations(contents: &Contents, operations: &[Value]) -> Result<(), GatewayError> {
    for operation in operations {
        let request = ["request_put", "request_range", "request_delete_range"]
            .iter()
            .find_map(|name| field(operation, name))
            .ok_or(GatewayError::MALFORMED)?;
        key_range(request)?;
        bytes(request, "value")?;
        let lease = number(request, "lease");
        if lease != 0 && contents.remaining_time(lease, Instant::now()).is_none() {
            return Err(GatewayError::NO_LEASE);
        }
    }
    Ok(())
}

fn execute_operation(contents: &mut Contents, operation: &Value, revision: u64) -> GatewayResult {
    if let Some(request) = field(operation, "request_put") {
        return Ok(json!({ "response_put": put(contents, request, revision)? }));
    }
    if let Some(request) = field(operation, "request_delete_range") {
        return Ok(json!({ "response_delete_range": delete(contents, request, revision)? }));
    }
    let request = field(operation, "request_range").ok_or(GatewayError::MALFORMED)?;
    Ok(json!({ "response_range": range(contents, request)? }))
}

fn comparison_holds(contents: &Contents, compare: &Value) -> Result<bool, GatewayError> {
    let key = bytes(compare, "key")?.ok_or(GatewayError::MALFORMED)?;
    let entry = contents.get(&key);
    let target = field(compare, "target").and_then(Value::as_str).unwrap_or("VERSION");
    let ordering = match target {
        "MOD" => entry.map_or(0, |entry| entry.modified).cmp(&number(compare, "mod_revision")),
        "CREATE" => entry.map_or(0, |entry| entry.created).cmp(&number(compare, "create_revision")),
        "VERSION" => entry.map_or(0, |entry| entry.version).cmp(&number(compare, "version")),
        "LEASE" => entry.map_or(0, |entry| entry.lease).cmp(&number(compare, "lease")),
        "VALUE" => match entry {
            Some(entry) => entry.value.cmp(&bytes(compare, "value")?.unwrap_or_default()),
            None => return Ok(false),
        },
        _ => return Err(GatewayError::MALFORMED),
    };
    match field(compare, "result").and_then(Value::as_str).unwrap_or("EQUAL") {
        "EQUAL" => Ok(ordering.is_eq()),
        "GREATER" => Ok(ordering.is_gt()),
        "LESS" => Ok(ordering.is_lt()),
        "NOT_EQUAL" => Ok(ordering.is_ne()),
        _ => Err(GatewayError::MALFORMED),
    }
}

fn compact(contents: &mut Contents, body: &Value) -> GatewayResult {
    let revision = number(body, "revision");
    if revision > contents.revision {
        return Err(GatewayError::FUTURE_REVISION);
    }
    match contents.compact(revision) {
        true => Ok(json!({ "header": header(contents) })),
        false => Err(GatewayError::OLD_REVISION),
    }
}

fn grant(contents: &mut Contents, body: &Value, now: Instant) -> GatewayResult {
    let seconds = number(body, "TTL").max(1);
    let granted = contents.grant(number(body, "ID"), Duration::from_secs(seconds), now);
    let number = granted.ok_or(GatewayError::LEASE_EXISTS)?;
    Ok(json!({ "header": header(contents), "ID": number.to_string(), "TTL": seconds.to_string() }))
}

fn keep_alive(contents: &mut Contents, body: &Value, now: Instant) -> GatewayResult {
    let id = number(body, "ID");
    let lifetime = contents.keep_alive(id, now).unwrap_or_default();
    Ok(json!({ "result": {
        "header": header(contents), "ID": id.to_string(), "TTL": lifetime.as_secs().to_string(),
    } }))
}
