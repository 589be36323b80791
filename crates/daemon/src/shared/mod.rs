//! State that the threads of a node share. These modules depend on no other part of the node that
//! uses them.

pub mod address_occupants;
mod answered_positions;
mod commit_evidence;
pub mod confirmations;
pub mod event_log_limiters;
pub mod exchange_record;
mod group_statuses;
pub mod inbox;
pub mod isolation;
pub mod listed_seeds;
pub mod live;
pub mod membership;
pub mod peer_versions;
pub mod peer_votes;
pub mod promotion_calls;
pub mod quotas;
pub mod replacement_check_requests;
pub mod replacement_checks;
pub mod replacements;
pub mod revisions;
pub mod revoked_evidence;
pub mod routine_log_lines;
pub mod stage;
pub mod statuses;
