//! Test fixtures that communicate over real sockets: scripted instances, nodes and clients, and a
//! store with fixed content.

#![allow(dead_code)]

pub mod client;
pub mod hooked;
pub mod lines;
pub mod log_lines;
pub mod scripted;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::scram::{SALT_BYTES, Verifier};
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::{PeerSettings, Settings};
use kestrellock_program::secret::Secret;
use kestrellock_store::store::{
    ConfigStore, KeyValue, Snapshot, StoreError, Transaction, TransactionOutcome, Watch,
};
use scripted::ScriptedGroup;
use serde_json::json;

/// Longest wait for any condition of a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const PASSWORD: &str = "secret";
const ITERATIONS: u32 = 16;
/// Number of authentication requests in one login, without the final `AuthenticationOk`.
const SCRAM_MESSAGES: usize = 3;
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Text in statements to which the scripted behaviour applies.
pub const MARK: &str = "marked";

/// Text in queries that are answered with [`LARGE_ROWS`] rows.
pub const LARGE: &str = "large";
pub const LARGE_ROWS: usize = 100;

/// Text in statements that are answered late.
pub const LATE: &str = "late";
const LATE_DELAY: Duration = Duration::from_millis(3);
const ERROR_DELAY: Duration = Duration::from_millis(30);

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Password of the database role with which the gateways of a [`Pair`] log in.
pub const BACKEND_PASSWORD: &str = "open for gateways";

/// A store with fixed content.
struct FixedStore(Vec<KeyValue>);

impl ConfigStore for FixedStore {
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let entries =
            self.0.iter().filter(|entry| entry.key.starts_with(prefix)).cloned().collect();
        Ok(Snapshot { revision: 1, entries })
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

    fn watch(&self, _: &str, _: u64) -> Result<Box<dyn Watch>, StoreError> {
        Err(StoreError::Unreachable("the content never changes".to_owned()))
    }
}

pub fn store(group: &ScriptedGroup, deadline: Duration) -> Arc<dyn ConfigStore> {
    Arc::new(FixedStore(entries(&[("g", group)], "g", deadline, 1)))
}

/// The entries of a configuration at `revision`: these groups, and one tenant whose database is in
/// the group `used`.
pub fn entries(
    groups: &[(&str, &ScriptedGroup)],
    used: &str,
    deadline: Duration,
    revision: u64,
) -> Vec<KeyValue> {
    let mut values = vec![
        (
            "templates/t".to_owned(),
            json!({
                "groups": [used], "max_staleness_ms": 60_000, "capacity": 10,
                "deadline_ms": deadline.as_millis() as u64,
            }),
        ),
        ("tenants/fan".to_owned(), json!({ "template": "t", "logins": { "fan": verifier() } })),
    ];
    for (name, group) in groups {
        let instances = group.addresses.iter().enumerate().map(|(index, address)| {
            let instance =
                if *name == "g" { format!("i{index}") } else { format!("{name}{index}") };
            json!({
                "name": instance, "zone": "back", "address": address,
                "slots": 4, "connections": 20,
            })
        });
        let instances: Vec<_> = instances.collect();
        let group = json!({ "database": "db", "user": "kestrellock", "instances": instances });
        values.push((format!("groups/{name}"), group));
    }
    let entry = |(key, value): (String, serde_json::Value)| KeyValue {
        key: format!("/kestrellock/{key}"),
        value: value.to_string().into_bytes(),
        mod_revision: revision,
    };
    values.into_iter().map(entry).collect()
}

fn verifier() -> String {
    Verifier::from_password(PASSWORD, [0; SALT_BYTES], ITERATIONS).to_string()
}

/// Two nodes: one in zone `front`, to which clients connect, and one in zone `back`, whose gateway
/// owns every instance.
pub struct Pair {
    pub front: Option<Node>,
    pub gateway: Option<Node>,
    pub address: SocketAddr,
    pub gateway_address: SocketAddr,
}

impl Pair {
    pub fn start(group: &ScriptedGroup, deadline: Duration, policy: Policy) -> Self {
        Self::start_with(store(group, deadline), policy)
    }

    pub fn start_with(store: Arc<dyn ConfigStore>, policy: Policy) -> Self {
        let mut settings = ["front", "back"]
            .map(|name| Settings::loopback(NodeName::new(name), ZoneName::new(name)));
        let listeners = settings.each_mut().map(|node| Listeners::bind(node).expect("free ports"));
        let peers = settings.each_ref().map(|node| PeerSettings {
            node: node.node.clone(),
            zone: node.zone.clone(),
            address: node.peer_address,
        });
        for node in &mut settings {
            let password = Secret::new(BACKEND_PASSWORD);
            node.secrets.backend_passwords.insert("kestrellock".to_owned(), password);
        }
        settings[0].peers = vec![peers[1].clone()];
        settings[1].peers = vec![peers[0].clone()];
        let addresses = settings.each_ref().map(|node| node.caller_address);
        let mut nodes = settings.iter().zip(listeners).map(|(settings, listeners)| {
            Node::start(settings, listeners, store.clone(), policy).expect("it starts")
        });
        let (front, gateway) = (nodes.next(), nodes.next());
        Self { front, gateway, address: addresses[0], gateway_address: addresses[1] }
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        self.front.take().into_iter().chain(self.gateway.take()).for_each(Node::kill);
    }
}
