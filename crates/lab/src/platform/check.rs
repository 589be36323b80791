//! End-to-end check on the platform's stand-ins: sessions, transactions, prepared statements,
//! refusals, and the replacement of a primary.

use std::fmt;

use kestrellock_core::catalog::Consistency;
use miette::{ensure, miette};

use super::client::LineSession;
use super::{GROUPS, Platform, PlatformOptions, database, wait};

/// Number of writes by each session.
const WRITES: usize = 20;

/// Counts of successful checks.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckCounts {
    /// Writes acknowledged.
    pub writes: usize,
    /// Reads that returned the last write.
    pub reads: usize,
    /// Transactions committed or rolled back.
    pub transactions: usize,
    /// Executions of prepared statements.
    pub prepared: usize,
    /// Refusals with the expected error code.
    pub refusals: usize,
    /// Primaries replaced.
    pub replaced: usize,
}

impl fmt::Display for CheckCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = [
            (self.writes, "writes acknowledged"),
            (self.reads, "reads that returned the last write"),
            (self.transactions, "transactions committed or rolled back"),
            (self.prepared, "executions of prepared statements"),
            (self.refusals, "refusals with the expected error code"),
            (self.replaced, "primaries replaced without loss of an acknowledged write"),
        ];
        for (count, what) in lines {
            writeln!(formatter, "{count:>5}  {what}")?;
        }
        Ok(())
    }
}

/// Starts the platform and runs all checks.
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

/// Checks that a session reads its own writes, whichever instance serves the read, and that a
/// session on a route to the primary reads them through another node.
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
        ensure!(written.is_success(), "the write of {value} failed: {written:?}");
        checked.writes += 1;
        for reader in [&mut session, &mut other] {
            let read = reader.run(&format!("READ thing-{group}"))?;
            ensure!(read.rows == [value.clone()], "the read did not return {value}: {read:?}");
            checked.reads += 1;
        }
    }
    Ok(())
}

/// Checks that a commit keeps a transaction's write and a rollback discards it.
fn check_transactions(
    platform: &Platform,
    group: &str,
    checked: &mut CheckCounts,
) -> miette::Result<()> {
    let name = database(group, Consistency::Primary);
    let mut session = LineSession::open(platform.client_addresses[2], &name, "transactions")?;
    for (end, expected) in [("COMMIT", "new"), ("ROLLBACK", "old")] {
        session.run(&format!("WRITE account-{group} old"))?;
        for text in ["BEGIN", &format!("WRITE account-{group} new"), end] {
            let answer = session.run(text)?;
            ensure!(answer.is_success(), "{text}: {answer:?}");
        }
        let read = session.run(&format!("READ account-{group}"))?;
        ensure!(read.rows == [expected], "after {end}: {read:?}");
        checked.transactions += 1;
    }
    Ok(())
}

/// Checks that two sessions can use the same prepared name for different statements.
fn check_prepared(
    platform: &Platform,
    group: &str,
    checked: &mut CheckCounts,
) -> miette::Result<()> {
    let name = database(group, Consistency::Session);
    let mut writer = LineSession::open(platform.client_addresses[0], &name, "prepared-1")?;
    let mut reader = LineSession::open(platform.client_addresses[0], &name, "prepared-2")?;
    writer.run("PREPARE s WRITE shape-a")?;
    reader.run("PREPARE s READ shape-b")?;
    let written = writer.run(&format!("EXECUTE s page-{group} text"))?;
    ensure!(written.is_success(), "{written:?}");
    let read = reader.run(&format!("EXECUTE s page-{group}"))?;
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
    for (text, code) in [("EXECUTE nothing x", "NOSTMT"), ("DANCE", "MALFORMED")] {
        let answer = session.run(text)?;
        ensure!(answer.error_code() == Some(code), "{text}: {answer:?}");
        checked.refusals += 1;
    }
    checked.refusals += 1;
    Ok(())
}

/// Kills a primary and checks that another instance becomes primary and that the acknowledged write
/// survives.
fn check_replacement(platform: &Platform, checked: &mut CheckCounts) -> miette::Result<()> {
    let group = &platform.groups[0];
    let name = database(GROUPS[0], Consistency::Primary);
    let mut session = LineSession::open(platform.client_addresses[0], &name, "survivor")?;
    let written = session.run("WRITE kept yes")?;
    ensure!(written.is_success(), "{written:?}");
    let old_primary = group.primary().ok_or_else(|| miette!("the group has no primary"))?;
    group.kill(&old_primary);
    wait("another instance is primary", || {
        group.primary().is_some_and(|primary| primary != old_primary)
    })?;
    wait("a write is acknowledged", || {
        session.run("WRITE after yes").is_ok_and(|answer| answer.is_success())
    })?;
    let read = session.run("READ kept")?;
    ensure!(read.rows == ["yes"], "an acknowledged write was lost: {read:?}");
    checked.replaced += 1;
    Ok(())
}
