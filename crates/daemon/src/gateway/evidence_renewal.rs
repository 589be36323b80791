//! Renews the evidence that a group's primary leads before it expires, while statements use the
//! primary.
//!
//! Reports of the primary and of some replicas renew evidence that still holds
//! (`core::primary_evidence`). Evidence that has expired is gained again only with a replacement
//! check, which takes longer than a round of queries and costs a call of the store. While neither
//! the store nor all other nodes answer, a group whose evidence has expired acknowledges no writes.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Group;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::routing::Role;

use crate::event::Io;

/// How long evidence is renewed after the last statement that needed it. Most groups that are in use
/// get another statement within that time.
const RENEWAL_WINDOW: Duration = Duration::from_secs(3);
/// How long before the end of the evidence it is renewed. Three rounds of queries fit into that time.
const RENEWAL_MARGIN: Duration = Duration::from_millis(200);
/// Least time between two rounds of queries.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);

/// A round of queries that renews evidence.
#[derive(Clone, Copy, Debug)]
struct RenewalRound {
    started_at: Instant,
    /// Until when the evidence covers answers that the round renews.
    covered_until: Instant,
}

/// The renewal of the evidence about one group's primary.
#[derive(Debug, Default)]
pub struct EvidenceRenewal {
    last_use: Option<Instant>,
    latest: Option<RenewalRound>,
}

impl EvidenceRenewal {
    /// A statement that arrived at `arrived` needs evidence about the primary.
    pub fn on_use(&mut self, arrived: Instant) {
        self.last_use = self.last_use.max(Some(arrived));
    }

    /// Whether a statement that arrived within the window before `arrived` needed evidence as well.
    pub fn was_used_before(&self, arrived: Instant) -> bool {
        let is_recent = |used: Instant| used < arrived && arrived < used + RENEWAL_WINDOW;
        self.last_use.is_some_and(is_recent)
    }

    /// The instances to query now, so that their reports renew the evidence. The first round asks as
    /// few as suffice, and later ones for the same evidence ask all.
    pub fn instances_to_query(
        &mut self,
        name: &GroupName,
        group: &Group,
        io: &Io,
    ) -> Vec<InstanceName> {
        let is_used = self.last_use.is_some_and(|used| io.now < used + RENEWAL_WINDOW);
        let is_early = |round: RenewalRound| io.now < round.started_at + ROUND_INTERVAL;
        if !is_used || self.latest.is_some_and(is_early) {
            return Vec::new();
        }
        let Some(covered_until) = ending_evidence(name, group, io) else { return Vec::new() };
        let Some(leader) = io.context.leader(name, group).map(|leader| &leader.name) else {
            return Vec::new();
        };
        let mut replicas = replicas_by_last_report(name, group, leader, io);
        if self.latest.is_none_or(|round| round.covered_until != covered_until) {
            replicas.truncate(group.replication().synchronous.max(1) as usize);
        }
        self.latest = Some(RenewalRound { started_at: io.now, covered_until });
        replicas.into_iter().chain([leader]).cloned().collect()
    }
}

/// Until when the evidence about the primary covers answers, if that is soon and it can be renewed.
fn ending_evidence(name: &GroupName, group: &Group, io: &Io) -> Option<Instant> {
    if !io.context.may_renew_evidence(name) {
        return None;
    }
    let scope = io.context.evidence_scope(name, group);
    let leader = io.context.leader(name, group)?;
    let statuses = io.context.statuses.group(name);
    let known = statuses.read().expect("a thread panicked while it held the status lock");
    let covered_until = known.renewable_until(&leader.name, scope)?;
    let is_ending = io.now <= covered_until && covered_until < io.now + RENEWAL_MARGIN;
    is_ending.then_some(covered_until)
}

/// The running replicas of a group, beginning with the one that has reported last.
fn replicas_by_last_report<'a>(
    name: &GroupName,
    group: &'a Group,
    leader: &InstanceName,
    io: &Io,
) -> Vec<&'a InstanceName> {
    let statuses = io.context.statuses.group(name);
    let known = statuses.read().expect("a thread panicked while it held the status lock");
    let term = known.evidence.highest_led();
    let running = group.instances.iter().filter(|instance| {
        instance.announced_role == Some(Role::Replica)
            && instance.name != *leader
            && !io.context.address_occupants.is_displaced(group, instance)
    });
    let mut replicas: Vec<&InstanceName> = running.map(|replica| &replica.name).collect();
    replicas.sort_by_key(|replica| Reverse(known.evidence.report_queried_at(replica, term)));
    replicas
}
