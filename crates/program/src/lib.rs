//! What the three programs share: command line, exit codes, diagnostics, logging and secrets.

pub mod command_line;
pub mod diagnostic;
pub mod logging;
pub mod secret;
