//! Addresses of nodes that have one of their own.

use std::net::IpAddr;

/// Second octet of the addresses of nodes; no zone of a simulated network has it.
const NODE_ADDRESS_OCTET: u8 = 200;

/// Address of a node that has one of its own.
pub fn node_address(number: usize) -> IpAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    IpAddr::from([127, NODE_ADDRESS_OCTET, high, low])
}

/// Addresses of the first `count` nodes.
pub fn node_addresses(count: usize) -> Vec<IpAddr> {
    (0..count).map(node_address).collect()
}
