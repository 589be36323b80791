//! The configuration of a scenario, and changes to it while it runs.

use kestrellock_store::catalog::{GROUPS_PREFIX, TEMPLATES_PREFIX, TENANTS_PREFIX};
use kestrellock_store::store::{ConfigStore, TransactionOutcome};
use miette::{IntoDiagnostic, miette};
use serde_json::{Value, json};

use super::definition::Deployment;
use super::deployment::Group;
use crate::logins::verifier_of;

/// The one tenant, its template and its login.
pub const TENANT: &str = "atlas";
/// Role under which gateways log in to instances.
const BACKEND_ROLE: &str = "kestrellock";

/// Name of an instance of a group.
pub fn instance_name(group: &str, index: usize) -> String {
    format!("{group}-{index}")
}

/// Writes groups, template and tenant into an empty store.
pub fn write(
    store: &dyn ConfigStore,
    deployment: &Deployment,
    groups: &[Group],
) -> miette::Result<()> {
    for group in groups {
        create(store, &format!("{GROUPS_PREFIX}{}", group.id), &describe_group(deployment, group))?;
    }
    let template = describe_template(deployment, deployment.capacity);
    create(store, &format!("{TEMPLATES_PREFIX}{TENANT}"), &template)?;
    let tenant = json!({ "template": TENANT, "logins": { TENANT: verifier_of(TENANT) } });
    create(store, &format!("{TENANTS_PREFIX}{TENANT}"), &tenant)
}

/// Changes the capacity in the template. Returns the revision at which it was accepted.
pub fn change_capacity(
    store: &dyn ConfigStore,
    deployment: &Deployment,
    capacity: u32,
) -> miette::Result<u64> {
    replace(store, &format!("{TEMPLATES_PREFIX}{TENANT}"), &describe_template(deployment, capacity))
}

/// Begins to take an instance out of use. Returns the revision at which it was accepted.
pub fn mark_leaving(
    store: &dyn ConfigStore,
    deployment: &Deployment,
    group: &Group,
    index: usize,
) -> miette::Result<u64> {
    let mut value = describe_group(deployment, group);
    value["instances"][index]["leaving"] = Value::Bool(true);
    replace(store, &format!("{GROUPS_PREFIX}{}", group.id), &value)
}

fn replace(store: &dyn ConfigStore, key: &str, value: &Value) -> miette::Result<u64> {
    let snapshot = store.range(key).into_diagnostic()?;
    let expected = snapshot.entries.first().map_or(0, |entry| entry.mod_revision);
    let value = value.to_string();
    match store.compare_and_swap(key, expected, value.as_bytes()).into_diagnostic()? {
        TransactionOutcome::Written(revision) => Ok(revision),
        TransactionOutcome::Conflict => Err(miette!("{key} was changed by somebody else")),
    }
}

fn create(store: &dyn ConfigStore, key: &str, value: &Value) -> miette::Result<()> {
    match store.compare_and_swap(key, 0, value.to_string().as_bytes()).into_diagnostic()? {
        TransactionOutcome::Written(_) => Ok(()),
        TransactionOutcome::Conflict => Err(miette!("{key} exists already")),
    }
}

fn describe_group(deployment: &Deployment, group: &Group) -> Value {
    let addresses = &group.servers.addresses;
    let instances: Vec<Value> = group
        .servers
        .instances
        .iter()
        .map(|instance| {
            json!({
                "name": instance_name(&group.id.0, instance.index),
                "zone": instance.zone,
                "address": addresses[instance.index],
                "slots": deployment.slots,
                "connections": deployment.connections,
            })
        })
        .collect();
    json!({ "database": group.id.0, "user": BACKEND_ROLE, "instances": instances })
}

fn describe_template(deployment: &Deployment, capacity: u32) -> Value {
    json!({
        "groups": deployment.databases,
        "max_staleness_ms": deployment.max_staleness_ms,
        "capacity": capacity,
        "write_priority": "order",
        "read_priority": "browse",
        "deadline_ms": deployment.deadline_ms,
    })
}
