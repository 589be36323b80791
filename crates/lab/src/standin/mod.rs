//! Stand-ins for the systems around the proxy, met through their published protocols.
//!
//! They know nothing of the proxy.

pub mod group;
pub mod http;
pub mod instances;
pub mod listener;
pub mod machines;
pub mod network;
pub mod store;
