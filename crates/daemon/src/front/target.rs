//! Chooses the gateway that serves a statement and, in groups that elect their own primary, the
//! instance that runs it. Keeps the subscriptions to the instances' statuses that this choice
//! needs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Elector, Group, IndexedCatalog};
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, NodeName};
use kestrellock_core::routing::{Access, Candidate, Choice, choose};
use kestrellock_peer::message::{GatewayCall, SUBSCRIPTION_LIFETIME, ToGateway};

use crate::event::{Io, Outgoing};
use crate::ownership::OwnershipSnapshot;

/// Where a front sends the exchanges of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// Instance that runs the request; `None` if the gateway chooses it.
    pub instance: Option<InstanceName>,
    /// Node whose gateway holds the instance's connections.
    pub gateway: NodeName,
}

/// Chooses the target for `access`; `None` if none is known yet. If the proxy elects the group's
/// primary, the state of instances is known from their answers, which only the group's owners see;
/// an owner then chooses the instance. `random` decides among owners that qualify equally.
pub fn find(
    group: &GroupName,
    account: Option<&AccountName>,
    access: &Access,
    random: u64,
    io: &Io,
) -> Option<RequestTarget> {
    let catalog = io.context.catalog.load();
    let configured = catalog.groups.get(group)?;
    match configured.elector {
        Elector::Group => find_by_status(group, configured, &catalog, access, io),
        Elector::Proxy => {
            let gateway = io.context.owner_for_group(group, account, random, io.now)?;
            Some(RequestTarget { instance: None, gateway })
        }
    }
}

fn find_by_status(
    group: &GroupName,
    configured: &Group,
    catalog: &IndexedCatalog,
    access: &Access,
    io: &Io,
) -> Option<RequestTarget> {
    let instances = &configured.instances;
    let group_statuses = io.context.statuses.group(group);
    let statuses = group_statuses.read().expect("a thread panicked while it held the status lock");
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
        Choice::NoInstance => return None,
    };
    let role = statuses.get(chosen).map(|known| known.status.role);
    let instance = instances.iter().find(|instance| instance.name == *chosen)?;
    let gateway = io.context.gateway_of(&instance.name, io.now)?;
    io.context.metrics.count_route(access, role);
    Some(RequestTarget { instance: Some(instance.name.clone()), gateway })
}

/// Half the lifetime of a subscription, so that one lost renewal does not end it.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(SUBSCRIPTION_LIFETIME.as_secs() / 2);

/// Renewal interval while an instance's status is missing: a gateway that has just started may not
/// have known the group, and so dropped the subscription.
const FIRST_RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Groups whose instance statuses this front has subscribed to, with the time of the last renewal.
#[derive(Debug, Default)]
pub struct Subscriptions {
    groups: HashMap<GroupName, Instant>,
    /// Owners at the last renewal. A change triggers a renewal, because a new owner does not know
    /// the subscriptions.
    owners: Arc<OwnershipSnapshot>,
}

impl Subscriptions {
    /// Subscribes to the statuses of `group` unless that was done recently.
    pub fn ensure(&mut self, group: &GroupName, io: &mut Io) {
        let known = self.groups.get(group);
        if known.is_none_or(|renewed| io.now.duration_since(*renewed) >= RENEWAL_INTERVAL) {
            self.groups.insert(group.clone(), io.now);
            subscribe(group, io);
        }
    }

    /// Renews the subscriptions that are due.
    pub fn renew(&mut self, io: &mut Io) {
        let owners = io.context.ownership_snapshot();
        let owners_changed = !Arc::ptr_eq(&owners, &self.owners);
        self.owners = owners;
        for (group, renewed) in &mut self.groups {
            let elapsed = io.now.duration_since(*renewed);
            let incomplete = elapsed >= FIRST_RENEWAL_INTERVAL && !knows_every_instance(group, io);
            if owners_changed || incomplete || elapsed >= RENEWAL_INTERVAL {
                *renewed = io.now;
                subscribe(group, io);
            }
        }
    }
}

fn knows_every_instance(group: &GroupName, io: &Io) -> bool {
    let catalog = io.context.catalog.load();
    let Some(configured) = catalog.groups.get(group) else { return true };
    if configured.elector == Elector::Proxy {
        return true;
    }
    let group_statuses = io.context.statuses.group(group);
    let statuses = group_statuses.read().expect("a thread panicked while it held the status lock");
    configured.instances.iter().all(|instance| statuses.instances.contains_key(&instance.name))
}

fn subscribe(group: &GroupName, io: &mut Io) {
    let catalog = io.context.catalog.load();
    let Some(configured) = catalog.groups.get(group) else { return };
    if configured.elector == Elector::Proxy {
        // The group's owners choose instances, so the front needs no statuses.
        return;
    }
    let owners: std::collections::BTreeSet<NodeName> = configured
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
