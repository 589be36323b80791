//! Messages between nodes, and their framing and authentication.
//!
//! Fronts and gateways exchange the same message values within a shard, between shards of a node
//! and between nodes. Only messages between nodes are encoded, as CBOR with a length prefix.

pub mod auth;
pub mod catalog_transfer;
pub mod channel;
pub mod datagram;
pub mod frame;
pub mod message;
pub mod replay;
