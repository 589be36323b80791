//! The invariants that the checker tests, and its verdict on a run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A property that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A session sees its own acknowledged writes in every later read.
    ReadYourWrites,
    /// Every value read was committed by some operation.
    ReadOfCommitted,
    /// An acknowledged write is in the log at the end of the run.
    AcknowledgedKept,
    /// No write is acknowledged that only an old primary committed.
    ReplacedPrimary,
    /// A request whose error states that it did not run has no effect.
    NotRunTrue,
    /// The final outcome that a client received agrees with the log at the end of the run.
    OutcomeTrue,
    /// No operation takes effect twice.
    AtMostOnce,
    /// No seat is sold to two buyers.
    SeatSoldOnce,
    /// A client receives the answer to its own request.
    AnswerOwn,
    /// An answer is complete.
    AnswerWhole,
    /// Statements of two transactions do not mix on a connection or in a commit.
    TransactionNotMixed,
    /// A transaction takes effect completely or not at all.
    TransactionWhole,
    /// An instance marked as leaving gets no new work after a grace period.
    LeavingUnused,
    /// A planned stop of a node interrupts no request.
    PlannedStopCutsNothing,
    /// A node never returns to an earlier configuration revision.
    ConfigurationKept,
    /// Every node activates an accepted change of configuration in time.
    ConfigurationInForce,
}

impl Invariant {
    /// Every invariant.
    pub const ALL: [Invariant; 16] = [
        Self::ReadYourWrites,
        Self::ReadOfCommitted,
        Self::AcknowledgedKept,
        Self::ReplacedPrimary,
        Self::NotRunTrue,
        Self::OutcomeTrue,
        Self::AtMostOnce,
        Self::SeatSoldOnce,
        Self::AnswerOwn,
        Self::AnswerWhole,
        Self::TransactionNotMixed,
        Self::TransactionWhole,
        Self::LeavingUnused,
        Self::PlannedStopCutsNothing,
        Self::ConfigurationKept,
        Self::ConfigurationInForce,
    ];
}

/// One violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The operation, node or commit concerned, and what was observed.
    pub detail: String,
}

/// The checker's result for one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Violations in the order in which the checker found them.
    pub violations: Vec<Violation>,
    /// Number of reads that returned an older version than an earlier read of the same row by the
    /// same session. Sessions are only guaranteed to read their own writes, so these are counted
    /// and are no violations.
    pub read_regressions: u64,
}

impl Verdict {
    /// Adds a violation of `invariant`.
    pub fn add(&mut self, invariant: Invariant, detail: impl Into<String>) {
        self.violations.push(Violation { invariant, detail: detail.into() });
    }

    /// Number of violations of each invariant, including zero.
    pub fn counts(&self) -> BTreeMap<Invariant, u64> {
        let mut counts: BTreeMap<Invariant, u64> =
            Invariant::ALL.iter().map(|invariant| (*invariant, 0)).collect();
        for violation in &self.violations {
            *counts.entry(violation.invariant).or_default() += 1;
        }
        counts
    }
}
