//! Checks that every node activates a changed template.

use kestrellock_net::source::SourceAddress;
use kestrellock_store::etcd::EtcdStore;
use miette::ensure;

use super::{CheckCounts, connect, connect_when_ready};
use crate::demo::{Demo, TENANTS, catalog};

/// Permits the second tenant the first tenant's group, and waits until every node accepts its
/// connections to that group's database. Before the change, every node must refuse them.
pub fn run(demo: &Demo, checked: &mut CheckCounts) -> miette::Result<()> {
    let [other, tenant] = &TENANTS;
    for address in &demo.client_addresses {
        let early = connect(*address, tenant.name, other.database);
        ensure!(early.is_err(), "{} could use {} without permission", tenant.name, other.database);
    }
    let store = EtcdStore::new(vec![demo.store_endpoint()], SourceAddress::ANY);
    catalog::add_group(&store, tenant, other.group)?;
    for address in &demo.client_addresses {
        connect_when_ready(*address, tenant.name, other.database)?;
        checked.templates += 1;
    }
    Ok(())
}
