//! The demonstration: a store, two database groups and three nodes in one process on loopback.
//!
//! Each zone has its own loopback addresses, and connections between zones have a delay.

mod catalog;
pub mod check;
mod nodes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kestrellock_core::ids::ZoneName;
use kestrellock_daemon::node::Node;
use kestrellock_daemon::policy::Policy;
use kestrellock_net::source::SourceAddress;
use kestrellock_store::etcd::EtcdStore;
use miette::IntoDiagnostic;

use crate::logins::password_of;
use crate::standin::group::DatabaseGroup;
use crate::standin::group::lag::Lag;
use crate::standin::group::options::GroupOptions;
use crate::standin::network::Network;
use crate::standin::store::PlatformStore;

/// Zones of the demonstration.
pub const ZONES: [&str; 3] = ["casa-ain", "casa-sidi", "casa-bouskoura"];
/// Token for the nodes' admin ports.
pub const ADMIN_TOKEN: &str = "demo-admin-token";
/// The demonstration's tenants.
pub const TENANTS: [DemoTenant; 2] = [
    DemoTenant { name: "atlas", group: "yearbook-orders", database: "orders", table: "captions" },
    DemoTenant { name: "gidanmu", group: "resale-tickets", database: "tickets", table: "seats" },
];

/// A tenant of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoTenant {
    /// Name of the tenant, its login and its template.
    pub name: &'static str,
    /// Database group of the tenant.
    pub group: &'static str,
    /// Database name of the group.
    pub database: &'static str,
    /// Table that the checks create and use.
    pub table: &'static str,
}

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// One-way delay between zones.
    pub zone_delay: Duration,
    /// Delay until a commit is visible to reads on a replica.
    pub replica_lag: Duration,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self { zone_delay: Duration::from_micros(1500), replica_lag: Duration::from_millis(100) }
    }
}

/// A running demonstration.
pub struct Demo {
    store: PlatformStore,
    groups: Vec<DatabaseGroup>,
    nodes: Vec<Node>,
    /// Addresses for clients, one per node.
    pub client_addresses: Vec<SocketAddr>,
    /// Addresses of the admin ports, one per node.
    pub admin_addresses: Vec<SocketAddr>,
}

impl Demo {
    /// Starts the demonstration with default options.
    pub fn start() -> miette::Result<Self> {
        Self::start_with(DemoOptions::default())
    }

    /// Starts the demonstration.
    pub fn start_with(options: DemoOptions) -> miette::Result<Self> {
        let zones: Vec<ZoneName> = ZONES.map(ZoneName::new).into();
        let network = Network::new(&zones, 0).into_diagnostic()?;
        network.set_delay_everywhere(options.zone_delay);
        let store = PlatformStore::start().into_diagnostic()?;
        let client = Arc::new(EtcdStore::new(vec![store.endpoint()], SourceAddress::ANY));
        let mut groups = Vec::new();
        for tenant in &TENANTS {
            let group = DatabaseGroup::start(GroupOptions {
                zones: zones.clone(),
                replica_lag: Lag::Fixed(options.replica_lag),
                network: Some(network.clone()),
                ..GroupOptions::default()
            })
            .into_diagnostic()?;
            catalog::write_group(client.as_ref(), tenant, &group.addresses)?;
            groups.push(group);
        }
        for tenant in &TENANTS {
            catalog::write_tenant(client.as_ref(), tenant)?;
        }
        let prepared = nodes::bind(&network, &store.endpoint())?;
        let caller_addresses = prepared.iter().map(|node| node.settings.caller_address).collect();
        let admin_addresses = prepared.iter().map(|node| node.settings.admin_address).collect();
        let mut nodes = Vec::new();
        for node in prepared {
            let started =
                Node::start(&node.settings, node.listeners, client.clone(), Policy::Standard);
            nodes.push(started.into_diagnostic()?);
        }
        Ok(Self { store, groups, nodes, client_addresses: caller_addresses, admin_addresses })
    }

    /// Endpoint of the store.
    pub fn store_endpoint(&self) -> String {
        self.store.endpoint()
    }

    /// The database groups, in the order of [`TENANTS`].
    pub fn groups(&self) -> &[DatabaseGroup] {
        &self.groups
    }

    /// Lines with the commands that connect to each tenant's database and show the nodes' status.
    pub fn connection_instructions(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for tenant in &TENANTS {
            lines.push(format!("{}, database {}:", tenant.name, tenant.database));
            for (address, zone) in self.client_addresses.iter().zip(ZONES) {
                lines.push(format!(
                    "  PGPASSWORD={} psql -h {} -p {} -U {} {}   # node in {zone}",
                    password_of(tenant.name),
                    address.ip(),
                    address.port(),
                    tenant.name,
                    tenant.database,
                ));
            }
        }
        lines.push("operators:".into());
        for address in &self.admin_addresses {
            lines.push(format!(
                "  KESTRELLOCK_ADMIN_TOKEN={ADMIN_TOKEN} kestrellockctl --node {address} status"
            ));
        }
        lines.push(format!("store: {}", self.store_endpoint()));
        lines
    }

    /// Stops the nodes.
    pub fn stop(self) {
        self.nodes.into_iter().for_each(Node::stop);
    }
}
