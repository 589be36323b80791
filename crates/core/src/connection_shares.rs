//! Decides how many nodes hold connections to the instances of a group, and how many connections
//! each of these nodes may hold.
//!
//! An instance accepts a fixed number of connections from all nodes together. The nodes that hold
//! connections are the group's *owners*. They choose the instance for each statement, because only
//! they see how the instances respond; any other node forwards its clients' statements to an owner.
//! With few nodes, each is an owner of every group. One node more or fewer moves one share and
//! changes nothing else. The rule is a pure function of the node counts. Nodes that temporarily
//! count differently use a few connections more or fewer, and the instance's refusals shrink their
//! budgets.
//!
//! A node keeps only a part of its share open while idle. When machines lose power, an instance
//! counts their connections until it detects the loss, seconds later. If all nodes restart in the
//! meantime, their new connections have to fit beside the old ones. Deployments that must do
//! without whole zones reserve a part of each share for that case.

use std::time::Duration;

/// A share is large enough if it fills the instance's slots while this many transactions are idle,
/// waiting for their clients. With smaller shares for more owners (two of 16 connections for each
/// of six nodes), open transactions of one node delayed statements while connections of another
/// node were idle.
const IDLE_TRANSACTIONS: u32 = 2;
/// Fewest owners of a group, so that another remains when one fails. It applies as long as each
/// holds [`MIN_SHARE`] connections.
const MIN_OWNERS: u32 = 2;
/// Fewest connections in a share: one for an open transaction, and one for statements that arrive
/// meanwhile.
const MIN_SHARE: u32 = 2;
/// Most owners of a group, however many nodes there are: with more, each owner would see too few
/// answers to know the state of the instances without extra requests, and would leave too few
/// connections to the other owners.
const MAX_OWNERS: u32 = 9;
/// A node knows most of the others if it knows [`MOST_NUMERATOR`] of every [`MOST_DENOMINATOR`]
/// nodes.
const MOST_NUMERATOR: usize = 9;
const MOST_DENOMINATOR: usize = 10;
/// One connection in this many is reserved for operators, and for nodes that count differently.
const RESERVE_DIVISOR: u32 = 16;
/// Fewest connections reserved.
const MIN_RESERVE: u32 = 1;

/// Connections reserved for the restart of each owner where zones may be lost: one for an open
/// transaction, and one for statements and status queries that arrive meanwhile.
pub const RESTART_CONNECTIONS: u32 = MIN_SHARE;

/// Connections of an earlier process that an instance may still count for each warm connection.
const LINGERING_PER_WARM: u32 = 1;

/// One owner's part of an instance's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Most connections that it may hold.
    pub max: u32,
    /// Most idle connections that it keeps open.
    pub warm: u32,
}

impl Share {
    /// The share of a node during its startup period: half way between `warm` and `max`. Other
    /// nodes may have started at the same time, and an instance may still count the connections of
    /// all their earlier processes. A limit of `warm` is too low: where that is one connection, the
    /// transactions of a node that restarts alone wait for each other.
    pub fn during_startup(self) -> Self {
        Self { max: (self.warm + self.max).div_ceil(2), warm: self.warm }
    }

    /// The part of the share that a node may use at present, in a deployment that must do without
    /// `tolerated_zone_losses` zones.
    ///
    /// Where that is 1 or more, all nodes may restart while instances count every connection of
    /// their earlier processes. The share is therefore divided into a part for normal operation and
    /// a part for the startup period: both together fit within the instance's limit, so that each
    /// owner gets its connections at once and none is refused.
    pub fn available(self, is_starting_up: bool, tolerated_zone_losses: u32) -> Self {
        match (tolerated_zone_losses, is_starting_up) {
            (0, true) => self.during_startup(),
            (0, false) => self,
            (_, true) => self.limited_to(self.restart_part().max(1)),
            (_, false) => self.limited_to(self.max - self.restart_part()),
        }
    }

    /// Connections that are reserved for a restart: at most half of the share. A share of a single
    /// connection cannot be divided.
    fn restart_part(self) -> u32 {
        RESTART_CONNECTIONS.min(self.max / 2)
    }

    fn limited_to(self, max: u32) -> Self {
        Self { max, warm: self.warm.min(max) }
    }
}

/// Length of a node's startup period: by its end, instances have detected that a machine lost
/// power, and nodes know each other.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(4);

/// Number of nodes among which a node divides connections: the live nodes, or during its startup
/// period the nodes in the machine list if those are more.
pub fn sharing_nodes(live: usize, listed: usize, in_startup: bool) -> usize {
    if in_startup { live.max(listed) } else { live }
}

/// Whether a node that knows `live` nodes knows most of the `listed` ones; the rest may be down.
pub fn knows_most_nodes(live: usize, listed: usize) -> bool {
    live * MOST_DENOMINATOR >= listed * MOST_NUMERATOR
}

fn usable(connections: u32) -> u32 {
    let reserve = (connections / RESERVE_DIVISOR).max(MIN_RESERVE);
    connections.saturating_sub(reserve)
}

/// How many of `nodes` nodes own a group, given one of its instances that accepts `connections` in
/// all and runs `slots` statements efficiently at once.
pub fn owner_count(connections: u32, slots: u32, nodes: usize) -> usize {
    let usable = usable(connections);
    let min_owners = MIN_OWNERS.min(usable / MIN_SHARE);
    let owners = (usable / slots.saturating_add(IDLE_TRANSACTIONS)).max(min_owners);
    nodes.clamp(1, owners.clamp(1, MAX_OWNERS) as usize)
}

/// Divides the even share of a replica's connections to give the share of a group owner in another
/// zone. Such an owner needs fewer connections: it uses the replica only while the instance in its
/// own zone performs worse, or after the replica's promotion.
const FAR_SHARE_DIVISOR: u32 = 2;

/// The share of one group owner in the connections of a replica, if each connection belongs to an
/// account. `near` owners are in the replica's zone and `far` owners in other zones; `is_near` says
/// which kind this owner is. Near owners get more. With an even division, the near owners, which
/// read from the replica, would have fewer connections than accounts. Most of their statements
/// would wait for a new connection while connections of far owners were idle.
pub fn replica_share(connections: u32, near: usize, far: usize, is_near: bool) -> Share {
    let even = share(connections, near + far);
    if near == 0 || far == 0 {
        return even;
    }
    let (near, far) = (near as u32, far as u32);
    let far_max = (even.max / FAR_SHARE_DIVISOR).max(MIN_SHARE).min(even.max);
    let near_max = usable(connections).saturating_sub(far_max * far) / near;
    let max = if is_near { near_max.max(even.max) } else { far_max };
    Share { max, warm: (max / (1 + LINGERING_PER_WARM)).max(1) }
}

/// The share of each of `owners` owners of an instance that accepts `connections` in all.
pub fn share(connections: u32, owners: usize) -> Share {
    let owners = u32::try_from(owners.max(1)).unwrap_or(u32::MAX);
    let usable = usable(connections);
    let max = usable / owners;
    let warm = usable / owners.saturating_mul(1 + LINGERING_PER_WARM);
    Share { max: max.max(1), warm: warm.max(1) }
}
