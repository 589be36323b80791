//! A change of a template comes into force on every node.

use kestrellock_store::etcd::EtcdStore;
use miette::ensure;

use super::{CheckCounts, connect, connect_when_ready};
use crate::demo::{Demo, TENANTS, catalog};

/// Lets the second tenant use the first one's group, and waits until every node lets it in.
pub fn run(demo: &Demo, checked: &mut CheckCounts) -> miette::Result<()> {
    let [other, tenant] = &TENANTS;
    for address in &demo.client_addresses {
        let early = connect(*address, tenant.name, other.database);
        ensure!(early.is_err(), "{} reached {} unasked", tenant.name, other.database);
    }
    let store = EtcdStore::new(vec![demo.store_endpoint()]);
    catalog::add_group(&store, tenant, other.group)?;
    for address in &demo.client_addresses {
        connect_when_ready(*address, tenant.name, other.database)?;
        checked.templates += 1;
    }
    Ok(())
}
