//! Addresses of nodes that have one of their own.

use std::net::IpAddr;

use super::{Platform, node_relay_zone};

/// Second octet of the addresses of nodes; no zone of a simulated network has it.
const NODE_ADDRESS_OCTET: u8 = 200;

/// Host number of a node in its zone of the relays' network.
const NODE_HOST_NUMBER: u16 = 2;

/// Address of a node that has one of its own.
pub fn node_address(number: usize) -> IpAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    IpAddr::from([127, NODE_ADDRESS_OCTET, high, low])
}

impl Platform {
    /// The address of a node that has one of its own.
    pub(super) fn own_address(&self, number: usize) -> Option<IpAddr> {
        match &self.network {
            Some(network) if self.options.partitionable => {
                Some(network.address(&node_relay_zone(number), NODE_HOST_NUMBER).into())
            }
            _ => self.options.own_addresses.then(|| node_address(number)),
        }
    }

    /// Tells the check of statements the nodes' addresses, if each node has one of its own.
    pub(super) fn tell_node_addresses(&self) {
        let own = (0..self.options.nodes).map(|number| self.own_address(number));
        if let Some(addresses) = own.collect::<Option<Vec<IpAddr>>>() {
            self.groups.iter().for_each(|group| group.set_node_addresses(addresses.clone()));
        }
    }
}
