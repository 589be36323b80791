//! Configuration distribution: decides which nodes watch the store, and which nodes exchange
//! configurations.
//!
//! Two nodes in each zone watch the store. A node that has activated a new revision announces it to
//! its zone and to the store watchers of the other zones. A node that learns of a newer revision
//! fetches the entries that differ. Announcements can be lost, so every node also polls a store
//! watcher at intervals.
//!
//! A configuration is transferred in small chunks. The receiver requests each chunk after the
//! previous one has arrived, and the sender serves a few nodes at a time ([`transfers`]). A link
//! therefore carries only a small part of a configuration at once: statements and heartbeats do not
//! queue behind it, and a slow link slows the transfer down without a configured rate.

mod fetcher;
mod transfers;

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceName, NodeName, ZoneName};
use crate::rendezvous::{Candidate, ownership};

pub use fetcher::{Fetcher, FetcherView};
pub use transfers::{CHUNK_BYTES, TransferDecision, TransferQueue};

/// Key under which rendezvous hashing chooses the store watchers, as if it were an instance.
const STORE_WATCHING_KEY: &str = "configuration";
/// Store watchers in each zone: two, so that one remains when the other fails.
const WATCHERS_PER_ZONE: usize = 2;
/// A link counts as high-bandwidth if it carries at least one part in this many of the largest
/// bandwidth in the zone. Without this tolerance, small differences between many similar nodes
/// would always select the same two.
const SIMILAR_BANDWIDTH_FACTOR: u32 = 2;
/// Time after which an unanswered request counts as lost.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a queued request counts as lost: serving each node ahead of it takes about
/// 100 ms over a link of 10 Mbit/s.
pub const QUEUED_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean interval between polls by a node that does not know of a newer revision.
pub const POLL_INTERVAL: Duration = Duration::from_secs(4);

/// Delay between two reads of the store's changes, for each node in the cluster. Each change wakes
/// every watching node and each call to the store has a cost, so without a delay the cost of
/// simultaneous writes by many nodes would grow with the square of their number.
const WATCH_DELAY_PER_NODE: Duration = Duration::from_millis(4);
/// Largest delay between two reads of the store's changes.
const MAX_WATCH_DELAY: Duration = Duration::from_millis(500);

/// Time for which a node in a cluster of `nodes` lets changes of the store accumulate after it has
/// read some. The first change after an idle period is read at once.
pub fn watch_delay(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    WATCH_DELAY_PER_NODE.saturating_mul(nodes).min(MAX_WATCH_DELAY)
}

/// Interval between the full reads of the store by two nodes: with 1,000 groups a full read is
/// 1.5 MB, which takes 12 ms of the store's link of 1,000 Mbit/s.
const FULL_READ_STAGGER: Duration = Duration::from_millis(12);

/// Delay before `node` reads the whole store because no peer has sent it a configuration. It
/// spreads the full reads of `nodes` nodes over time.
pub fn full_read_delay(node: &NodeName, nodes: usize) -> Duration {
    let nodes = u64::try_from(nodes).unwrap_or(u64::MAX).max(1);
    let slot = xxh3_64(node.as_str().as_bytes()) % nodes;
    FULL_READ_STAGGER.saturating_mul(u32::try_from(slot).unwrap_or(u32::MAX))
}

/// The nodes of a zone that watch the store: at most two, watchers from those with the
/// highest-bandwidth links. The store sends the whole configuration at each change (400 kB for
/// 1,400 routes take 0.3 s of a link of 10 Mbit/s), and the zone fetches from its watchers first.
pub fn store_watchers(zone: &ZoneName, live: &[Candidate]) -> Vec<NodeName> {
    let in_zone: Vec<&Candidate> =
        live.iter().filter(|candidate| candidate.zone == *zone).collect();
    let max_mbps = in_zone.iter().map(|candidate| candidate.link_mbps).max().unwrap_or(0);
    let (high_bandwidth, low_bandwidth): (Vec<&Candidate>, Vec<&Candidate>) = in_zone
        .into_iter()
        .partition(|candidate| candidate.link_mbps >= max_mbps / SIMILAR_BANDWIDTH_FACTOR);
    let mut watchers = choose_watchers(zone, &high_bandwidth);
    if watchers.len() < WATCHERS_PER_ZONE {
        watchers.extend(
            choose_watchers(zone, &low_bandwidth)
                .into_iter()
                .take(WATCHERS_PER_ZONE - watchers.len()),
        );
    }
    watchers
}

/// At most [`WATCHERS_PER_ZONE`] of `candidates`, all of `zone`.
fn choose_watchers(zone: &ZoneName, candidates: &[&Candidate]) -> Vec<NodeName> {
    match ownership(&InstanceName::new(STORE_WATCHING_KEY), zone, candidates.iter().copied()) {
        None => Vec::new(),
        Some(chosen) => std::iter::once(chosen.owner).chain(chosen.standby).collect(),
    }
}

/// Whether a node watches the store.
pub fn is_store_watcher(own: &Candidate, live: &[Candidate]) -> bool {
    store_watchers(&own.zone, live).contains(&own.node)
}

/// The nodes to which `own` announces a new revision: its zone, and the store watchers of the other
/// zones.
pub fn announcement_targets(own: &Candidate, live: &[Candidate]) -> Vec<NodeName> {
    let same_zone = live.iter().filter(|other| other.zone == own.zone);
    let mut nodes: Vec<NodeName> = same_zone.map(|other| other.node.clone()).collect();
    nodes.extend(other_zone_watchers(own, live));
    nodes.retain(|node| *node != own.node);
    nodes
}

/// The store watchers of all zones except that of `own`.
pub fn other_zone_watchers(own: &Candidate, live: &[Candidate]) -> Vec<NodeName> {
    let mut zones: Vec<&ZoneName> = live.iter().map(|other| &other.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|zone| **zone != own.zone);
    zones.into_iter().flat_map(|zone| store_watchers(zone, live)).collect()
}

/// The nodes that a node may poll: the store watchers of its zone, or those of other zones if it is
/// a store watcher itself. If there are none, any live node.
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
