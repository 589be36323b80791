//! Intervals and limits of membership.

use std::time::Duration;

/// Intervals and limits. All nodes of a cluster use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two probes by one node.
    pub probe_interval: Duration,
    /// Time to answer a direct probe before other members are asked to probe.
    pub probe_timeout: Duration,
    /// Number of members asked to probe a member that did not answer a direct probe.
    pub indirect_probes: usize,
    /// Time in which a suspect can refute, for each factor of ten in the number of members.
    pub suspicion_base: Duration,
    /// Interval between bursts of gossip while updates are queued.
    pub gossip_interval: Duration,
    /// Number of members that receive each burst.
    pub gossip_fan_out: usize,
    /// How often one update is sent, for each factor of ten in the number of members.
    pub transmissions_base: u32,
    /// Number of members that receive an announcement at once: a new revision of the configuration,
    /// or a change of this node's own state.
    pub revision_fan_out: usize,
    /// Interval between anti-entropy syncs with a random member.
    pub sync_interval: Duration,
    /// Interval between syncs during the early period of this process.
    pub early_sync_interval: Duration,
    /// Length of the early period of a process.
    pub early_period: Duration,
    /// Interval between attempts to reach a dead member or a seed that is not a live member.
    pub recontact_interval: Duration,
    /// Interval between attempts to reach seeds while no other member is known.
    pub join_interval: Duration,
    /// Time after which a node without other members stops waiting for its seeds.
    pub join_timeout: Duration,
    /// Time without a new member after which a joining node considers its view complete.
    pub settle_quiet_period: Duration,
    /// Longest time that a joining node waits for its view to become complete.
    pub settle_timeout: Duration,
    /// Time after which a dead member is removed from the table.
    pub dead_retention: Duration,
    /// A longer time between two ticks means that this process was suspended in between.
    pub pause_threshold: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(200),
            indirect_probes: 3,
            suspicion_base: Duration::from_millis(1200),
            gossip_interval: Duration::from_millis(200),
            gossip_fan_out: 3,
            transmissions_base: 5,
            revision_fan_out: 4,
            sync_interval: Duration::from_secs(10),
            early_sync_interval: Duration::from_secs(1),
            early_period: Duration::from_secs(10),
            recontact_interval: Duration::from_secs(5),
            join_interval: Duration::from_millis(500),
            join_timeout: Duration::from_secs(2),
            settle_quiet_period: Duration::from_millis(400),
            settle_timeout: Duration::from_secs(5),
            dead_retention: Duration::from_secs(3600),
            pause_threshold: Duration::from_millis(800),
        }
    }
}

impl Timing {
    /// Number of factors of ten in `members`, at least one.
    fn scale(members: usize) -> f64 {
        (members.max(1) as f64).log10().max(1.0)
    }

    /// Time in which a suspect can refute in a cluster of `members`.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        self.suspicion_base.mul_f64(Self::scale(members))
    }

    /// How often one update is sent in a cluster of `members`.
    pub fn transmissions(&self, members: usize) -> u32 {
        (f64::from(self.transmissions_base) * Self::scale(members)).ceil() as u32
    }
}
