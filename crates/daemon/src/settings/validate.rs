//! Validation of settings: the range of each field, and contradictions between fields.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use kestrellock_core::catalog::is_name;
use kestrellock_core::outcome::ResultCode;
use kestrellock_program::secret::SecretError;
use thiserror::Error;

use super::{AdminPages, Backing, Settings};

const MAX_SHARDS: u16 = 256;
/// Accepted revocation limits. Nodes must be able to confirm their credentials with the store or
/// other nodes within the lower bound; a limit above the upper bound would have no practical
/// effect.
const REVOCATION_LIMIT: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(600);
/// Accepted limits of a zone drain. A drain reaches every node within the lower bound of one
/// second; a limit above the upper bound would have no practical effect.
const ZONE_DRAIN_LIMIT: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(600);
/// Largest accepted number of zones without which a deployment must be able to serve; more than any
/// deployment has.
const MAX_TOLERATED_ZONE_LOSSES: u32 = 100;
/// During a key rotation, the old and the new key are both accepted.
const MAX_CLUSTER_KEYS: usize = 2;

/// A numbered error in one field.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// Number of the error.
    pub code: ResultCode,
    /// Path of the field, such as `peers[0].address`.
    pub field: String,
    /// Description of the error.
    pub problem: String,
}

impl SettingsError {
    pub(super) fn invalid(field: impl Into<String>, problem: impl Into<String>) -> Self {
        let code = ResultCode::SettingsInvalidValue;
        Self { code, field: field.into(), problem: problem.into() }
    }

    pub(super) fn contradiction(field: impl Into<String>, problem: impl Into<String>) -> Self {
        let code = ResultCode::SettingsContradiction;
        Self { code, field: field.into(), problem: problem.into() }
    }

    pub(super) fn secret(field: String, error: &SecretError) -> Self {
        let code = ResultCode::SecretUnavailable;
        Self { code, field, problem: error.to_string() }
    }
}

/// Validates every field, and the fields against each other.
pub fn validate(settings: &Settings) -> Result<(), SettingsError> {
    check_name("cluster", &settings.cluster)?;
    check_name("node", settings.node.as_str())?;
    check_name("zone", settings.zone.as_str())?;
    if settings.shards == 0 || settings.shards > MAX_SHARDS {
        return Err(SettingsError::invalid("shards", format!("must be 1 to {MAX_SHARDS}")));
    }
    check_addresses(settings)?;
    check_peers(settings)?;
    check_store(settings)?;
    check_drain(settings)?;
    check_revocation(settings)?;
    check_zone_drain(settings)?;
    check_zone_losses(settings)?;
    check_store_access(settings)?;
    check_secrets(settings)
}

fn check_drain(settings: &Settings) -> Result<(), SettingsError> {
    match settings.drain_notice > settings.drain_limit {
        true => Err(SettingsError::contradiction(
            "drain_notice_ms",
            "must not be longer than the drain limit",
        )),
        false => Ok(()),
    }
}

fn check_revocation(settings: &Settings) -> Result<(), SettingsError> {
    let Some(limit) = settings.revocation_limit else { return Ok(()) };
    if !REVOCATION_LIMIT.contains(&limit) {
        let problem =
            "must be 1000 to 600000: nodes confirm their credentials within a third of this time";
        return Err(SettingsError::invalid("revocation_limit_ms", problem));
    }
    Ok(())
}

fn check_zone_drain(settings: &Settings) -> Result<(), SettingsError> {
    match settings.zone_drain_limit {
        Some(limit) if !ZONE_DRAIN_LIMIT.contains(&limit) => Err(SettingsError::invalid(
            "zone_drain_limit_ms",
            "must be 1000 to 600000: a zone drain takes up to a second to reach every node",
        )),
        _ => Ok(()),
    }
}

fn check_zone_losses(settings: &Settings) -> Result<(), SettingsError> {
    match settings.tolerated_zone_losses > MAX_TOLERATED_ZONE_LOSSES {
        true => Err(SettingsError::invalid(
            "tolerated_zone_losses",
            format!("must be 0 to {MAX_TOLERATED_ZONE_LOSSES}"),
        )),
        false => Ok(()),
    }
}

/// Nodes vote on primaries only where the groups do not elect their own.
fn check_store_access(settings: &Settings) -> Result<(), SettingsError> {
    match settings.share_store_access && settings.backing != Backing::Platform {
        true => Err(SettingsError::contradiction(
            "share_store_access",
            "has an effect only if backing is \"platform\"",
        )),
        false => Ok(()),
    }
}

fn check_name(field: &str, name: &str) -> Result<(), SettingsError> {
    match is_name(name) {
        true => Ok(()),
        false => Err(SettingsError::invalid(
            field,
            "must be 1 to 63 lower-case letters, digits, - or _, and begin with a letter",
        )),
    }
}

