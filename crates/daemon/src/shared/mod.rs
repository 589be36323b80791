//! What the threads of a node share, below everything that uses it.

pub mod address_occupants;
pub mod answers;
pub mod board;
pub mod confirmations;
pub mod given_up;
pub mod inbox;
pub mod listed_seeds;
pub mod live;
pub mod ordinary_lines;
pub mod quotas;
pub mod replacements;
pub mod revisions;
pub mod stage;
pub mod statuses;
pub mod store_looks;
