//! Command line of `kestrellockd`. A flag overrides the settings field of the same name.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::outcome::ResultCode;
use kestrellock_program::diagnostic::{FileDiagnostic, span_of};
use kestrellock_program::logging::LogFormat;
use log::LevelFilter;

use crate::settings::{self, Settings, SettingsError, SettingsFile};

/// kestrellock proxy daemon
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// settings file
    #[argh(option, short = 's')]
    pub settings: Option<PathBuf>,
    /// check this settings file, with the other flags applied, and exit
    #[argh(option)]
    pub check_settings: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// name of the cluster
    #[argh(option)]
    pub cluster: Option<String>,
    /// name of this node
    #[argh(option)]
    pub node: Option<String>,
    /// zone of this node
    #[argh(option)]
    pub zone: Option<String>,
    /// address for client connections
    #[argh(option)]
    pub caller_address: Option<SocketAddr>,
    /// address for connections from other nodes
    #[argh(option)]
    pub peer_address: Option<SocketAddr>,
    /// address at which other nodes reach this one, if it differs from the peer address
    #[argh(option)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// address of the admin port
    #[argh(option)]
    pub admin_address: Option<SocketAddr>,
    /// number of event-loop threads
    #[argh(option)]
    pub shards: Option<u16>,
    /// endpoint of the configuration store; may be repeated
    #[argh(option)]
    pub store_endpoint: Vec<String>,
    /// URL of the platform's machine list
    #[argh(option)]
    pub machine_list: Option<String>,
    /// least severe level that is logged: error, warn, info, debug or trace
    #[argh(option, default = "LevelFilter::Info")]
    pub log_level: LevelFilter,
    /// format of log lines: text or json
    #[argh(option, default = "LogFormat::Text")]
    pub log_format: LogFormat,
}

impl Arguments {
    /// Overrides fields of a settings file with the flags that are set.
    pub fn override_fields(&self, file: &mut SettingsFile) {
        replace(&mut file.cluster, self.cluster.clone());
        replace(&mut file.node, self.node.as_deref().map(NodeName::new));
        replace(&mut file.zone, self.zone.as_deref().map(ZoneName::new));
        replace(&mut file.caller_address, self.caller_address);
        replace(&mut file.peer_address, self.peer_address);
        replace(&mut file.advertised_peer_address, self.advertised_peer_address);
        replace(&mut file.admin_address, self.admin_address);
        replace(&mut file.shards, self.shards);
        replace(&mut file.machine_list, self.machine_list.clone());
        if !self.store_endpoint.is_empty() {
            file.store_endpoints.clone_from(&self.store_endpoint);
        }
    }

    /// Reads the file, applies the flags, and validates the result.
    pub fn read_settings(&self, path: &Path) -> Result<Settings, FileDiagnostic> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let message = format!("cannot read {name}: {error}");
            FileDiagnostic::new(ResultCode::SettingsUnreadable, message, None, &name, "")
        })?;
        self.settings_from(path, &text)
    }

    /// Like [`Arguments::read_settings`], for a file whose content is `text`.
    pub fn settings_from(&self, path: &Path, text: &str) -> Result<Settings, FileDiagnostic> {
        let mut file = settings::parse(path, text)?;
        self.override_fields(&mut file);
        let diagnose = |error: SettingsError| {
            let span = span_of(text, &error.field);
            let name = path.display().to_string();
            FileDiagnostic::new(error.code, error.to_string(), span, &name, text)
        };
        let settings = file.complete().map_err(diagnose)?;
        settings::validate(&settings).map_err(diagnose)?;
        Ok(settings)
    }
}

fn replace<T>(field: &mut Option<T>, flag: Option<T>) {
    if flag.is_some() {
        *field = flag;
    }
}
