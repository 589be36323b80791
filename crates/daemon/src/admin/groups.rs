//! `/v1/groups`: owners and status of each instance.

use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::routing::InstanceStatus;
use serde::Serialize;

use super::Admin;
use super::response::AdminResponse;

#[derive(Serialize)]
struct GroupReport {
    group: GroupName,
    database: String,
    instances: Vec<InstanceReport>,
}

#[derive(Serialize)]
struct InstanceReport {
    instance: InstanceName,
    zone: ZoneName,
    owner: Option<NodeName>,
    standby: Option<NodeName>,
    /// `None` if this node does not use the group and so has no status of its instances.
    status: Option<InstanceStatus>,
}

/// All groups with their instances. An instance has a status only if this node uses its group.
pub fn report(admin: &Admin) -> AdminResponse {
    let context = &admin.context;
    let catalog = context.catalog.load();
    let owners = context.ownership_snapshot();
    let mut groups = Vec::new();
    for (name, group) in &catalog.groups {
        let statuses = context.statuses.group(name);
        let statuses = statuses.read().expect("a thread panicked while it held the status lock");
        let instances = group.instances.iter().map(|instance| {
            let ownership = owners.get(&instance.name);
            InstanceReport {
                instance: instance.name.clone(),
                zone: instance.zone.clone(),
                owner: ownership.map(|ownership| ownership.owner.clone()),
                standby: ownership.and_then(|ownership| ownership.standby.clone()),
                status: statuses.instances.get(&instance.name).map(|known| known.status.clone()),
            }
        });
        let instances = instances.collect();
        groups.push(GroupReport {
            group: name.clone(),
            database: group.database.clone(),
            instances,
        });
    }
    AdminResponse::json(&groups)
}
