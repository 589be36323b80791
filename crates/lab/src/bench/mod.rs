//! Benches: the cost of the path, and each deployment under its workload.

pub mod cluster;
pub mod command;
pub mod compare;
pub mod confirmation;
pub mod deployment;
pub mod login;
pub mod overload;
pub mod path;
pub mod process;
pub mod report;
pub mod statistics;
