//! Stand-ins for the systems around the proxy: databases, the platform's store, its machine list,
//! and the network between zones.
//!
//! The proxy reaches them only through their published protocols, and they make no assumptions
//! about the proxy.

pub mod delaying_relay;
pub mod group;
pub mod http;
pub mod instances;
pub mod listener;
pub mod machines;
pub mod network;
pub mod relay;
pub mod relay_listener;
pub mod store;
