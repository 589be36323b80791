//! The position that a session without a token must read from: one that covers every write
//! acknowledged before it connected.
//!
//! A majority that after the question still follows one term proves that no write of a higher term
//! had been confirmed before the question: one of its members would have followed that term. The
//! primary of the term holds every write confirmed under it or an earlier one, so the offset that
//! it has flushed covers them all.

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

/// A question for a group's current position, and what has been learnt since it was asked.
#[derive(Clone, Debug)]
pub struct CurrentPosition {
    first_probe: ProbeNumber,
    answers: BTreeMap<InstanceName, Answer>,
}

impl CurrentPosition {
    /// A question; probes with numbers from `first_probe` on are sent after it.
    pub fn new(first_probe: ProbeNumber) -> Self {
        Self { first_probe, answers: BTreeMap::new() }
    }

    /// The first probe whose answer counts.
    pub fn first_probe(&self) -> ProbeNumber {
        self.first_probe
    }

    /// Takes in what an instance answered; the position once it is certain.
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
