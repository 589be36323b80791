//! Which instance and gateway serve a statement, by what this node knows of the group.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Elector, Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::Position;
use kestrellock_core::reader_choice::{self, Reader};
use kestrellock_core::routing::{Access, Candidate, Choice, Role, choose};
use kestrellock_peer::message::{GatewayCall, SUBSCRIPTION_LIFETIME, ToGateway};

use super::counting;
use crate::event::{Io, Outgoing};
use crate::ownership::OwnershipSnapshot;
use crate::shared::statuses::{AnswerRecord, GroupStatuses};

/// Where an exchange goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Instance that runs it.
    pub instance: InstanceName,
    /// Node whose gateway holds the instance's connections.
    pub gateway: NodeName,
}

/// Where an exchange may go now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// There.
    Target(Target),
    /// Nowhere yet: no instance qualifies.
    Nowhere,
    /// To the primary, once there is evidence that it still leads.
    NeedsEvidence,
}

/// What a request needs of the instance that runs it.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// When it arrived.
    pub arrived: Instant,
    /// How old what it reads may be; `None` if it reads nothing.
    pub staleness: Option<Duration>,
    /// An instance that could not run it a moment ago.
    pub passed_over: Option<&'a InstanceName>,
}

/// Chooses the target for `access`. Where an instance checks positions itself, the position that a
/// read needs is joined into the bound of `access`.
pub fn find(group: &GroupName, access: &mut Access, need: Need, io: &Io) -> Found {
    let catalog = io.context.catalog.load();
    let Some(configured) = catalog.groups.get(group) else { return Found::Nowhere };
    match configured.elector {
        Elector::Group => {
            let target = find_by_status(group, configured, access, io);
            target.map_or(Found::Nowhere, Found::Target)
        }
        Elector::Proxy => find_by_answers(group, configured, access, need, io),
    }
}

fn find_by_status(
    group: &GroupName,
    configured: &Group,
    access: &Access,
    io: &Io,
) -> Option<Target> {
    let instances = &configured.instances;
    let board = io.context.statuses.group(group);
    let statuses = board.read().expect("a holder of the status lock panicked");
    let statuses = &statuses.instances;
    let candidates: Vec<Candidate> = instances
        .iter()
        .filter(|instance| !instance.leaving)
        .filter_map(|instance| {
            let known = statuses.get(&instance.name)?;
            let age = io.now.saturating_duration_since(known.received);
            Some(Candidate { status: &known.status, zone: &instance.zone, age })
        })
        .collect();
    let chosen = match choose(access, &candidates, &io.context.identity.zone) {
        Choice::Serve(instance) | Choice::ServeAfter(instance, _) => instance,
        Choice::Nowhere => return None,
    };
    let role = statuses.get(chosen).map(|known| known.status.role);
    let instance = instances.iter().find(|instance| instance.name == *chosen)?;
    let gateway = io.context.gateway_of(&instance.name, io.now)?;
    counting::routed(access, role, io);
    Some(Target { instance: instance.name.clone(), gateway })
}

