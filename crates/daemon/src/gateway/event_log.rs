//! Counts and logs the events of single exchanges at a gateway. A fault of an instance or of a link
//! causes many of them at once, so the lines are rate-limited (`shared::event_log_limiters`).

use std::time::{Duration, Instant};

use kestrellock_core::exchange_state::{Effect, Fault};
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId};
use kestrellock_peer::message::Exchange;
use kestrellock_protocol::backend::Failure;

use super::running_exchange::RunningExchange;
use crate::event::Io;
use crate::metrics::{LoggedEvent, PreparationEvent};

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

/// Counts and logs a write that ends without an answer, and the evidence on which it was sent. Reads
/// are repeated elsewhere and change nothing, so they are left out.
pub fn log_failed_write(
    running: &RunningExchange,
    group: &GroupName,
    instance: &InstanceName,
    fault: Fault,
    io: &Io,
) {
    if running.impact.effect == Effect::Read {
        return;
    }
    io.context.metrics.events.count(LoggedEvent::WriteFailed);
    if !io.context.event_log_limiters.failed_writes.admits(io.now) {
        return;
    }
    let age = |at: Instant| io.now.saturating_duration_since(at).as_millis() as u64;
    let lead = running.required_lead;
    let evidence = io.context.statuses.newest_evidence(group);
    let milliseconds = |age: Duration| age.as_millis() as u64;
    log::info!(
        event = "write_failed",
        id = running.request.as_deref().unwrap_or("-"),
        lease:? = running.lease,
        group = group.as_str(),
        instance = instance.as_str(),
        fault:? = fault,
        led_term = lead.map(|lead| lead.term.0),
        must_cover_ms = lead.map(|lead| age(lead.must_cover)),
        chosen_ms = lead.map(|lead| age(lead.chosen_at)),
        sent_ms = age(running.sent),
        commit_evidence_ms = evidence.commit.map(age),
        report_evidence_ms = evidence.report.map(age),
        store_copy_ms = io.context.store_copy_age(io.now).map(milliseconds);
        "a write that was sent to an instance has no answer"
    );
}

/// Counts and logs that an exchange is dropped because it was reported to its front as not run.
pub(super) fn log_dropped(exchange: &Exchange, io: &Io) {
    io.context.metrics.events.count(LoggedEvent::RuledOut);
    if io.context.event_log_limiters.dropped_exchanges.admits(io.now) {
        log::info!(event = "ruled_out", id = exchange.request.as_deref().unwrap_or("-"); "dropped a statement that arrived after it was reported to its front as not run");
    }
}

/// Counts and logs that an open transaction is rolled back because of the drain of a zone.
pub fn log_drained(lease: &LeaseId, instance: &InstanceName, io: &Io) {
    io.context.metrics.events.count(LoggedEvent::TransactionDrained);
    if io.context.event_log_limiters.drained_transactions.admits(io.now) {
        log::info!(event = "transaction_drained", lease:? = lease, instance = instance.as_str(); "an open transaction is rolled back: its zone is being drained");
    }
}
