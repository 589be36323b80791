//! What an owner knows of the demands of the other owners of an instance, and the number of
//! statements that it may therefore run.

use std::time::{Duration, Instant};

use super::demand::{InstanceDemand, LEVELS};
use super::division::{Claim, divide};
use crate::ids::NodeName;
use crate::incarnation::{InstanceIncarnation, has_restarted};

/// Shortest time between two reports to the same owner.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// How long a demand is valid without news from its owner, which may have died or be unreachable.
pub const DEMAND_LIFETIME: Duration = Duration::from_millis(200);

/// What an owner may run by the demands of all owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Number of statements that it may run.
    pub slots: u32,
    /// The level that it must serve next, because higher ones went ahead on all owners together as
    /// often as they may. Only one owner gets this turn: if each took it, the less urgent
    /// statements of all of them would go ahead of the urgent ones.
    pub starved_level: Option<usize>,
}

/// The last demand of another owner.
#[derive(Clone, Debug)]
struct PeerDemand {
    owner: NodeName,
    demand: InstanceDemand,
    claim: Claim,
    received: Instant,
    /// Since when the owner runs more statements than its share.
    over_share_since: Option<Instant>,
}

impl PeerDemand {
    /// Whether nothing of the demand applies any more: it has expired, or it was withdrawn and the
    /// statements that ran then have ended.
    fn is_over(&self, now: Instant) -> bool {
        let is_withdrawn = self.demand.waiting() == 0;
        let lifetime =
            if is_withdrawn { self.demand.service.min(DEMAND_LIFETIME) } else { DEMAND_LIFETIME };
        now >= self.received + lifetime
    }

    /// Number of slots that the owner occupies. Statements beyond its share count until they should
    /// have ended: an owner that knows of the other claims starts no others in their place. One
    /// that still exceeds its share then does not hear the others. Only its share counts, so that
    /// it cannot keep the others from theirs.
    fn occupied(&mut self, share: u32, now: Instant) -> u32 {
        if self.demand.running() <= share {
            self.over_share_since = None;
            return self.demand.running();
        }
        let since = *self.over_share_since.get_or_insert(now);
        match now < since + self.demand.service.min(DEMAND_LIFETIME) {
            true => self.demand.running(),
            false => share,
        }
    }
}

/// An owner's view of the demands for one instance.
#[derive(Clone, Debug, Default)]
pub struct SharedCapacity {
    /// Demands of the other owners, by name.
    peers: Vec<PeerDemand>,
    /// Whether the other owners know of a demand of this one that was not withdrawn.
    is_reported: bool,
}

impl SharedCapacity {
    /// Records the demand of another owner. Returns how many statements of each priority it has
    /// started since its last demand.
    pub fn on_demand(
        &mut self,
        owner: &NodeName,
        demand: &InstanceDemand,
        now: Instant,
    ) -> [u32; LEVELS] {
        let (claim, received) = (Claim::new(demand, now), now);
        match self.peers.binary_search_by(|peer| peer.owner.cmp(owner)) {
            Ok(index) => {
                let peer = &mut self.peers[index];
                let started = started_since(&peer.demand, demand);
                let demand = demand.clone();
                *peer = PeerDemand { demand, claim, received, ..peer.clone() };
                started
            }
            Err(index) => {
                let (owner, demand) = (owner.clone(), demand.clone());
                let peer = PeerDemand { owner, demand, claim, received, over_share_since: None };
                self.peers.insert(index, peer);
                [0; LEVELS]
            }
        }
    }

    /// Forgets an owner that was lost.
    pub fn forget(&mut self, owner: &NodeName) {
        self.peers.retain(|peer| peer.owner != *owner);
    }

    /// Forgets nodes that are no longer owners, and demands for an earlier process of the instance.
    pub fn retain(
        &mut self,
        is_owner: impl Fn(&NodeName) -> bool,
        incarnation: Option<InstanceIncarnation>,
    ) {
        self.peers.retain(|peer| {
            is_owner(&peer.owner) && !has_restarted(peer.demand.incarnation, incarnation)
        });
    }

    /// Forgets demands that no longer apply. Returns the owners whose demands expired although they
    /// were not withdrawn.
    pub fn expire(&mut self, now: Instant) -> Vec<NodeName> {
        let is_expired = |peer: &&PeerDemand| peer.is_over(now) && peer.demand.waiting() > 0;
        let expired = self.peers.iter().filter(is_expired).map(|peer| peer.owner.clone()).collect();
        self.peers.retain(|peer| !peer.is_over(now));
        expired
    }

    /// Number of owners whose demands are known.
    pub fn known_owners(&self) -> usize {
        self.peers.len()
    }

    /// What this owner, `own`, may run now; `None` if no demand of another owner is known, so that
    /// only its own limit applies.
    pub fn allocation(
        &mut self,
        own: &NodeName,
        demand: &InstanceDemand,
        slots: u32,
        now: Instant,
    ) -> Option<Allocation> {
        self.peers.retain(|peer| !peer.is_over(now));
        if self.peers.is_empty() {
            return None;
        }
        // Claims in the order of the owners' names, so that all owners serve equal ones alike.
        let position = self.peers.partition_point(|peer| peer.owner < *own);
        let mut claims: Vec<Claim> = self.peers.iter().map(|peer| peer.claim).collect();
        claims.insert(position, Claim::new(demand, now));
        let mut division = divide(slots, &claims);
        let share = division.granted.remove(position) + division.unclaimed;
        let shares = self.peers.iter_mut().zip(division.granted);
        let occupied = shares.map(|(peer, share)| peer.occupied(share, now));
        let free = slots.saturating_sub(occupied.fold(0, u32::saturating_add));
        let starved = division.starved.filter(|(_, index)| *index == position);
        let starved_level = starved.map(|(level, _)| level);
        Some(Allocation { slots: share.min(free), starved_level })
    }

    /// Whether to report to the other owners: a demand, or that an earlier one is withdrawn.
    pub fn needs_report(&self, has_demand: bool) -> bool {
        has_demand || self.is_reported
    }

    /// Records what was reported.
    pub fn on_reported(&mut self, has_demand: bool) {
        self.is_reported = has_demand;
    }
}

/// Statements of each priority that started between two demands of an owner; none if the owner
/// restarted and counts from zero again.
fn started_since(before: &InstanceDemand, after: &InstanceDemand) -> [u32; LEVELS] {
    std::array::from_fn(|level| {
        let started = after.levels[level].started.wrapping_sub(before.levels[level].started);
        if started > u32::MAX / 2 { 0 } else { started }
    })
}

/// Limits the rate of reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportPacer {
    last: Option<Instant>,
}

impl ReportPacer {
    /// Whether the next report may be sent.
    pub fn is_due(&self, now: Instant) -> bool {
        self.last.is_none_or(|last| now >= last + REPORT_INTERVAL)
    }

    /// Records that a report was sent.
    pub fn on_sent(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
