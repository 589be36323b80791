//! Checks the guarantees: compares the answers that clients got with the logs of the instances.

use std::collections::BTreeSet;

/// Identifies a commit uniquely within a run.
pub type CommitId = u64;

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A read missed a commit that had been acknowledged before it arrived.
    StaleRead {
        /// When the read arrived.
        arrived: u64,
        /// The commit that the read missed.
        missed: CommitId,
        /// When that commit was acknowledged.
        acknowledged: u64,
    },
    /// A write ran on a log without a commit that had been acknowledged before it arrived.
    StaleWrite {
        /// When the write arrived.
        arrived: u64,
        /// The commit that the log lacked.
        missed: CommitId,
        /// When that commit was acknowledged.
        acknowledged: u64,
    },
    /// A promoted instance lacks an acknowledged commit.
    LostCommit {
        /// When the loss was detected: at the promotion, or at a later acknowledgement.
        at: u64,
        /// The commit that it lacks.
        lost: CommitId,
    },
    /// An old primary made and acknowledged a commit after its successor had been promoted.
    TwoPrimaries {
        /// The commit.
        commit: CommitId,
    },
    /// A fencing token that is equal to another coordinator's, or below an earlier one.
    Fence {
        /// The fencing token.
        fence: u64,
        /// The highest earlier fencing token.
        highest: u64,
    },
    /// A client was told that a write had not run, but the final log contains it.
    FalseNotRun {
        /// The commit.
        commit: CommitId,
    },
    /// Something did not recover after all faults had ended.
    NotRecovered {
        /// Description of the remaining problem.
        what: &'static str,
    },
}

/// Observations of a run and the violations found in them.
#[derive(Debug, Default)]
pub struct Checker {
    /// Acknowledged commits and when, in order.
    acknowledged: Vec<(u64, CommitId)>,
    /// Terms that were led, with the commits in the log of the promoted instance.
    promoted: Vec<(u32, BTreeSet<CommitId>)>,
    reported_not_run: BTreeSet<CommitId>,
    fences: Vec<(usize, u64)>,
    /// Violations found.
    pub violations: Vec<Violation>,
    /// Number of checked reads.
    pub reads: u64,
}

impl Checker {
    /// Records that a commit of `term` was acknowledged to a client. Repeated calls have no effect.
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

    /// Records that a client was told that a write had not run.
    pub fn on_reported_not_run(&mut self, commit: CommitId) {
        self.reported_not_run.insert(commit);
    }

    /// Number of commits acknowledged so far.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    /// When the last commit was acknowledged.
    pub fn last_acknowledged(&self) -> Option<u64> {
        self.acknowledged.last().map(|(at, _)| *at)
    }

    /// Checks a read that arrived at `arrived` and ran on a log of `commits`.
    pub fn on_read(&mut self, arrived: u64, commits: &BTreeSet<CommitId>) {
        self.reads += 1;
        if let Some((acknowledged, missed)) = self.missed_commit(arrived, commits) {
            self.violations.push(Violation::StaleRead { arrived, missed, acknowledged });
        }
    }

    /// Checks a write that arrived at `arrived` and ran on a log of `commits`.
    pub fn on_write(&mut self, arrived: u64, commits: &BTreeSet<CommitId>) {
        if let Some((acknowledged, missed)) = self.missed_commit(arrived, commits) {
            self.violations.push(Violation::StaleWrite { arrived, missed, acknowledged });
        }
    }

    /// The first commit that had been acknowledged before `arrived` and that a log of `commits`
    /// lacks, and when it was acknowledged.
    fn missed_commit(&self, arrived: u64, commits: &BTreeSet<CommitId>) -> Option<(u64, CommitId)> {
        let expected = self.acknowledged.iter().take_while(|(at, _)| *at < arrived);
        expected.into_iter().find(|(_, id)| !commits.contains(id)).copied()
    }

    /// Checks the promotion of an instance with a log of `commits` to lead `term`.
    pub fn on_promoted(&mut self, at: u64, term: u32, commits: BTreeSet<CommitId>) {
        let lost = self.acknowledged.iter().find(|(_, id)| !commits.contains(id));
        if let Some((_, lost)) = lost {
            self.violations.push(Violation::LostCommit { at, lost: *lost });
        }
        self.promoted.push((term, commits));
    }

    /// Records that an old primary acknowledged a commit that it made after its successor had been
    /// promoted.
    pub fn on_two_primaries(&mut self, commit: CommitId) {
        self.violations.push(Violation::TwoPrimaries { commit });
    }

    /// Checks the fencing token of a promotion.
    pub fn on_fence(&mut self, node: usize, fence: u64) {
        let others = self.fences.iter().filter(|(other, _)| *other != node);
        let equal = others.into_iter().any(|(_, other)| *other == fence);
        let highest = self.fences.iter().map(|(_, fence)| *fence).max().unwrap_or(0);
        if equal || fence < highest {
            self.violations.push(Violation::Fence { fence, highest });
        }
        self.fences.push((node, fence));
    }

    /// Checks the final log of the primary.
    pub fn on_end(&mut self, commits: &BTreeSet<CommitId>) {
        if let Some(commit) = self.reported_not_run.intersection(commits).next() {
            self.violations.push(Violation::FalseNotRun { commit: *commit });
        }
    }

    /// Records that something did not recover.
    pub fn on_not_recovered(&mut self, what: &'static str) {
        self.violations.push(Violation::NotRecovered { what });
    }
}
