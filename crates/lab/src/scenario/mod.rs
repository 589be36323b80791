//! Fault scenarios: a deployment on loopback, callers, a timeline of faults, and the verdict.

pub mod caller;
pub mod catalog;
pub mod collect;
pub mod command;
pub mod definition;
pub mod deployment;
pub mod run;
pub mod schedule;
pub mod schema;
pub mod timeline;
pub mod trace;
pub mod watch;
