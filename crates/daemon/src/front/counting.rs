//! Counts the ends of statements and refusals in the metrics.

use std::time::Duration;

use kestrellock_core::outcome::{Execution, Refusal};
use kestrellock_peer::message::LeaseEvent;
use kestrellock_protocol::login::Login;
use kestrellock_protocol::request::Request;

use crate::event::Io;
use crate::metrics::StatementResult;

/// Counts the end of an exchange. `read_only`: no exchange of its lease can have written.
pub fn ended(
    event: &LeaseEvent,
    login: Option<&Login>,
    request: Option<&Request>,
    read_only: bool,
    io: &Io,
) {
    match event {
        LeaseEvent::Part(_) | LeaseEvent::NotOwner { .. } | LeaseEvent::NotInProgress { .. } => {}
        LeaseEvent::Refused(refusal) => refused(refusal, io),
        LeaseEvent::Done { .. } => {
            let (Some(login), Some(request)) = (login, request) else { return };
            let result = match read_only {
                true => StatementResult::ReadAnswered,
                false => StatementResult::WriteAnswered,
            };
            let limit = Duration::from(login.parameters.values.deadline_ms);
            let left = request.deadline.saturating_duration_since(io.now);
            io.context.metrics.count_statement(result, limit.saturating_sub(left));
        }
    }
}

/// Counts a refusal: the proxy answered instead of an instance.
pub fn refused(refusal: &Refusal, io: &Io) {
    let metrics = &io.context.metrics;
    metrics.count_code(refusal.code);
    metrics.statements.count(match refusal.code.execution() {
        Execution::NotRun => StatementResult::NotRun,
        Execution::InDoubt => StatementResult::InDoubt,
        Execution::Ran => StatementResult::WriteAnswered,
    });
}
