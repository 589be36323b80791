//! Fronts that wait to hear a group's current position.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Group;
use kestrellock_core::confirmation::{FlushReport, ProbeNumber};
use kestrellock_core::current_position::CurrentPosition;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_peer::message::ToFront;

use super::server::ProbeAnswer;
use crate::event::{Io, Outgoing};

/// Time after which a question is forgotten; its front asks again well before.
const QUESTION_LIFETIME: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Waiting {
    node: NodeName,
    shard: u16,
    number: u64,
    until: Instant,
    question: CurrentPosition,
}

/// Questions for one group's current position.
#[derive(Debug, Default)]
pub struct CurrentPositions {
    waiting: Vec<Waiting>,
}

impl CurrentPositions {
    /// Takes in a front's question; probes from `first_probe` on are sent after it. A question that
    /// is asked again goes on waiting as it was.
    pub fn ask(
        &mut self,
        node: NodeName,
        shard: u16,
        number: u64,
        first_probe: ProbeNumber,
        now: Instant,
    ) {
        let until = now + QUESTION_LIFETIME;
        let same = |waiting: &&mut Waiting| waiting.node == node && waiting.shard == shard;
        match self.waiting.iter_mut().find(same) {
            Some(known) if known.number == number => known.until = until,
            Some(known) => {
                let question = CurrentPosition::new(first_probe);
                *known = Waiting { node, shard, number, until, question };
            }
            None => {
                let question = CurrentPosition::new(first_probe);
                self.waiting.push(Waiting { node, shard, number, until, question });
            }
        }
    }

    /// Whether any question waits.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The first probe that the newest question counts.
    pub fn wanted_probe(&self) -> Option<ProbeNumber> {
        self.waiting.iter().map(|waiting| waiting.question.first_probe()).max()
    }

    /// Takes in an instance's answer to a probe, and answers the questions that it decides.
    pub fn on_report(
        &mut self,
        name: &GroupName,
        instance: &InstanceName,
        answer: &ProbeAnswer,
        group: &Group,
        io: &mut Io,
    ) {
        let report = answer.report;
        let evidence = FlushReport { instance, probe: answer.number, flushed: report.flushed };
        self.waiting.retain_mut(|waiting| {
            let position = waiting.question.on_evidence(evidence, report.role, group.majority());
            let Some(position) = position else { return true };
            let number = waiting.number;
            let message = ToFront::CurrentPosition { group: name.clone(), number, position };
            let (node, shard) = (waiting.node.clone(), Some(waiting.shard));
            io.outbox.push_back(Outgoing::Front { node, shard, message });
            false
        });
    }

    /// Forgets questions that have waited too long.
    pub fn expire(&mut self, now: Instant) {
        self.waiting.retain(|waiting| waiting.until > now);
    }
}
