//! The invariants, and the verdict on a run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A session sees its own acknowledged writes on every later read.
    ReadYourWrites,
    /// A value read was committed by somebody.
    ReadOfCommitted,
    /// An acknowledged write is in the surviving history.
    AcknowledgedKept,
    /// No write is acknowledged that only a replaced primary committed.
    ReplacedPrimary,
    /// What was told "not run" has no effect.
    NotRunTrue,
    /// What a caller was told in the end agrees with the surviving history.
    OutcomeTrue,
    /// No operation took effect twice.
    AtMostOnce,
    /// No seat was sold to two buyers.
    SeatSoldOnce,
    /// An answer belongs to the request it is given for.
    AnswerOwn,
    /// An answer is whole.
    AnswerWhole,
    /// Statements of two transactions do not mix.
    TransactionNotMixed,
    /// A transaction takes effect as a whole or not at all.
    TransactionWhole,
    /// A leaving back end gets no new work after a few seconds.
    LeavingUnused,
    /// A planned stop cuts no request.
    PlannedStopCutsNothing,
    /// A configuration in force never reverts.
    ConfigurationKept,
    /// An accepted change is in force everywhere in time.
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

/// One broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which invariant.
    pub invariant: Invariant,
    /// Where and how.
    pub detail: String,
}

/// What the checker found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Every violation, in the order found.
    pub violations: Vec<Violation>,
    /// Reads of a session that saw an older version than an earlier read of the same row. Only
    /// writes of the session itself bind its reads, so this is counted and not judged.
    pub read_regressions: u64,
}

impl Verdict {
    /// Adds a violation.
    pub fn add(&mut self, invariant: Invariant, detail: impl Into<String>) {
        self.violations.push(Violation { invariant, detail: detail.into() });
    }

    /// Number of violations of each invariant, zeros included.
    pub fn counts(&self) -> BTreeMap<Invariant, u64> {
        let mut counts: BTreeMap<Invariant, u64> =
            Invariant::ALL.iter().map(|invariant| (*invariant, 0)).collect();
        for violation in &self.violations {
            *counts.entry(violation.invariant).or_default() += 1;
        }
        counts
    }
}
