//! Outgoing TCP connections, each from the address of its node.
//!
//! * [`source`]: the address, and connections from it;
//! * [`transport`]: a connection of the HTTP client;
//! * [`http`]: an HTTP client whose connections come from the address.

pub mod http;
pub mod source;
pub mod transport;
