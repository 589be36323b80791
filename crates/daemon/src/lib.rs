//! The proxy daemon `kestrellockd`, as a library so that the lab can run nodes in its own process.
//!
//! The module tree is the supervisor tree: [`node`] is the root; [`shard`], [`agent`] and
//! [`admin`] are its children, each with children of its own. A shard hosts one [`front`], one
//! [`gateway`] and the [`links`] to other nodes, all protected by the shard's lock.

pub mod admin;
pub mod agent;
pub mod arguments;
pub mod context;
pub mod drain;
pub mod environment;
pub mod event;
pub mod front;
pub mod gateway;
pub mod links;
pub mod metrics;
pub mod net;
pub mod node;
pub mod ownership;
pub mod policy;
pub mod routing_overrides;
pub mod settings;
pub mod shard;
pub mod shared;
pub mod supervisor;
