//! HTTP calls to the store's endpoints in turn, with timeouts. Each failure is classified by
//! whether the store may have acted on the call.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use kestrellock_net::http::agent;
use kestrellock_net::source::{SourceAddress, is_connect_error};
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Body, Timeout};

use crate::store::StoreError;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;
const TOO_MANY_REQUESTS: u16 = 429;
/// Delay after a rate-limited response without a `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Whether a call changes the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call only reads, so it may be sent to another endpoint after any failure.
    None,
    /// The call writes. Once it may have arrived, it is not sent again; the caller must decide what
    /// to do.
    Write,
}

/// The endpoints of a store.
pub struct Endpoints {
    urls: Vec<String>,
    agent: ureq::Agent,
    /// Endpoint that answered last; the next call tries it first.
    preferred: AtomicUsize,
    /// Time before which no request is sent, because the store reported its rate limit.
    not_before: Mutex<Option<Instant>>,
    /// Timeout of a call to one endpoint.
    pub call_timeout: Duration,
}

impl Endpoints {
    /// A client for the endpoints at `urls`, whose connections come from `source`.
    pub fn new(urls: Vec<String>, source: SourceAddress) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            urls: urls.iter().map(|url| url.trim_end_matches('/').to_owned()).collect(),
            agent: agent(config, source),
            preferred: AtomicUsize::new(0),
            not_before: Mutex::new(None),
            call_timeout: CALL_TIMEOUT,
        }
    }

    /// Posts `body` and decodes the response.
    pub fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        effect: Effect,
    ) -> Result<A, StoreError> {
        let mut response = self.post(path, body, effect, self.call_timeout)?;
        // If the response cannot be read, a write may still have taken effect.
        response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_json()
            .map_err(|error| StoreError::Unanswered(error.to_string()))
    }

    /// Posts `body` to the endpoints in turn until one responds with success. Stops at the first
    /// error after which another endpoint must not be tried: a rate limit, a protocol error, or a
    /// write that may have taken effect.
    pub fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        effect: Effect,
        timeout: Duration,
    ) -> Result<Response<Body>, StoreError> {
        self.check_rate()?;
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last_error = StoreError::Unreachable("no endpoint is configured".into());
        for attempt in 0..self.urls.len() {
            let index = (first + attempt) % self.urls.len();
            match self.post_to(&self.urls[index], path, body, timeout) {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(error @ StoreError::RateLimited { retry_after }) => {
                    self.suspend_requests(retry_after);
                    return Err(error);
                }
                Err(error @ StoreError::Protocol(_)) => return Err(error),
                Err(error) if error.may_have_acted() && effect == Effect::Write => {
                    return Err(error);
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    fn post_to(
        &self,
        url: &str,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Response<Body>, StoreError> {
        let request = self.agent.post(format!("{url}{path}"));
        let request = request.config().timeout_global(Some(timeout)).build();
        let response = request.send_json(body).map_err(|error| classify(&error))?;
        let status = response.status();
        match status.as_u16() {
            200..=299 => Ok(response),
            TOO_MANY_REQUESTS => {
                Err(StoreError::RateLimited { retry_after: retry_after(&response) })
            }
            // Among other errors, the gateway reports a timeout of the store behind it in this way,
            // so the store may have acted.
            500.. => Err(StoreError::Unanswered(status.to_string())),
            _ => Err(StoreError::Protocol(status.to_string())),
        }
    }

    /// Rejects the call while the store's rate limit is in effect.
    fn check_rate(&self) -> Result<(), StoreError> {
        let mut not_before = self.not_before.lock().expect("the rate limit lock is not poisoned");
        let now = Instant::now();
        match *not_before {
            Some(moment) if moment > now => {
                Err(StoreError::RateLimited { retry_after: moment - now })
            }
            _ => {
                *not_before = None;
                Ok(())
            }
        }
    }

    fn suspend_requests(&self, delay: Duration) {
        let mut not_before = self.not_before.lock().expect("the rate limit lock is not poisoned");
        *not_before = Some(Instant::now() + delay);
    }
}

fn retry_after(response: &Response<Body>) -> Duration {
    let seconds = response.headers().get("Retry-After");
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs).min(MAX_RETRY_AFTER)
}

/// Classifies a transport error. Only a failure to connect proves that the request was not sent.
fn classify(error: &ureq::Error) -> StoreError {
    let not_sent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => is_connect_error(error),
        _ => false,
    };
    match not_sent {
        true => StoreError::Unreachable(error.to_string()),
        false => StoreError::Unanswered(error.to_string()),
    }
}
