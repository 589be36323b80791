//! Replication between the instances of a group.
//!
//! A replica receives the log of the running primary with the highest term that it reaches, provided
//! that this term is at least the replica's own term and its minimum term, and that replication to
//! the replica is not blocked. The replica drops the commits that this primary does not have. An old
//! primary becomes a replica one second after it first reached a primary of a newer term.

use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::position::Term;
use kestrellock_core::routing::Role;

use super::Shared;
use super::state::{Commit, Instance, State};

const REPLICATION_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which an old primary stays primary after it first reached a newer one.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(1);

/// Replicates until the group is stopped.
pub fn run(shared: &Shared) {
    while !shared.is_stopping() {
        let mut state = shared.state();
        let changed = replicate(&mut state, Instant::now());
        for name in changed {
            shared.publish_entry(&state, &name);
        }
        drop(state);
        shared.changed.notify_all();
        thread::sleep(REPLICATION_INTERVAL);
    }
}

/// Performs one replication step for every instance. Returns the instances whose role has changed.
fn replicate(state: &mut State, now: Instant) -> Vec<String> {
    let primaries = state
        .instances
        .values()
        .filter(|instance| instance.running && instance.role == Role::Primary);
    let sources: Vec<(String, Term, Vec<Commit>)> = primaries
        .map(|instance| (instance.name.clone(), instance.term, instance.log.clone()))
        .collect();
    let links = state.links.clone();
    let mut changed = Vec::new();
    for instance in state.instances.values_mut().filter(|instance| instance.running) {
        let name = instance.name.clone();
        let mut reached = sources.iter().filter(|(source, ..)| links.connect(&name, source));
        if instance.role == Role::Primary {
            let newer = reached.any(|(_, term, _)| *term > instance.term);
            instance.outdated_since = newer.then(|| instance.outdated_since.unwrap_or(now));
            let since = instance.outdated_since.filter(|since| now >= *since + STEP_DOWN_DELAY);
            if since.is_some() {
                instance.role = Role::Replica;
                changed.push(instance.name.clone());
            }
            continue;
        }
        let receives = |term: Term| term >= instance.term && term >= instance.min_term;
        let source = reached.filter(|(_, term, _)| receives(*term));
        let source = source.max_by_key(|(_, term, _)| *term);
        if let Some((_, term, log)) = source.filter(|_| !instance.replication_blocked) {
            receive(instance, *term, log, now);
        }
    }
    changed
}

fn receive(instance: &mut Instance, term: Term, log: &[Commit], now: Instant) {
    instance.term = term;
    let common_length =
        instance.log.iter().zip(log).take_while(|(own, other)| own == other).count();
    instance.truncate(common_length);
    for commit in &log[common_length..] {
        instance.append(commit.clone(), now);
    }
}
