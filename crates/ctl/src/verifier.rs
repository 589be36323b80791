//! Verifiers of passwords and digests of keys. Secrets are read from standard input only, so that
//! they appear neither in process lists nor in shell histories.

use std::io::{BufRead, Write};

use kestrellock_core::credential::CredentialDigest;
use kestrellock_core::scram::Verifier;
use kestrellock_program::command_line::UsageError;
use miette::{IntoDiagnostic, Result};

use crate::arguments::VerifierArguments;
use crate::line;

/// Reads a password and prints its verifier.
pub fn print_verifier(
    arguments: &VerifierArguments,
    input: &mut dyn BufRead,
    output: &mut dyn Write,
) -> Result<()> {
    let password = read_secret(input)?;
    if password.is_empty() || arguments.iterations == 0 {
        let problem = "a password on standard input and at least one iteration are required";
        return Err(UsageError(problem.to_owned()).into());
    }
    line(output, Verifier::from_password(&password, rand::random(), arguments.iterations))
}

/// Reads a key and prints its digest.
pub fn print_digest(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<()> {
    let key = read_secret(input)?;
    if key.is_empty() || key.contains(char::is_whitespace) {
        let problem = "a key without whitespace is required on standard input";
        return Err(UsageError(problem.to_owned()).into());
    }
    line(output, CredentialDigest::of(&key))
}

/// Reads the first line of the input, without its line ending.
fn read_secret(input: &mut dyn BufRead) -> Result<String> {
    let mut secret = String::new();
    input.read_line(&mut secret).into_diagnostic()?;
    Ok(secret.trim_end_matches(['\r', '\n']).to_owned())
}
