//! The lab: stand-ins for the platform, load, fault scenarios and reports.

pub mod bench;
pub mod check;
pub mod demo;
pub mod fault_events;
pub mod logins;
pub mod platform;
pub mod report;
pub mod scenario;
pub mod standin;
