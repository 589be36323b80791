//! Zones whose owners are avoided, because two of their nodes went silent one after the other.
//!
//! Without this, a node detects each owner behind a network partition separately, and the
//! statements sent to each of them wait for the silence timeout. Dead or slow nodes alone do
//! not cause their zone to be avoided, because other nodes of the zone still answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{NodeName, ZoneName};

/// Time without a further report after which a silence is forgotten. Links report a silent node
/// twice a second until membership declares it dead.
const SILENCE_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Silence {
    first: NodeName,
    has_second: bool,
    until: Instant,
}

/// Zones with silent nodes from which nothing has arrived since.
#[derive(Clone, Debug, Default)]
pub struct SilentZones {
    zones: BTreeMap<ZoneName, Silence>,
}

impl SilentZones {
    /// Records that a node of the zone is silent.
    pub fn on_silent(&mut self, node: &NodeName, zone: &ZoneName, now: Instant) {
        self.zones.retain(|_, silence| now < silence.until);
        let until = now + SILENCE_LIFETIME;
        let silence = self.zones.entry(zone.clone()).or_insert_with(|| Silence {
            first: node.clone(),
            has_second: false,
            until,
        });
        silence.has_second |= silence.first != *node;
        silence.until = until;
    }

    /// Records that something in the zone has answered.
    pub fn on_answer(&mut self, zone: &ZoneName) {
        self.zones.remove(zone);
    }

    /// Whether no zone has a silent node.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Whether the owners of the zone are to be avoided.
    pub fn is_avoided(&self, zone: &ZoneName, now: Instant) -> bool {
        self.zones.get(zone).is_some_and(|silence| silence.has_second && now < silence.until)
    }
}
