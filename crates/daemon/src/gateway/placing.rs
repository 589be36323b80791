//! Which instance of a group runs a statement, by what answers told this node of the group.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Group, IndexedCatalog, Instance};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::Position;
use kestrellock_core::reader_choice::{self, Reader};
use kestrellock_core::routing::{Access, Role};

use super::pool::Pool;
use crate::event::Io;
use crate::shared::answers::AnswerRecord;
use crate::shared::statuses::GroupStatuses;

/// Where an exchange may go now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// To this instance.
    Instance(InstanceName),
    /// Nowhere yet: no instance qualifies.
    Nowhere,
    /// To the primary, once there is evidence that it still leads.
    NeedsEvidence,
    /// The same; enough replicas have shown it, and the store has yet to say that nobody replaces it.
    NeedsStore,
}

/// What a request needs of the instance that runs it.
#[derive(Clone, Copy)]
pub struct StatementNeeds<'a> {
    /// When it arrived.
    pub arrived: Instant,
    /// How old what it reads may be; `None` if it reads nothing.
    pub staleness: Option<Duration>,
    /// An instance that could not run it a moment ago.
    pub passed_over: Option<&'a InstanceName>,
    /// The group's pools: what waits in one comes before it.
    pub pools: &'a HashMap<InstanceName, Pool>,
}

/// Chooses the instance for `access`. The position that a read needs is joined into the bound of
/// `access`, since the instance itself checks it.
pub fn find(
    group: &GroupName,
    configured: &Group,
    access: &mut Access,
    needs: StatementNeeds,
    io: &Io,
) -> Found {
    let catalog = io.context.catalog.load();
    let board = io.context.statuses.group(group);
    let known = board.read().expect("a holder of the status lock panicked");
    let primary = io.context.leader(group, configured);
    let synchronous = configured.synchronous_replicas;
    let (replication, life) = (configured.replication(), io.context.evidence_life());
    let covered = primary.and_then(|primary| known.covered_until(&primary.name, replication, life));
    // What must be covered: a clock that has not run so long covers everything.
    let moment = |staleness| needs.arrived.checked_sub(staleness).unwrap_or(needs.arrived);
    let missing = |moment: Instant| {
        let only_store = primary.is_some_and(|primary| {
            known.lacks_only_the_store(&primary.name, replication, life, moment, io.now)
        });
        if only_store { Found::NeedsStore } else { Found::NeedsEvidence }
    };
    let chosen = match access {
        Access::Read { bound, max_staleness } => {
            let moment = moment(*max_staleness);
            let at_primary = covered.is_some_and(|covered| moment <= covered);
            let covering = covered.and_then(|covered| known.primary.covering(moment, covered));
            let same_term = known.primary.term() == known.evidence.term();
            let covering = covering.filter(|_| same_term);
            if !at_primary && covering.is_none() {
                return missing(moment);
            }
            if let Some(covering) = covering {
                *bound = Some(bound.map_or(covering, |bound| bound.join(covering)));
            }
            let primary = primary.map(|primary| &primary.name);
            let qualifies =
                Qualifies { primary: primary.filter(|_| at_primary), replicas: covering.is_some() };
            choose_reader(configured, &catalog, &known, bound, qualifies, needs, io)
        }
        Access::PrimaryRead { .. } | Access::Write { .. } => {
            // While the primary is being replaced nothing new goes to it.
            let intents = io.context.intents.load();
            let former = intents.get(group).map(|intent| intent.former.as_ref());
            if former.is_some_and(|former| former == primary.map(|primary| &primary.name)) {
                return Found::Nowhere;
            }
            // Its successor stands in another zone, and leads before long.
            if primary.is_some_and(|primary| catalog.drained_zones().contains(&primary.zone)) {
                return Found::Nowhere;
            }
            if primary.is_some_and(|primary| may_be_old(configured, primary, &known)) {
                return Found::NeedsEvidence;
            }
            // Without synchronous replicas an old primary goes on committing.
            let alone = (synchronous == 0).then_some(Duration::ZERO);
            let staleness = needs.staleness.or(alone);
            let uncovered = staleness
                .map(moment)
                .filter(|moment| covered.is_none_or(|covered| *moment > covered));
            if let (Some(moment), Some(_)) = (uncovered, primary) {
                return missing(moment);
            }
            primary
        }
    };
    let Some(instance) = chosen else { return Found::Nowhere };
    io.context.metrics.count_route(access, instance.announced_role);
    Found::Instance(instance.name.clone())
}

/// Whether a newer primary than this one is known, or may have been promoted: nothing is written there before it
/// has said which term it leads.
fn may_be_old(configured: &Group, primary: &Instance, known: &GroupStatuses) -> bool {
    let leads = known.led_by(&primary.name);
    let is_unproven = leads.is_none() && !configured.is_newest(&primary.name);
    is_unproven || known.evidence.is_outdated(leads)
}

/// Which instances may serve a read.
#[derive(Clone, Copy, Debug)]
struct Qualifies<'a> {
    /// The primary, if it may.
    primary: Option<&'a InstanceName>,
    /// Whether replicas may.
    replicas: bool,
}

fn choose_reader<'a>(
    configured: &'a Group,
    catalog: &IndexedCatalog,
    known: &GroupStatuses,
    position: &Option<Position>,
    qualifies: Qualifies<'_>,
    needs: StatementNeeds,
    io: &Io,
) -> Option<&'a Instance> {
    let may_serve = |instance: &&Instance| {
        let is_replica = instance.announced_role == Some(Role::Replica);
        let qualifies = match qualifies.primary == Some(&instance.name) {
            true => true,
            false => qualifies.replicas && is_replica,
        };
        let is_there = !io.context.occupants.is_displaced(configured, instance);
        let takes_work = catalog.takes_work(instance);
        qualifies && is_there && takes_work && needs.passed_over != Some(&instance.name)
    };
    let queued = |name| needs.pools.get(name).map_or(0, |pool| pool.waiting() as u32);
    let readers: Vec<Reader> = configured
        .instances
        .iter()
        .filter(may_serve)
        .map(|instance| {
            let unknown = AnswerRecord::default();
            let record = known.answers.get(&instance.name).unwrap_or(&unknown);
            Reader {
                instance: &instance.name,
                is_local: instance.zone == io.context.identity.zone,
                reported_position: record
                    .reached
                    .filter(|_| instance.announced_role == Some(Role::Replica)),
                report_age: record.reached_at.map(|at| io.now.saturating_duration_since(at)),
                service_time: record.service,
                running: record.running() + queued(&instance.name),
                slots: instance.slots,
                is_unresponsive: record.in_doubt,
            }
        })
        .collect();
    configured.instance(reader_choice::choose(&readers, position.as_ref())?)
}
