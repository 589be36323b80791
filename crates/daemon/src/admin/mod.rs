//! The admin port: health, status, metrics and configuration over HTTP.
//!
//! Every page except `/healthz` and `/readyz`, which are equivalent, requires the administration
//! token as a bearer token. If the settings restrict the port to health pages, `/metrics` does not
//! require it either.

mod configuration;
mod groups;
mod report;
mod response;

use std::io::Read;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kestrellock_core::admin::AdminError;
use kestrellock_core::admin::configuration::{EntryId, EntryKind};
use kestrellock_core::outcome::ResultCode;
use kestrellock_program::secret::Secret;
use kestrellock_store::store::ConfigStore;
use tiny_http::{Method, Request, Server};

use crate::agent::configuration::Configuration;
use crate::context::NodeContext;
use crate::settings::AdminPages;
use crate::shard::Shard;
use crate::supervisor::StopFlag;
use response::AdminResponse;

/// Longest wait for a request before a thread checks whether it must stop.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
const BEARER: &str = "Bearer ";

/// Serves the pages of the admin port.
pub struct Admin {
    /// State shared by the node's threads.
    pub context: Arc<NodeContext>,
    /// Shards of the node.
    pub shards: Vec<Arc<Mutex<Shard>>>,
    /// Whether the node is stopping or has failed.
    pub stop: StopFlag,
    /// The configuration store.
    pub store: Arc<dyn ConfigStore>,
    /// Access to the revisions of this and other nodes.
    pub configuration: Arc<Configuration>,
    /// Pages that are served.
    pub pages: AdminPages,
    /// Token with which operators authenticate. Without it, every page that requires the token is
    /// refused.
    pub token: Option<Secret>,
}

impl Admin {
    /// Serves requests until the node stops. Several threads may serve one port.
    pub fn serve(&self, server: &Server) {
        while !self.stop.is_stopping() {
            let Ok(Some(mut request)) = server.recv_timeout(ACCEPT_TIMEOUT) else { continue };
            self.stop.wait_while_paused();
            let response = self.respond(&mut request);
            // An error means that the client has disconnected.
            let _ = request.respond(response.into_response());
        }
    }

    fn respond(&self, request: &mut Request) -> AdminResponse {
        match request.url() {
            "/healthz" | "/readyz" => return report::health(self),
            "/metrics" if self.pages == AdminPages::Health => {
                return AdminResponse::metrics(self.context.metrics.text());
            }
            _ => {}
        }
        if !self.is_authorized(request) {
            let problem = "a valid administration token is needed";
            return AdminResponse::error(AdminError::new(ResultCode::AdminTokenRefused, problem));
        }
        let result = match request.method() {
            Method::Post => self.post(request),
            _ => self.get(request.url()),
        };
        result.unwrap_or_else(AdminResponse::error)
    }

    fn get(&self, url: &str) -> Result<AdminResponse, AdminError> {
        let segments: Vec<&str> = url.split('/').skip(1).collect();
        match segments.as_slice() {
            ["status"] => Ok(report::status(self)),
            ["metrics"] => Ok(AdminResponse::metrics(self.context.metrics.text())),
            ["v1", "nodes"] => configuration::nodes(self),
            ["v1", "groups"] => Ok(groups::report(self)),
            ["v1", "configuration", table] => configuration::list(self, kind_of(table)?, None),
            ["v1", "configuration", table, name] => {
                configuration::list(self, kind_of(table)?, Some(name))
            }
            ["v1", "history", table, name] => {
                let id = EntryId { kind: kind_of(table)?, name: (*name).to_owned() };
                configuration::history(self, &id)
            }
            _ => Err(no_such_page()),
        }
    }

    fn post(&self, request: &mut Request) -> Result<AdminResponse, AdminError> {
        if request.url() != "/v1/apply" {
            return Err(no_such_page());
        }
        let mut body = Vec::new();
        let read = request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body);
        read.map_err(|error| AdminError::new(ResultCode::AdminRequestRefused, error.to_string()))?;
        configuration::change(self, &body)
    }

    fn is_authorized(&self, request: &Request) -> bool {
        let Some(token) = &self.token else { return false };
        let header = request.headers().iter().find(|header| header.field.equiv("Authorization"));
        header
            .and_then(|header| header.value.as_str().strip_prefix(BEARER))
            .is_some_and(|presented| token.matches(presented))
    }
}

fn no_such_page() -> AdminError {
    AdminError::new(ResultCode::AdminRequestRefused, "no such page")
}

fn kind_of(table: &str) -> Result<EntryKind, AdminError> {
    EntryKind::of_table(table).ok_or_else(no_such_page)
}
