//! Client of etcd's published v3 HTTP/JSON gateway.

mod http;
mod watch;
mod wire;

use std::time::Duration;

use crate::store::{
    ConfigStore, KeyValue, Snapshot, StoreError, Transaction, TransactionOutcome, Watch,
};
use http::{Effect, Endpoints};
use watch::EtcdWatch;

const RANGE: &str = "/v3/kv/range";
const TRANSACTION: &str = "/v3/kv/txn";

/// A store reached over HTTP, trying its endpoints in turn.
pub struct EtcdStore {
    endpoints: Endpoints,
}

impl EtcdStore {
    /// A client of the service at `endpoints`, such as `http://127.0.0.1:2379`.
    pub fn new(endpoints: Vec<String>) -> Self {
        Self { endpoints: Endpoints::new(endpoints) }
    }

    /// The same client with another limit for a call.
    pub fn with_call_timeout(mut self, limit: Duration) -> Self {
        self.endpoints.call_limit = limit;
        self
    }
}

impl ConfigStore for EtcdStore {
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let body = wire::RangeRequest::of_prefix(prefix);
        let answer: wire::RangeAnswer = self.endpoints.call(RANGE, &body, Effect::None)?;
        let mut entries = Vec::with_capacity(answer.kvs.len());
        for entry in answer.kvs {
            let key = String::from_utf8(wire::decode(&entry.key)?)
                .map_err(|error| StoreError::Protocol(error.to_string()))?;
            let value = wire::decode(&entry.value)?;
            entries.push(KeyValue { key, value, mod_revision: wire::number(&entry.mod_revision)? });
        }
        Ok(Snapshot { revision: wire::number(&answer.header.revision)?, entries })
    }

    fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let body = wire::TransactionRequest::new(transaction);
        let answer: wire::TransactionAnswer =
            self.endpoints.call(TRANSACTION, &body, Effect::Write)?;
        match answer.succeeded {
            // A revision that cannot be read leaves the caller to read back what it wrote.
            true => wire::number(&answer.header.revision)
                .map(TransactionOutcome::Written)
                .map_err(|error| StoreError::Unanswered(error.to_string())),
            false => Ok(TransactionOutcome::Conflict),
        }
    }

    fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>, StoreError> {
        Ok(Box::new(EtcdWatch::open(&self.endpoints, prefix, from)?))
    }
}
