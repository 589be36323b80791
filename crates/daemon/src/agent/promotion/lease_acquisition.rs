//! Acquires the coordinator lease: for the watcher, which learns how that ended, and again after a
//! store restore.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use kestrellock_store::coordination::CoordinatorLease;
use kestrellock_store::store::StoreError;

use super::ReplacementServices;
use super::coordinator::{LeaseAttempt, SharedCoordinatorInput};
use super::store_calls::refusal_of;
use crate::context::NodeContext;
use crate::supervisor::StopFlag;

/// Time between two attempts to acquire the lease again after a store restore.
const REACQUIRE_INTERVAL: Duration = Duration::from_millis(50);

/// Acquires the lease again after a store restore, in place of one that would have lasted until
/// `until`. Until then no other node can acquire it, so the attempts in progress can
/// continue.
pub(super) fn reacquire_lease(
    until: Instant,
    context: &NodeContext,
    services: &ReplacementServices,
    stop: &StopFlag,
) -> Option<CoordinatorLease> {
    while Instant::now() < until && !stop.is_stopping() {
        let lease = acquire_lease(context, services);
        if lease.is_some() {
            return lease;
        }
        stop.sleep(REACQUIRE_INTERVAL);
    }
    None
}

/// Acquires the lease, unless the copy of the store already shows another coordinator, and reports
/// the outcome to the watcher.
pub(super) fn acquire_lease_for_watcher(
    context: &NodeContext,
    services: &ReplacementServices,
    input: &SharedCoordinatorInput,
) -> Option<CoordinatorLease> {
    if services.coordination.view().coordinator.is_some() {
        return None;
    }
    let acquired = try_acquire_lease(context, services);
    let attempt = match &acquired {
        Ok(Some(_)) => LeaseAttempt::Acquired,
        Ok(None) => LeaseAttempt::Preceded,
        Err(error) => LeaseAttempt::Refused(refusal_of(error)),
    };
    input.lock().unwrap_or_else(PoisonError::into_inner).lease_attempt = Some(attempt);
    acquired.ok().flatten()
}

fn acquire_lease(
    context: &NodeContext,
    services: &ReplacementServices,
) -> Option<CoordinatorLease> {
    try_acquire_lease(context, services).ok().flatten()
}

fn try_acquire_lease(
    context: &NodeContext,
    services: &ReplacementServices,
) -> Result<Option<CoordinatorLease>, StoreError> {
    let acquired = services.coordination.acquire(&context.identity.node);
    if let Err(error) = &acquired {
        log::warn!(event = "hold_failed", error = error.to_string().as_str(); "the coordinator lease could not be acquired");
    }
    acquired
}
