//! Help, version and usage errors of a command line.

use argh::FromArgs;
use kestrellock_program::command_line::{Invocation, parse};

/// sample program
#[derive(Debug, PartialEq, FromArgs)]
struct Sample {
    /// a number
    #[argh(option)]
    number: u8,
}

#[test]
fn arguments_are_parsed_printed_or_rejected() {
    let parse = |args: &[&str]| parse::<Sample>("sample", args);
    assert_eq!(parse(&["--number", "7"]), Invocation::Run(Sample { number: 7 }));
    assert!(matches!(parse(&["--help"]), Invocation::Print(text) if text.contains("--number")));
    assert!(
        matches!(parse(&["--version"]), Invocation::Print(text) if text.starts_with("sample "))
    );
    for invalid in [&["--number", "seven"][..], &["--nmber", "7"], &[], &["stray"]] {
        assert!(matches!(parse(invalid), Invocation::UsageError(_)), "{invalid:?}");
    }
}
