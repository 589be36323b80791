//! Non-blocking connections and PostgreSQL framing.

pub mod acceptor;
pub mod connect;
pub mod connection;
pub mod keepalive;