fn find_by_answers(
    group: &GroupName,
    configured: &Group,
    access: &mut Access,
    need: Need,
    io: &Io,
) -> Found {
    let board = io.context.statuses.group(group);
    let known = board.read().expect("a holder of the status lock panicked");
    let primary = io.context.leader(group, configured);
    let synchronous = configured.synchronous_replicas;
    let covered = primary.and_then(|primary| {
        known.covered_until(&primary.name, configured.replication(), io.context.evidence_life())
    });
    // What must be covered: a clock that has not run so long covers everything.
    let moment = |staleness| need.arrived.checked_sub(staleness).unwrap_or(need.arrived);
    let chosen = match access {
        Access::Read { bound, max_staleness } => {
            let moment = moment(*max_staleness);
            let at_primary = covered.is_some_and(|covered| moment <= covered);
            let covering = covered.and_then(|covered| known.primary.covering(moment, covered));
            let same_term = known.primary.term() == known.evidence.term();
            let covering = covering.filter(|_| same_term);
            if !at_primary && covering.is_none() {
                return Found::NeedsEvidence;
            }
            if let Some(covering) = covering {
                *bound = Some(bound.map_or(covering, |bound| bound.join(covering)));
            }
            let primary = primary.map(|primary| &primary.name);
            let qualifies =
                Qualifies { primary: primary.filter(|_| at_primary), replicas: covering.is_some() };
            choose_reader(configured, &known, bound, qualifies, need.passed_over, io)
        }
        Access::PrimaryRead { .. } | Access::Write { .. } => {
            // While the primary is being replaced nothing new goes to it.
            let intents = io.context.intents.load();
            let former = intents.get(group).map(|intent| intent.former.as_ref());
            if former.is_some_and(|former| former == primary.map(|primary| &primary.name)) {
                return Found::Nowhere;
            }
            // Without synchronous replicas an old primary goes on committing.
            let alone = (synchronous == 0).then_some(Duration::ZERO);
            let staleness = need.staleness.or(alone);
            let uncovered = staleness
                .is_some_and(|staleness| covered.is_none_or(|covered| moment(staleness) > covered));
            if primary.is_some() && uncovered {
                return Found::NeedsEvidence;
            }
            primary
        }
    };
    let Some(instance) = chosen else { return Found::Nowhere };
    let Some(gateway) = io.context.gateway_of(&instance.name, io.now) else {
        return Found::Nowhere;
    };
    counting::routed(access, instance.announced_role, io);
    Found::Target(Target { instance: instance.name.clone(), gateway })
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
    known: &GroupStatuses,
    position: &Option<Position>,
    qualifies: Qualifies<'_>,
    passed_over: Option<&InstanceName>,
    io: &Io,
) -> Option<&'a Instance> {
    let may_serve = |instance: &&Instance| {
        let is_replica = instance.announced_role == Some(Role::Replica);
        let qualifies = match qualifies.primary == Some(&instance.name) {
            true => true,
            false => qualifies.replicas && is_replica,
        };
        qualifies && !instance.leaving && passed_over != Some(&instance.name)
    };
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
                reached: record.reached.filter(|_| instance.announced_role == Some(Role::Replica)),
                reached_for: record.reached_at.map(|at| io.now.saturating_duration_since(at)),
                service: record.service,
                running: record.running(),
                slots: instance.slots,
                in_doubt: record.in_doubt,
            }
        })
        .collect();
    configured.instance(reader_choice::choose(&readers, position.as_ref())?)
}

/// Half a subscription's life, so that one lost renewal does not end it.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(SUBSCRIPTION_LIFETIME.as_secs() / 2);

/// Interval while an instance's status is missing: a gateway that has just started may not have
/// known the group yet, and so dropped the subscription.
const FIRST_RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Groups whose statuses this front asked for.
#[derive(Debug, Default)]
pub struct Subscriptions {
    groups: HashMap<GroupName, Instant>,
    /// Owners at the last renewal: a new owner is asked at once.
    owners: Arc<OwnershipSnapshot>,
}

impl Subscriptions {
    /// Asks for the statuses of `group` unless that was done lately.
    pub fn ensure(&mut self, group: &GroupName, io: &mut Io) {
        let known = self.groups.get(group);
        if known.is_none_or(|asked| io.now.duration_since(*asked) >= RENEWAL_INTERVAL) {
            self.groups.insert(group.clone(), io.now);
            subscribe(group, io);
        }
    }

    /// Renews the subscriptions that are due.
    pub fn renew(&mut self, io: &mut Io) {
        let owners = io.context.ownerships();
        let moved = !Arc::ptr_eq(&owners, &self.owners);
        self.owners = owners;
        for (group, asked) in &mut self.groups {
            let elapsed = io.now.duration_since(*asked);
            let incomplete = elapsed >= FIRST_RENEWAL_INTERVAL && !knows_every_instance(group, io);
            if moved || incomplete || elapsed >= RENEWAL_INTERVAL {
                *asked = io.now;
                subscribe(group, io);
            }
        }
    }
}

fn knows_every_instance(group: &GroupName, io: &Io) -> bool {
    let catalog = io.context.catalog.load();
    let Some(value) = catalog.groups.get(group) else { return true };
    if value.elector == Elector::Proxy {
        return true;
    }
    let board = io.context.statuses.group(group);
    let statuses = board.read().expect("a holder of the status lock panicked");
    value.instances.iter().all(|instance| statuses.instances.contains_key(&instance.name))
}

fn subscribe(group: &GroupName, io: &mut Io) {
    let catalog = io.context.catalog.load();
    let Some(value) = catalog.groups.get(group) else { return };
    let owners: std::collections::BTreeSet<NodeName> = value
        .instances
        .iter()
        .filter_map(|instance| io.context.gateway_of(&instance.name, io.now))
        .collect();
    for node in owners {
        let message = ToGateway {
            from: io.context.identity.node.clone(),
            group: group.clone(),
            call: GatewayCall::Subscribe,
        };
        io.outbox.push_back(Outgoing::Gateway { node, message });
    }
}
