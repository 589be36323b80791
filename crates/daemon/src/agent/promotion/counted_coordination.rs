//! A wrapper of the coordination through the store that counts its calls by purpose and result in
//! the node's metrics.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::promotion::{
    CoordinationView, Intent, NodeVotes, PromotionCaller, ReplacementId, Successor,
};
use kestrellock_core::store_access::StoreAvailability;
use kestrellock_core::store_era::StoreEra;
use kestrellock_store::call_counts::CallCounts;
use kestrellock_store::coordination::{
    Coordination, CoordinatorLease, RecordOutcome, ReplacementCheck,
};
use kestrellock_store::store::StoreError;

use crate::context::NodeContext;
use crate::metrics::{StorePurpose, StoreResult};

/// Counts each operation and forwards it.
pub(super) struct CountedCoordination {
    inner: Arc<dyn Coordination>,
    context: Arc<NodeContext>,
}

impl CountedCoordination {
    /// Wraps `inner`.
    pub fn new(inner: Arc<dyn Coordination>, context: Arc<NodeContext>) -> Self {
        Self { inner, context }
    }

    fn count<A>(
        &self,
        purpose: StorePurpose,
        outcome: Result<A, StoreError>,
    ) -> Result<A, StoreError> {
        let mut counts = CallCounts::default();
        counts.count(&outcome);
        self.add(purpose, &counts);
        outcome
    }

    fn add(&self, purpose: StorePurpose, counts: &CallCounts) {
        let by_result = [
            (StoreResult::Answered, counts.answered),
            (StoreResult::Unreachable, counts.unreachable),
            (StoreResult::Unanswered, counts.unanswered),
            (StoreResult::RateLimited, counts.rate_limited),
            (StoreResult::Protocol, counts.protocol),
        ];
        for (result, amount) in by_result {
            self.context.metrics.store_calls.add(purpose, result, amount);
        }
    }
}

impl Coordination for CountedCoordination {
    fn view(&self) -> Arc<CoordinationView> {
        self.inner.view()
    }

    fn era(&self) -> StoreEra {
        self.inner.era()
    }

    fn availability(&self) -> StoreAvailability {
        self.inner.availability()
    }

    /// Adds the calls to the metrics as well.
    fn take_watch_calls(&self) -> CallCounts {
        let counts = self.inner.take_watch_calls();
        self.add(StorePurpose::Watch, &counts);
        counts
    }

    fn check_view(&self, groups: &BTreeSet<GroupName>) -> Result<ReplacementCheck, StoreError> {
        let checked = self.inner.check_view(groups);
        match &checked {
            Ok(check) => {
                let counts = CallCounts { answered: check.calls, ..CallCounts::default() };
                self.add(StorePurpose::ReplacementCheck, &counts);
                checked
            }
            Err(_) => self.count(StorePurpose::ReplacementCheck, checked),
        }
    }

    fn publish_votes(&self, node: &NodeName, votes: &NodeVotes) -> Result<(), StoreError> {
        self.count(StorePurpose::Vote, self.inner.publish_votes(node, votes))
    }

    fn acquire(&self, node: &NodeName) -> Result<Option<CoordinatorLease>, StoreError> {
        self.count(StorePurpose::Lease, self.inner.acquire(node))
    }

    fn renew(&self, lease: &CoordinatorLease) -> Result<Option<CoordinatorLease>, StoreError> {
        self.count(StorePurpose::Replacement, self.inner.renew(lease))
    }

    fn release(&self, lease: &CoordinatorLease) -> Result<(), StoreError> {
        self.count(StorePurpose::Replacement, self.inner.release(lease))
    }

    fn record_intent(
        &self,
        lease: &CoordinatorLease,
        group: &GroupName,
        intent: &Intent,
    ) -> Result<RecordOutcome, StoreError> {
        let outcome = self.inner.record_intent(lease, group, intent);
        self.count(StorePurpose::Replacement, outcome)
    }

    fn reported_incarnations(
        &self,
        instances: &[InstanceName],
    ) -> Result<BTreeMap<InstanceName, InstanceIncarnation>, StoreError> {
        self.count(StorePurpose::Replacement, self.inner.reported_incarnations(instances))
    }

    fn record_primary(
        &self,
        lease: &CoordinatorLease,
        group: &GroupName,
        successor: &InstanceName,
    ) -> Result<bool, StoreError> {
        let outcome = self.inner.record_primary(lease, group, successor);
        self.count(StorePurpose::Replacement, outcome)
    }

    fn write_back(&self, group: &GroupName) -> Result<(), StoreError> {
        self.count(StorePurpose::Replacement, self.inner.write_back(group))
    }

    fn finish_replacement(
        &self,
        lease: &CoordinatorLease,
        group: &GroupName,
        id: ReplacementId,
        successor: Option<&Successor>,
        open_callers: &[PromotionCaller],
    ) -> Result<bool, StoreError> {
        let outcome = self.inner.finish_replacement(lease, group, id, successor, open_callers);
        self.count(StorePurpose::Replacement, outcome)
    }
}
