//! `kestrellockctl`: the operators' command line.

use std::process::ExitCode;

use kestrellock_program::command_line;

fn main() -> ExitCode {
    command_line::run("kestrellockctl", |arguments| {
        kestrellock_ctl::run(arguments, &mut std::io::stdout())
    })
}
