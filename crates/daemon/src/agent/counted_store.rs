//! A wrapper of the configuration store that counts requests by their result.

use std::sync::Arc;

use kestrellock_store::store::{ConfigStore, Snapshot, StoreError, Swap, Transaction, Watch};

use crate::context::NodeContext;
use crate::metrics::StoreResult;

/// Counts each request in the node's metrics and forwards it to the store.
pub struct CountedStore {
    inner: Arc<dyn ConfigStore>,
    context: Arc<NodeContext>,
}

impl CountedStore {
    /// Wraps `inner`.
    pub fn new(inner: Arc<dyn ConfigStore>, context: Arc<NodeContext>) -> Self {
        Self { inner, context }
    }

    fn count<A>(&self, outcome: Result<A, StoreError>) -> Result<A, StoreError> {
        let result = match &outcome {
            Ok(_) => StoreResult::Answered,
            Err(StoreError::Unreachable(_)) => StoreResult::Unreachable,
            Err(StoreError::Unanswered(_)) => StoreResult::Unanswered,
            Err(StoreError::RateLimited { .. }) => StoreResult::RateLimited,
            Err(StoreError::Protocol(_)) => StoreResult::Protocol,
        };
        self.context.metrics.store.count(result);
        outcome
    }
}

impl ConfigStore for CountedStore {
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        self.count(self.inner.range(prefix))
    }

    fn commit(&self, transaction: &Transaction) -> Result<Swap, StoreError> {
        self.count(self.inner.commit(transaction))
    }

    fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>, StoreError> {
        self.count(self.inner.watch(prefix, from))
    }
}
