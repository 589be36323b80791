//! Which nodes live: failure detection and dissemination over datagrams, in the manner of SWIM.
//!
//! Every node probes one other node an interval, directly and then through others. A node that
//! does not answer is suspected, and declared dead unless it refutes the suspicion in time by
//! raising its incarnation. News travels on probes and in short bursts of gossip; a periodic
//! comparison of tables repairs what gossip missed, also between parts of the cluster that could
//! not reach each other for a while. Nothing here is needed for safety: a wrong view costs
//! connections and latency, never a wrong answer.

pub mod gossip;
mod merge;
pub mod message;
pub mod prober;
pub mod random;
mod receive;
pub mod record;
mod send;
pub mod state;
pub mod synchronization;
pub mod table;
pub mod timing;

pub use message::{Body, Contact, Message, Outgoing};
pub use random::RandomSource;
pub use record::{Health, Incarnation, MemberRecord, StateUpdate, Update};
pub use state::{Change, Counters, Membership, Seed};
pub use timing::Timing;
