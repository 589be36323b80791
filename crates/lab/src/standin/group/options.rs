//! Options of a database group.

use std::sync::Arc;
use std::time::Duration;

use kestrellock_core::ids::ZoneName;

use super::lag::Lag;
use super::service::ServiceTimes;
use crate::standin::network::Network;

/// Options of a database group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Zone of each instance; the first instance starts as primary.
    pub zones: Vec<ZoneName>,
    /// Number of statements that an instance executes concurrently.
    pub slots: usize,
    /// How long statements of each class take.
    pub service_times: ServiceTimes,
    /// Maximum number of connections of an instance; it rejects more with SQLSTATE 53300.
    pub connections: usize,
    /// Time that it takes to establish a connection.
    pub connection_setup: Duration,
    /// Replication lag of the replicas.
    pub replica_lag: Lag,
    /// Time without contact with a primary after which the instances elect another one.
    pub election_timeout: Duration,
    /// Time for which an old primary still accepts writes after it learned of a newer term.
    pub step_down_delay: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Network between the zones. Without one there are no delays and no cuts.
    pub network: Option<Arc<Network>>,
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            zones: ["zone-a", "zone-b", "zone-c"].map(ZoneName::new).into(),
            slots: 5,
            service_times: ServiceTimes::default(),
            connections: 35,
            connection_setup: Duration::ZERO,
            replica_lag: Lag::default(),
            election_timeout: Duration::from_secs(1),
            step_down_delay: Duration::from_millis(20),
            seed: 0,
            network: None,
        }
    }
}
