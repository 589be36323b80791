//! Which gateway serves a statement, and which instance where the front chooses it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Elector, Group, IndexedCatalog};
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, NodeName};
use kestrellock_core::routing::{Access, Candidate, Choice, choose};
use kestrellock_peer::message::{GatewayCall, SUBSCRIPTION_LIFETIME, ToGateway};

use crate::event::{Io, Outgoing};
use crate::ownership::OwnershipSnapshot;

/// Where an exchange goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Instance that runs it; `None` if its gateway chooses.
    pub instance: Option<InstanceName>,
    /// Node whose gateway holds the instance's connections.
    pub gateway: NodeName,
}

/// Chooses the target for `access`: `None` if there is none yet. Where answers are what is known of
/// instances, an owner of the group chooses the instance, since owners alone see them.
pub fn find(
    group: &GroupName,
    account: Option<&AccountName>,
    access: &Access,
    io: &Io,
) -> Option<Target> {
    let catalog = io.context.catalog.load();
    let configured = catalog.groups.get(group)?;
    match configured.elector {
        Elector::Group => find_by_status(group, configured, &catalog, access, io),
        Elector::Proxy => {
            let gateway = io.context.owner_for_group(group, account, io.now)?;
            Some(Target { instance: None, gateway })
        }
    }
}

fn find_by_status(
    group: &GroupName,
    configured: &Group,
    catalog: &IndexedCatalog,
    access: &Access,
    io: &Io,
) -> Option<Target> {
    let instances = &configured.instances;
    let board = io.context.statuses.group(group);
    let statuses = board.read().expect("a holder of the status lock panicked");
    let statuses = &statuses.instances;
    let candidates: Vec<Candidate> = instances
        .iter()
        .filter(|instance| catalog.accepts_work(instance))
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
    io.context.metrics.count_route(access, role);
    Some(Target { instance: Some(instance.name.clone()), gateway })
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
    if value.elector == Elector::Proxy {
        // Its owners choose instances by themselves.
        return;
    }
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
