//! The platform's stand-ins over HTTP: the store's published protocol and its faults, and the
//! machine list.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use kestrellock_lab::standin::machines::{ListedMachine, ListedState, MachineListServer};
use kestrellock_lab::standin::store::PlatformStore;
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(5);

struct Client {
    endpoint: String,
    agent: ureq::Agent,
}

/// Status and body of an answer.
struct Answer {
    status: u16,
    body: Value,
}

impl Client {
    fn of(endpoint: String) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(PATIENCE))
            .http_status_as_error(false)
            .build();
        Self { endpoint, agent: config.into() }
    }

    fn try_post(&self, path: &str, body: Value) -> Result<Answer, ureq::Error> {
        let mut response = self.agent.post(format!("{}{path}", self.endpoint)).send_json(&body)?;
        let status = response.status().as_u16();
        Ok(Answer { status, body: response.body_mut().read_json()? })
    }

    fn post(&self, path: &str, body: Value) -> Value {
        let answer = self.try_post(path, body).expect("an answer");
        assert_eq!(answer.status, 200, "{path}: {}", answer.body);
        answer.body
    }

    fn put(&self, key: &str, value: &str) -> u64 {
        let answer = self.post("/v3/kv/put", json!({ "key": code(key), "value": code(value) }));
        revision(&answer)
    }

    fn get(&self, key: &str) -> Option<String> {
        let answer = self.post("/v3/kv/range", json!({ "key": code(key) }));
        let value = answer.pointer("/kvs/0/value")?.as_str()?;
        Some(String::from_utf8(STANDARD.decode(value).expect("base64")).expect("text"))
    }

    fn watch(&self, prefix: &str, from: u64) -> impl Iterator<Item = Value> {
        let create = json!({ "create_request": {
            "key": code(prefix), "range_end": code(&end_of(prefix)), "start_revision": from.to_string(),
        } });
        let response = self
            .agent
            .post(format!("{}/v3/watch", self.endpoint))
            .send_json(&create)
            .expect("opens");
        let reader = BufReader::new(response.into_body().into_reader());
        reader.lines().map_while(Result::ok).map(|line| serde_json::from_str(&line).expect("JSON"))
    }
}

fn code(text: &str) -> String {
    STANDARD.encode(text)
}

fn end_of(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    *end.last_mut().expect("not empty") += 1;
    String::from_utf8(end).expect("ASCII")
}

fn revision(answer: &Value) -> u64 {
    let text = answer.pointer("/header/revision").and_then(Value::as_str).expect("a revision");
    text.parse().expect("a number")
}

fn store() -> (PlatformStore, Client) {
    let store = PlatformStore::start().expect("the store starts");
    let client = Client::of(store.endpoint());
    (store, client)
}

fn compare(target: &str, result: &str, name: &str, value: u64) -> Value {
    json!({ "key": code("a"), "target": target, "result": result, name: value.to_string() })
}

#[test]
fn a_transaction_writes_only_if_every_comparison_holds() {
    let (_store, client) = store();
    let created = client.put("a", "one");
    let modified = client.put("a", "two");
    let cases = [
        (compare("MOD", "EQUAL", "mod_revision", modified), true),
        (compare("MOD", "EQUAL", "mod_revision", created), false),
        (compare("MOD", "GREATER", "mod_revision", created), true),
        (compare("MOD", "LESS", "mod_revision", created), false),
        (compare("CREATE", "EQUAL", "create_revision", created), true),
        (compare("CREATE", "NOT_EQUAL", "create_revision", created), false),
        (compare("VERSION", "EQUAL", "version", 2), true),
        (
            json!({ "key": code("a"), "target": "VALUE", "result": "EQUAL", "value": code("two") }),
            true,
        ),
        (
            json!({ "key": code("a"), "target": "VALUE", "result": "EQUAL", "value": code("one") }),
            false,
        ),
    ];
    for (compare, expected) in cases {
        let before = revision(&client.post("/v3/kv/range", json!({ "key": code("a") })));
        let put = |key: &str| json!({ "request_put": { "key": code(key), "value": code("x") } });
        let body = json!({ "compare": [compare], "success": [put("b"), put("c")] });
        let answer = client.post("/v3/kv/txn", body);
        assert_eq!(answer["succeeded"], expected, "{compare}");
        let changes = u64::from(expected);
        assert_eq!(revision(&answer), before + changes, "one revision a transaction: {compare}");
    }
}

