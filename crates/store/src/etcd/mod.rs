//! Client for etcd's v3 HTTP/JSON gateway.

mod http;
mod watch;
mod wire;

use std::time::Duration;

use kestrellock_net::source::SourceAddress;

use crate::store::{
    ConfigStore, KeyValue, Snapshot, StoreError, Transaction, TransactionOutcome, Watch,
};
use http::{Effect, Endpoints};
use watch::EtcdWatch;

const RANGE_PATH: &str = "/v3/kv/range";
const TRANSACTION_PATH: &str = "/v3/kv/txn";

/// An etcd cluster reached over HTTP. The client tries its endpoints in turn.
pub struct EtcdStore {
    endpoints: Endpoints,
}

impl EtcdStore {
    /// A client for the cluster at `endpoints`, such as `http://127.0.0.1:2379`, whose connections
    /// come from `source`.
    pub fn new(endpoints: Vec<String>, source: SourceAddress) -> Self {
        Self { endpoints: Endpoints::new(endpoints, source) }
    }

    /// Sets the timeout of a call.
    pub fn with_call_timeout(mut self, timeout: Duration) -> Self {
        self.endpoints.call_timeout = timeout;
        self
    }
}

impl ConfigStore for EtcdStore {
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let body = wire::RangeRequest::of_prefix(prefix);
        let response: wire::RangeResponse = self.endpoints.call(RANGE_PATH, &body, Effect::None)?;
        let mut entries = Vec::with_capacity(response.kvs.len());
        for entry in response.kvs {
            let key = String::from_utf8(wire::decode_base64(&entry.key)?)
                .map_err(|error| StoreError::Protocol(error.to_string()))?;
            let value = wire::decode_base64(&entry.value)?;
            entries.push(KeyValue {
                key,
                value,
                mod_revision: wire::parse_revision(&entry.mod_revision)?,
            });
        }
        Ok(Snapshot { revision: wire::parse_revision(&response.header.revision)?, entries })
    }

    fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let body = wire::TransactionRequest::new(transaction);
        let response: wire::TransactionResponse =
            self.endpoints.call(TRANSACTION_PATH, &body, Effect::Write)?;
        match response.succeeded {
            // The write succeeded but its revision cannot be parsed. `Unanswered` makes the caller
            // read back what it wrote.
            true => wire::parse_revision(&response.header.revision)
                .map(TransactionOutcome::Written)
                .map_err(|error| StoreError::Unanswered(error.to_string())),
            false => Ok(TransactionOutcome::Conflict),
        }
    }

    fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>, StoreError> {
        Ok(Box::new(EtcdWatch::open(&self.endpoints, prefix, from)?))
    }
}
