//! The decision logic of kestrellock: positions, catalog, statement classification, routing,
//! outcomes.
//!
//! This crate does no I/O, starts no threads and reads no clock. Time and randomness are arguments,
//! so that every decision can be tested and replayed.

pub mod account_connections;
pub mod account_owners;
pub mod admin;
pub mod admission;
pub mod cancel;
pub mod capacity;
pub mod catalog;
pub mod classify;
pub mod concurrency_limit;
pub mod confirmation;
pub mod connection_budget;
pub mod connection_shares;
pub mod credential;
pub mod credential_evidence;
pub mod current_position;
pub mod distribution;
pub mod exchange_state;
pub mod failover;
pub mod freshness;
pub mod group_bounds;
pub mod group_owners;
pub mod ids;
pub mod incarnation;
pub mod isolation;
pub mod membership;
pub mod observed_process;
pub mod outcome;
pub mod pipelined_transaction;
pub mod placement_deadline;
pub mod planned_stop;
pub mod position;
pub mod primary_evidence;
pub mod primary_samples;
pub mod promotion;
pub mod quota;
pub mod reader_choice;
pub mod rendezvous;
pub mod retry;
pub mod routing;
pub mod scram;
pub mod session;
pub mod session_end;
pub mod session_state;
pub mod store_access;
pub mod store_era;
pub mod suspicion;
