//! Replaces the primaries of groups that do not elect their own: watches the primaries, publishes
//! this node's votes through the store, and replaces primaries while this node is the coordinator.
//!
//! The decisions are made in `core::suspicion` (which primaries this node suspects) and
//! `core::promotion` (which primaries have to be replaced by the votes of all nodes, and each step
//! of a replacement). The threads in this module execute them:
//!
//! * `watch` assesses each group's primary by this node's own exchanges and publishes the votes;
//! * `coordinator` runs primary replacements while this node holds the coordinator lease;
//! * `log_status` queries instances for the state of their logs, and `log_wait` shows operators that
//!   a replacement waits for a log;
//! * `caller_queries` and `process_probes` find out whether promotions of earlier coordinators have
//!   ended, and `call_wait` shows operators that a replacement waits for that;
//! * `replacement_checker` confirms with the store that no primary replacement is running, which
//!   turns the status reports of some of a group's replicas into evidence for its primary, and
//!   `peer_checks` confirms it with the other nodes while the store does not answer;
//! * `write_back` records again what a store restore has lost;
//! * `executor` runs the threads that call instances, the store and the platform.

mod announcer;
mod call_wait;
mod caller_queries;
mod coordinator;
mod counted_coordination;
mod electors;
mod executor;
mod lease_acquisition;
mod log_status;
mod log_wait;
mod owned;
mod peer_checks;
pub mod process_probes;
mod replacement_checker;
mod reported_wait;
mod reporting_nodes;
mod running_attempt;
mod status_queries;
mod store_calls;
mod vote_exchange;
mod vote_publisher;
mod watch;
pub mod write_back;

use std::sync::Arc;

use kestrellock_store::control::{InstanceControl, PromotionService};
use kestrellock_store::coordination::Coordination;

pub use caller_queries::answer as answer_caller_query;
pub use peer_checks::{PeerChecker, answer as answer_replacement_query};
pub use watch::run;

/// Platform services that primary replacement uses.
#[derive(Clone)]
pub struct ReplacementServices {
    /// Coordination between nodes through the store: votes, intents and the coordinator lease.
    pub coordination: Arc<dyn Coordination>,
    /// Sends commands to instances.
    pub control: Arc<dyn InstanceControl>,
    /// Asks the platform to promote a replica.
    pub promotions: Arc<dyn PromotionService>,
}
