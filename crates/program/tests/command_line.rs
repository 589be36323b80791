//! Help, version and wrong use of a command line.

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
fn words_lead_to_run_print_or_wrong_use() {
    let parse = |words: &[&str]| parse::<Sample>("sample", words);
    assert_eq!(parse(&["--number", "7"]), Invocation::Run(Sample { number: 7 }));
    assert!(matches!(parse(&["--help"]), Invocation::Print(text) if text.contains("--number")));
    assert!(
        matches!(parse(&["--version"]), Invocation::Print(text) if text.starts_with("sample "))
    );
    for wrong in [&["--number", "seven"][..], &["--nmber", "7"], &[], &["stray"]] {
        assert!(matches!(parse(wrong), Invocation::UsageError(_)), "{wrong:?}");
    }
}
