//! The key with which a caller asks to cancel what its session runs.
//!
//! A cancel request arrives on a connection of its own, perhaps at another node than the session's.
//! Half of the key's first number tells the session's node; everything else is random.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::NodeName;

const NODE_SHIFT: u32 = 16;
const LOW_HALF: u32 = 0xFFFF;

/// A cancel key: what PostgreSQL calls process number and secret key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct CancelKey {
    /// Node in the upper half, randomness in the lower one.
    pub process: u32,
    /// Randomness.
    pub secret: u32,
}

impl CancelKey {
    /// A key for a session of `node`; `random` must be unpredictable.
    pub fn new(node: &NodeName, random: u64) -> Self {
        let low = (random >> u32::BITS) as u32 & LOW_HALF;
        Self { process: node_half(node) << NODE_SHIFT | low, secret: random as u32 }
    }

    /// Whether the session may be one of `node`'s. Several nodes may share the answer.
    pub fn may_belong_to(&self, node: &NodeName) -> bool {
        self.process >> NODE_SHIFT == node_half(node)
    }
}

fn node_half(node: &NodeName) -> u32 {
    xxh3_64(node.as_str().as_bytes()) as u32 & LOW_HALF
}
