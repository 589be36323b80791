//! The key with which a client cancels the statement that its session runs.
//!
//! A cancel request arrives on its own connection, possibly at another node than the session's. The
//! upper half of the key's first number identifies the session's node; everything else is random.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::NodeName;

const NODE_SHIFT: u32 = 16;
const LOW_HALF: u32 = 0xFFFF;

/// A cancel key: PostgreSQL's process ID and secret key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct CancelKey {
    /// Hash of the node name in the upper half, random bits in the lower half.
    pub process: u32,
    /// Random bits.
    pub secret: u32,
}

impl CancelKey {
    /// Creates a key for a session of `node`; `random` must be unpredictable.
    pub fn new(node: &NodeName, random: u64) -> Self {
        let low = (random >> u32::BITS) as u32 & LOW_HALF;
        Self { process: node_half(node) << NODE_SHIFT | low, secret: random as u32 }
    }

    /// Whether the session may be on `node`. Several nodes may match, because the key holds only 16
    /// bits of the name's hash.
    pub fn may_belong_to(&self, node: &NodeName) -> bool {
        self.process >> NODE_SHIFT == node_half(node)
    }
}

fn node_half(node: &NodeName) -> u32 {
    xxh3_64(node.as_str().as_bytes()) as u32 & LOW_HALF
}
