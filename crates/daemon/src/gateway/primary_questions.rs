//! Questions whether a group's primary still leads, for sessions that may not read there without
//! evidence. One question a group is under way at a time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::retry::{Backoff, Repetition};
use kestrellock_core::routing::Role;
use kestrellock_peer::message::{GatewayCall, InstanceStanding, ToGateway};

use crate::event::{Io, Outgoing};

/// Time after which another instance is asked.
const ANSWER_LIMIT: Duration = Duration::from_millis(60);
/// Times between two questions where the answer did not help: an answer that helps does so for long.
const REPETITION: Repetition = Repetition::new(
    Backoff::new(Duration::from_millis(8), Duration::from_millis(60)),
    Duration::from_millis(500),
);

#[derive(Debug)]
struct Question {
    number: u64,
    asked: Instant,
    answered: bool,
    /// Time after its answer until the next one.
    pause: Duration,
    repetition: Repetition,
    /// Instances asked since one last answered, so that each gets its turn.
    tried: Vec<InstanceName>,
}

/// Questions of one front.
#[derive(Debug, Default)]
pub struct PrimaryQuestions {
    groups: HashMap<GroupName, Question>,
    next_number: u64,
}

impl PrimaryQuestions {
    /// Asks for evidence of `name`'s primary, unless a question is under way that will do.
    pub fn ask(&mut self, name: &GroupName, io: &mut Io) {
        let catalog = io.context.catalog.load();
        let Some(group) = catalog.groups.get(name) else { return };
        if let Some(question) = self.groups.get(name) {
            let limit = if question.answered { question.pause } else { ANSWER_LIMIT };
            if io.now < question.asked + limit {
                return;
            }
        }
        let last = self.groups.remove(name);
        let mut repetition = last.as_ref().map_or(REPETITION, |last| last.repetition);
        let pause = repetition.on_asked(io.now, rand::random());
        let mut tried = last.map(|question| question.tried).unwrap_or_default();
        let instances = choose(name, group, &mut tried, io);
        self.next_number += 1;
        let number = self.next_number;
        // Later than any request that waits for it arrived.
        let asked = Instant::now();
        let question = Question { number, asked, answered: false, pause, repetition, tried };
        self.groups.insert(name.clone(), question);
        for instance in instances {
            let Some(node) = io.context.gateway_of(&instance, io.now) else { continue };
            let call = GatewayCall::Standing { shard: io.shard, number, instance };
            let from = io.context.identity.node.clone();
            let message = ToGateway { from, group: name.clone(), call };
            io.outbox.push_back(Outgoing::Gateway { node, message });
        }
    }

    /// Takes an answer in. Whether sessions that wait may have another look.
    pub fn on_answer(
        &mut self,
        name: &GroupName,
        instance: &InstanceName,
        number: u64,
        standing: Option<&InstanceStanding>,
        io: &Io,
    ) -> bool {
        let Some(question) = self.groups.get_mut(name) else { return false };
        if question.number != number {
            return false;
        }
        question.answered = true;
        let Some(standing) = standing else { return false };
        if standing.role == Role::Replica {
            question.tried.clear();
        }
        io.context.statuses.on_standing(name, instance, standing, question.asked);
        true
    }
}

/// The instances to ask: as many replicas as make evidence, the nearest that have not been tried
/// first; and the primary itself where its term is not known to be the replicas'.
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
    let needed = group.replication().replicas_needed();
    let mut chosen: Vec<InstanceName> =
        replicas.into_iter().take(needed).map(|replica| replica.name.clone()).collect();
    tried.extend(chosen.iter().cloned());
    let primary = io.context.leader(name, group).map(|primary| primary.name.clone());
    chosen.extend(primary.filter(|one| known.term_of(one) != Some(known.evidence.term())));
    chosen
}
