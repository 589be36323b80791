//! `kestrellockd`: reads its settings and runs one node.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use argh::FromArgs;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use kestrellock_platform::etcd::EtcdStore;
use miette::{IntoDiagnostic, NamedSource, SourceSpan, miette};

const SIGNAL_CHECK: Duration = Duration::from_millis(50);

/// kestrellock proxy daemon
#[derive(FromArgs)]
struct Arguments {
    /// settings file
    #[argh(option, short = 's')]
    settings: Option<PathBuf>,
    /// check this settings file and exit
    #[argh(option)]
    check_settings: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> miette::Result<()> {
    if arguments.version {
        println!("kestrellockd {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if let Some(path) = &arguments.check_settings {
        read_settings(path)?;
        println!("{}: valid", path.display());
        return Ok(());
    }
    let path = arguments.settings.as_ref().ok_or_else(|| miette!("--settings FILE is needed"))?;
    logforth::starter_log::stdout().apply();
    serve(read_settings(path)?)
}

fn read_settings(path: &PathBuf) -> miette::Result<Settings> {
    let text = std::fs::read_to_string(path).into_diagnostic()?;
    toml::from_str(&text).map_err(|error| {
        let span: SourceSpan = error.span().unwrap_or(0..0).into();
        let label = miette::LabeledSpan::at(span, error.message().to_owned());
        miette!(labels = vec![label], "invalid settings")
            .with_source_code(NamedSource::new(path.display().to_string(), text.clone()))
    })
}

fn serve(mut settings: Settings) -> miette::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).into_diagnostic()?;
    }
    let listeners = Listeners::bind(&mut settings).into_diagnostic()?;
    let store = Arc::new(EtcdStore::new(settings.store_endpoints.clone()));
    let node = Node::start(&settings, listeners, store, Policy::Standard).into_diagnostic()?;
    while !stop.load(Ordering::Acquire) && !node.has_failed() {
        std::thread::sleep(SIGNAL_CHECK);
    }
    node.stop();
    Ok(())
}
