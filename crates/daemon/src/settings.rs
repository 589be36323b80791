//! Settings of one node: addresses, zone, peers and store, from a TOML file and flags.
//!
//! Nothing operators change at run time stands here; that is the catalog's part.

mod file;
mod validate;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_program::secret::{Secret, SecretSource};
use serde::{Deserialize, Serialize};

use crate::shared::routine_log_lines::DEFAULT_ROUTINE_LINES_PER_SECOND;

pub use file::{SettingsFile, parse};
pub use validate::{SettingsError, validate};

/// Cluster of a node whose settings name none.
pub const DEFAULT_CLUSTER: &str = "kestrellock";
/// Key of nodes that run inside one program on loopback addresses.
const LOOPBACK_CLUSTER_KEY: &str = "key of nodes on loopback";

/// What a node stands on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Backing {
    /// PostgreSQL groups, and a store that speaks etcd's protocol.
    #[default]
    Postgres,
    /// The users' platform: its instances, its wire and its store.
    Platform,
}

/// Which pages the admin port has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminPages {
    /// All, for whoever shows the administration token.
    #[default]
    All,
    /// Health, readiness and metrics, for whoever can connect.
    Health,
}

/// One other node, known before membership has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it accepts peers.
    pub address: SocketAddr,
}

/// Where the node's secrets are read from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSources {
    /// Token that operators show on the admin port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin_token: Option<SecretSource>,
    /// Keys under which nodes authenticate to each other; the first signs, all are accepted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cluster_keys: Vec<SecretSource>,
    /// Passwords of the roles under which gateways log in to back ends, by role.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub backend_passwords: BTreeMap<String, SecretSource>,
}

/// The node's secrets, read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Secrets {
    /// Token of the admin port; without one only `/healthz` answers.
    pub admin_token: Option<Secret>,
    /// Cluster keys, the signing one first.
    pub cluster_keys: Vec<Secret>,
    /// Back-end passwords by role.
    pub backend_passwords: BTreeMap<String, Secret>,
}

/// Complete and valid settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the cluster; nodes of another one are refused.
    pub cluster: String,
    /// Name of this node, unique in the cluster.
    pub node: NodeName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Where other nodes reach `peer_address`, if that is not the address itself.
    pub advertised_peer_address: Option<SocketAddr>,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Which pages are served there.
    pub admin_pages: AdminPages,
    /// What the node stands on.
    pub backing: Backing,
    /// Service that promotes instances, on a platform that has one.
    pub promotion_endpoint: Option<String>,
    /// Event-loop threads.
    pub shards: u16,
    /// What this machine's link carries, in Mbit/s: nodes with wide links read the configuration and
    /// send it to the others.
    pub link_mbps: Option<u32>,
    /// Time after which a credential that was taken away must be out of use on every node, also on one that
    /// nothing reaches; `None`: as soon as a node hears of it.
    pub revocation_limit: Option<Duration>,
    /// Time after which nothing may reach the instances of a zone that operators drain; `None`: transactions
    /// that are open there go on until they end.
    pub zone_drain_limit: Option<Duration>,
    /// Time that a planned stop gives to statements and transactions under way.
    pub drain_limit: Duration,
    /// Time within that in which callers still come, because whoever sends them has not heard yet.
    pub drain_notice: Duration,
    /// Time within that after which open transactions are ended; `None`: they get all of it.
    pub drain_transactions: Option<Duration>,
    /// Lines in the log that tell of ordinary successes, in a second at most.
    pub ordinary_lines_per_second: u32,
    /// Other nodes to join through.
    pub peers: Vec<PeerSettings>,
    /// Endpoints of the configuration store, such as `http://127.0.0.1:2379`.
    pub store_endpoints: Vec<String>,
    /// Address of the platform's machine list, such as `http://127.0.0.1:8080/machines`.
    pub machine_list: Option<String>,
    /// Secrets, read by [`Settings::read_secrets`] or set by a program that embeds nodes.
    pub secrets: Secrets,
    /// Where the secrets are read from.
    pub secret_sources: SecretSources,
}

impl Settings {
    /// Settings of a node on loopback ports that the system chooses, without peers and store.
    pub fn loopback(node: NodeName, zone: ZoneName) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let cluster_keys = vec![Secret::new(LOOPBACK_CLUSTER_KEY)];
        Self {
            cluster: DEFAULT_CLUSTER.to_owned(),
            node,
            zone,
            caller_address: any,
            peer_address: any,
            advertised_peer_address: None,
            admin_address: any,
            admin_pages: AdminPages::default(),
            backing: Backing::default(),
            promotion_endpoint: None,
            shards: 1,
            link_mbps: None,
            revocation_limit: None,
            zone_drain_limit: None,
            drain_limit: file::DEFAULT_DRAIN_LIMIT,
            drain_notice: Duration::ZERO,
            drain_transactions: None,
            ordinary_lines_per_second: DEFAULT_ROUTINE_LINES_PER_SECOND,
            peers: Vec::new(),
            store_endpoints: Vec::new(),
            machine_list: None,
            secrets: Secrets { cluster_keys, ..Secrets::default() },
            secret_sources: SecretSources::default(),
        }
    }

    /// Names of the fields that differ from `other`'s and take effect at the next start only.
    pub fn changes_that_need_a_start(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("cluster", self.cluster != other.cluster),
            ("node", self.node != other.node),
            ("zone", self.zone != other.zone),
            ("caller_address", self.caller_address != other.caller_address),
            ("peer_address", self.peer_address != other.peer_address),
            (
                "advertised_peer_address",
                self.advertised_peer_address != other.advertised_peer_address,
            ),
            ("admin_address", self.admin_address != other.admin_address),
            ("admin_pages", self.admin_pages != other.admin_pages),
            ("backing", self.backing != other.backing),
            ("promotion_endpoint", self.promotion_endpoint != other.promotion_endpoint),
            ("shards", self.shards != other.shards),
            ("revocation_limit_ms", self.revocation_limit != other.revocation_limit),
            ("zone_drain_limit_ms", self.zone_drain_limit != other.zone_drain_limit),
            ("peers", self.peers != other.peers),
            ("store_endpoints", self.store_endpoints != other.store_endpoints),
            ("machine_list", self.machine_list != other.machine_list),
            ("secrets", self.secret_sources != other.secret_sources),
        ];
        fields.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }

    /// Reads every secret from its source.
    pub fn read_secrets(&mut self) -> Result<(), SettingsError> {
        let sources = &self.secret_sources;
        let read = |field: String, source: &SecretSource| {
            source.read().map_err(|error| SettingsError::secret(field, &error))
        };
        if let Some(source) = &sources.admin_token {
            self.secrets.admin_token = Some(read("secrets.admin_token".to_owned(), source)?);
        }
        for (index, source) in sources.cluster_keys.iter().enumerate() {
            let key = read(format!("secrets.cluster_keys[{index}]"), source)?;
            self.secrets.cluster_keys.push(key);
        }
        for (role, source) in &sources.backend_passwords {
            let password = read(format!("secrets.backend_passwords.{role}"), source)?;
            self.secrets.backend_passwords.insert(role.clone(), password);
        }
        Ok(())
    }
}
