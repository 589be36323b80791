//! How a node learns of a new configuration: who follows the store, and whom the others ask.
//!
//! Two nodes a zone follow the store. A node that has put a new revision in force tells its zone
//! and the followers of the others; who hears of a newer one fetches what differs. As nothing of that
//! is certain to arrive, every node also asks a follower now and then.
//!
//! What is fetched travels in small parts, each asked for when the one before has arrived, to a few
//! nodes at a time ([`transfers`]): a link carries little of it at once, so that statements and
//! heartbeats need not wait behind it, and a slow link slows it down without anybody knowing its rate.

mod fetcher;
mod transfers;

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceName, NodeName, ZoneName};
use crate::rendezvous::{Candidate, ownership};

pub use fetcher::{Fetcher, FetcherView};
pub use transfers::{CHUNK_BYTES, TransferDecision, TransferQueue};

/// Key under which followers are chosen, as if following were an instance to own.
const STORE_WATCHING_KEY: &str = "configuration";
/// Followers of a zone: one and another for when it is gone.
const WATCHERS_PER_ZONE: usize = 2;
/// A link counts as wide as the widest if it carries at least so great a part of it; many nodes that are
/// almost alike are not left to two.
const SIMILAR_BANDWIDTH_FACTOR: u32 = 2;
/// Time after which an unanswered request is taken for lost.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a request that waits its turn: each of the nodes before it takes some 100 ms over a link
/// of 10 Mbit/s.
pub const QUEUED_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean time between requests without cause.
pub const POLL_INTERVAL: Duration = Duration::from_secs(4);

/// Part of the pause between two looks at the store for each node of the cluster, and the longest one:
/// each change wakes every node that watches, and each call is paid for, so that what many nodes write
/// at once would cost the square of their number.
const WATCH_DELAY_PER_NODE: Duration = Duration::from_millis(4);
const MAX_WATCH_DELAY: Duration = Duration::from_millis(500);

/// Time for which a node of a cluster of `nodes` lets changes of the store gather, once it has taken
/// some in. The first change after a quiet time is taken in at once.
pub fn watch_delay(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    WATCH_DELAY_PER_NODE.saturating_mul(nodes).min(MAX_WATCH_DELAY)
}

/// Time between the turns of two nodes that read the whole store: for 1,000 groups that is 1.5 MB, 12 ms of
/// its line of 1,000 Mbit/s.
const FULL_READ_STAGGER: Duration = Duration::from_millis(12);

/// When it is the turn of `node` among `nodes` that nobody has brought a configuration.
pub fn full_read_delay(node: &NodeName, nodes: usize) -> Duration {
    let nodes = u64::try_from(nodes).unwrap_or(u64::MAX).max(1);
    let place = xxh3_64(node.as_str().as_bytes()) % nodes;
    FULL_READ_STAGGER.saturating_mul(u32::try_from(place).unwrap_or(u32::MAX))
}

/// The nodes of a zone that follow the store: at most two, of those with the widest links. The store
/// sends the configuration whole at each change (400 kB of 1,400 routes are 0.3 s of a link of
/// 10 Mbit/s), and the zone fetches from followers first.
pub fn store_watchers(zone: &ZoneName, live: &[Candidate]) -> Vec<NodeName> {
    let of_zone: Vec<&Candidate> =
        live.iter().filter(|candidate| candidate.zone == *zone).collect();
    let widest = of_zone.iter().map(|candidate| candidate.link_mbps).max().unwrap_or(0);
    let (wide, narrow): (Vec<&Candidate>, Vec<&Candidate>) = of_zone
        .into_iter()
        .partition(|candidate| candidate.link_mbps >= widest / SIMILAR_BANDWIDTH_FACTOR);
    let mut chosen = choose_watchers(zone, &wide);
    if chosen.len() < WATCHERS_PER_ZONE {
        chosen.extend(
            choose_watchers(zone, &narrow).into_iter().take(WATCHERS_PER_ZONE - chosen.len()),
        );
    }
    chosen
}

/// At most [`WATCHERS_PER_ZONE`] of `candidates`, all of `zone`.
fn choose_watchers(zone: &ZoneName, candidates: &[&Candidate]) -> Vec<NodeName> {
    match ownership(&InstanceName::new(STORE_WATCHING_KEY), zone, candidates.iter().copied()) {
        None => Vec::new(),
        Some(chosen) => std::iter::once(chosen.owner).chain(chosen.standby).collect(),
    }
}

/// Whether a node follows the store.
pub fn is_store_watcher(own: &Candidate, live: &[Candidate]) -> bool {
    store_watchers(&own.zone, live).contains(&own.node)
}

/// Whom a follower tells of a new revision: its zone, and the followers of the others.
pub fn announcement_targets(own: &Candidate, live: &[Candidate]) -> Vec<NodeName> {
    let same_zone = live.iter().filter(|other| other.zone == own.zone);
    let mut nodes: Vec<NodeName> = same_zone.map(|other| other.node.clone()).collect();
    nodes.extend(other_zone_watchers(own, live));
    nodes.retain(|node| *node != own.node);
    nodes
}

/// The followers of the zones that `own` is not in.
pub fn other_zone_watchers(own: &Candidate, live: &[Candidate]) -> Vec<NodeName> {
    let mut zones: Vec<&ZoneName> = live.iter().map(|other| &other.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|zone| **zone != own.zone);
    zones.into_iter().flat_map(|zone| store_watchers(zone, live)).collect()
}

/// Whom a node asks without cause: a follower of its zone, or for a follower one elsewhere.
fn poll_targets(own: &Candidate, live: &[Candidate]) -> Vec<NodeName> {
    let mut targets = match is_store_watcher(own, live) {
        true => other_zone_watchers(own, live),
        false => store_watchers(&own.zone, live),
    };
    if targets.is_empty() {
        targets = live.iter().map(|other| other.node.clone()).collect();
    }
    targets.retain(|node| *node != own.node);
    targets
}
