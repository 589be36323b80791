//! Drives the whole path on the platform's stand-ins and checks what comes back.

use std::fmt;

use kestrellock_core::catalog::Consistency;
use miette::{ensure, miette};

use super::client::LineSession;
use super::{GROUPS, Platform, PlatformOptions, database, wait};

/// Writes of each session.
const WRITES: usize = 20;

/// Counts of what was checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckCounts {
    /// Writes acknowledged.
    pub writes: usize,
    /// Reads that saw what they had to.
    pub reads: usize,
    /// Transactions committed or rolled back.
    pub transactions: usize,
    /// Statements by prepared names.
    pub prepared: usize,
    /// Refusals with the word that was due.
    pub refusals: usize,
    /// Primaries replaced.
    pub replaced: usize,
}

impl fmt::Display for CheckCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = [
            (self.writes, "writes acknowledged"),
            (self.reads, "reads that saw what they had to"),
            (self.transactions, "transactions committed or rolled back"),
            (self.prepared, "statements by prepared names"),
            (self.refusals, "refusals with the word that was due"),
            (self.replaced, "primaries replaced without an acknowledged write lost"),
        ];
        for (count, what) in lines {
            writeln!(formatter, "{count:>5}  {what}")?;
        }
        Ok(())
    }
}

/// Starts the platform and checks the whole path.
pub fn run() -> miette::Result<CheckCounts> {
    let platform = Platform::start(PlatformOptions::default())?;
    platform.wait_until_ready()?;
    let mut checked = CheckCounts::default();
    for group in GROUPS {
        check_sessions(&platform, group, &mut checked)?;
        check_transactions(&platform, group, &mut checked)?;
        check_prepared(&platform, group, &mut checked)?;
    }
    check_refusals(&platform, &mut checked)?;
    check_replacement(&platform, &mut checked)?;
    Ok(checked)
}

/// A session that writes sees it on every later read, whichever instance serves that; and so does a
/// new session of a route to the primary, at another node.
fn check_sessions(
    platform: &Platform,
    group: &str,
    checked: &mut CheckCounts,
) -> miette::Result<()> {
    let own = database(group, Consistency::Session);
    let primary = database(group, Consistency::Primary);
    let mut session = LineSession::open(platform.client_addresses[0], &own, "own")?;
    let mut other = LineSession::open(platform.client_addresses[1], &primary, "other")?;
    for number in 0..WRITES {
        let value = format!("value-{number}");
        let written = session.run(&format!("WRITE thing-{group} {value}"))?;
        ensure!(written.is_success(), "a write was refused: {written:?}");
        checked.writes += 1;
        for reader in [&mut session, &mut other] {
            let read = reader.run(&format!("READ thing-{group}"))?;
            ensure!(read.rows == [value.clone()], "{value} was not seen: {read:?}");
            checked.reads += 1;
        }
    }
    Ok(())
}

fn check_transactions(
    platform: &Platform,
    group: &str,
    checked: &mut CheckCounts,
) -> miette::Result<()> {
    let name = database(group, Consistency::Primary);
    let mut session = LineSession::open(platform.client_addresses[2], &name, "transactions")?;
    for (end, kept) in [("COMMIT", "new"), ("ROLLBACK", "old")] {
        session.run(&format!("WRITE account-{group} old"))?;
        for text in ["BEGIN", &format!("WRITE account-{group} new"), end] {
            let answer = session.run(text)?;
            ensure!(answer.is_success(), "{text}: {answer:?}");
        }
        let read = session.run(&format!("READ account-{group}"))?;
        ensure!(read.rows == [kept], "after {end}: {read:?}");
        checked.transactions += 1;
    }
    Ok(())
}

fn check_prepared(
    platform: &Platform,
    group: &str,
    checked: &mut CheckCounts,
) -> miette::Result<()> {
    let name = database(group, Consistency::Session);
    let mut one = LineSession::open(platform.client_addresses[0], &name, "prepared-1")?;
    let mut two = LineSession::open(platform.client_addresses[0], &name, "prepared-2")?;
    one.run("PREPARE s WRITE shape-a")?;
    two.run("PREPARE s READ shape-b")?;
    let written = one.run(&format!("EXECUTE s page-{group} text"))?;
    ensure!(written.is_success(), "{written:?}");
    let read = two.run(&format!("EXECUTE s page-{group}"))?;
    ensure!(read.is_success(), "{read:?}");
    checked.prepared += 2;
    Ok(())
}

fn check_refusals(platform: &Platform, checked: &mut CheckCounts) -> miette::Result<()> {
    let refused = LineSession::open(platform.client_addresses[0], "nobody", "stranger");
    let refusal = refused.err().ok_or_else(|| miette!("an unknown database was accepted"))?;
    ensure!(refusal.to_string().starts_with("NODB"), "{refusal}");
    let name = database(GROUPS[0], Consistency::Session);
    let mut session = LineSession::open(platform.client_addresses[0], &name, "careless")?;
    for (text, word) in [("EXECUTE nothing x", "NOSTMT"), ("DANCE", "MALFORMED")] {
        let answer = session.run(text)?;
        ensure!(answer.error_code() == Some(word), "{text}: {answer:?}");
        checked.refusals += 1;
    }
    checked.refusals += 1;
    Ok(())
}

/// The primary dies: another one takes over, and nothing acknowledged is lost.
fn check_replacement(platform: &Platform, checked: &mut CheckCounts) -> miette::Result<()> {
    let group = &platform.groups[0];
    let name = database(GROUPS[0], Consistency::Primary);
    let mut session = LineSession::open(platform.client_addresses[0], &name, "survivor")?;
    let before = session.run("WRITE kept yes")?;
    ensure!(before.is_success(), "{before:?}");
    let old = group.primary().ok_or_else(|| miette!("no primary"))?;
    group.kill(&old);
    wait("another primary leads", || group.primary().is_some_and(|one| one != old))?;
    wait("a write is acknowledged", || {
        session.run("WRITE after yes").is_ok_and(|answer| answer.is_success())
    })?;
    let read = session.run("READ kept")?;
    ensure!(read.rows == ["yes"], "an acknowledged write was lost: {read:?}");
    checked.replaced += 1;
    Ok(())
}
