//! Checks that clients asked for each commit.

use super::SentById;
use super::record::CommittedWrites;
use super::texts::Meaning;
use super::violation::{StatementRule, StatementViolation};

/// Checks the commits of a group.
pub fn check(
    sent: &SentById<'_>,
    commits: &[CommittedWrites],
    violations: &mut Vec<StatementViolation>,
) {
    for commit in commits {
        if !is_asked(sent, commit) {
            let CommittedWrites { place, statement, writes, .. } = commit;
            let detail = format!("{statement} committed {writes:?} at {place:?}");
            violations.push(StatementViolation::new(StatementRule::CommitAsked, detail));
        }
    }
}

/// Whether the committing statement is a single write, or the `COMMIT` of the transaction of all
/// writes.
fn is_asked(sent: &SentById<'_>, commit: &CommittedWrites) -> bool {
    let Some(committing) = sent.get(commit.statement.as_str()) else { return false };
    let transaction = &committing.statement.transaction;
    let is_commit = committing.meaning == Meaning::Plain("COMMIT".to_owned());
    match is_commit && transaction.is_some() {
        true => commit.writes.iter().all(|write| {
            sent.get(write.as_str())
                .is_some_and(|write| write.statement.transaction == *transaction)
        }),
        false => {
            let is_single = transaction.is_none() && committing.meaning.is_write();
            is_single && commit.writes == [commit.statement.as_str()]
        }
    }
}
