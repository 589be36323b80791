//! Decides when a node calls the store again after a refused call, and when it is a node's turn to
//! acquire the coordinator lease.
//!
//! Many nodes share the store. If each of them repeated a refused call at a fixed short interval,
//! or tried to become the coordinator in the moment in which the store returns, their calls would
//! overload a store that has just recovered. The decisions affect availability only.

mod availability;
mod call_backoff;
mod coordinator_turn;

pub use availability::StoreAvailability;
pub use call_backoff::{CallBackoff, Refusal};
pub use coordinator_turn::CoordinatorTurn;
