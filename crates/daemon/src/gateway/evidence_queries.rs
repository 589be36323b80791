//! Decides when to query instances for evidence that a group's primary still leads, and which of
//! them.
//!
//! Statements may not read at the primary without such evidence. Each group has at most one round
//! of queries at a time. Rounds that yield no evidence are repeated with growing delays, so that
//! waiting statements do not flood the instances with queries.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::retry::{Backoff, RequestPacer};
use kestrellock_core::routing::Role;

use crate::event::Io;

/// Time after which instances that have not answered are queried again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Delays between rounds that yielded no evidence. They start over after 500 ms without a round.
/// Evidence from a successful round is valid for much longer than any of these delays.
const ROUND_PACER: RequestPacer = RequestPacer::new(
    Backoff::new(Duration::from_millis(8), Duration::from_millis(60)),
    Duration::from_millis(500),
);

#[derive(Debug)]
struct QueryRound {
    started_at: Instant,
    answered: bool,
    /// Time from the start of the round until the next one, if the round has been answered.
    delay: Duration,
}

/// Rounds of queries about one group's primary.
#[derive(Debug)]
pub struct EvidenceQueries {
    latest: Option<QueryRound>,
    pacer: RequestPacer,
}

impl Default for EvidenceQueries {
    fn default() -> Self {
        Self { latest: None, pacer: ROUND_PACER }
    }
}

impl EvidenceQueries {
    /// The instances to query now for evidence about the primary of `name` that covers `moment`; none
    /// while the latest round is still pending or its delay has not passed.
    pub fn instances_to_query(
        &mut self,
        name: &GroupName,
        group: &Group,
        moment: Instant,
        io: &Io,
    ) -> Vec<InstanceName> {
        if let Some(round) = &self.latest {
            let limit = if round.answered { round.delay } else { ANSWER_TIMEOUT };
            if io.now < round.started_at + limit {
                return Vec::new();
            }
        }
        let chosen = instances_lacking_evidence(name, group, moment, io);
        if !chosen.is_empty() {
            let delay = self.pacer.on_request(io.now, rand::random());
            self.latest = Some(QueryRound { started_at: Instant::now(), answered: false, delay });
        }
        chosen
    }

    /// An instance has reported its status, or could not be queried.
    pub fn on_answer(&mut self) {
        if let Some(round) = &mut self.latest {
            round.answered = true;
        }
    }
}

/// The instances whose status is needed as evidence.
///
/// If no evidence covers `moment`, if the last report of any replica does not, or if the group has too
/// few that are announced as replicas, these are all replicas and the primary: their reports renew
/// earlier evidence that still holds. Without such evidence they yield some together with a
/// replacement check, or cover what has arrived if all of them report. The primary is also asked if
/// its current process is not known to lead the term that its replicas follow.
fn instances_lacking_evidence(
    name: &GroupName,
    group: &Group,
    moment: Instant,
    io: &Io,
) -> Vec<InstanceName> {
    let group_statuses = io.context.statuses.group(name);
    let known = group_statuses.read().expect("a thread panicked while it held the status lock");
    let leader = io.context.leader(name, group).map(|leader| &leader.name);
    let newest_term = known.evidence.highest_led();
    let leads = leader.and_then(|leader| known.led_term_of(leader));
    let term = leads.unwrap_or(newest_term);
    let lifetime = io.context.evidence_lifetime(name);
    let is_covering = |instance: &InstanceName| {
        known
            .evidence
            .report_queried_at(instance, term)
            .is_some_and(|queried_at| moment <= known.covers_until(leader, queried_at, lifetime))
    };
    let is_running_replica = |instance: &&Instance| {
        let is_replica = instance.announced_role == Some(Role::Replica);
        let is_running = !io.context.address_occupants.is_displaced(group, instance);
        is_replica && is_running && leader != Some(&instance.name)
    };
    let replicas: Vec<&InstanceName> =
        group.instances.iter().filter(is_running_replica).map(|replica| &replica.name).collect();
    // A dead instance may still be announced as primary, or may announce nothing.
    let is_replica_missing = replicas.len() < group.replication().replicas();
    let scope = io.context.evidence_scope(name, group);
    let is_claimed =
        leader.is_some_and(|leader| known.has_lasting_evidence(leader, scope, moment.max(io.now)));
    let is_report_missing =
        is_replica_missing || !is_claimed || !replicas.iter().all(|replica| is_covering(replica));
    let replicas = replicas.into_iter().filter(|_| is_report_missing);
    let current = leader.and_then(|leader| known.current_led_term_of(leader));
    let is_lead_unknown = leads != Some(newest_term) || current != leads;
    let needs_primary = is_lead_unknown || is_report_missing;
    let primary = leader.filter(|_| needs_primary);
    replicas.chain(primary).cloned().collect()
}
