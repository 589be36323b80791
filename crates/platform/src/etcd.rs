//! Client of etcd's published v3 HTTP/JSON gateway.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::store::{ConfigStore, KeyValue, Snapshot, StoreError, Swap};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const TOO_MANY_REQUESTS: u16 = 429;

/// A store reached over HTTP, trying its endpoints in turn.
pub struct EtcdStore {
    endpoints: Vec<String>,
    agent: ureq::Agent,
}

#[derive(Deserialize)]
struct Header {
    revision: String,
}

#[derive(Deserialize)]
struct RangeAnswer {
    header: Header,
    #[serde(default)]
    kvs: Vec<KeyValueAnswer>,
}

#[derive(Deserialize)]
struct KeyValueAnswer {
    key: String,
    #[serde(default)]
    value: String,
    mod_revision: String,
}

#[derive(Deserialize)]
struct TxnAnswer {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

impl EtcdStore {
    /// A client of the service at `endpoints`, such as `http://127.0.0.1:2379`.
    pub fn new(endpoints: Vec<String>) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { endpoints, agent: config.into() }
    }

    fn post(&self, path: &str, body: &Value, limit: Duration) -> Result<ureq::Body, StoreError> {
        let mut last = StoreError::Unreachable("no endpoint is configured".into());
        for endpoint in &self.endpoints {
            let outcome = self
                .agent
                .post(format!("{endpoint}{path}"))
                .config()
                .timeout_global(Some(limit))
                .build()
                .send_json(body);
            match outcome {
                Ok(response) if response.status().is_success() => return Ok(response.into_body()),
                Ok(response) if response.status() == TOO_MANY_REQUESTS => {
                    return Err(StoreError::RateLimited);
                }
                Ok(response) => return Err(StoreError::Protocol(response.status().to_string())),
                Err(error @ (ureq::Error::ConnectionFailed | ureq::Error::HostNotFound)) => {
                    last = StoreError::Unreachable(error.to_string());
                }
                Err(ureq::Error::Io(error))
                    if error.kind() == std::io::ErrorKind::ConnectionRefused =>
                {
                    last = StoreError::Unreachable(error.to_string());
                }
                Err(error) => return Err(StoreError::Unanswered(error.to_string())),
            }
        }
        Err(last)
    }

    fn call<A: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        body: &Value,
    ) -> Result<A, StoreError> {
        self.post(path, body, CALL_TIMEOUT)?
            .read_json()
            .map_err(|error| StoreError::Unanswered(error.to_string()))
    }
}

/// The smallest key greater than every key that begins with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD.decode(text).map_err(|error| StoreError::Protocol(error.to_string()))
}

fn number(text: &str) -> Result<u64, StoreError> {
    text.parse().map_err(|_| StoreError::Protocol(format!("{text:?} is not a revision")))
}

impl ConfigStore for EtcdStore {
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let body = json!({
            "key": STANDARD.encode(prefix),
            "range_end": STANDARD.encode(prefix_end(prefix)),
        });
        let answer: RangeAnswer = self.call("/v3/kv/range", &body)?;
        let mut entries = Vec::with_capacity(answer.kvs.len());
        for entry in answer.kvs {
            let key = String::from_utf8(decode(&entry.key)?)
                .map_err(|error| StoreError::Protocol(error.to_string()))?;
            let value = decode(&entry.value)?;
            entries.push(KeyValue { key, value, modified: number(&entry.mod_revision)? });
        }
        Ok(Snapshot { revision: number(&answer.header.revision)?, entries })
    }

    fn compare_and_swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<Swap, StoreError> {
        let key = STANDARD.encode(key);
        let body = json!({
            "compare": [{
                "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": expected.to_string(),
            }],
            "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
        });
        let answer: TxnAnswer = self.call("/v3/kv/txn", &body)?;
        match answer.succeeded {
            true => Ok(Swap::Written(number(&answer.header.revision)?)),
            false => Ok(Swap::Conflict),
        }
    }

    fn wait_for_change(
        &self,
        prefix: &str,
        from: u64,
        limit: Duration,
    ) -> Result<bool, StoreError> {
        let body = json!({ "create_request": {
            "key": STANDARD.encode(prefix),
            "range_end": STANDARD.encode(prefix_end(prefix)),
            "start_revision": from.to_string(),
        }});
        let stream = match self.post("/v3/watch", &body, limit) {
            Err(StoreError::Unanswered(_)) => return Ok(false),
            other => other?,
        };
        for line in BufReader::new(stream.into_reader()).lines() {
            let Ok(line) = line else { return Ok(false) };
            let message: Value = serde_json::from_str(&line)
                .map_err(|error| StoreError::Protocol(error.to_string()))?;
            if message.pointer("/result/events/0").is_some() {
                return Ok(true);
            }
        }
        Ok(false)
    }
}