#[test]
fn the_failure_branch_reads_what_was_there() {
    let (_store, client) = store();
    client.put("a", "mine");
    let body = json!({
        "compare": [compare("VERSION", "EQUAL", "version", 0)],
        "success": [{ "request_put": { "key": code("a"), "value": code("yours") } }],
        "failure": [{ "request_range": { "key": code("a") } }],
    });
    let answer = client.post("/v3/kv/txn", body);
    let read = answer.pointer("/responses/0/response_range/kvs/0/value").expect("a value");
    assert_eq!(read, &json!(code("mine")));
}

#[test]
fn ranges_have_limits_and_earlier_revisions() {
    let (store, client) = store();
    let first = client.put("k/1", "a");
    client.put("k/2", "b");
    client.put("k/1", "c");
    let range = |extra: Value| {
        let mut body = json!({ "key": code("k/"), "range_end": code("k0") });
        body.as_object_mut().expect("object").extend(extra.as_object().expect("object").clone());
        client.try_post("/v3/kv/range", body).expect("an answer")
    };
    let limited = range(json!({ "limit": 1 })).body;
    assert_eq!((&limited["count"], &limited["more"]), (&json!("2"), &json!(true)));
    let earlier = range(json!({ "revision": first.to_string() })).body;
    assert_eq!(earlier["kvs"].as_array().expect("keys").len(), 1);
    assert_eq!(earlier["kvs"][0]["value"], json!(code("a")));
    assert_eq!(range(json!({ "revision": "999" })).status, 400);
    store.compact();
    assert_eq!(range(json!({ "revision": first.to_string() })).status, 400);
    client.post("/v3/kv/deleterange", json!({ "key": code("k/"), "range_end": code("k0") }));
    assert_eq!(range(json!({})).body["count"], json!("0"));
}

#[test]
fn a_watch_replays_history_and_follows() {
    let (_store, client) = store();
    let first = client.put("k/1", "a");
    client.put("other", "x");
    client.put("k/1", "b");
    let mut watch = client.watch("k/", first);
    assert_eq!(watch.next().expect("a message")["result"]["created"], true);
    let replayed = watch.next().expect("a message");
    let values: Vec<&Value> = replayed["result"]["events"]
        .as_array()
        .expect("events")
        .iter()
        .map(|event| &event["kv"]["value"])
        .collect();
    assert_eq!(values, [&json!(code("a")), &json!(code("b"))]);
    client.post("/v3/kv/deleterange", json!({ "key": code("k/1") }));
    let deleted = watch.next().expect("a message");
    assert_eq!(deleted["result"]["events"][0]["type"], "DELETE");
}

#[test]
fn a_watch_of_compacted_history_is_cancelled_with_the_revision() {
    let (store, client) = store();
    let first = client.put("k/1", "a");
    client.put("k/1", "b");
    store.compact();
    let message = client.watch("k/", first).next().expect("a message");
    assert_eq!(message["result"]["canceled"], true);
    assert_eq!(message["result"]["compact_revision"], json!(store.revision().to_string()));
}

#[test]
fn watches_break_when_told() {
    let (store, client) = store();
    let mut watch = client.watch("k/", 0);
    watch.next().expect("a message");
    store.break_watches();
    assert!(watch.next().is_none());
}

#[test]
fn a_lease_that_runs_out_or_is_revoked_takes_its_keys() {
    let (_store, client) = store();
    let grant = |seconds: u64| {
        let answer = client.post("/v3/lease/grant", json!({ "TTL": seconds }));
        answer["ID"].as_str().expect("a number").to_owned()
    };
    let bind = |key: &str, lease: &str| {
        client.post("/v3/kv/put", json!({ "key": code(key), "value": code("x"), "lease": lease }));
    };
    let (short, long) = (grant(1), grant(600));
    bind("short", &short);
    bind("long", &long);
    let limit = Instant::now() + PATIENCE;
    while client.get("short").is_some() {
        assert!(Instant::now() < limit, "the lease never ran out");
        std::thread::sleep(POLL);
    }
    let kept = client.post("/v3/lease/keepalive", json!({ "ID": short }));
    assert_eq!(kept["result"]["TTL"], "0");
    let kept = client.post("/v3/lease/keepalive", json!({ "ID": long }));
    assert_eq!(kept["result"]["TTL"], "600");
    assert!(client.get("long").is_some());
    client.post("/v3/lease/revoke", json!({ "ID": long }));
    assert!(client.get("long").is_none());
    let body = json!({ "key": code("k"), "value": code("x"), "lease": long });
    assert_eq!(client.try_post("/v3/kv/put", body).expect("an answer").status, 404);
}

