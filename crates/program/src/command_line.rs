//! The command line: parsing, `--help`, `--version`, and the exit codes that all programs share.

use std::process::ExitCode;

use argh::TopLevelCommand;

/// Exit code of a program that succeeded.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code of a program that failed.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of a program that was called with invalid arguments.
pub const EXIT_USAGE_ERROR: u8 = 2;

/// What a command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Invocation<T> {
    /// Run with these arguments.
    Run(T),
    /// Print this text, help or version, and exit successfully.
    Print(String),
    /// The command line is invalid; the text says why.
    UsageError(String),
}

/// Parses command-line arguments, without the program's name.
pub fn parse<T: TopLevelCommand>(program: &str, args: &[&str]) -> Invocation<T> {
    if args.first() == Some(&"--version") {
        return Invocation::Print(format!("{program} {}", env!("CARGO_PKG_VERSION")));
    }
    match T::from_args(&[program], args) {
        Ok(arguments) => Invocation::Run(arguments),
        Err(early) if early.status.is_ok() => Invocation::Print(early.output),
        Err(early) => Invocation::UsageError(early.output),
    }
}

/// Runs a program with this process's command line and returns its exit code.
pub fn run<T: TopLevelCommand>(
    program: &str,
    body: impl FnOnce(T) -> miette::Result<()>,
) -> ExitCode {
    let args: Vec<String> =
        std::env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match parse::<T>(program, &args) {
        Invocation::Run(arguments) => exit_code(body(arguments)),
        Invocation::Print(text) => {
            println!("{}", text.trim_end());
            ExitCode::from(EXIT_SUCCESS)
        }
        Invocation::UsageError(text) => {
            eprintln!("{}\nRun {program} --help for more information.", text.trim_end());
            ExitCode::from(EXIT_USAGE_ERROR)
        }
    }
}

fn exit_code(outcome: miette::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::from(EXIT_SUCCESS),
        Err(report) => {
            let is_usage_error = report.downcast_ref::<UsageError>().is_some();
            eprintln!("{report:?}");
            ExitCode::from(if is_usage_error { EXIT_USAGE_ERROR } else { EXIT_FAILURE })
        }
    }
}

/// Arguments that are valid one by one but not in combination.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{0}")]
pub struct UsageError(pub String);
