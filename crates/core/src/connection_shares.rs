//! Whether every node holds connections of its own to an instance, or a few nodes hold all.
//!
//! A statement that runs over a connection of its own node crosses no other node: it costs less
//! processor time, and no bytes between zones beyond its own. But an instance accepts a fixed number
//! of connections from all nodes together, so this works only while each node's share is worth
//! having. The rule is pure; nodes that count differently for a moment use a few connections more
//! or fewer, and the instance's refusals shrink their budgets.
//!
//! A node keeps only a part of its share open without work. Connections of machines that lost power
//! count at an instance until it notices, seconds later: if all nodes come back meanwhile, theirs
//! have to fit beside those.

use std::time::Duration;

/// Fewest connections that make a share worth having: one for an open transaction, and one for
/// whatever comes meanwhile.
const FEWEST_SHARED: u32 = 2;
/// One connection in so many is left for nodes that count differently, and for operators.
const RESERVE_PART: u32 = 16;
const SMALLEST_RESERVE: u32 = 1;

/// Connections of earlier processes that may still count beside each one held open.
const LINGERING: u32 = 1;

/// One node's part of an instance's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The most that it may hold.
    pub most: u32,
    /// The most that it holds open without work.
    pub warm: u32,
}

impl Share {
    /// The share of a node that has just started: half way between the two, since others may have
    /// started with it, and the connections of all their earlier processes may still count. Only as
    /// much as it keeps warm was tried: with one connection, transactions of a node that restarts
    /// alone wait for each other.
    pub fn of_a_young_node(self) -> Self {
        Self { most: (self.warm + self.most).div_ceil(2), warm: self.warm }
    }
}

/// How long a node is young: instances notice within that time that a machine has lost power, and
/// nodes know each other.
pub const YOUNG_FOR: Duration = Duration::from_secs(4);

/// The nodes among which a node divides connections: those that live, and while it is young those that
/// the machine list names if they are more.
pub fn sharers(live: usize, listed: usize, young: bool) -> usize {
    if young { live.max(listed) } else { live }
}

/// Who holds the connections to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrangement {
    /// Every node, its share.
    Shared(Share),
    /// The instance's owner and its standby.
    Owned,
}

/// The arrangement for an instance that accepts `connections` in all, before `nodes` nodes.
pub fn arrange(connections: u32, nodes: usize) -> Arrangement {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    let reserve = (connections / RESERVE_PART).max(SMALLEST_RESERVE);
    let usable = connections.saturating_sub(reserve);
    let most = usable / nodes;
    if most < FEWEST_SHARED && nodes > 1 {
        return Arrangement::Owned;
    }
    let warm = usable / nodes.saturating_mul(1 + LINGERING);
    Arrangement::Shared(Share { most: most.max(1), warm: warm.max(1) })
}
