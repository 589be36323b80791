//! The settings file, before flags and defaults are applied.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use kestrellock_core::catalog::Milliseconds;
use kestrellock_core::ids::{GroupName, NodeName, ZoneName};
use kestrellock_core::outcome::ResultCode;
use kestrellock_program::diagnostic::FileDiagnostic;
use serde::{Deserialize, Serialize};

use crate::shared::routine_log_lines::DEFAULT_ROUTINE_LINES_PER_SECOND;

use super::{
    AdminPages, Backing, DEFAULT_CLUSTER, PeerSettings, SecretSources, Secrets, Settings,
    SettingsError,
};

const DEFAULT_SHARDS: u16 = 1;
/// `drain_limit_s` is the time after which the platform kills the process. The drain uses this part
/// of it, so that it ends before the kill.
const DRAIN_SHARE_OF_KILL_TIMEOUT: f64 = 0.95;
/// Accepted bandwidths of a link in Mbit/s: from a modem's to more than any machine has.
const LINK_MBPS: RangeInclusive<f64> = 0.01..=10_000_000.0;
/// Longest time that a planned stop waits for open work, unless set.
pub const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// The fields that a settings file or a flag may set, with the names of the fields of [`Settings`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "documented at the field of the same name in Settings")]
pub struct SettingsFile {
    pub cluster: Option<String>,
    pub node: Option<NodeName>,
    pub zone: Option<ZoneName>,
    pub caller_address: Option<SocketAddr>,
    pub peer_address: Option<SocketAddr>,
    pub advertised_peer_address: Option<SocketAddr>,
    pub admin_address: Option<SocketAddr>,
    #[serde(default)]
    pub admin_pages: AdminPages,
    #[serde(default)]
    pub backing: Backing,
    pub promotion_endpoint: Option<String>,
    pub shards: Option<u16>,
    pub link_mbps: Option<f64>,
    pub revocation_limit_ms: Option<Milliseconds>,
    pub zone_drain_limit_ms: Option<Milliseconds>,
    pub tolerated_zone_losses: Option<u32>,
    #[serde(default)]
    pub prewarm_connections: bool,
    pub share_store_access: Option<bool>,
    pub drain_limit_ms: Option<Milliseconds>,
    pub drain_limit_s: Option<f64>,
    pub drain_notice_ms: Option<Milliseconds>,
    pub drain_transactions_share: Option<f64>,
    pub ordinary_lines_per_second: Option<u32>,
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    #[serde(default)]
    pub store_endpoints: Vec<String>,
    #[serde(default)]
    pub share_instance_capacity: bool,
    #[serde(default)]
    pub accept_commit_loss: BTreeSet<GroupName>,
    pub machine_list: Option<String>,
    #[serde(default)]
    pub secrets: SecretSources,
}

impl SettingsFile {
    /// Applies the defaults. Fails if a field without a default is missing.
    pub fn complete(self) -> Result<Settings, SettingsError> {
        let drain_limit = drain_limit(self.drain_limit_ms, self.drain_limit_s)?;
        let tolerated_zone_losses = self.tolerated_zone_losses.unwrap_or(0);
        // The store may be behind the network partition that separates a zone.
        let shares_store_access = tolerated_zone_losses > 0 && self.backing == Backing::Platform;
        Ok(Settings {
            cluster: self.cluster.unwrap_or_else(|| DEFAULT_CLUSTER.to_owned()),
            node: required(self.node, "node")?,
            zone: required(self.zone, "zone")?,
            caller_address: required(self.caller_address, "caller_address")?,
            peer_address: required(self.peer_address, "peer_address")?,
            advertised_peer_address: self.advertised_peer_address,
            admin_address: required(self.admin_address, "admin_address")?,
            admin_pages: self.admin_pages,
            backing: self.backing,
            promotion_endpoint: self.promotion_endpoint,
            shards: self.shards.unwrap_or(DEFAULT_SHARDS),
            link_mbps: link_mbps(self.link_mbps)?,
            revocation_limit: self.revocation_limit_ms.map(Duration::from),
            zone_drain_limit: self.zone_drain_limit_ms.map(Duration::from),
            tolerated_zone_losses,
            prewarm_connections: self.prewarm_connections,
            share_store_access: self.share_store_access.unwrap_or(shares_store_access),
            drain_limit,
            drain_transactions: drain_transactions(drain_limit, self.drain_transactions_share)?,
            drain_notice: self.drain_notice_ms.map_or(Duration::ZERO, Duration::from),
            share_instance_capacity: self.share_instance_capacity,
            accept_commit_loss: self.accept_commit_loss,
            ordinary_lines_per_second: self
                .ordinary_lines_per_second
                .unwrap_or(DEFAULT_ROUTINE_LINES_PER_SECOND),
            peers: self.peers,
            store_endpoints: self.store_endpoints,
            machine_list: self.machine_list,
            secrets: Secrets::default(),
            secret_sources: self.secrets,
        })
    }
}

/// The drain limit, which is set in milliseconds or in seconds, but not both.
fn drain_limit(
    milliseconds: Option<Milliseconds>,
    seconds: Option<f64>,
) -> Result<Duration, SettingsError> {
    match (milliseconds, seconds) {
        (Some(_), Some(_)) => {
            Err(SettingsError::contradiction("drain_limit_s", "drain_limit_ms is also set"))
        }
        (Some(limit), None) => Ok(limit.into()),
        (None, Some(limit)) => Duration::try_from_secs_f64(limit * DRAIN_SHARE_OF_KILL_TIMEOUT)
            .map_err(|error| SettingsError::invalid("drain_limit_s", error.to_string())),
        (None, None) => Ok(DEFAULT_DRAIN_LIMIT),
    }
}

/// Rounds the bandwidth up to whole Mbit/s, so that a slower link counts as 1 Mbit/s.
fn link_mbps(rate: Option<f64>) -> Result<Option<u32>, SettingsError> {
    match rate {
        Some(rate) if !LINK_MBPS.contains(&rate) => Err(SettingsError::invalid(
            "link_mbps",
            format!("must be {} to {}", LINK_MBPS.start(), LINK_MBPS.end()),
        )),
        rate => Ok(rate.map(|rate| rate.ceil() as u32)),
    }
}

/// The part of the drain limit after which open transactions are ended.
fn drain_transactions(
    limit: Duration,
    share: Option<f64>,
) -> Result<Option<Duration>, SettingsError> {
    match share {
        None => Ok(None),
        Some(share) if (0.0..=1.0).contains(&share) => Ok(Some(limit.mul_f64(share))),
        Some(_) => {
            Err(SettingsError::invalid("drain_transactions_share", "must be between 0 and 1"))
        }
    }
}

fn required<T>(value: Option<T>, field: &str) -> Result<T, SettingsError> {
    value.ok_or_else(|| SettingsError {
        code: ResultCode::SettingsMissingField,
        field: field.to_owned(),
        problem: "must be set".to_owned(),
    })
}

/// Parses the text of the settings file at `path`.
pub fn parse(path: &Path, text: &str) -> Result<SettingsFile, FileDiagnostic> {
    toml::from_str(text).map_err(|error| {
        let code = match error.message().starts_with("unknown field") {
            true => ResultCode::SettingsUnknownField,
            false => ResultCode::SettingsMalformed,
        };
        let name = path.display().to_string();
        FileDiagnostic::new(code, error.message(), error.span(), &name, text)
    })
}
