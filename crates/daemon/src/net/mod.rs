//! Non-blocking TCP connections: accepting, connecting, buffered reads and writes, and keepalive.

pub mod acceptor;
pub mod connect;
pub mod connection;
pub mod keepalive;
