//! The lab: stand-ins for databases, the store and the network; the demonstration, fault scenarios
//! and benches that run the proxy's nodes against them; and the checker and reports that judge the
//! runs.

pub mod bench;
pub mod check;
pub mod demo;
pub mod fault_events;
pub mod logins;
pub mod platform;
pub mod processes;
pub mod report;
pub mod scenario;
pub mod standin;
