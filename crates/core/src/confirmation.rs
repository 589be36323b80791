//! Decides when a commit that the primary has answered may be acknowledged to the client.
//!
//! An old primary that was cut off from the network still considers itself primary, so its answer
//! alone proves nothing. A commit is confirmed once a majority of the group, including its primary,
//! has reported *after* the commit that it still follows the commit's term and has flushed the log
//! up to the commit. Any later primary needs the votes of a majority. At least one of those voters
//! has the commit and votes for no instance that lacks it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceName;
use crate::position::{Position, Term};

/// What has to happen before a group's commits are confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfirmationRule {
    /// A majority has flushed the commit under its term.
    #[default]
    Flushed,
    /// A majority still follows the commit's term. Only for a group that itself answers a commit
    /// after a quorum has flushed it.
    Term,
    /// The primary has answered. Only for a group that answers a commit after synchronous replicas
    /// have received it and whose primary is replaced by the proxy: the proxy stops the replicas
    /// before it has one of them promoted, so a replaced primary answers no commit.
    Answered,
}

/// Number of a position probe within its group; increases with every probe sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProbeNumber(pub u64);

impl ProbeNumber {
    /// The number after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The answer of one instance to one probe.
#[derive(Clone, Copy, Debug)]
pub struct FlushReport<'a> {
    /// The instance.
    pub instance: &'a InstanceName,
    /// The probe that it answered.
    pub probe: ProbeNumber,
    /// Term that it follows and log offset that it has flushed.
    pub flushed: Position,
}

/// State of a commit's confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough instances have confirmed it yet.
    Waiting,
    /// Every later primary will have the commit.
    Confirmed,
    /// A higher term exists and no majority has confirmed the commit, which can no longer be
    /// confirmed.
    Superseded(Term),
}

/// Confirmation of one commit.
#[derive(Clone, Debug)]
pub struct Confirmation {
    position: Position,
    rule: ConfirmationRule,
    first_probe: ProbeNumber,
    confirmed_by: BTreeSet<InstanceName>,
}

impl Confirmation {
    /// A commit at `position` that `primary` answered. Probes with numbers from `first_probe` on
    /// were sent after that answer.
    pub fn new(
        primary: InstanceName,
        position: Position,
        rule: ConfirmationRule,
        first_probe: ProbeNumber,
    ) -> Self {
        Self { position, rule, first_probe, confirmed_by: BTreeSet::from([primary]) }
    }

    /// Position of the commit.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The first probe whose answer counts.
    pub fn first_probe(&self) -> ProbeNumber {
        self.first_probe
    }

    /// Processes the report of an instance; `majority` is the number of instances that form the
    /// group's majority.
    pub fn on_flush_report(&mut self, evidence: FlushReport, majority: usize) -> Verdict {
        if self.counts(&evidence) {
            self.confirmed_by.insert(evidence.instance.clone());
        }
        let verdict = self.verdict(majority);
        if verdict == Verdict::Waiting && evidence.flushed.term > self.position.term {
            return Verdict::Superseded(evidence.flushed.term);
        }
        verdict
    }

    /// The verdict on the reports received so far.
    pub fn verdict(&self, majority: usize) -> Verdict {
        let needed = match self.rule {
            ConfirmationRule::Answered => 1,
            ConfirmationRule::Flushed | ConfirmationRule::Term => majority,
        };
        if self.confirmed_by.len() >= needed { Verdict::Confirmed } else { Verdict::Waiting }
    }

    fn counts(&self, evidence: &FlushReport) -> bool {
        let reached = match self.rule {
            ConfirmationRule::Flushed => evidence.flushed.offset >= self.position.offset,
            ConfirmationRule::Term | ConfirmationRule::Answered => true,
        };
        reached && evidence.probe >= self.first_probe && evidence.flushed.term == self.position.term
    }
}
