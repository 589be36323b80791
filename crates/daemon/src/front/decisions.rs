//! One log line for each decision that touches a request, found by the request's id.
//!
//! What is not an ordinary success is always told. Ordinary successes are told up to a rate
//! (`shared::routine_log_lines`).

use std::time::Duration;

use kestrellock_core::ids::{AccountName, InstanceName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::routing::Access;
use kestrellock_program::logging::ORDINARY;
use kestrellock_protocol::login::Login;
use kestrellock_protocol::request::Request;

use super::target::Target;
use crate::event::Io;

/// The request's id, as far as the protocol has one.
fn id_of(request: Option<&Request>) -> &str {
    request.and_then(|request| request.id.as_deref()).unwrap_or("-")
}

fn tenant_of(login: Option<&Login>) -> &str {
    login.map_or("-", |login| login.parameters.tenant.as_str())
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// The request was sent to an instance.
pub fn routed(request: &Request, login: &Login, target: &Target, access: &Access, io: &Io) {
    // Whether it is ordinary shows at its end: the line that tells of it stands there.
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

/// The request waits, because no instance qualifies.
pub fn held(request: &Request, login: &Login, io: &Io) {
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

/// The request goes out again after a refusal inside the proxy.
pub fn retried(request: &Request, refusal: &Refusal, io: &Io) {
    log::info!(
        event = "retried",
        id = id_of(Some(request)),
        instance = refusal.instance.as_ref().map(InstanceName::as_str),
        code = refusal.code.to_string().as_str(),
        detail = refusal.detail.as_str(),
        after_ms = milliseconds(io.now.saturating_duration_since(request.arrived));
        "goes out again"
    );
}

/// The proxy answered in place of a back end.
pub fn refused(
    request: Option<&Request>,
    login: Option<&Login>,
    account: Option<&AccountName>,
    instance: Option<&str>,
    refusal: &Refusal,
    io: &Io,
) {
    let after = request.map(|request| io.now.saturating_duration_since(request.arrived));
    log::info!(
        event = "refused",
        id = id_of(request),
        tenant = tenant_of(login),
        account = account.map(AccountName::as_str),
        group = login.map(|login| login.group.as_str()),
        instance = instance,
        code = refusal.code.to_string().as_str(),
        detail = refusal.detail.as_str(),
        retry_after_ms = refusal.retry_after.map(milliseconds),
        after_ms = after.map(milliseconds),
        revision = io.context.catalog.load().revision.0;
        "refused"
    );
}

/// A back end answered.
pub fn answered(request: &Request, login: &Login, instance: Option<&str>, io: &Io) {
    if !io.context.ordinary_lines.admits(io.now) {
        return;
    }
    log::info!(
        target: ORDINARY,
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
