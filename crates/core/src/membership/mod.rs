//! Decides which nodes are live: failure detection and dissemination over datagrams, based on SWIM.
//!
//! Every node probes one other node in each interval, first directly and then through other nodes.
//! A node that does not answer becomes a suspect. It is declared dead unless it refutes the
//! suspicion in time by raising its incarnation. Updates travel piggybacked on probes and in short
//! bursts of gossip. Periodic anti-entropy syncs repair what gossip missed, also between parts of
//! the cluster that were partitioned from each other. Safety does not depend on membership: a wrong
//! view costs connections and latency, but never causes a wrong answer.

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
