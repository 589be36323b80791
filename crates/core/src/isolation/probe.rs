//! A steady probe of other zones, so that even a node without work notices a network partition.
//!
//! Membership probes nodes of any zone, so more than a second could pass before it probes one on
//! the other side of the partition. This probe asks one live node at a time, of each other zone in
//! turn, so that its cost does not grow with the number of nodes or zones.

use std::time::Duration;

use super::sample;
use super::surroundings::Surroundings;
use crate::ids::{NodeName, ZoneName};
use crate::membership::RandomSource;

/// Interval between two probes. Together with their timeout and the length of a survey, it leaves a
/// margin to the second within which a node must find that it is isolated.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which an unanswered probe starts a survey. A survey costs only a few messages, so
/// this may be shorter than the timeout of membership's probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The probe in progress, and which zone is probed next.
#[derive(Clone, Debug, Default)]
pub struct ZoneProbe {
    unanswered: Option<(NodeName, Duration)>,
    next_probe: Duration,
    turn: usize,
    has_failed: bool,
}

impl ZoneProbe {
    /// Handles the answer of a node.
    pub fn on_answer(&mut self, node: &NodeName) {
        if self.unanswered.as_ref().is_some_and(|(asked, _)| asked == node) {
            self.unanswered = None;
        }
    }

    /// Whether a probe was not answered in time since the last call.
    pub fn take_failure(&mut self) -> bool {
        std::mem::take(&mut self.has_failed)
    }

    /// Checks the probe in progress and returns the node to probe next, if one is due.
    pub fn on_tick(
        &mut self,
        own: &NodeName,
        surroundings: &Surroundings,
        now: Duration,
        random: &mut dyn RandomSource,
    ) -> Option<NodeName> {
        if self.unanswered.as_ref().is_some_and(|(_, asked_at)| now >= *asked_at + PROBE_TIMEOUT) {
            self.unanswered = None;
            self.has_failed = true;
        }
        if now < self.next_probe {
            return None;
        }
        self.next_probe = now + PROBE_INTERVAL;
        let node = self.next_node(own, surroundings, random)?;
        self.unanswered = Some((node.clone(), now));
        Some(node)
    }

    fn next_node(
        &mut self,
        own: &NodeName,
        surroundings: &Surroundings,
        random: &mut dyn RandomSource,
    ) -> Option<NodeName> {
        let zone = self.next_zone(own, surroundings)?;
        let live: Vec<&NodeName> =
            surroundings.live_nodes_of(&zone).iter().filter(|node| *node != own).collect();
        sample::choose(&live, 1, random).first().map(|node| (*node).clone())
    }

    /// The next other zone with live nodes; this node's own zone if there is none.
    fn next_zone(&mut self, own: &NodeName, surroundings: &Surroundings) -> Option<ZoneName> {
        let has_live =
            |zone: &ZoneName| surroundings.live_nodes_of(zone).iter().any(|node| node != own);
        let mut zones = surroundings.zone_names();
        zones.retain(|zone| has_live(zone));
        if zones.len() > 1 {
            zones.retain(|zone| zone != surroundings.own_zone());
        }
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn.checked_rem(zones.len())?;
        Some(zones.swap_remove(turn))
    }
}
