//! Checks that each read and write ran on a log with the commits that were acknowledged before it.
//!
//! A term and a number identify a place in the log together with everything before it, because only
//! one instance leads in a term. Commits that a promotion has rolled back are not required.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::record::{
    CommittedWrites, GroupStatements, ReceivedStatement, RouteKind, SentStatement,
};
use super::violation::{StatementRule, StatementViolation};
use super::{Sent, SentById};
use crate::check::final_state::LogPlace;

/// Checks all reads and writes of a group.
pub fn check(
    sent: &SentById<'_>,
    group: &GroupStatements,
    violations: &mut Vec<StatementViolation>,
) {
    let log = Log::new(&group.commits);
    let acknowledged = Acknowledged::new(sent, &group.commits, &log);
    for received in group.received.iter().filter(|received| received.ran) {
        let (Some(found), Some(log_end)) = (sent.get(received.id.as_str()), received.log_end)
        else {
            continue;
        };
        let Some(required) = acknowledged.required(found, sent) else { continue };
        if !log.contains(log_end, required.place) {
            violations.push(violation(received, found, log_end, required));
        }
    }
}

fn violation(
    received: &ReceivedStatement,
    found: &Sent<'_>,
    log_end: LogPlace,
    required: &AcknowledgedCommit<'_>,
) -> StatementViolation {
    let rule = match found.meaning.is_write() {
        true => StatementRule::WriteCurrent,
        false => StatementRule::ReadCurrent,
    };
    let SentStatement { id, text, route, sent, .. } = found.statement;
    let before = sent.saturating_duration_since(required.at);
    let detail = format!(
        "{id} {text:?} on a route {route:?} ran at {} up to {log_end:?} without {:?} of {}, acknowledged {before:?} before",
        received.instance, required.place, required.statement.id
    );
    StatementViolation::new(rule, detail)
}

/// The tree of all commits.
struct Log {
    /// For each term, the place before its first commit.
    branches: BTreeMap<u32, LogPlace>,
    /// The last commit of the highest term.
    end: LogPlace,
}

impl Log {
    fn new(commits: &[CommittedWrites]) -> Self {
        let mut first = BTreeMap::<u32, &CommittedWrites>::new();
        for commit in commits {
            let known = first.entry(commit.place.term).or_insert(commit);
            if commit.place < known.place {
                *known = commit;
            }
        }
        let branches = first.into_iter().map(|(term, commit)| (term, commit.previous)).collect();
        let end = commits.iter().map(|commit| commit.place).max().unwrap_or_default();
        Self { branches, end }
    }

    /// Whether a log that ends at `end` contains the commit at `place`.
    fn contains(&self, end: LogPlace, place: LogPlace) -> bool {
        let mut end = end;
        while end.term > place.term {
            match self.branches.get(&end.term) {
                Some(previous) => end = *previous,
                None => return false,
            }
        }
        end.term == place.term && end.offset >= place.offset
    }
}

/// A commit that was acknowledged to its client.
struct AcknowledgedCommit<'a> {
    at: Instant,
    place: LogPlace,
    statement: &'a SentStatement,
}

/// The acknowledged commits of the surviving log, in the order of their acknowledgements.
struct Acknowledged<'a> {
    commits: Vec<AcknowledgedCommit<'a>>,
    /// For each of `commits`, the index of the one with the highest place up to it.
    highest: Vec<usize>,
    /// Indexes of the commits of each session.
    by_session: HashMap<&'a str, Vec<usize>>,
}

impl<'a> Acknowledged<'a> {
    fn new(sent: &SentById<'a>, commits: &[CommittedWrites], log: &Log) -> Self {
        let surviving = commits.iter().filter(|commit| log.contains(log.end, commit.place));
        let mut commits: Vec<AcknowledgedCommit> = surviving
            .filter_map(|commit| {
                let statement = sent.get(commit.statement.as_str())?.statement;
                let at = statement.acknowledged?;
                Some(AcknowledgedCommit { at, place: commit.place, statement })
            })
            .collect();
        commits.sort_by_key(|commit| commit.at);
        let mut highest = Vec::<usize>::new();
        let mut by_session = HashMap::<&str, Vec<usize>>::new();
        for (index, commit) in commits.iter().enumerate() {
            let earlier = highest.last().copied();
            let is_lower = |earlier: &usize| commit.place < commits[*earlier].place;
            highest.push(earlier.filter(is_lower).unwrap_or(index));
            by_session.entry(&commit.statement.session).or_default().push(index);
        }
        Self { commits, highest, by_session }
    }

    /// The last commit that the log of a read or write must contain.
    fn required(&self, found: &Sent<'_>, sent: &SentById<'_>) -> Option<&AcknowledgedCommit<'a>> {
        let statement = found.statement;
        let begin = statement.transaction.as_deref().and_then(|begin| sent.get(begin));
        let first_byte = begin.map_or(statement.sent, |begin| begin.statement.sent);
        match statement.route {
            _ if found.meaning.is_write() => self.of_all(first_byte),
            RouteKind::Primary => self.of_all(first_byte),
            RouteKind::BoundedStaleness(bound) => self.of_all_older_than(bound, first_byte),
            RouteKind::ReadYourWrites(bound) => {
                let own = self.of_session(&statement.session, first_byte);
                let all = self.of_all_older_than(bound, first_byte);
                own.into_iter().chain(all).max_by_key(|commit| commit.place)
            }
        }
    }

    fn of_all(&self, before: Instant) -> Option<&AcknowledgedCommit<'a>> {
        let count = self.commits.partition_point(|commit| commit.at < before);
        let last = count.checked_sub(1)?;
        Some(&self.commits[self.highest[last]])
    }

    fn of_all_older_than(
        &self,
        bound: Duration,
        first_byte: Instant,
    ) -> Option<&AcknowledgedCommit<'a>> {
        self.of_all(first_byte.checked_sub(bound)?)
    }

    fn of_session(&self, session: &str, before: Instant) -> Option<&AcknowledgedCommit<'a>> {
        let own = self.by_session.get(session)?.iter().map(|index| &self.commits[*index]);
        own.filter(|commit| commit.at < before).max_by_key(|commit| commit.place)
    }
}
