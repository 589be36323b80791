//! Scripted back ends, a store that never changes, nodes and callers, over real sockets.

#![allow(dead_code)]

pub mod caller;
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

/// Generous limit for everything a test waits for.
pub const LIMIT: Duration = Duration::from_secs(30);
const PASSWORD: &str = "secret";
const ITERATIONS: u32 = 16;
/// Authentication requests of one login, apart from the last.
const SCRAM_MESSAGES: usize = 3;
const POLL: Duration = Duration::from_millis(2);
/// Marks the statement to which the script's fault applies.
pub const MARK: &str = "marked";

/// Marks a statement that is answered late.
pub const LATE: &str = "late";
const LATENESS: Duration = Duration::from_millis(3);
const ERROR_DELAY: Duration = Duration::from_millis(30);

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let limit = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < limit, "waited too long: {what}");
        thread::sleep(POLL);
    }
}

/// Password of the role under which the pair's gateways log in.
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
        Err(StoreError::Unreachable("it never changes".to_owned()))
    }
}

pub fn store(group: &ScriptedGroup, deadline: Duration) -> Arc<dyn ConfigStore> {
    let instances: Vec<_> = group
        .addresses
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({
                "name": format!("i{index}"), "zone": "back", "address": address,
                "slots": 4, "connections": 20,
            })
        })
        .collect();
    let values = [
        ("groups/g", json!({ "database": "db", "user": "kestrellock", "instances": instances })),
        (
            "templates/t",
            json!({
                "groups": ["g"], "max_staleness_ms": 60_000, "capacity": 10,
                "deadline_ms": deadline.as_millis() as u64,
            }),
        ),
        ("tenants/fan", json!({ "template": "t", "logins": { "fan": verifier() } })),
    ];
    let entries = values.map(|(key, value)| KeyValue {
        key: format!("/kestrellock/{key}"),
        value: value.to_string().into_bytes(),
        mod_revision: 1,
    });
    Arc::new(FixedStore(entries.to_vec()))
}

fn verifier() -> String {
    Verifier::from_password(PASSWORD, [0; SALT_BYTES], ITERATIONS).to_string()
}

/// A front in zone `front` and a gateway in zone `back`, which owns every instance.
pub struct Pair {
    pub front: Option<Node>,
    pub gateway: Option<Node>,
    pub address: SocketAddr,
    pub gateway_address: SocketAddr,
}

impl Pair {
    pub fn start(group: &ScriptedGroup, deadline: Duration, policy: Policy) -> Self {
        let mut settings = ["front", "back"]
            .map(|name| Settings::loopback(NodeName::new(name), ZoneName::new(name)));
        let listeners = settings.each_mut().map(|one| Listeners::bind(one).expect("free ports"));
        let peers = settings.each_ref().map(|one| PeerSettings {
            node: one.node.clone(),
            zone: one.zone.clone(),
            address: one.peer_address,
        });
        for one in &mut settings {
            let password = Secret::new(BACKEND_PASSWORD);
            one.secrets.backend_passwords.insert("kestrellock".to_owned(), password);
        }
        settings[0].peers = vec![peers[1].clone()];
        settings[1].peers = vec![peers[0].clone()];
        let store = store(group, deadline);
        let addresses = settings.each_ref().map(|one| one.caller_address);
        let mut nodes = settings
            .iter()
            .zip(listeners)
            .map(|(one, own)| Node::start(one, own, store.clone(), policy).expect("it starts"));
        let (front, gateway) = (nodes.next(), nodes.next());
        Self { front, gateway, address: addresses[0], gateway_address: addresses[1] }
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        self.front.take().into_iter().chain(self.gateway.take()).for_each(Node::kill);
    }
}
