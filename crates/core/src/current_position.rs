//! Determines the position that a session without a token must read from. It covers every write
//! that was acknowledged before the session connected.
//!
//! If a majority still follows one term after the query started, then no write of a higher term was
//! confirmed before the query: otherwise a member of this majority would follow the higher term.
//! The primary of the term holds every write confirmed under this or an earlier term, so the offset
//! that the primary has flushed covers all of them.

use std::collections::BTreeMap;

use crate::confirmation::{FlushReport, ProbeNumber};
use crate::ids::InstanceName;
use crate::position::Position;
use crate::routing::Role;

#[derive(Clone, Copy, Debug)]
struct Answer {
    role: Role,
    flushed: Position,
}

/// A query for a group's current position, with the answers received since it started.
#[derive(Clone, Debug)]
pub struct CurrentPositionQuery {
    first_probe: ProbeNumber,
    answers: BTreeMap<InstanceName, Answer>,
}

impl CurrentPositionQuery {
    /// Starts a query. Probes with numbers from `first_probe` on are sent after the query started.
    pub fn new(first_probe: ProbeNumber) -> Self {
        Self { first_probe, answers: BTreeMap::new() }
    }

    /// The first probe whose answer counts.
    pub fn first_probe(&self) -> ProbeNumber {
        self.first_probe
    }

    /// Records an instance's answer. Returns the position once a majority of the instances,
    /// including a primary, has reported the same term.
    pub fn on_evidence(
        &mut self,
        evidence: FlushReport,
        role: Role,
        majority: usize,
    ) -> Option<Position> {
        if evidence.probe < self.first_probe {
            return None;
        }
        let answer = Answer { role, flushed: evidence.flushed };
        self.answers.insert(evidence.instance.clone(), answer);
        self.position(majority)
    }

    fn position(&self, majority: usize) -> Option<Position> {
        let primaries = self.answers.values().filter(|answer| answer.role == Role::Primary);
        let primary = primaries.max_by_key(|answer| answer.flushed.term)?;
        let followers = self
            .answers
            .values()
            .filter(|answer| answer.flushed.term == primary.flushed.term)
            .count();
        (followers >= majority).then_some(primary.flushed)
    }
}
