//! The command line: parsing, `--help`, `--version`, and exit codes that are the same everywhere.

use std::process::ExitCode;

use argh::TopLevelCommand;

/// Exit code of a program that did what was asked.
pub const EXIT_DONE: u8 = 0;
/// Exit code of a program that tried and failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a program that was called the wrong way.
pub const EXIT_WRONG_USE: u8 = 2;

/// What a command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Invocation<T> {
    /// Run with these arguments.
    Run(T),
    /// Print this and end well: help or version.
    Print(String),
    /// The command line is wrong; the text says why.
    WrongUse(String),
}

/// Interprets the words of a command line, the program's name not among them.
pub fn interpret<T: TopLevelCommand>(program: &str, words: &[&str]) -> Invocation<T> {
    if words.first() == Some(&"--version") {
        return Invocation::Print(format!("{program} {}", env!("CARGO_PKG_VERSION")));
    }
    match T::from_args(&[program], words) {
        Ok(arguments) => Invocation::Run(arguments),
        Err(early) if early.status.is_ok() => Invocation::Print(early.output),
        Err(early) => Invocation::WrongUse(early.output),
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
    match interpret::<T>(program, &words) {
        Invocation::Run(arguments) => finish(body(arguments)),
        Invocation::Print(text) => {
            println!("{}", text.trim_end());
            ExitCode::from(EXIT_DONE)
        }
        Invocation::WrongUse(text) => {
            eprintln!("{}\nRun {program} --help for more information.", text.trim_end());
            ExitCode::from(EXIT_WRONG_USE)
        }
    }
}

fn finish(outcome: miette::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::from(EXIT_DONE),
        Err(report) => {
            let wrong_use = report.downcast_ref::<WrongUse>().is_some();
            eprintln!("{report:?}");
            ExitCode::from(if wrong_use { EXIT_WRONG_USE } else { EXIT_FAILED })
        }
    }
}

/// Arguments that parse one by one but make no sense together.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{0}")]
pub struct WrongUse(pub String);
