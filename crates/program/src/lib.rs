//! Code shared by the three programs: command line, exit codes, diagnostics, logging and secrets.

pub mod command_line;
pub mod diagnostic;
pub mod logging;
pub mod secret;
