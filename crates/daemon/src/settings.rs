//! Settings of one node (addresses, zone, peers, store and so on), from a TOML file and flags.
//!
//! Configuration that operators change at run time is part of the catalog and not of the settings.

mod file;
mod validate;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use kestrellock_core::ids::{GroupName, NodeName, ZoneName};
use kestrellock_net::source::SourceAddress;
use kestrellock_program::secret::{Secret, SecretSource};
use serde::{Deserialize, Serialize};

use crate::shared::routine_log_lines::DEFAULT_ROUTINE_LINES_PER_SECOND;

pub use file::{SettingsFile, parse};
pub use validate::{SettingsError, validate};

/// Cluster name, unless set.
pub const DEFAULT_CLUSTER: &str = "kestrellock";
/// Cluster key of nodes that run in one process on loopback addresses.
const LOOPBACK_CLUSTER_KEY: &str = "key of nodes on loopback";

/// Kind of database groups and store that a node works with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Backing {
    /// PostgreSQL groups, and a store that speaks etcd's protocol.
    #[default]
    Postgres,
    /// The users' platform, with its own instances, protocol and store.
    Platform,
}

/// Pages that the admin port serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminPages {
    /// All pages; those other than health and readiness require the administration token.
    #[default]
    All,
    /// Health, readiness and metrics, without a token.
    Health,
}

/// Another node, configured as a seed for membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Sources of the node's secrets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSources {
    /// Token with which operators authenticate on the admin port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin_token: Option<SecretSource>,
    /// Keys with which nodes authenticate to each other. The first one signs; all are accepted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cluster_keys: Vec<SecretSource>,
    /// Passwords with which gateways log in to instances, by database role.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub backend_passwords: BTreeMap<String, SecretSource>,
}

/// Values of the node's secrets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Secrets {
    /// Token of the admin port. Without it, every page that requires the token is refused.
    pub admin_token: Option<Secret>,
    /// Cluster keys. The first one signs.
    pub cluster_keys: Vec<Secret>,
    /// Passwords with which gateways log in to instances, by database role.
    pub backend_passwords: BTreeMap<String, Secret>,
}

/// Complete and valid settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the cluster. Nodes of other clusters are refused.
    pub cluster: String,
    /// Name of this node, unique in the cluster.
    pub node: NodeName,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Address for client connections.
    pub caller_address: SocketAddr,
    /// Address for connections and datagrams from other nodes.
    pub peer_address: SocketAddr,
    /// Address at which other nodes reach this one, if it differs from `peer_address`.
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address of the admin port.
    pub admin_address: SocketAddr,
    /// Pages that the admin port serves.
    pub admin_pages: AdminPages,
    /// Kind of database groups and store that the node works with.
    pub backing: Backing,
    /// Service that promotes instances, on a platform that has one.
    pub promotion_endpoint: Option<String>,
    /// Number of event-loop threads.
    pub shards: u16,
    /// Bandwidth of this machine's network link, in Mbit/s. Nodes with high-bandwidth links read
    /// the configuration from the store and distribute it to the others.
    pub link_mbps: Option<u32>,
    /// Time within which every node must stop using a revoked credential, even a node that is
    /// isolated. `None`: a node stops using it once it learns of the revocation.
    pub revocation_limit: Option<Duration>,
    /// Time limit of a zone drain, from the request of the operators: no work may reach instances
    /// in the zone afterwards. `None`: transactions that are open there continue until they end.
    pub zone_drain_limit: Option<Duration>,
    /// Number of zones without which the deployment must be able to serve. If it is 1 or more, a
    /// node that reaches only a smaller part of the cluster reports that it is not ready and
    /// refuses at once what it cannot run.
    pub tolerated_zone_losses: u32,
    /// Whether owners open a connection of an account in advance when a client of an urgent route
    /// logs in, and close idle connections by their expected use.
    pub prewarm_connections: bool,
    /// Whether the owners of a group exchange their votes on its primary directly, so that votes
    /// cause no calls to the store.
    pub share_store_access: bool,
    /// Longest time that a planned stop waits for open statements and transactions.
    pub drain_limit: Duration,
    /// First part of `drain_limit`, in which the node still accepts clients, because load balancers
    /// have not noticed the stop yet.
    pub drain_notice: Duration,
    /// Time from the start of a planned stop after which it ends open transactions. `None`: they
    /// may last until the final refusals (`kestrellock_core::planned_stop`).
    pub drain_transactions: Option<Duration>,
    /// Whether the owners of a group divide the capacity of its instances by what waits at them.
    pub share_instance_capacity: bool,
    /// Groups whose primary may be replaced although acknowledged commits may be lost by it.
    pub accept_commit_loss: BTreeSet<GroupName>,
    /// Largest number of routine log lines per second, and of the lines of each limited event.
    pub ordinary_lines_per_second: u32,
    /// Seed nodes through which this node joins the cluster.
    pub peers: Vec<PeerSettings>,
    /// Endpoints of the configuration store, such as `http://127.0.0.1:2379`.
    pub store_endpoints: Vec<String>,
    /// URL of the platform's machine list, such as `http://127.0.0.1:8080/machines`.
    pub machine_list: Option<String>,
    /// Secrets, read by [`Settings::read_secrets`] or set by a program that embeds nodes.
    pub secrets: Secrets,
    /// Sources of the secrets.
    pub secret_sources: SecretSources,
}

impl Settings {
    /// The address from which the node opens connections: the one at which other nodes find it.
    pub fn source_address(&self) -> SourceAddress {
        SourceAddress::new(self.peer_address.ip())
    }

    /// Settings of a node on loopback ports that the operating system chooses, without peers and
    /// store.
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
            tolerated_zone_losses: 0,
            prewarm_connections: false,
            share_store_access: false,
            drain_limit: file::DEFAULT_DRAIN_LIMIT,
            drain_notice: Duration::ZERO,
            drain_transactions: None,
            share_instance_capacity: false,
            accept_commit_loss: BTreeSet::new(),
            ordinary_lines_per_second: DEFAULT_ROUTINE_LINES_PER_SECOND,
            peers: Vec::new(),
            store_endpoints: Vec::new(),
            machine_list: None,
            secrets: Secrets { cluster_keys, ..Secrets::default() },
            secret_sources: SecretSources::default(),
        }
    }

    /// Names of the fields that differ from those of `other` and take effect only after a restart.
    pub fn changes_requiring_restart(&self, other: &Self) -> Vec<&'static str> {
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
            ("tolerated_zone_losses", self.tolerated_zone_losses != other.tolerated_zone_losses),
            ("prewarm_connections", self.prewarm_connections != other.prewarm_connections),
            ("share_store_access", self.share_store_access != other.share_store_access),
            (
                "share_instance_capacity",
                self.share_instance_capacity != other.share_instance_capacity,
            ),
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
