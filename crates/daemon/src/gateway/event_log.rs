//! Counts and logs the events of single exchanges at a gateway. A fault of an instance or of a link
//! causes many of them at once, so the lines are rate-limited (`shared::event_log_limiters`).

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_peer::message::Exchange;
use kestrellock_protocol::backend::Failure;

use crate::event::Io;
use crate::metrics::PreparationEvent;

/// Counts and logs that an instance has not confirmed the session state that an exchange requires:
/// with `failure` it failed to establish it, without one the connection ended or the time was over.
pub fn log_unprepared(
    exchange: &Exchange,
    group: &GroupName,
    instance: &InstanceName,
    failure: Option<Failure>,
    io: &Io,
) {
    let (event, outcome) = match failure {
        Some(_) => (PreparationEvent::Failed, "failed"),
        None => (PreparationEvent::Interrupted, "interrupted"),
    };
    io.context.metrics.preparations.count(event);
    if !io.context.event_log_limiters.failed_preparations.admits(io.now) {
        return;
    }
    log::info!(
        event = "preparation_failed",
        id = exchange.request.as_deref().unwrap_or("-"),
        lease:? = exchange.lease,
        group = group.as_str(),
        instance = instance.as_str(),
        outcome = outcome,
        failure:? = failure,
        values = exchange.settings.len() as u64,
        statements = exchange.statements.len() as u64;
        "an instance has not confirmed the session state that a statement requires"
    );
}
