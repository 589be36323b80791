//! Intervals and limits of membership.

use std::time::Duration;

/// Intervals and limits. All nodes of a cluster use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two probes by one node.
    pub probe_interval: Duration,
    /// Time a member gets to answer a direct probe before others are asked to probe it.
    pub probe_timeout: Duration,
    /// Members asked to probe on behalf of one whose direct probe was not answered.
    pub indirect_probes: usize,
    /// Time a suspect gets to refute, for each factor of ten in the number of members.
    pub suspicion_base: Duration,
    /// Time between bursts of gossip while there is news.
    pub gossip_interval: Duration,
    /// Members that get each burst.
    pub gossip_fan_out: usize,
    /// How often one update is sent, for each factor of ten in the number of members.
    pub transmissions_base: u32,
    /// Members told at once of a new revision of the configuration.
    pub revision_fan_out: usize,
    /// Time between comparisons of the table with a random member's.
    pub sync_interval: Duration,
    /// Time between comparisons while this process is young.
    pub early_sync_interval: Duration,
    /// How long a process counts as young.
    pub early_period: Duration,
    /// Time between attempts to reach a dead member or a seed that is not a live member.
    pub recontact_interval: Duration,
    /// Time between attempts to reach seeds while no other member is known.
    pub join_interval: Duration,
    /// Time after which a node without other members stops waiting for its seeds.
    pub join_timeout: Duration,
    /// Time without a new member after which a joining node takes its view for whole.
    pub settle_quiet_period: Duration,
    /// Longest time a joining node waits for its view to become whole.
    pub settle_timeout: Duration,
    /// Time after which a dead member is forgotten.
    pub dead_retention: Duration,
    /// A longer time between two ticks means that this process did not run in between.
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
    /// Factors of ten in `members`, at least one.
    fn scale(members: usize) -> f64 {
        (members.max(1) as f64).log10().max(1.0)
    }

    /// Time a suspect gets to refute in a cluster of `members`.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        self.suspicion_base.mul_f64(Self::scale(members))
    }

    /// How often one update is sent in a cluster of `members`.
    pub fn transmissions(&self, members: usize) -> u32 {
        (f64::from(self.transmissions_base) * Self::scale(members)).ceil() as u32
    }
}
