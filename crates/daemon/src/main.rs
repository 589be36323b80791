//! `kestrellockd`: reads its settings and runs one node.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use kestrellock_daemon::arguments::Arguments;
use kestrellock_daemon::environment::Environment;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::{Backing, Settings};
use kestrellock_program::command_line::{self, UsageError};
use kestrellock_program::logging;
use kestrellock_store::etcd::EtcdStore;
use miette::IntoDiagnostic;

/// Exit code after a second signal, which interrupts a stop before open work is finished.
const EXIT_INTERRUPTED: i32 = 1;
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The settings file is checked for changes at every 20th check for signals, once a second.
const SIGNAL_CHECKS_PER_FILE_CHECK: u32 = 20;

fn main() -> ExitCode {
    command_line::run("kestrellockd", |arguments: Arguments| run(&arguments))
}

fn run(arguments: &Arguments) -> miette::Result<()> {
    if let Some(path) = &arguments.check_settings {
        arguments.read_settings(path)?;
        println!("{}: valid", path.display());
        return Ok(());
    }
    let Some(path) = &arguments.settings else {
        return Err(UsageError("--settings FILE is needed".to_owned()).into());
    };
    let mut settings = arguments.read_settings(path)?;
    settings.read_secrets().map_err(|error| miette::miette!("{}: {error}", error.code))?;
    logging::start(arguments.log_level, arguments.log_format);
    serve(arguments, path, settings)
}

/// Applies a changed settings file. If the file is invalid, the current settings stay in use.
fn reload(arguments: &Arguments, path: &Path, settings: &mut Settings, node: &Node) {
    let changed = match arguments.read_settings(path) {
        Ok(changed) => changed,
        Err(diagnostic) => {
            let number = diagnostic.code.to_string();
            log::error!(event = "reload_refused", code = number.as_str(), error = diagnostic.to_string().as_str(); "the settings file is invalid; keeping the current settings");
            return;
        }
    };
    node.reload(&changed);
    let needs_restart = settings.changes_requiring_restart(&changed);
    log::info!(event = "reload", at_next_start:? = needs_restart; "settings reloaded");
    settings.drain_limit = changed.drain_limit;
    settings.drain_notice = changed.drain_notice;
    settings.drain_transactions = changed.drain_transactions;
    settings.accept_commit_loss = changed.accept_commit_loss;
}

/// When the file was last modified; `None` if that is unknown.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

fn serve(arguments: &Arguments, path: &Path, mut settings: Settings) -> miette::Result<()> {
    let reload_requested = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, reload_requested.clone())
        .into_diagnostic()?;

    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        // A second signal ends the process at once.
        signal_hook::flag::register_conditional_shutdown(signal, EXIT_INTERRUPTED, stop.clone())
            .into_diagnostic()?;
        signal_hook::flag::register(signal, stop.clone()).into_diagnostic()?;
    }
    let listeners = Listeners::bind(&mut settings).into_diagnostic()?;
    let environment = match settings.backing {
        Backing::Postgres => {
            let store = Arc::new(EtcdStore::new(
                settings.store_endpoints.clone(),
                settings.source_address(),
            ));
            Environment::of_postgres(&settings, store)
        }
        Backing::Platform => Environment::of_platform(&settings).into_diagnostic()?,
    };
    let node =
        Node::start_in(&settings, listeners, environment, Policy::Standard).into_diagnostic()?;
    log::info!(event = "start", node = settings.node.as_str(), version = env!("CARGO_PKG_VERSION"); "the node runs");
    let mut modified = modified_at(path);
    let mut checks = 0_u32;
    while !stop.load(Ordering::Acquire) && !node.has_failed() {
        std::thread::sleep(SIGNAL_CHECK_INTERVAL);
        checks += 1;
        let is_due = checks.is_multiple_of(SIGNAL_CHECKS_PER_FILE_CHECK);
        let newest = if is_due { modified_at(path) } else { modified };
        if reload_requested.swap(false, Ordering::AcqRel) || newest != modified {
            modified = modified_at(path);
            reload(arguments, path, &mut settings, &node);
        }
    }
    log::info!(event = "stop", node = settings.node.as_str(); "the node stops");
    let failed = node.has_failed();
    node.stop();
    logging::flush();
    if failed { Err(miette::miette!("a thread of the node failed; see the log")) } else { Ok(()) }
}
