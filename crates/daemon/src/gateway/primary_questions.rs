//! The question whether a group's primary still leads, for statements that may not read there without
//! evidence. One round of questions a group is under way at a time.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::retry::{Backoff, Repetition};
use kestrellock_core::routing::Role;

use crate::event::Io;

/// Time after which instances that have not answered are asked again.
const ANSWER_LIMIT: Duration = Duration::from_millis(60);
/// Times between two questions where the answer did not help: an answer that helps does so for long.
const REPETITION: Repetition = Repetition::new(
    Backoff::new(Duration::from_millis(8), Duration::from_millis(60)),
    Duration::from_millis(500),
);

#[derive(Debug)]
struct Question {
    asked: Instant,
    answered: bool,
    /// Time after its answer until the next one.
    pause: Duration,
}

/// Questions about one group's primary.
#[derive(Debug)]
pub struct PrimaryQuestions {
    newest: Option<Question>,
    repetition: Repetition,
}

impl Default for PrimaryQuestions {
    fn default() -> Self {
        Self { newest: None, repetition: REPETITION }
    }
}

impl PrimaryQuestions {
    /// The instances to ask now for evidence of `name`'s primary; none while a question is under way
    /// that will do.
    pub fn instances_to_ask(
        &mut self,
        name: &GroupName,
        group: &Group,
        io: &Io,
    ) -> Vec<InstanceName> {
        if let Some(question) = &self.newest {
            let limit = if question.answered { question.pause } else { ANSWER_LIMIT };
            if io.now < question.asked + limit {
                return Vec::new();
            }
        }
        let chosen = choose(name, group, io);
        if !chosen.is_empty() {
            let pause = self.repetition.on_asked(io.now, rand::random());
            self.newest = Some(Question { asked: Instant::now(), answered: false, pause });
        }
        chosen
    }

    /// An instance said how it stands, or could not be asked.
    pub fn on_answer(&mut self) {
        if let Some(question) = &mut self.newest {
            question.answered = true;
        }
    }
}

/// The instances to ask: each replica whose last word does not cover what arrives now, since the store need
/// not be asked if all of them answer; and the primary itself where its term is not known to be the
/// replicas'.
fn choose(name: &GroupName, group: &Group, io: &Io) -> Vec<InstanceName> {
    let board = io.context.statuses.group(name);
    let known = board.read().expect("a holder of the status lock panicked");
    let leader = io.context.leader(name, group).map(|leader| &leader.name);
    let newest_term = known.evidence.highest_led();
    let leads = leader.and_then(|leader| known.led_by(leader));
    let term = leads.unwrap_or(newest_term);
    let life = io.context.evidence_life();
    let is_due = |instance: &&Instance| {
        let is_replica = instance.announced_role == Some(Role::Replica);
        let is_shown = known.evidence.has_valid_report(&instance.name, term, life, io.now);
        let is_there = !io.context.occupants.is_displaced(group, instance);
        is_replica && is_there && leader != Some(&instance.name) && !is_shown
    };
    let replicas = group.instances.iter().filter(is_due).map(|replica| &replica.name);
    let primary = leader.filter(|_| leads != Some(newest_term));
    replicas.chain(primary).cloned().collect()
}
