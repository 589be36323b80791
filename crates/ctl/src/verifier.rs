//! Verifiers of passwords. A password comes from standard input alone, so that it stands in no
//! list of processes and no shell history.

use std::io::{BufRead, Write};

use kestrellock_core::scram::Verifier;
use kestrellock_program::command_line::WrongUse;
use miette::{IntoDiagnostic, Result};

use crate::arguments::VerifierArguments;
use crate::line;

/// Reads a password's line and prints its verifier.
pub fn make(
    arguments: &VerifierArguments,
    input: &mut dyn BufRead,
    output: &mut dyn Write,
) -> Result<()> {
    let mut password = String::new();
    input.read_line(&mut password).into_diagnostic()?;
    let password = password.trim_end_matches(['\r', '\n']);
    if password.is_empty() || arguments.iterations == 0 {
        let problem = "a password on standard input and at least one iteration are needed";
        return Err(WrongUse(problem.to_owned()).into());
    }
    line(output, Verifier::from_password(password, rand::random(), arguments.iterations))
}
