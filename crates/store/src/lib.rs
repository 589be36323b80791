//! Traits for the platform's services (configuration store, machine list, coordination of primary
//! replacements, control of instances) and their clients that speak published protocols.

pub mod apply;
pub mod backoff;
pub mod call_counts;
pub mod catalog;
pub mod control;
pub mod coordination;
pub mod etcd;
pub mod machines;
pub mod source;
pub mod store;
