//! The command line: parsing, `--help`, `--version`, and exit codes that are the same everywhere.

use std::process::ExitCode;

use argh::TopLevelCommand;

/// Exit code of a program that did what was asked.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code of a program that tried and failed.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of a program that was called the wrong way.
pub const EXIT_USAGE_ERROR: u8 = 2;

/// What a command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Invocation<T> {
    /// Run with these arguments.
    Run(T),
    /// Print this and end well: help or version.
    Print(String),
    /// The command line is wrong; the text says why.
    UsageError(String),
}

/// Interprets the words of a command line, the program's name not among them.
pub fn parse<T: TopLevelCommand>(program: &str, words: &[&str]) -> Invocation<T> {
    if words.first() == Some(&"--version") {
        return Invocation::Print(format!("{program} {}", env!("CARGO_PKG_VERSION")));
    }
    match T::from_args(&[program], words) {
        Ok(arguments) => Invocation::Run(arguments),
        Err(early) if early.status.is_ok() => Invocation::Print(early.output),
        Err(early) => Invocation::UsageError(early.output),
    }
}

/// Runs a program on this process's command line and gives its exit code.
pub fn run<T: TopLevelCommand>(
    program: &str,
    body: impl FnOnce(T) -> miette::Result<()>,
) -> ExitCode {
    let words: Vec<String> =
        std::env::args_os().skip(1).map(|word| word.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match parse::<T>(program, &words) {
        Invocation::Run(arguments) => finish(body(arguments)),
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

fn finish(outcome: miette::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::from(EXIT_SUCCESS),
        Err(report) => {
            let wrong_use = report.downcast_ref::<UsageError>().is_some();
            eprintln!("{report:?}");
            ExitCode::from(if wrong_use { EXIT_USAGE_ERROR } else { EXIT_FAILURE })
        }
    }
}

/// Arguments that parse one by one but make no sense together.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{0}")]
pub struct UsageError(pub String);
