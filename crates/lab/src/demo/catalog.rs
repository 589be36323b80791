//! Groups, templates and tenants of the demonstration, as operators would write them.

use std::net::SocketAddr;

use kestrellock_core::ids::InstanceName;
use kestrellock_store::catalog::{GROUPS_PREFIX, TEMPLATES_PREFIX, TENANTS_PREFIX};
use kestrellock_store::store::{ConfigStore, TransactionOutcome};
use miette::{IntoDiagnostic, miette};
use serde_json::{Value, json};

use super::{DemoTenant, ZONES};
use crate::logins::verifier_of;

const SLOTS: u32 = 5;
const CONNECTIONS: u32 = 35;

fn write(store: &dyn ConfigStore, key: &str, value: &Value) -> miette::Result<()> {
    let swap = store.compare_and_swap(key, 0, value.to_string().as_bytes()).into_diagnostic()?;
    match swap {
        TransactionOutcome::Written(_) => Ok(()),
        TransactionOutcome::Conflict => Err(miette!("{key} exists already")),
    }
}

/// Writes the group of a tenant.
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
                "slots": SLOTS,
                "connections": CONNECTIONS,
            })
        })
        .collect();
    let group =
        json!({ "database": tenant.database, "user": "kestrellock", "instances": instances });
    write(store, &format!("{GROUPS_PREFIX}{name}"), &group)
}

fn template(tenant: &DemoTenant) -> Value {
    json!({
        "groups": [tenant.group], "max_staleness_ms": 1000, "capacity": 10, "deadline_ms": 5000,
    })
}

/// Writes a tenant and its template.
pub fn write_tenant(store: &dyn ConfigStore, tenant: &DemoTenant) -> miette::Result<()> {
    let name = tenant.name;
    write(store, &format!("{TEMPLATES_PREFIX}{name}"), &template(tenant))?;
    let value = json!({ "template": name, "logins": { name: verifier_of(name) } });
    write(store, &format!("{TENANTS_PREFIX}{name}"), &value)
}

/// Lets every tenant of a template use another group as well.
pub fn add_group(store: &dyn ConfigStore, tenant: &DemoTenant, group: &str) -> miette::Result<()> {
    let key = format!("{TEMPLATES_PREFIX}{}", tenant.name);
    let known = store.range(&key).into_diagnostic()?;
    let entry = known.entries.iter().find(|entry| entry.key == key);
    let revision = entry.map_or(0, |entry| entry.mod_revision);
    let mut changed = template(tenant);
    changed["groups"] = json!([tenant.group, group]);
    let bytes = changed.to_string();
    match store.compare_and_swap(&key, revision, bytes.as_bytes()).into_diagnostic()? {
        TransactionOutcome::Written(_) => Ok(()),
        TransactionOutcome::Conflict => Err(miette!("{key} was changed by somebody else")),
    }
}
