//! Callers: a light PostgreSQL client, and sessions that send requests and record the outcomes.

pub mod connection;
pub mod reply;
pub mod session;
pub mod statements;
