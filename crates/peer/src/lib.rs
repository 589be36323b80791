//! Messages between nodes, and their frames.
//!
//! Fronts and gateways exchange these values whether they share a shard, a node or neither; only
//! between nodes are they encoded, as CBOR with a length in front.

pub mod auth;
pub mod catalog_transfer;
pub mod channel;
pub mod datagram;
pub mod frame;
pub mod message;
pub mod replay;
