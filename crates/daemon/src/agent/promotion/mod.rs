//! Replaces primaries where their groups do not elect: watches them, agrees with the other nodes
//! through the store, and acts while this node holds the right to.
//!
//! Decisions are in `core::suspicion` and `core::promotion` (which primaries are to be replaced by
//! everybody's word, and each step of that); here threads carry them out.
//!
//! * [`watch`] judges each group's primary by this node's own exchanges, and says what it suspects;
//! * [`holder`] acts on that while it holds the right to;
//! * [`looks`] ask the store whether nobody replaces a primary, to confirm what replicas say;
//! * [`write_back`] records again what the store has lost by coming back from a copy;
//! * [`orders`] are the threads that talk to instances, the store and the platform.

mod announcer;
mod coordinator;
mod electors;
mod executor;
mod owned;
mod replacement_checker;
mod status_queries;
mod vote_publisher;
mod watch;
mod write_back;

use std::sync::Arc;

use kestrellock_store::control::{InstanceControl, Promotions};
use kestrellock_store::coordination::Coordination;

pub use watch::run;

/// What replacing primaries needs of the platform.
#[derive(Clone)]
pub struct ReplacementServices {
    /// How nodes agree.
    pub coordination: Arc<dyn Coordination>,
    /// How instances are told.
    pub control: Arc<dyn InstanceControl>,
    /// How one is promoted.
    pub promotions: Arc<dyn Promotions>,
}
