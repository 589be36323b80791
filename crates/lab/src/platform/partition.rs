//! Partitions: some nodes and some instances reach each other, and nothing else.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use kestrellock_core::ids::ZoneName;

use super::{Platform, ZONES, node_relay_zone};
use crate::standin::network::Network;

/// Zone of the relays in front of the instances with a number, one of each group.
fn instance_relay_zone(number: usize) -> ZoneName {
    ZoneName::new(format!("instance-{number}"))
}

fn promotion_relay_zone() -> ZoneName {
    ZoneName::new("promotions")
}

/// The zones that only a platform with partitions has.
pub(super) fn zones() -> impl Iterator<Item = ZoneName> {
    (0..ZONES.len()).map(instance_relay_zone).chain([promotion_relay_zone()])
}

/// Address at which others reach an instance: that of its relay, if there are partitions.
pub(super) fn expose(
    network: Option<&Arc<Network>>,
    number: usize,
    address: SocketAddr,
) -> io::Result<SocketAddr> {
    network.map_or(Ok(address), |network| network.expose_tcp(&instance_relay_zone(number), address))
}

/// Address at which others reach the promotion service.
pub(super) fn expose_promotions(
    network: Option<&Arc<Network>>,
    address: SocketAddr,
) -> io::Result<SocketAddr> {
    network.map_or(Ok(address), |network| network.expose_tcp(&promotion_relay_zone(), address))
}

impl Platform {
    /// Separates these nodes, and the instance with this number of each group, from everything else:
    /// from the other nodes, instances, the store and the promotion service. Connections are not reset.
    /// Needs [`super::PlatformOptions::partitionable`].
    pub fn partition(&self, nodes: &[usize], instance: usize) {
        self.set_isolated(instance, true);
        self.for_links_across(nodes, instance, &[], Network::cut);
    }

    /// Ends a partition.
    pub fn heal_partition(&self, nodes: &[usize], instance: usize) {
        self.for_links_across(nodes, instance, &[], Network::heal);
        self.set_isolated(instance, false);
    }

    /// As [`Platform::partition`], but all nodes reach the instances with the numbers `shared`, and the
    /// links between instances stay.
    pub fn partition_nodes(&self, nodes: &[usize], instance: usize, shared: &[usize]) {
        self.for_links_across(nodes, instance, shared, Network::cut);
    }

    fn set_isolated(&self, instance: usize, is_isolated: bool) {
        for group in &self.groups {
            let name = &group.instances()[instance];
            group.set_isolated(is_isolated.then_some(name.as_str()));
        }
    }

    /// Changes the links between a side and everything else except the instances with the numbers
    /// `shared`.
    fn for_links_across(
        &self,
        nodes: &[usize],
        instance: usize,
        shared: &[usize],
        change: impl Fn(&Network, &ZoneName, &ZoneName),
    ) {
        let network = self.network.as_ref().expect("a platform with relays");
        let inside: Vec<ZoneName> = nodes
            .iter()
            .map(|node| node_relay_zone(*node))
            .chain([instance_relay_zone(instance)])
            .collect();
        let shared: Vec<ZoneName> = shared.iter().copied().map(instance_relay_zone).collect();
        let outside = network.zones().iter().filter(|zone| !inside.contains(zone));
        for zone in outside.filter(|zone| !shared.contains(zone)) {
            inside.iter().for_each(|other| change(network, other, zone));
        }
    }
}
