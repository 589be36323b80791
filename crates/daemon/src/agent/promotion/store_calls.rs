//! What the threads that call the store have in common: how they read its errors, and the log lines
//! of their backoff.

use std::time::Duration;

use kestrellock_core::store_access::Refusal;
use kestrellock_store::store::StoreError;

use crate::metrics::{Label, StorePurpose};

/// The refusal that an error stands for.
pub(super) fn refusal_of(error: &StoreError) -> Refusal {
    match error {
        StoreError::RateLimited { retry_after } => Refusal { retry_after: *retry_after },
        _ => Refusal { retry_after: Duration::ZERO },
    }
}

/// Logs the first failed call, which begins the backoff.
pub(super) fn log_backoff_begin(purpose: StorePurpose, refusal: Refusal) {
    let retry_after = refusal.retry_after.as_millis() as u64;
    log::warn!(
        event = "store_backoff",
        purpose = purpose.text().as_str(),
        retry_after_ms = retry_after;
        "calls to the store fail: the delay between them grows until one succeeds"
    );
}

/// Logs the first successful call after failed ones, which ends the backoff.
pub(super) fn log_backoff_end(purpose: StorePurpose) {
    log::info!(
        event = "store_backoff_over",
        purpose = purpose.text().as_str();
        "calls to the store succeed again"
    );
}
