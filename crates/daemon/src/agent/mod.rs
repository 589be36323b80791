//! The agent: keeps the catalog up to date and knows the other nodes.

pub mod configuration;
