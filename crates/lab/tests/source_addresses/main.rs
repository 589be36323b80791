//! Addresses from which nodes open connections.

mod partition;
mod replacement;
