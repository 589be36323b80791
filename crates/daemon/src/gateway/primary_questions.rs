//! The question whether a group's primary still leads, for statements that may not read there without
//! evidence. One question a group is under way at a time.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::retry::{Backoff, Repetition};
use kestrellock_core::routing::Role;

use crate::event::Io;

/// Time after which another instance is asked.
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
    /// Instances asked since one last answered, so that each gets its turn.
    tried: Vec<InstanceName>,
}

impl Default for PrimaryQuestions {
    fn default() -> Self {
        Self { newest: None, repetition: REPETITION, tried: Vec::new() }
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
        let pause = self.repetition.on_asked(io.now, rand::random());
        self.newest = Some(Question { asked: Instant::now(), answered: false, pause });
        choose(name, group, &mut self.tried, io)
    }

    /// An instance said that it has this role; `None` if it could not be asked.
    pub fn on_answer(&mut self, role: Option<Role>) {
        if let Some(question) = &mut self.newest {
            question.answered = true;
        }
        if role == Some(Role::Replica) {
            self.tried.clear();
        }
    }
}

/// The instances to ask: all replicas, since the store need not be asked if each of them answers, the
/// nearest that have not been tried first; and the primary itself where its term is not known to be the
/// replicas'.
fn choose(
    name: &GroupName,
    group: &Group,
    tried: &mut Vec<InstanceName>,
    io: &Io,
) -> Vec<InstanceName> {
    let board = io.context.statuses.group(name);
    let known = board.read().expect("a holder of the status lock panicked");
    let leader = io.context.leader(name, group).map(|leader| &leader.name);
    let is_replica = |instance: &&Instance| {
        instance.announced_role == Some(Role::Replica) && leader != Some(&instance.name)
    };
    let mut replicas: Vec<&Instance> = group.instances.iter().filter(is_replica).collect();
    if replicas.iter().all(|replica| tried.contains(&replica.name)) {
        tried.clear();
    }
    replicas.sort_by_key(|replica| {
        let in_doubt = known.answers.get(&replica.name).is_some_and(|record| record.in_doubt);
        let is_far = replica.zone != io.context.identity.zone;
        (tried.contains(&replica.name), replica.leaving, in_doubt, is_far)
    });
    let mut chosen: Vec<InstanceName> =
        replicas.into_iter().map(|replica| replica.name.clone()).collect();
    tried.extend(chosen.iter().cloned());
    let primary = io.context.leader(name, group).map(|primary| primary.name.clone());
    chosen.extend(primary.filter(|one| known.led_by(one) != Some(known.evidence.term())));
    chosen
}
