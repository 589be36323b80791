//! HTTP client of a node's admin port.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use kestrellock_core::admin::AdminError;
use kestrellock_program::secret::{Secret, SecretError, SecretSource};
use miette::Diagnostic;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Environment variable that holds the administration token, unless a token file is given.
pub const TOKEN_VARIABLE: &str = "KESTRELLOCK_ADMIN_TOKEN";
/// Timeout of a request. It is longer than the time that a node waits for a slow store, so that the
/// node's own answer arrives first.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Why a request failed.
#[derive(Debug, Error, Diagnostic)]
pub enum ClientError {
    /// The administration token cannot be read.
    #[error("no administration token: {0}")]
    #[diagnostic(help("pass its file with --token-file, or set KESTRELLOCK_ADMIN_TOKEN"))]
    Token(#[from] SecretError),
    /// No response: the node may or may not have executed the request.
    #[error("no answer from {node}: {problem}")]
    Unanswered {
        /// The node.
        node: SocketAddr,
        /// The error of the HTTP client.
        problem: String,
    },
    /// A response that cannot be parsed.
    #[error("invalid answer from {node}: {problem}")]
    Protocol {
        /// The node.
        node: SocketAddr,
        /// The error of the parser.
        problem: String,
    },
    /// The node refused the request.
    #[error("{}: {}", .0.code, .0.message)]
    Refused(AdminError),
}

/// A client of one node's admin port.
pub struct Client {
    node: SocketAddr,
    token: Secret,
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client with the token from `token_file`, or from [`TOKEN_VARIABLE`].
    pub fn new(node: SocketAddr, token_file: Option<PathBuf>) -> Result<Self, ClientError> {
        let variable = token_file.is_none().then(|| TOKEN_VARIABLE.to_owned());
        let token = SecretSource { file: token_file, variable }.read()?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Ok(Self { node, token, agent: config.into() })
    }

    /// Sends a GET request for `path`.
    pub fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, ClientError> {
        let request = self.agent.get(self.url(path)).header("Authorization", self.authorization());
        self.parse_response(request.call())
    }

    /// Sends a POST request to `path` with a JSON body.
    pub fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, ClientError> {
        let request = self.agent.post(self.url(path)).header("Authorization", self.authorization());
        self.parse_response(request.send_json(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node)
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.token.reveal())
    }

    fn parse_response<A: DeserializeOwned>(
        &self,
        outcome: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<A, ClientError> {
        let unanswered = |error: ureq::Error| ClientError::Unanswered {
            node: self.node,
            problem: error.to_string(),
        };
        let mut response = outcome.map_err(unanswered)?;
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_string()
            .map_err(unanswered)?;
        let protocol = |error: serde_json::Error| ClientError::Protocol {
            node: self.node,
            problem: error.to_string(),
        };
        if response.status().is_success() {
            return serde_json::from_str(&text).map_err(protocol);
        }
        Err(ClientError::Refused(serde_json::from_str(&text).map_err(protocol)?))
    }
}
