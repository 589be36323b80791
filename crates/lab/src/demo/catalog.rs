//! Writes the demonstration's groups, templates and tenants to the store, as operators would.

use std::net::SocketAddr;

use kestrellock_core::ids::InstanceName;
use kestrellock_store::catalog::{GROUPS_PREFIX, TEMPLATES_PREFIX, TENANTS_PREFIX};
use kestrellock_store::store::{ConfigStore, TransactionOutcome};
use miette::{IntoDiagnostic, miette};
use serde_json::{Value, json};

use super::{DemoTenant, ZONES};
use crate::logins::verifier_of;

const SLOTS_PER_INSTANCE: u32 = 5;
const CONNECTIONS_PER_INSTANCE: u32 = 35;

/// Creates the entry at `key`.
fn create(store: &dyn ConfigStore, key: &str, value: &Value) -> miette::Result<()> {
    let swap = store.compare_and_swap(key, 0, value.to_string().as_bytes()).into_diagnostic()?;
    match swap {
        TransactionOutcome::Written(_) => Ok(()),
        TransactionOutcome::Conflict => Err(miette!("{key} already exists")),
    }
}

/// Writes a tenant's group with one instance in each zone.
pub fn write_group(
    store: &dyn ConfigStore,
    tenant: &DemoTenant,
    addresses: &[SocketAddr],
) -> miette::Result<()> {
    let name = tenant.group;
    let instances: Vec<Value> = addresses
        .iter()
        .zip(ZONES)
        .map(|(address, zone)| {
            json!({
                "name": InstanceName::new(format!("{name}-{zone}")),
                "zone": zone,
                "address": address,
                "slots": SLOTS_PER_INSTANCE,
                "connections": CONNECTIONS_PER_INSTANCE,
            })
        })
        .collect();
    let group =
        json!({ "database": tenant.database, "user": "kestrellock", "instances": instances });
    create(store, &format!("{GROUPS_PREFIX}{name}"), &group)
}

fn template(tenant: &DemoTenant) -> Value {
    json!({
        "groups": [tenant.group], "max_staleness_ms": 1000, "capacity": 10, "deadline_ms": 5000,
    })
}

/// Writes a tenant and its template.
pub fn write_tenant(store: &dyn ConfigStore, tenant: &DemoTenant) -> miette::Result<()> {
    let name = tenant.name;
    create(store, &format!("{TEMPLATES_PREFIX}{name}"), &template(tenant))?;
    let value = json!({ "template": name, "logins": { name: verifier_of(name) } });
    create(store, &format!("{TENANTS_PREFIX}{name}"), &value)
}

/// Adds a group to the template of `tenant`, so that every tenant of that template may use it.
pub fn add_group(store: &dyn ConfigStore, tenant: &DemoTenant, group: &str) -> miette::Result<()> {
    let key = format!("{TEMPLATES_PREFIX}{}", tenant.name);
    let stored = store.range(&key).into_diagnostic()?;
    let entry = stored.entries.iter().find(|entry| entry.key == key);
    let revision = entry.map_or(0, |entry| entry.mod_revision);
    let mut changed = template(tenant);
    changed["groups"] = json!([tenant.group, group]);
    let bytes = changed.to_string();
    match store.compare_and_swap(&key, revision, bytes.as_bytes()).into_diagnostic()? {
        TransactionOutcome::Written(_) => Ok(()),
        TransactionOutcome::Conflict => Err(miette!("{key} was changed concurrently")),
    }
}
