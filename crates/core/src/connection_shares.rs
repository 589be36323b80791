//! How many nodes hold connections to the instances of a group, and how many each of them.
//!
//! An instance accepts a fixed number of connections from all nodes together. The nodes that hold
//! some are the group's *owners*: they choose the instance for each statement, since only they see
//! how the instances answer. Any other node forwards its callers' statements to one of them. With few
//! nodes each is an owner of every group; a node more or less moves a share and nothing else. The
//! rule is pure; nodes that count differently for a moment use a few connections more or fewer, and
//! the instance's refusals shrink their budgets.
//!
//! A node keeps only a part of its share open without work. Connections of machines that lost power
//! count at an instance until it notices, seconds later: if all nodes come back meanwhile, theirs
//! have to fit beside those.

use std::time::Duration;

/// A share is worth having if it fills the instance's slots while so many transactions wait for their
/// callers. With smaller shares for more owners (two connections of 16 for each of six nodes), open
/// transactions of one node held work up while connections of another were idle.
const RESTING: u32 = 2;
/// Fewest owners of a group, so that one that dies leaves another, as long as each holds
/// [`FEWEST_SHARED`] connections: one for an open transaction, and one for whatever comes meanwhile.
const FEWEST_OWNERS: u32 = 2;
const FEWEST_SHARED: u32 = 2;
/// Most owners of a group, however many nodes there are: with more, each would see too few answers
/// to know how the instances stand without asking, and would leave too few connections to the rest.
const MOST_OWNERS: u32 = 9;
/// A node knows most of the others if it knows so many parts of so many.
const KNOWN_PARTS: usize = 9;
const KNOWN_OF: usize = 10;
/// One connection in so many is left for nodes that count differently, and for operators.
const RESERVE_PART: u32 = 16;
const SMALLEST_RESERVE: u32 = 1;

/// Connections of earlier processes that may still count beside each one held open.
const LINGERING: u32 = 1;

/// One owner's part of an instance's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The most that it may hold.
    pub max: u32,
    /// The most that it holds open without work.
    pub warm: u32,
}

impl Share {
    /// The share of a node that has just started: half way between the two, since others may have
    /// started with it, and the connections of all their earlier processes may still count. Only as
    /// much as it keeps warm was tried: with one connection, transactions of a node that restarts
    /// alone wait for each other.
    pub fn during_startup(self) -> Self {
        Self { max: (self.warm + self.max).div_ceil(2), warm: self.warm }
    }
}

/// How long a node is young: instances notice within that time that a machine has lost power, and
/// nodes know each other.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(4);

/// The nodes among which a node divides connections: those that live, and while it is young those that
/// the machine list names if they are more.
pub fn sharing_nodes(live: usize, listed: usize, young: bool) -> usize {
    if young { live.max(listed) } else { live }
}

/// Whether a node that knows of `live` nodes knows most of the `listed` ones; the others may be gone.
pub fn knows_most_nodes(live: usize, listed: usize) -> bool {
    live * KNOWN_OF >= listed * KNOWN_PARTS
}

fn usable(connections: u32) -> u32 {
    let reserve = (connections / RESERVE_PART).max(SMALLEST_RESERVE);
    connections.saturating_sub(reserve)
}

/// How many of `nodes` nodes own a group, by an instance of it that accepts `connections` in all and
/// runs `slots` statements well at once.
pub fn owner_count(connections: u32, slots: u32, nodes: usize) -> usize {
    let usable = usable(connections);
    let fewest = FEWEST_OWNERS.min(usable / FEWEST_SHARED);
    let owners = (usable / slots.saturating_add(RESTING)).max(fewest);
    nodes.clamp(1, owners.clamp(1, MOST_OWNERS) as usize)
}

/// Connections to a replica that an owner in another zone holds, of as many that it would by an even
/// division: it reads there only while its own zone's instance is worse, or once the replica leads.
const FAR_PART: u32 = 2;

/// The share of an owner of a replica, where connections belong to accounts: an even division leaves those of
/// the replica's own zone, which read there, with fewer connections than accounts, so that most statements
/// wait for a new one, while those of owners elsewhere rest.
pub fn replica_share(connections: u32, near: usize, far: usize, is_near: bool) -> Share {
    let even = share(connections, near + far);
    if near == 0 || far == 0 {
        return even;
    }
    let (near, far) = (near as u32, far as u32);
    let of_far = (even.max / FAR_PART).max(FEWEST_SHARED).min(even.max);
    let of_near = usable(connections).saturating_sub(of_far * far) / near;
    let most = if is_near { of_near.max(even.max) } else { of_far };
    Share { max: most, warm: (most / (1 + LINGERING)).max(1) }
}

/// The share of each of `owners` owners of an instance that accepts `connections` in all.
pub fn share(connections: u32, owners: usize) -> Share {
    let owners = u32::try_from(owners.max(1)).unwrap_or(u32::MAX);
    let usable = usable(connections);
    let most = usable / owners;
    let warm = usable / owners.saturating_mul(1 + LINGERING);
    Share { max: most.max(1), warm: warm.max(1) }
}
