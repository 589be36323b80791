//! When a commit that its primary has answered may be acknowledged to the caller.
//!
//! An old primary that was cut off still believes it leads, so its own word proves nothing. A
//! commit is confirmed once a majority of the group, its primary among them, has said *after* the
//! commit that it still follows the commit's term and has flushed the log up to it. Any later
//! primary needs the vote of a majority; one of those voters holds the commit and votes for no
//! instance that lacks it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceName;
use crate::position::{Position, Term};

/// What a group's commits wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfirmationRule {
    /// A majority has flushed the commit under its term.
    #[default]
    Flushed,
    /// A majority still follows the commit's term. Only for a group that itself answers a commit
    /// after a quorum has flushed it.
    Term,
    /// The primary's answer. Only for a group that answers a commit after synchronous replicas
    /// have received it, and whose primary is replaced by the proxy: the proxy stops the replicas
    /// before it has one of them promoted, so a replaced primary answers no commit.
    Answered,
}

/// Number of a position probe within its group; grows with every probe sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProbeNumber(pub u64);

impl ProbeNumber {
    /// The number after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What one instance answered to one probe.
#[derive(Clone, Copy, Debug)]
pub struct FlushReport<'a> {
    /// The instance.
    pub instance: &'a InstanceName,
    /// The probe it answered.
    pub probe: ProbeNumber,
    /// Term it follows and offset it has flushed.
    pub flushed: Position,
}

/// State of a commit's confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough instances have confirmed it yet.
    Waiting,
    /// It stays, whoever leads next.
    Confirmed,
    /// A higher term exists and a majority has not confirmed it: nobody will any more.
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
    /// A commit that `primary` answered at `position`. Probes with numbers from `first_probe` on
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

    /// Takes in what an instance answered; `majority` is the group's.
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

    /// The verdict on what is known so far.
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
