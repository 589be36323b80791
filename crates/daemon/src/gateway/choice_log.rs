//! The log lines `chosen` and `held`: on what evidence an instance was chosen for an exchange, or
//! which evidence is missing.
//!
//! Waits are counted, and their lines are rate-limited (`shared::event_log_limiters`). Choices are
//! logged at the debug level, because there is one for each read and transaction. Fields of evidence
//! that does not exist are empty.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_peer::message::Exchange;

use super::instance_choice::{ChoiceBasis, InstanceChoice};
use crate::event::Io;
use crate::metrics::HeldFor;

/// An exchange, and what the choice for it was based on.
pub(super) struct Placed<'a> {
    pub exchange: &'a Exchange,
    pub group: &'a GroupName,
    pub arrived: Instant,
    pub staleness: Option<Duration>,
    pub basis: &'a ChoiceBasis,
}

/// Logs the instance that was chosen, and the evidence that covers the choice. All ages are those
/// at the time of the choice.
pub(super) fn log_chosen(placed: &Placed, instance: &InstanceName, io: &Io) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let Placed { exchange, group, arrived, staleness, basis } = placed;
    let age = |at: Instant| io.now.saturating_duration_since(at).as_millis() as u64;
    let (coverage, sample) = (basis.coverage, basis.sample.as_ref());
    let primary = basis.primary.as_ref();
    log::debug!(
        event = "chosen",
        id = exchange.request.as_deref().unwrap_or("-"),
        lease:? = exchange.lease,
        group = group.as_str(),
        instance = instance.as_str(),
        role:? = basis.announced_role,
        primary = primary.map(|(primary, _)| primary.as_str()),
        led_term = primary.and_then(|(_, term)| term.map(|term| term.0)),
        access:? = exchange.access,
        staleness_ms = staleness.map(|staleness| staleness.as_millis() as u64),
        arrived_ms = age(*arrived),
        must_cover_ms = basis.must_cover.map(age),
        evidence:? = coverage.map(|coverage| coverage.kind),
        evidence_age_ms = coverage.map(|coverage| age(coverage.requested_at)),
        check_age_ms = coverage.and_then(|coverage| coverage.replacement_check_at).map(age),
        position = sample.map(|sample| sample.position.to_string()).as_deref(),
        position_of = sample.map(|sample| sample.instance.as_str()),
        position_age_ms = sample.map(|sample| age(sample.queried_at)),
        revision = io.context.catalog.load().revision.0;
        "an instance was chosen"
    );
}

/// Counts and logs that an exchange waits, and the evidence that there is.
pub(super) fn log_held(placed: &Placed, waits: &InstanceChoice, io: &Io) {
    let (held_for, reason) = match waits {
        InstanceChoice::NeedsEvidence => (HeldFor::Evidence, "no evidence that the primary leads"),
        InstanceChoice::NeedsSessionTerm => (
            HeldFor::SessionTerm,
            "the primary leads a lower term than the one of the session's last commit",
        ),
        InstanceChoice::NeedsStore => (
            HeldFor::ReplacementCheck,
            "neither the store nor every other node has confirmed that the primary is not being replaced",
        ),
        InstanceChoice::NoneQualifies | InstanceChoice::Instance(_) => {
            (HeldFor::Instance, "no instance qualifies")
        }
    };
    io.context.metrics.held.count(held_for);
    if !io.context.event_log_limiters.held_at_gateway.admits(io.now) {
        return;
    }
    let Placed { exchange, group, arrived, basis, .. } = placed;
    let age = |at: Instant| io.now.saturating_duration_since(at).as_millis() as u64;
    let evidence = io.context.evidence_age(group, io.now);
    let primary = basis.primary.as_ref();
    log::info!(
        event = "held",
        id = exchange.request.as_deref().unwrap_or("-"),
        tenant = exchange.tenant.as_str(),
        group = group.as_str(),
        reason = reason,
        primary = primary.map(|(primary, _)| primary.as_str()),
        led_term = primary.and_then(|(_, term)| term.map(|term| term.0)),
        arrived_ms = age(*arrived),
        must_cover_ms = basis.must_cover.map(age),
        evidence_age_ms = evidence.map(|age| age.as_millis() as u64),
        lacks_claim = basis.lacks_claim,
        revision = io.context.catalog.load().revision.0;
        "waits for an instance"
    );
}
