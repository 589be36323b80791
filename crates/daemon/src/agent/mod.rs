//! The agent: keeps the catalog up to date, takes part in membership and replaces primaries.

pub mod configuration;
pub mod counted_store;
pub mod isolation;
pub mod machines;
pub mod membership;
pub mod promotion;
