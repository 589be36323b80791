//! Logs one line for each decision about a request. All lines of a request carry its id.
//!
//! Refusals of statements that may have run are always logged. Lines of waits, retries and other
//! refusals (`shared::event_log_limiters`), and of successes, which are routine log lines
//! (`shared::routine_log_lines`), are rate-limited.

use std::time::Duration;

use kestrellock_core::ids::{AccountName, GroupName, InstanceName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::routing::Access;
use kestrellock_program::logging::ROUTINE_TARGET;
use kestrellock_protocol::login::Login;
use kestrellock_protocol::request::Request;

use super::target::RequestTarget;
use crate::event::Io;
use crate::metrics::HeldFor;

/// The id by which the request is found in the log; "-" if there is no request, or if the client's
/// protocol has no request ids.
fn id_of(request: Option<&Request>) -> &str {
    request.and_then(|request| request.id.as_deref()).unwrap_or("-")
}

fn tenant_of(login: Option<&Login>) -> &str {
    login.map_or("-", |login| login.parameters.tenant.as_str())
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Logs the instance or the gateway to which a request was routed.
pub fn log_routed(
    request: &Request,
    login: &Login,
    target: &RequestTarget,
    access: &Access,
    io: &Io,
) {
    // Debug level: whether the request is routine is only known at its end, where it is logged.
    log::debug!(
        event = "routed",
        id = id_of(Some(request)),
        tenant = login.parameters.tenant.as_str(),
        group = login.group.as_str(),
        instance = target.instance.as_ref().map(InstanceName::as_str),
        gateway = target.gateway.as_str(),
        access:? = access,
        revision = io.context.catalog.load().revision.0;
        "sent to an instance"
    );
}

/// Counts and logs that a request waits because no gateway or instance is known.
pub fn log_held(request: &Request, login: &Login, io: &Io) {
    io.context.metrics.held.count(HeldFor::Gateway);
    if !io.context.event_log_limiters.held_at_front.admits(io.now) {
        return;
    }
    log::info!(
        event = "held",
        id = id_of(Some(request)),
        tenant = login.parameters.tenant.as_str(),
        group = login.group.as_str(),
        reason = "no gateway or instance is known",
        revision = io.context.catalog.load().revision.0;
        "waits for an instance"
    );
}

/// Counts and logs that a request is retried after a refusal inside the proxy.
pub fn log_retried(request: &Request, refusal: &Refusal, io: &Io) {
    io.context.metrics.retries.count(refusal.code);
    if !io.context.event_log_limiters.retries.admits(io.now) {
        return;
    }
    log::info!(
        event = "retried",
        id = id_of(Some(request)),
        instance = refusal.instance.as_ref().map(InstanceName::as_str),
        code = refusal.code.to_string().as_str(),
        detail = refusal.detail.as_str(),
        after_ms = milliseconds(io.now.saturating_duration_since(request.arrived));
        "retrying the request"
    );
}

/// Logs a refusal: the proxy answered instead of an instance. Refusals of statements that have not
/// run are rate-limited by code and group.
pub fn log_refused(
    request: Option<&Request>,
    login: Option<&Login>,
    account: Option<&AccountName>,
    instance: Option<&str>,
    refusal: &Refusal,
    io: &Io,
) {
    let group = login.map(|login| &login.group);
    if !io.context.event_log_limiters.refusals.admits(refusal.code, group, io.now) {
        return;
    }
    let after = request.map(|request| io.now.saturating_duration_since(request.arrived));
    log::info!(
        event = "refused",
        id = id_of(request),
        tenant = tenant_of(login),
        account = account.map(AccountName::as_str),
        group = group.map(GroupName::as_str),
        instance = instance,
        code = refusal.code.to_string().as_str(),
        detail = refusal.detail.as_str(),
        retry_after_ms = refusal.retry_after.map(milliseconds),
        after_ms = after.map(milliseconds),
        revision = io.context.catalog.load().revision.0;
        "refused"
    );
}

/// Logs an answer of an instance, unless the rate limit of routine lines is exceeded.
pub fn log_answered(request: &Request, login: &Login, instance: Option<&str>, io: &Io) {
    if !io.context.routine_log_limiter.admits(io.now) {
        return;
    }
    log::info!(
        target: ROUTINE_TARGET,
        event = "answered",
        id = id_of(Some(request)),
        tenant = login.parameters.tenant.as_str(),
        group = login.group.as_str(),
        instance = instance,
        after_ms = milliseconds(io.now.saturating_duration_since(request.arrived)),
        evidence_age_ms = io.context.evidence_age(&login.group, io.now).map(milliseconds);
        "answered"
    );
}