fn check_addresses(settings: &Settings) -> Result<(), SettingsError> {
    let listening = [
        ("caller_address", settings.caller_address),
        ("peer_address", settings.peer_address),
        ("admin_address", settings.admin_address),
    ];
    for (index, (field, address)) in listening.iter().enumerate() {
        let clash = listening[..index].iter().find(|(_, other)| clashes(*address, *other));
        if let Some((other, _)) = clash {
            return Err(SettingsError::contradiction(*field, format!("is the same as {other}")));
        }
    }
    if let Some(advertised) = settings.advertised_peer_address {
        check_reachable("advertised_peer_address", advertised)
    } else if settings.peer_address.ip().is_unspecified() {
        let problem = "must be set when peer_address is an unspecified address";
        Err(SettingsError::contradiction("advertised_peer_address", problem))
    } else {
        Ok(())
    }
}

fn clashes(one: SocketAddr, other: SocketAddr) -> bool {
    let same_host =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    same_host && one.port() == other.port() && one.port() != 0
}

fn check_reachable(field: &str, address: SocketAddr) -> Result<(), SettingsError> {
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(SettingsError::invalid(field, "must be a specific address and port"));
    }
    Ok(())
}

fn check_peers(settings: &Settings) -> Result<(), SettingsError> {
    let mut names = BTreeSet::from([&settings.node]);
    let mut addresses = BTreeSet::new();
    for (index, peer) in settings.peers.iter().enumerate() {
        let field = format!("peers[{index}]");
        check_name(&format!("{field}.node"), peer.node.as_str())?;
        check_name(&format!("{field}.zone"), peer.zone.as_str())?;
        check_reachable(&format!("{field}.address"), peer.address)?;
        if !names.insert(&peer.node) {
            let problem = format!("{} is listed twice", peer.node);
            return Err(SettingsError::contradiction(format!("{field}.node"), problem));
        }
        if !addresses.insert(peer.address) {
            let problem = format!("{} is listed twice", peer.address);
            return Err(SettingsError::contradiction(format!("{field}.address"), problem));
        }
    }
    Ok(())
}

fn check_store(settings: &Settings) -> Result<(), SettingsError> {
    let mut known = BTreeSet::new();
    for (index, endpoint) in settings.store_endpoints.iter().enumerate() {
        let field = format!("store_endpoints[{index}]");
        check_url(&field, endpoint)?;
        if !known.insert(endpoint.trim_end_matches('/')) {
            return Err(SettingsError::contradiction(field, "is listed twice"));
        }
    }
    if settings.store_endpoints.is_empty() {
        return Err(SettingsError::invalid("store_endpoints", "must list at least one endpoint"));
    }
    for (field, url) in [
        ("machine_list", &settings.machine_list),
        ("promotion_endpoint", &settings.promotion_endpoint),
    ] {
        url.as_ref().map_or(Ok(()), |url| check_url(field, url))?;
    }
    Ok(())
}

fn check_url(field: &str, url: &str) -> Result<(), SettingsError> {
    let host = url.strip_prefix("http://").unwrap_or_default();
    let host = host.split('/').next().unwrap_or_default();
    match host.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(SettingsError::invalid(field, "must look like http://127.0.0.1:2379")),
    }
}

fn check_secrets(settings: &Settings) -> Result<(), SettingsError> {
    let sources = &settings.secret_sources;
    let contradiction =
        |field: String, error: SecretError| SettingsError::contradiction(field, error.to_string());
    match &sources.admin_token {
        Some(token) => {
            token
                .check()
                .map_err(|error| contradiction("secrets.admin_token".to_owned(), error))?;
        }
        None if settings.admin_pages == AdminPages::Health => {}
        None => {
            return Err(SettingsError {
                code: ResultCode::SettingsMissingField,
                field: "secrets.admin_token".to_owned(),
                problem: "must be set".to_owned(),
            });
        }
    }
    if sources.cluster_keys.len() > MAX_CLUSTER_KEYS {
        let problem = format!("must be at most {MAX_CLUSTER_KEYS}");
        return Err(SettingsError::invalid("secrets.cluster_keys", problem));
    }
    let has_others = !settings.peers.is_empty()
        || settings.machine_list.is_some()
        || settings.backing == Backing::Platform;
    if has_others && sources.cluster_keys.is_empty() {
        let problem = "must be set if there are other nodes";
        return Err(SettingsError::contradiction("secrets.cluster_keys", problem));
    }
    for (index, source) in sources.cluster_keys.iter().enumerate() {
        let field = format!("secrets.cluster_keys[{index}]");
        source.check().map_err(|error| contradiction(field, error))?;
    }
    for (role, source) in &sources.backend_passwords {
        let field = format!("secrets.backend_passwords.{role}");
        source.check().map_err(|error| contradiction(field, error))?;
    }
    Ok(())
}
