//! `/healthz` and `/status`: whether clients should be sent to this node, and its state.

use std::sync::PoisonError;

use kestrellock_core::admin::{Health, NodeStatus};
use kestrellock_core::catalog::Revision;

use super::Admin;
use super::response::AdminResponse;

const SERVICE_UNAVAILABLE: u16 = 503;

/// Whether the node is ready, and otherwise the reasons.
pub fn health(admin: &Admin) -> AdminResponse {
    let mut reasons = Vec::new();
    if admin.context.catalog.load().revision == Revision::default() {
        reasons.push("no configuration has arrived".to_owned());
    }
    if admin.context.live.load().is_empty() {
        reasons.push("the node has not joined the others yet".to_owned());
    }
    if admin.stop.is_stopping() || admin.context.is_stopping() {
        reasons.push("the node is stopping".to_owned());
    }
    if admin.context.isolation.is_isolated() {
        reasons.push("the node is isolated from most of the others".to_owned());
    }
    if admin.stop.has_failed() {
        reasons.push("a part of the node gave up".to_owned());
    }
    let health = Health { ready: reasons.is_empty(), reasons };
    let status = if health.ready { 200 } else { SERVICE_UNAVAILABLE };
    AdminResponse::json_with_status(status, &health)
}

/// Identity, version and load of the node.
pub fn status(admin: &Admin) -> AdminResponse {
    let context = &admin.context;
    let mut status = NodeStatus {
        node: context.identity.node.clone(),
        zone: context.identity.zone.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        incarnation: context.identity.incarnation,
        revision: context.catalog.load().revision,
        clients: 0,
        instance_connections: 0,
        live_nodes: context.live.load().len(),
        restarts: context.metrics.restarts.get(),
    };
    for shard in &admin.shards {
        let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
        status.clients += shard.front.clients();
        status.instance_connections += shard.gateway.connection_count();
    }
    AdminResponse::json(&status)
}
