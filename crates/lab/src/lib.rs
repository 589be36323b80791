//! The lab: stand-ins for the platform, load, fault scenarios and reports.

pub mod bench;
pub mod check;
pub mod demo;
pub mod logins;
pub mod platform;
pub mod report;
pub mod resting;
pub mod scenario;
pub mod standin;
