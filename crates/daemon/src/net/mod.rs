//! Non-blocking connections and PostgreSQL framing.

pub mod connection;
pub mod frames;
