//! How a group is set up.

use std::sync::Arc;
use std::time::Duration;

use kestrellock_core::ids::ZoneName;

use super::lag::Lag;
use super::service::ServiceTimes;
use crate::standin::network::Network;

/// How a group is set up.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Zone of each instance; the first instance begins as primary.
    pub zones: Vec<ZoneName>,
    /// Statements that an instance runs at once.
    pub slots: usize,
    /// How long statements hold a slot.
    pub service_times: ServiceTimes,
    /// Connections that an instance accepts; more are refused with SQLSTATE 53300.
    pub connections: usize,
    /// How long it takes to set a connection up.
    pub connection_setup: Duration,
    /// How far readers of a replica stay behind.
    pub replica_lag: Lag,
    /// How long members wait without word of a primary before they elect another.
    pub election_timeout: Duration,
    /// How long a replaced primary that hears of the new term still takes writes.
    pub step_down_delay: Duration,
    /// Seed of everything drawn.
    pub seed: u64,
    /// Network between the zones; without one there is neither delay nor cut.
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
