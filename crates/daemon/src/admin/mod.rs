//! The admin port: health, status, metrics and configuration over HTTP.
//!
//! Everything but `/healthz` needs the administration token as a bearer token.

mod answer;
mod report;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use kestrellock_core::admin::AdminError;
use kestrellock_core::outcome::ResultCode;
use kestrellock_program::secret::Secret;
use tiny_http::{Request, Server};

use crate::context::NodeContext;
use crate::shard::Shard;
use crate::supervisor::StopFlag;
use answer::Answer;

const ACCEPT_WAIT: Duration = Duration::from_millis(100);
const BEARER: &str = "Bearer ";

/// What the pages are made from.
pub struct Admin {
    /// The node.
    pub context: Arc<NodeContext>,
    /// Its shards.
    pub shards: Vec<Arc<Mutex<Shard>>>,
    /// Whether it is stopping.
    pub stop: StopFlag,
    /// Token that operators must show; without one only `/healthz` answers.
    pub token: Option<Secret>,
}

impl Admin {
    /// Serves requests until told to stop. Several threads may serve one port.
    pub fn serve(&self, server: &Server) {
        while !self.stop.is_stopping() {
            let Ok(Some(request)) = server.recv_timeout(ACCEPT_WAIT) else { continue };
            self.stop.wait_while_paused();
            let answer = self.answer(&request);
            // A caller that went away before its answer is no matter of ours.
            let _ = request.respond(answer.into_response());
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.url() == "/healthz" {
            return report::health(self);
        }
        if !self.is_authorized(request) {
            let problem = "a valid administration token is needed";
            return Answer::refused(AdminError::new(ResultCode::AdminTokenRefused, problem));
        }
        match request.url() {
            "/status" => report::status(self),
            "/metrics" => Answer::text(self.context.metrics.text()),
            _ => Answer::refused(AdminError::new(ResultCode::AdminRequestRefused, "no such page")),
        }
    }

    fn is_authorized(&self, request: &Request) -> bool {
        let Some(token) = &self.token else { return false };
        let header = request.headers().iter().find(|header| header.field.equiv("Authorization"));
        header
            .and_then(|header| header.value.as_str().strip_prefix(BEARER))
            .is_some_and(|shown| token.matches(shown))
    }
}
