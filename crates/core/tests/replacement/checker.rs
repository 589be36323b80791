//! Judges what callers were told and what instances did.

use std::collections::BTreeSet;

/// A commit: unique for good.
pub type CommitId = u64;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A read missed a commit that had been acknowledged before it arrived.
    StaleRead {
        /// When it arrived.
        arrived: u64,
        /// What it missed.
        missed: CommitId,
        /// When that was acknowledged.
        acknowledged: u64,
    },
    /// A promoted instance lacks an acknowledged commit.
    LostCommit {
        /// When it was promoted.
        at: u64,
        /// What it lacks.
        lost: CommitId,
    },
    /// An old primary made and answered a commit after another one had been promoted.
    TwoPrimaries {
        /// The commit.
        commit: CommitId,
    },
    /// A fence that is not above those of other holders.
    Fence {
        /// The fence.
        fence: u64,
        /// The highest one before.
        highest: u64,
    },
    /// A caller was told that a write had not run, and it is kept.
    FalseNotRun {
        /// The commit.
        commit: CommitId,
    },
    /// After all faults had ended something did not recover.
    NotRecovered {
        /// What.
        what: &'static str,
    },
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Checker {
    /// Acknowledged commits and when, in order.
    acknowledged: Vec<(u64, CommitId)>,
    /// Terms that were led, and the commits that were there when each began.
    promoted: Vec<(u32, BTreeSet<CommitId>)>,
    reported_not_run: BTreeSet<CommitId>,
    fences: Vec<(usize, u64)>,
    /// What was broken.
    pub violations: Vec<Violation>,
    /// Reads judged.
    pub reads: u64,
}

impl Checker {
    /// A caller was told that a commit of `term` was made. Once is enough.
    pub fn on_acknowledged(&mut self, at: u64, commit: CommitId, term: u32) {
        if self.acknowledged.iter().any(|(_, known)| *known == commit) {
            return;
        }
        self.acknowledged.push((at, commit));
        let lacks = |(later, commits): &(u32, BTreeSet<CommitId>)| {
            *later > term && !commits.contains(&commit)
        };
        if self.promoted.iter().any(lacks) {
            self.violations.push(Violation::LostCommit { at, lost: commit });
        }
    }

    /// A caller was told that a write had not run.
    pub fn on_reported_not_run(&mut self, commit: CommitId) {
        self.reported_not_run.insert(commit);
    }

    /// Commits acknowledged so far.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    /// When the last commit was acknowledged.
    pub fn last_acknowledged(&self) -> Option<u64> {
        self.acknowledged.last().map(|(at, _)| *at)
    }

    /// A read that arrived at `arrived` ran on a log of `commits`.
    pub fn on_read(&mut self, arrived: u64, commits: &BTreeSet<CommitId>) {
        self.reads += 1;
        let expected = self.acknowledged.iter().take_while(|(at, _)| *at < arrived);
        if let Some((at, missed)) = expected.into_iter().find(|(_, id)| !commits.contains(id)) {
            let violation = Violation::StaleRead { arrived, missed: *missed, acknowledged: *at };
            self.violations.push(violation);
        }
    }

    /// An instance with a log of `commits` was promoted, to lead `term`.
    pub fn on_promoted(&mut self, at: u64, term: u32, commits: BTreeSet<CommitId>) {
        let lost = self.acknowledged.iter().find(|(_, id)| !commits.contains(id));
        if let Some((_, lost)) = lost {
            self.violations.push(Violation::LostCommit { at, lost: *lost });
        }
        self.promoted.push((term, commits));
    }

    /// An old primary answered a commit that it made after its successor had been promoted.
    pub fn on_two_primaries(&mut self, commit: CommitId) {
        self.violations.push(Violation::TwoPrimaries { commit });
    }

    /// A holder had an instance promoted.
    pub fn on_fence(&mut self, node: usize, fence: u64) {
        let others = self.fences.iter().filter(|(other, _)| *other != node);
        let equal = others.into_iter().any(|(_, other)| *other == fence);
        let highest = self.fences.iter().map(|(_, fence)| *fence).max().unwrap_or(0);
        if equal || fence < highest {
            self.violations.push(Violation::Fence { fence, highest });
        }
        self.fences.push((node, fence));
    }

    /// The final log.
    pub fn on_end(&mut self, commits: &BTreeSet<CommitId>) {
        if let Some(commit) = self.reported_not_run.intersection(commits).next() {
            self.violations.push(Violation::FalseNotRun { commit: *commit });
        }
    }

    /// Something did not recover.
    pub fn on_not_recovered(&mut self, what: &'static str) {
        self.violations.push(Violation::NotRecovered { what });
    }
}
