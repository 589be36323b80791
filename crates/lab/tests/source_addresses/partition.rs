//! Guards against a coordinator that stops, demotes and promotes instances across a partition of
//! addresses, because its commands and calls come from another address than its node's.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::promotion::PromotionAnswer;
use kestrellock_daemon::environment::Environment;
use kestrellock_daemon::settings::{Backing, Settings};
use kestrellock_lab::platform::{GROUPS, ZONES, wait};
use kestrellock_lab::standin::instances::{InstanceGroup, InstanceOptions, PromotionService};
use kestrellock_lab::standin::network::Network;
use kestrellock_lab::standin::store::{Dialect, PlatformStore};
use kestrellock_store::control::{ControlTarget, InstanceCommand, PromotionRequest};

const SEED: u64 = 1;
const NODE_HOST: u16 = 2;
const PROMOTION_LIMIT: Duration = Duration::from_millis(800);

/// A node's clients of the platform, and the platform on the other side of a link.
struct World {
    environment: Environment,
    network: Arc<Network>,
    node_zone: ZoneName,
    platform_zone: ZoneName,
    group: InstanceGroup,
    primary: ControlTarget,
    promotions: PromotionService,
    /// Kept so that it goes on.
    _store: PlatformStore,
}

impl World {
    fn start() -> Self {
        let [node_zone, platform_zone] = ["node", "platform"].map(ZoneName::new);
        let zones = [node_zone.clone(), platform_zone.clone()];
        let network = Network::new(&zones, SEED).expect("a network");
        let store = PlatformStore::start_as(Dialect::Platform).expect("a store");
        let options = InstanceOptions {
            group: GROUPS[0].to_owned(),
            zones: ZONES.map(str::to_owned).into(),
            synchronous: 1,
            lag: Duration::ZERO,
            connections: 40,
            slots: 3,
        };
        let group = InstanceGroup::start(options, store.writer()).expect("a group");
        let promotions =
            PromotionService::start(std::slice::from_ref(&group), Duration::ZERO).expect("it");
        let expose = |target| network.expose_tcp(&platform_zone, target).expect("a relay");
        let name = group.primary().expect("a primary");
        let primary = ControlTarget {
            group: GroupName::new(GROUPS[0]),
            instance: InstanceName::new(name.clone()),
            address: expose(group.address(&name).expect("its address")),
        };
        let settings = Settings {
            backing: Backing::Platform,
            peer_address: SocketAddr::new(network.address(&node_zone, NODE_HOST).into(), 0),
            store_endpoints: vec![format!("http://{}", expose(store.address))],
            promotion_endpoint: Some(format!("http://{}", expose(promotions.address()))),
            ..Settings::loopback(NodeName::new("node-0"), ZoneName::new(ZONES[0]))
        };
        let environment = Environment::of_platform(&settings).expect("the clients");
        Self {
            environment,
            network,
            node_zone,
            platform_zone,
            group,
            primary,
            promotions,
            _store: store,
        }
    }

    fn cut(&self) {
        self.network.cut(&self.node_zone, &self.platform_zone);
    }

    fn heal(&self) {
        self.network.heal(&self.node_zone, &self.platform_zone);
    }

    /// Sends a command to the primary. Returns whether it was confirmed.
    fn command(&self, command: InstanceCommand) -> bool {
        let services = self.environment.replacement.as_ref().expect("replacement services");
        services.control.execute(&self.primary, command, None).is_ok()
    }

    /// Asks for the promotion of a replica.
    fn promote(&self, fence: u64) -> PromotionAnswer {
        let primary = self.primary.instance.as_str();
        let replica = self.group.instances().into_iter().find(|name| name != primary);
        let request = PromotionRequest {
            group: self.primary.group.clone(),
            instance: InstanceName::new(replica.expect("a replica")),
            coordinator: NodeName::new("node-0"),
            fence,
            deadline: Instant::now() + PROMOTION_LIMIT,
        };
        let services = self.environment.replacement.as_ref().expect("replacement services");
        services.promotions.promote(&request).answer
    }
}

#[test]
fn commands_are_held_up_by_a_partition_of_addresses() {
    let world = World::start();
    wait("a command is confirmed", || world.command(InstanceCommand::Ask)).expect("in time");
    world.cut();
    assert!(!world.command(InstanceCommand::Ask), "a command passed the partition");
    world.heal();
    wait("commands are confirmed again", || world.command(InstanceCommand::Ask)).expect("in time");
}

#[test]
fn promotions_are_held_up_by_a_partition_of_addresses() {
    let world = World::start();
    world.cut();
    assert_ne!(world.promote(1), PromotionAnswer::Accepted, "a promotion passed the partition");
    assert_eq!(world.promotions.arrivals().len(), 0, "a promotion passed the partition");
    world.heal();
    wait("promotions are accepted", || world.promote(2) == PromotionAnswer::Accepted)
        .expect("in time");
}

#[test]
fn store_calls_are_held_up_by_a_partition_of_addresses() {
    let world = World::start();
    let reads = || world.environment.store.range("").is_ok();
    wait("the store answers", reads).expect("in time");
    world.cut();
    assert!(!reads(), "a call of the store passed the partition");
    world.heal();
    wait("the store answers again", reads).expect("in time");
}