#[test]
fn requests_above_the_rate_are_refused_and_counted() {
    let (store, client) = store();
    store.set_rate_limit(Some(5));
    let statuses: Vec<u16> = (0..50)
        .map(|_| {
            client.try_post("/v3/kv/range", json!({ "key": code("a") })).expect("an answer").status
        })
        .collect();
    let refused = statuses.iter().filter(|status| **status == 429).count() as u64;
    assert!(statuses[..5].iter().all(|status| *status == 200), "{statuses:?}");
    assert!(refused > 0, "{statuses:?}");
    let counters = store.counters();
    assert_eq!((counters.requests, counters.refused), (50, refused));
    store.set_rate_limit(None);
    client.put("a", "b");
}

#[test]
fn an_outage_refuses_connections_and_forgets_nothing() {
    let (store, client) = store();
    client.put("a", "kept");
    store.set_outage(true);
    client.try_post("/v3/kv/range", json!({ "key": code("a") })).err().expect("no answer");
    let refused = std::net::TcpStream::connect(store.address).expect_err("refused");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    store.set_outage(false);
    assert_eq!(client.get("a").as_deref(), Some("kept"));
}

#[test]
fn a_lost_answer_is_of_a_change_that_took_effect() {
    let (store, client) = store();
    client.put("a", "before");
    store.lose_next_responses(1);
    assert_eq!(client.get("a").as_deref(), Some("before"), "reads are answered");
    let body = json!({ "key": code("a"), "value": code("after") });
    client.try_post("/v3/kv/put", body).err().expect("no answer");
    assert_eq!(client.get("a").as_deref(), Some("after"));
    client.put("a", "later");
}

#[test]
fn a_silent_store_does_nothing_and_a_slow_one_does_it_late() {
    const LIMIT: Duration = Duration::from_millis(100);
    let (store, client) = store();
    let hasty = ureq::Agent::config_builder().timeout_global(Some(LIMIT)).build();
    let hasty = Client { endpoint: store.endpoint(), agent: hasty.into() };
    store.set_silent(true);
    let body = || json!({ "key": code("a"), "value": code("b") });
    hasty.try_post("/v3/kv/put", body()).err().expect("no answer");
    store.set_silent(false);
    assert_eq!(client.get("a"), None);
    store.set_response_delay(LIMIT * 3);
    hasty.try_post("/v3/kv/put", body()).err().expect("no answer in time");
    store.set_response_delay(Duration::ZERO);
    let limit = Instant::now() + PATIENCE;
    while client.get("a").is_none() {
        assert!(Instant::now() < limit, "the late request never took effect");
        std::thread::sleep(POLL);
    }
}

#[test]
fn the_machine_list_lags_lies_and_fails() {
    let server = MachineListServer::start().expect("the list starts");
    let agent = ureq::Agent::new_with_defaults();
    let read = || -> Result<Value, ureq::Error> {
        agent.get(format!("{}/machines", server.endpoint())).call()?.body_mut().read_json()
    };
    let machine = |node: &str, state| ListedMachine {
        node: node.into(),
        zone: "zone".into(),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        state,
    };
    assert_eq!(read().expect("a list"), json!([]));
    server.set_machines(vec![machine("a", ListedState::Live)]);
    let told =
        json!([{ "node": "a", "zone": "zone", "peer_address": "127.0.0.1:1", "state": "live" }]);
    assert_eq!(read().expect("a list"), told);
    server.set_lag(Duration::from_secs(3600));
    server.set_machines(vec![machine("b", ListedState::Leaving)]);
    assert_eq!(read().expect("a list"), told);
    server.set_false_list(Some(vec![machine("c", ListedState::Leaving)]));
    assert_eq!(read().expect("a list")[0]["state"], "leaving");
    server.set_false_list(None);
    server.set_outage(true);
    read().expect_err("refused");
    server.set_outage(false);
    assert_eq!(read().expect("a list"), told);
}
