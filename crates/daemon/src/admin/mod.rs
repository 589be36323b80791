//! The admin port: health and status over HTTP.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use tiny_http::{Response, Server};

use crate::context::NodeContext;
use crate::shard::Shard;
use crate::supervisor::StopFlag;

const ACCEPT_WAIT: Duration = Duration::from_millis(100);

/// What `/status` tells of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Connected callers.
    pub callers: usize,
    /// Open back-end connections.
    pub backend_connections: usize,
}

/// Serves requests until told to stop.
pub fn serve(
    server: &Server,
    context: &NodeContext,
    shards: &[Arc<Mutex<Shard>>],
    stop: &StopFlag,
) {
    while !stop.is_stopping() {
        let Ok(Some(request)) = server.recv_timeout(ACCEPT_WAIT) else { continue };
        stop.wait_while_paused();
        let (code, body) = match request.url() {
            "/healthz" => (200, "ok\n".to_owned()),
            "/status" => (200, status_json(context, shards)),
            _ => (404, "no such page\n".to_owned()),
        };
        // A caller that went away before its answer is no matter of ours.
        let _ = request.respond(Response::from_string(body).with_status_code(code));
    }
}

fn status_json(context: &NodeContext, shards: &[Arc<Mutex<Shard>>]) -> String {
    let mut status = NodeStatus {
        node: context.identity.node.to_string(),
        zone: context.identity.zone.to_string(),
        revision: context.catalog.load().revision.0,
        callers: 0,
        backend_connections: 0,
    };
    for shard in shards {
        let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
        status.callers += shard.front.callers();
        status.backend_connections += shard.gateway.connections();
    }
    serde_json::to_string_pretty(&status).unwrap_or_default()
}
