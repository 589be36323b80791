//! Records of members and updates about them, with the order that decides which of two updates is
//! valid.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::catalog::Revision;
use crate::ids::{NodeName, ZoneName};

/// Orders updates about one member: first by the node's process, then by that process's
/// refutations.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Increases with each process of the same node name.
    #[serde(rename = "p")]
    pub process: u64,
    /// Raised by the process itself to refute updates of other members about it.
    #[serde(rename = "r")]
    pub refutation: u32,
}

/// Health of a member. Later variants override earlier ones of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum Health {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member announced that it has left.
    Left,
}

impl From<Health> for u8 {
    fn from(value: Health) -> Self {
        match value {
            Health::Alive => 0,
            Health::Suspect => 1,
            Health::Dead => 2,
            Health::Left => 3,
        }
    }
}

impl TryFrom<u8> for Health {
    type Error = String;

    fn try_from(value: u8) -> Result<Self, String> {
        match value {
            0 => Ok(Health::Alive),
            1 => Ok(Health::Suspect),
            2 => Ok(Health::Dead),
            3 => Ok(Health::Left),
            other => Err(format!("{other} is not a valid health code")),
        }
    }
}

impl Health {
    /// Whether the member still counts as a live node.
    pub fn is_live(self) -> bool {
        matches!(self, Health::Alive | Health::Suspect)
    }
}

fn is_unknown(rate: &u32) -> bool {
    *rate == 0
}

/// The full record of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name, unique in the cluster.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Zone it runs in.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Address for datagrams and connections of other nodes.
    #[serde(rename = "a")]
    pub peer_address: SocketAddr,
    /// Address for operators' connections.
    #[serde(rename = "o")]
    pub admin_address: SocketAddr,
    /// Incarnation that the record describes.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Health of the member.
    #[serde(rename = "h")]
    pub health: Health,
    /// Whether it is draining: it has begun to stop and accepts no new work.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Last received revision of its active configuration.
    #[serde(rename = "c")]
    pub revision: Revision,
    /// Bandwidth of its link in Mbit/s; zero if its settings do not state it.
    #[serde(rename = "w", default, skip_serializing_if = "is_unknown")]
    pub link_mbps: u32,
}

/// An update about a member whose addresses the receiver is expected to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The member.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Incarnation that the update describes.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Health of the member.
    #[serde(rename = "h")]
    pub health: Health,
    /// Whether it has begun to stop.
    #[serde(rename = "l")]
    pub leaving: bool,
}

/// An update about a member, full or state only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The full record, for members that receivers may not know.
    #[serde(rename = "f")]
    Full(MemberRecord),
    /// The state only.
    #[serde(rename = "s")]
    State(StateUpdate),
}

/// Upper bound of the encoded size of a record in bytes, without its names and addresses.
const FULL_OVERHEAD_BYTES: usize = 60;
/// Upper bound of the size of an encoded IPv4 address with its port, in bytes.
const ADDRESS_V4_BYTES: usize = 17;
/// Upper bound of the size of an encoded IPv6 address with its port, in bytes.
const ADDRESS_V6_BYTES: usize = 41;
/// Upper bound of the encoded size of a state update in bytes, without its name.
const STATE_OVERHEAD_BYTES: usize = 40;

fn address_bytes(address: &SocketAddr) -> usize {
    if address.is_ipv4() { ADDRESS_V4_BYTES } else { ADDRESS_V6_BYTES }
}

impl MemberRecord {
    /// The state update that corresponds to the record.
    pub fn state(&self) -> StateUpdate {
        StateUpdate {
            node: self.node.clone(),
            incarnation: self.incarnation,
            health: self.health,
            leaving: self.leaving,
        }
    }

    /// Upper bound of the encoded size in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let names = self.node.as_str().len() + self.zone.as_str().len();
        let addresses = address_bytes(&self.peer_address) + address_bytes(&self.admin_address);
        FULL_OVERHEAD_BYTES + names + addresses
    }
}

impl Update {
    /// The member that the update describes.
    pub fn node(&self) -> &NodeName {
        match self {
            Update::Full(record) => &record.node,
            Update::State(state) => &state.node,
        }
    }

    /// The state update, without addresses.
    pub fn state(&self) -> StateUpdate {
        match self {
            Update::Full(record) => record.state(),
            Update::State(state) => state.clone(),
        }
    }

    /// Upper bound of the encoded size in bytes.
    pub fn encoded_bytes(&self) -> usize {
        match self {
            Update::Full(record) => record.encoded_bytes(),
            Update::State(state) => STATE_OVERHEAD_BYTES + state.node.as_str().len(),
        }
    }
}
