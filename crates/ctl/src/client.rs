//! Requests to a node's admin port.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use kestrellock_core::admin::AdminError;
use kestrellock_program::secret::{Secret, SecretError, SecretSource};
use miette::Diagnostic;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Variable that holds the administration token unless a file is named.
pub const TOKEN_VARIABLE: &str = "KESTRELLOCK_ADMIN_TOKEN";
/// A change may wait for a slow store; a node gives up sooner than this.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Why a node did not do what was asked.
#[derive(Debug, Error, Diagnostic)]
pub enum ClientError {
    /// No token.
    #[error("no administration token: {0}")]
    #[diagnostic(help("name its file with --token-file, or set KESTRELLOCK_ADMIN_TOKEN"))]
    Token(#[from] SecretError),
    /// No answer: the node may or may not have done it.
    #[error("no answer from {node}: {problem}")]
    Unanswered {
        /// The node.
        node: SocketAddr,
        /// What happened.
        problem: String,
    },
    /// An answer that is not what it should be.
    #[error("{node} answered out of protocol: {problem}")]
    Protocol {
        /// The node.
        node: SocketAddr,
        /// What is wrong.
        problem: String,
    },
    /// The node refused.
    #[error("{}: {}", .0.code, .0.message)]
    Refused(AdminError),
}

/// A node's admin port.
pub struct Client {
    node: SocketAddr,
    token: Secret,
    agent: ureq::Agent,
}

impl Client {
    /// A client with the token from `token_file`, or from [`TOKEN_VARIABLE`].
    pub fn new(node: SocketAddr, token_file: Option<PathBuf>) -> Result<Self, ClientError> {
        let variable = token_file.is_none().then(|| TOKEN_VARIABLE.to_owned());
        let token = SecretSource { file: token_file, variable }.read()?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_LIMIT))
            .http_status_as_error(false)
            .build();
        Ok(Self { node, token, agent: config.into() })
    }

    /// Reads a page.
    pub fn get<A: DeserializeOwned>(&self, page: &str) -> Result<A, ClientError> {
        let request = self.agent.get(self.url(page)).header("Authorization", self.authorization());
        self.take(request.call())
    }

    /// Sends a value.
    pub fn post<A: DeserializeOwned>(
        &self,
        page: &str,
        body: &impl Serialize,
    ) -> Result<A, ClientError> {
        let request = self.agent.post(self.url(page)).header("Authorization", self.authorization());
        self.take(request.send_json(body))
    }

    fn url(&self, page: &str) -> String {
        format!("http://{}{page}", self.node)
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.token.reveal())
    }

    fn take<A: DeserializeOwned>(
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
            .limit(MAX_ANSWER_BYTES)
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
