//! The admin port: health, status, metrics and configuration over HTTP.
//!
//! Everything but `/healthz` and `/readyz`, which are the same, needs the administration token as a
//! bearer token; where the settings leave only health pages, `/metrics` needs none either.

mod answer;
mod configuration;
mod groups;
mod report;

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
use answer::Answer;

/// Longest wait for a request before a thread looks whether it is to stop.
const ACCEPT_WAIT: Duration = Duration::from_millis(250);
/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
const BEARER: &str = "Bearer ";

/// What the pages are made from.
pub struct Admin {
    /// The node.
    pub context: Arc<NodeContext>,
    /// Its shards.
    pub shards: Vec<Arc<Mutex<Shard>>>,
    /// Whether it is stopping.
    pub stop: StopFlag,
    /// The configuration store.
    pub store: Arc<dyn ConfigStore>,
    /// The configuration and the way to ask others for theirs.
    pub configuration: Arc<Configuration>,
    /// Which pages there are.
    pub pages: AdminPages,
    /// Token that operators must show; without one only `/healthz` answers.
    pub token: Option<Secret>,
}

impl Admin {
    /// Serves requests until told to stop. Several threads may serve one port.
    pub fn serve(&self, server: &Server) {
        while !self.stop.is_stopping() {
            let Ok(Some(mut request)) = server.recv_timeout(ACCEPT_WAIT) else { continue };
            self.stop.wait_while_paused();
            let answer = self.answer(&mut request);
            // A caller that went away before its answer is no matter of ours.
            let _ = request.respond(answer.into_response());
        }
    }

    fn answer(&self, request: &mut Request) -> Answer {
        match request.url() {
            "/healthz" | "/readyz" => return report::health(self),
            "/metrics" if self.pages == AdminPages::Health => {
                return Answer::text(self.context.metrics.text());
            }
            _ => {}
        }
        if !self.is_authorized(request) {
            let problem = "a valid administration token is needed";
            return Answer::refused(AdminError::new(ResultCode::AdminTokenRefused, problem));
        }
        let outcome = match request.method() {
            Method::Post => self.post(request),
            _ => self.get(request.url()),
        };
        outcome.unwrap_or_else(Answer::refused)
    }

    fn get(&self, url: &str) -> Result<Answer, AdminError> {
        let parts: Vec<&str> = url.split('/').skip(1).collect();
        match parts.as_slice() {
            ["status"] => Ok(report::status(self)),
            ["metrics"] => Ok(Answer::text(self.context.metrics.text())),
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

    fn post(&self, request: &mut Request) -> Result<Answer, AdminError> {
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
            .is_some_and(|shown| token.matches(shown))
    }
}

fn no_such_page() -> AdminError {
    AdminError::new(ResultCode::AdminRequestRefused, "no such page")
}

fn kind_of(table: &str) -> Result<EntryKind, AdminError> {
    EntryKind::of_table(table).ok_or_else(no_such_page)
}
