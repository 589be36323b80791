//! What is known of a member, and which of two statements about it holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::catalog::Revision;
use crate::ids::{NodeName, ZoneName};

/// Orders statements about one member: a process of the node, then that process's refutations.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Differs between processes of one node name; grows.
    #[serde(rename = "p")]
    pub process: u64,
    /// Raised by the process itself to refute what others say of it.
    #[serde(rename = "r")]
    pub refutation: u32,
}

/// How a member fares. Later variants override earlier ones of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer a probe and may still refute that.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said itself that it is gone.
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
            other => Err(format!("{other} is not a health")),
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

/// Everything about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name, unique in the cluster.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Zone it runs in.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Where it accepts datagrams and connections of other nodes.
    #[serde(rename = "a")]
    pub peer_address: SocketAddr,
    /// Where operators connect.
    #[serde(rename = "o")]
    pub admin_address: SocketAddr,
    /// Incarnation the record is about.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// How it fares.
    #[serde(rename = "h")]
    pub health: Health,
    /// Whether it has begun to stop and takes no new work.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Revision of the configuration it has in force, as last heard.
    #[serde(rename = "c")]
    pub revision: Revision,
    /// What its link carries, in Mbit/s; zero where its settings do not tell.
    #[serde(rename = "w", default, skip_serializing_if = "is_unknown")]
    pub link_mbps: u32,
}

/// News of a member whose addresses the receiver is expected to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The member.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Incarnation the news is about.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// How it fares.
    #[serde(rename = "h")]
    pub health: Health,
    /// Whether it has begun to stop.
    #[serde(rename = "l")]
    pub leaving: bool,
}

/// News of a member, whole or short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Everything, for members that receivers may not know.
    #[serde(rename = "f")]
    Full(MemberRecord),
    /// State only.
    #[serde(rename = "s")]
    State(StateUpdate),
}

/// Most bytes that a record takes when encoded, without its names and addresses.
const FULL_OVERHEAD_BYTES: usize = 60;
/// Most bytes of an encoded IPv4 address with its port.
const ADDRESS_V4_BYTES: usize = 17;
/// Most bytes of an encoded IPv6 address with its port.
const ADDRESS_V6_BYTES: usize = 41;
/// Most bytes that a state update takes when encoded, without its name.
const STATE_OVERHEAD_BYTES: usize = 40;

fn address_bytes(address: &SocketAddr) -> usize {
    if address.is_ipv4() { ADDRESS_V4_BYTES } else { ADDRESS_V6_BYTES }
}

impl MemberRecord {
    /// The short form of the record.
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
    /// The member concerned.
    pub fn node(&self) -> &NodeName {
        match self {
            Update::Full(record) => &record.node,
            Update::State(state) => &state.node,
        }
    }

    /// Its state.
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
