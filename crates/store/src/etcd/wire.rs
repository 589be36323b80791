//! JSON messages of etcd's gateway. Keys and values are base64 strings, 64-bit numbers are decimal
//! strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::store::{StoreError, Transaction};

#[derive(Serialize)]
pub struct RangeRequest {
    key: String,
    range_end: String,
}

impl RangeRequest {
    pub fn of_prefix(prefix: &str) -> Self {
        Self { key: STANDARD.encode(prefix), range_end: STANDARD.encode(prefix_end(prefix)) }
    }
}

#[derive(Deserialize)]
pub struct Header {
    pub revision: String,
}

#[derive(Deserialize)]
pub struct RangeResponse {
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<KeyValueResponse>,
}

#[derive(Deserialize)]
pub struct KeyValueResponse {
    pub key: String,
    #[serde(default)]
    pub value: String,
    pub mod_revision: String,
}

#[derive(Serialize)]
pub struct TransactionRequest {
    compare: Vec<Compare>,
    success: Vec<Operation>,
}

#[derive(Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Serialize)]
struct Operation {
    request_put: PutOperation,
}

#[derive(Serialize)]
struct PutOperation {
    key: String,
    value: String,
}

impl TransactionRequest {
    pub fn new(transaction: &Transaction) -> Self {
        let compare = transaction.conditions.iter().map(|condition| Compare {
            key: STANDARD.encode(&condition.key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: condition.mod_revision.to_string(),
        });
        let success = transaction.puts.iter().map(|put| Operation {
            request_put: PutOperation {
                key: STANDARD.encode(&put.key),
                value: STANDARD.encode(&put.value),
            },
        });
        Self { compare: compare.collect(), success: success.collect() }
    }
}

#[derive(Deserialize)]
pub struct TransactionResponse {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
}

#[derive(Serialize)]
pub struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Serialize)]
struct WatchCreate {
    key: String,
    range_end: String,
    start_revision: String,
}

impl WatchRequest {
    pub fn of_prefix(prefix: &str, from: u64) -> Self {
        let RangeRequest { key, range_end } = RangeRequest::of_prefix(prefix);
        Self { create_request: WatchCreate { key, range_end, start_revision: from.to_string() } }
    }
}

/// One line of a watch stream.
#[derive(Deserialize)]
pub struct WatchLine {
    pub result: WatchResult,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    pub canceled: bool,
    pub compact_revision: Option<String>,
    pub events: Vec<Event>,
}

#[derive(Deserialize)]
pub struct Event {
    pub kv: EventKey,
}

#[derive(Deserialize)]
pub struct EventKey {
    pub mod_revision: String,
}

/// The smallest key greater than every key that begins with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        // UTF-8 contains no byte 255, so this does not overflow.
        *last += 1;
    }
    end
}

pub fn decode_base64(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD.decode(text).map_err(|error| StoreError::Protocol(error.to_string()))
}

pub fn parse_revision(text: &str) -> Result<u64, StoreError> {
    text.parse().map_err(|_| StoreError::Protocol(format!("{text:?} is not a revision")))
}
