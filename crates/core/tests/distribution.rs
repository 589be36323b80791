//! Who follows the store, whom the others ask, and deltas between catalogs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kestrellock_core::admin::configuration::EntryValue;
use kestrellock_core::catalog::{
    Catalog, CatalogDelta, CatalogSummary, DeltaError, Revision, VersionedCatalog,
};
use kestrellock_core::distribution::{
    Fetcher, FetcherView, POLL_INTERVAL, QUEUED_REQUEST_TIMEOUT, REQUEST_TIMEOUT, TransferDecision,
    TransferQueue, announcement_targets, full_read_delay, is_store_watcher, store_watchers,
    watch_delay,
};
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::rendezvous::Candidate;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn node(zone: usize, number: usize) -> Candidate {
    let name = format!("node-{zone}-{number}");
    Candidate {
        node: NodeName::new(name),
        zone: ZoneName::new(format!("zone-{zone}")),
        link_mbps: 0,
    }
}

fn cluster(zones: usize, each: usize) -> Vec<Candidate> {
    (0..zones).flat_map(|zone| (0..each).map(move |number| node(zone, number))).collect()
}

/// Swanreach grown: 90 nodes that entered themselves at once woke each other, 90 calls for each.
#[test]
fn all_nodes_together_look_at_a_busy_store_a_bounded_number_of_times_a_second() {
    for nodes in [1, 6, 9, 68, 90, 120] {
        let looks = nodes as f64 / watch_delay(nodes).as_secs_f64();
        assert!(looks <= 251.0, "{looks} a second before {nodes} nodes");
    }
    assert!(watch_delay(6) <= Duration::from_millis(30), "few nodes hear of changes at once");
    assert_eq!(watch_delay(520), Duration::from_millis(500));
}

#[test]
fn two_nodes_a_zone_follow_and_a_leaving_one_is_replaced() {
    let live = cluster(10, 52);
    let following = live.iter().filter(|own| is_store_watcher(own, &live)).count();
    assert_eq!(following, 20);
    let zone = ZoneName::new("zone-3");
    let before = store_watchers(&zone, &live);
    let without: Vec<Candidate> =
        live.iter().filter(|other| other.node != before[0]).cloned().collect();
    let after = store_watchers(&zone, &without);
    assert_eq!(after[0], before[1], "the second one stays");
    assert_eq!(after.len(), 2);
    assert_eq!(store_watchers(&ZoneName::new("nowhere"), &live), []);
    assert_eq!(store_watchers(&zone, &[node(3, 0)]), [NodeName::new("node-3-0")]);
}

fn with_link(own: &Candidate, link_mbps: u32) -> Candidate {
    Candidate { link_mbps, ..own.clone() }
}

#[test]
fn nodes_with_wide_links_follow_and_a_narrow_one_where_there_is_only_one() {
    let zone = ZoneName::new("zone-0");
    let alike: Vec<Candidate> = cluster(1, 30).iter().map(|own| with_link(own, 10)).collect();
    assert_eq!(
        store_watchers(&zone, &alike),
        store_watchers(&zone, &cluster(1, 30)),
        "equal links"
    );
    for wide in 0..alike.len() - 1 {
        let mut live = alike.clone();
        live[wide] = with_link(&live[wide], 200);
        let following = store_watchers(&zone, &live);
        assert_eq!((following.len(), &following[0]), (2, &live[wide].node));
        live[wide + 1] = with_link(&live[wide + 1], 100);
        let mut following = store_watchers(&zone, &live);
        following.sort();
        let mut expected = vec![live[wide].node.clone(), live[wide + 1].node.clone()];
        expected.sort();
        assert_eq!(following, expected);
    }
    let mut almost = alike.clone();
    almost[0] = with_link(&almost[0], 15);
    assert_eq!(
        store_watchers(&zone, &almost),
        store_watchers(&zone, &alike),
        "they are almost alike"
    );
}

#[test]
fn a_follower_tells_its_zone_and_the_followers_of_the_others() {
    let live = cluster(10, 52);
    let own = live.iter().find(|own| is_store_watcher(own, &live)).expect("one");
    let told = announcement_targets(own, &live);
    assert_eq!(told.len(), 51 + 18);
    assert!(!told.contains(&own.node));
}

struct Asker {
    puller: Fetcher,
    live: Vec<Candidate>,
    now: Instant,
}

impl Asker {
    fn new() -> Self {
        let live = cluster(2, 5);
        let own = live.iter().find(|own| !is_store_watcher(own, &live)).expect("one").clone();
        Self { puller: Fetcher::new(own), live, now: Instant::now() }
    }

    fn next(&mut self, have: u64, newer: Option<&NodeName>) -> Option<NodeName> {
        let (now, live) = (self.now, self.live.as_slice());
        self.puller.next(&FetcherView {
            now,
            active_revision: Revision(have),
            newer_node: newer,
            live,
            random: 0.4,
        })
    }
}

#[test]
fn without_cause_a_follower_of_the_zone_is_asked_now_and_then() {
    let mut asker = Asker::new();
    let asked = asker.next(7, None).expect("at the start");
    assert!(store_watchers(&ZoneName::new("zone-0"), &asker.live).contains(&asked));
    asker.puller.on_answer(&asked);
    assert_eq!(asker.next(7, None), None);
    asker.now += POLL_INTERVAL / 2;
    assert_eq!(asker.next(7, None), None);
    asker.now += POLL_INTERVAL;
    assert!(asker.next(7, None).is_some());
}

#[test]
fn who_has_a_newer_revision_is_asked_at_once_and_another_if_it_is_silent() {
    let mut asker = Asker::new();
    let first = asker.next(7, None).expect("at the start");
    asker.puller.on_answer(&first);
    let newer = NodeName::new("node-1-4");
    assert_eq!(asker.next(7, Some(&newer)), Some(newer.clone()));
    assert_eq!(asker.next(7, Some(&newer)), None, "one request at a time");
    asker.now += REQUEST_TIMEOUT;
    let other = asker.next(7, Some(&newer)).expect("another node");
    assert_ne!(other, newer);
    asker.puller.on_answer(&other);
    assert_eq!(asker.next(7, Some(&newer)), Some(newer), "then the first again");
}

#[test]
fn what_cannot_be_put_in_force_is_not_asked_for_at_once_again() {
    let mut asker = Asker::new();
    let newer = NodeName::new("node-1-4");
    assert_eq!(asker.next(7, Some(&newer)), Some(newer.clone()));
    asker.puller.on_unusable(&newer, asker.now);
    asker.now += POLL_INTERVAL - Duration::from_millis(1);
    assert_eq!(asker.next(7, Some(&newer)), None);
}

/// A catalog of tenants that say different things, at a revision.
fn versioned(revision: u64, entries: &[(u8, u64)]) -> VersionedCatalog {
    let mut catalog = Catalog { revision: Revision(revision), ..Catalog::default() };
    for (number, capacity) in entries {
        let text = format!("template = \"x\"\ncapacity = {capacity}");
        let value = EntryValue::Tenant(toml::from_str(&text).expect("a tenant"));
        catalog.insert(&format!("t{number}"), value);
    }
    VersionedCatalog::from(catalog)
}

#[test]
fn deltas_that_do_not_fit_are_refused() {
    let old = versioned(6, &[(1, 5), (2, 6)]);
    let new = versioned(9, &[(1, 5), (2, 9), (3, 8)]);
    let delta = new.delta_for(&old.summary());
    assert_eq!(old.with_delta(delta.clone()).as_ref(), Ok(&new));
    assert_eq!(new.with_delta(delta.clone()), Err(DeltaError::NotNewer));
    assert_eq!(versioned(6, &[(1, 4)]).with_delta(delta.clone()), Err(DeltaError::DoesNotFit));
    // One that lacks an entry, or has another of the same age, finds out by the fingerprint.
    assert_eq!(versioned(6, &[(2, 6)]).with_delta(delta.clone()), Err(DeltaError::DoesNotFit));
    assert_eq!(
        versioned(6, &[(1, 5), (7, 6)]).with_delta(delta.clone()),
        Err(DeltaError::DoesNotFit)
    );
    let mut short = delta.clone();
    short.changed.tenants.pop_last();
    assert_eq!(old.with_delta(short), Err(DeltaError::DoesNotFit));
    let mut crooked = delta.clone();
    (crooked.buckets, crooked.replaced) = (3, vec![0]);
    assert_eq!(old.with_delta(crooked), Err(DeltaError::DoesNotFit));
    let mut huge = delta.clone();
    huge.buckets = 1 << 31;
    assert_eq!(old.with_delta(huge), Err(DeltaError::DoesNotFit));
    let mut beyond = delta;
    beyond.replaced = vec![beyond.buckets];
    assert_eq!(old.with_delta(beyond), Err(DeltaError::DoesNotFit));
    let whole = new.delta_for(&CatalogSummary::empty());
    assert_eq!(versioned(6, &[(7, 6)]).with_delta(whole), Ok(new));
}

#[test]
fn an_entry_that_was_taken_out_is_gone_after_a_delta() {
    let entries: Vec<(u8, u64)> = (0..200).map(|number| (number, 1)).collect();
    let (old, new) = (versioned(1, &entries), versioned(2, &entries[1..]));
    let delta = new.delta_for(&old.summary());
    assert!(delta.base.is_some() && delta.changed.tenants.len() < 40, "it is no whole catalog");
    assert_eq!(old.with_delta(delta), Ok(new));
}

#[test]
fn a_catalog_that_says_the_same_at_another_revision_costs_nothing_but_that() {
    let (old, new) = (versioned(1, &[(1, 5), (2, 6)]), versioned(2, &[(1, 5), (2, 6)]));
    let delta = new.delta_for(&old.summary());
    assert_eq!(delta.changed.tenants.len(), 0);
    assert_eq!(old.with_delta(delta), Ok(new));
}

fn names(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| NodeName::new(format!("node-{number}"))).collect()
}

#[test]
fn a_few_nodes_are_served_at_once_and_the_others_in_their_order() {
    let (now, nodes) = (Instant::now(), names(9));
    let mut queue = TransferQueue::default();
    let turns: Vec<TransferDecision> =
        nodes.iter().map(|node| queue.request(node, 0, now)).collect();
    let served = turns.iter().filter(|turn| **turn == TransferDecision::Start).count();
    assert!(
        (1..nodes.len()).contains(&served)
            && turns[..served].iter().all(|t| *t == TransferDecision::Start)
    );
    assert_eq!(queue.start_next(now), None);
    assert_eq!(
        queue.request(&nodes[served], 7, now),
        TransferDecision::Queue,
        "it keeps its place"
    );
    assert_eq!(
        queue.request(&nodes[0], 0, now),
        TransferDecision::Start,
        "whoever is served may begin anew"
    );
    queue.finish(&nodes[0]);
    assert_eq!(queue.start_next(now), Some((nodes[served].clone(), 7)));
    assert_eq!(queue.start_next(now), None);
}

#[test]
fn nodes_that_want_no_further_part_give_way_and_those_that_do_are_kept() {
    let (mut now, nodes) = (Instant::now(), names(9));
    let mut queue = TransferQueue::default();
    let turns: Vec<TransferDecision> =
        nodes.iter().map(|node| queue.request(node, 0, now)).collect();
    let served = turns.iter().filter(|turn| **turn == TransferDecision::Start).count();
    now += REQUEST_TIMEOUT / 2;
    queue.on_chunk_request(&nodes[0], now);
    now += REQUEST_TIMEOUT / 2;
    let next: Vec<NodeName> =
        std::iter::from_fn(|| queue.start_next(now)).map(|(node, _)| node).collect();
    assert_eq!(next, nodes[served..2 * served - 1], "all but the first had gone");
}

#[test]
fn a_transfer_under_way_is_not_asked_for_again_elsewhere() {
    let mut asker = Asker::new();
    let newer = NodeName::new("node-1-4");
    assert_eq!(asker.next(7, Some(&newer)), Some(newer.clone()));
    for _ in 0..100 {
        asker.now += REQUEST_TIMEOUT - Duration::from_millis(1);
        assert_eq!(asker.next(7, Some(&newer)), None);
        asker.puller.on_chunk(&newer, asker.now);
    }
    asker.puller.on_queued(&newer, asker.now);
    asker.now += QUEUED_REQUEST_TIMEOUT - Duration::from_millis(1);
    assert_eq!(asker.next(7, Some(&newer)), None);
    asker.now += Duration::from_millis(1);
    assert_ne!(asker.next(7, Some(&newer)).expect("another node"), newer);
}

/// Callers saw statements wait behind a configuration that was sent twice. A node that fetched from a follower
/// heard of the follower's newer revision meanwhile, took that for the answer that nothing is to be sent, and asked
/// again: three nodes were served twice within 0.1 ms.
#[test]
fn a_newer_revision_of_the_node_that_is_fetched_from_is_news_and_no_answer() {
    let mut asker = Asker::new();
    let newer = NodeName::new("node-1-4");
    assert_eq!(asker.next(7, Some(&newer)), Some(newer.clone()));
    assert!(!asker.puller.on_revision(&newer, Revision(9)));
    assert_eq!(asker.next(7, Some(&newer)), None, "what it lacks is on its way");
}

/// The same, beside load: what a node has announced of an older revision comes late. Others have told of its newer one
/// meanwhile (heartbeats do), so that it is fetched from already. The old word passed for the answer that there is nothing
/// newer, and the node was asked again. The log of one of 3 failures in 45 plays of the test of large changes:
///
/// ```text
/// 27.405421 configuration_sent peer=node-10 from_revision=24 revision=25 bytes=225
/// 27.407733 configuration_nothing_newer peer=node-6 revision=24 after_ms=2
/// 27.479306 configuration_unasked peer=node-6 transfer=1 offset=0 bytes=225
/// ```
#[test]
fn an_old_word_of_a_node_that_is_known_to_have_a_newer_revision_is_no_answer() {
    let mut asker = Asker::new();
    let newer = NodeName::new("node-1-4");
    assert_eq!(asker.next(7, Some(&newer)), Some(newer.clone()));
    assert!(!asker.puller.on_revision(&newer, Revision(7)));
    assert_eq!(asker.next(7, Some(&newer)), None, "what it lacks is on its way");
    asker.now += REQUEST_TIMEOUT;
    assert_ne!(
        asker.next(7, Some(&newer)),
        None,
        "a node that says nothing else is not waited for"
    );
}

#[test]
fn a_node_that_is_not_known_to_have_a_newer_revision_answers_that_it_has_none() {
    let mut asker = Asker::new();
    let newer = NodeName::new("node-1-4");
    assert_eq!(asker.next(7, Some(&newer)), Some(newer.clone()));
    asker.now += REQUEST_TIMEOUT;
    let other = asker.next(7, Some(&newer)).expect("another node");
    assert_ne!(other, newer);
    assert!(asker.puller.on_revision(&other, Revision(7)), "nothing newer: that is the answer");
    assert_eq!(asker.next(7, Some(&newer)), Some(newer), "and it is asked elsewhere at once");
}

#[test]
fn the_answer_to_a_question_for_the_revision_is_any_revision() {
    let mut asker = Asker::new();
    let asked = asker.next(7, None).expect("at the start");
    assert!(asker.puller.on_revision(&asked, Revision(9)));
    assert_eq!(asker.next(7, Some(&asked)), Some(asked), "and it is fetched at once");
}

/// What a node fetched does not fit, since it has got a newer configuration from the store meanwhile. It asked for
/// everything, and a moment later for what it lacked as well: both were sent.
#[test]
fn whoever_has_asked_once_more_is_waited_for() {
    let mut asker = Asker::new();
    let newer = NodeName::new("node-1-4");
    assert_eq!(asker.next(7, Some(&newer)), Some(newer.clone()));
    asker.puller.on_refetch(&newer, Revision(8), asker.now);
    assert_eq!(asker.next(8, Some(&newer)), None);
    assert!(!asker.puller.on_revision(&newer, Revision(9)));
    assert!(!asker.puller.on_revision(&newer, Revision(8)), "it has sent a newer one");
}

/// A delta that is dropped for newer ones before a node has all of it is made again from what the node asked with.
#[test]
fn what_a_node_asked_with_is_known_for_as_long_as_it_is_served() {
    let (now, nodes) = (Instant::now(), names(2));
    let mut queue = TransferQueue::default();
    assert_eq!(queue.request(&nodes[0], 3, now), TransferDecision::Start);
    assert_eq!(queue.request(&nodes[0], 4, now), TransferDecision::Start);
    assert_eq!(queue.request_of(&nodes[0]), Some(&4));
    assert_eq!(queue.request_of(&nodes[1]), None);
    queue.finish(&nodes[0]);
    assert_eq!(queue.request_of(&nodes[0]), None);
}

const GROUPS: usize = 550;
/// More than twice what was measured when the limits were set.
const MAX_WHOLE_BYTES: usize = 1_000_000;
const MAX_CHANGE_BYTES: usize = 2_000;
const MAX_SUMMARY_BYTES: usize = 4_000;

fn design_size() -> VersionedCatalog {
    let mut catalog = Catalog { revision: Revision(9_000), ..Catalog::default() };
    let mut add = |name: String, value: EntryValue| catalog.insert(&name, value);
    for group in 0..GROUPS {
        let instances = (0..3).map(|number| {
            format!(
                "{{ name = \"yearbook-core-{group}-{number}\", zone = \"zone-{number}\", \
                 address = \"10.{number}.{}.{}:5432\", slots = 5, connections = 35 }}",
                group / 250,
                group % 250
            )
        });
        let instances = instances.collect::<Vec<_>>().join(",");
        let text = format!("database = \"db{group}\"\nuser = \"proxy\"\ninstances = [{instances}]");
        let value = EntryValue::Group(toml::from_str(&text).expect("a group"));
        add(format!("yearbook-core-{group}"), value);
        let keys = "q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=";
        let text = format!(
            "template = \"school\"\ngroups = [\"yearbook-core-{group}\"]\n\
             logins = {{ user{group} = \"SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2E=${keys}:{keys}\" }}"
        );
        let value = EntryValue::Tenant(toml::from_str(&text).expect("a tenant"));
        add(format!("tenant-{group}"), value);
    }
    let text = "groups = []\nmax_staleness_ms = 1000\ncapacity = 4\ndeadline_ms = 5000";
    add("school".to_owned(), EntryValue::Template(toml::from_str(text).expect("a template")));
    VersionedCatalog::from(catalog)
}

#[test]
fn a_change_costs_a_fraction_of_the_whole_at_the_design_size() {
    let catalog = design_size();
    catalog.validate().expect("it is valid");
    let mut older = (*catalog).clone();
    older.revision = Revision(8_999);
    older.groups.get_mut("yearbook-core-7").expect("a group").user = "another".to_owned();
    let older = VersionedCatalog::from(older);
    let bytes = |delta: &CatalogDelta| {
        let mut cbor = Vec::new();
        ciborium::into_writer(delta, &mut cbor).expect("CBOR");
        cbor.len()
    };
    let whole = bytes(&catalog.delta_for(&CatalogSummary::empty()));
    let change = bytes(&catalog.delta_for(&older.summary()));
    let mut summary = Vec::new();
    ciborium::into_writer(&older.summary(), &mut summary).expect("CBOR");
    println!("whole {whole} bytes, one changed group {change}, a summary {}", summary.len());
    assert!(whole < MAX_WHOLE_BYTES && change < MAX_CHANGE_BYTES, "{whole} {change}");
    assert!(summary.len() < MAX_SUMMARY_BYTES, "{}", summary.len());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn an_older_catalog_with_the_delta_is_the_newer_one(
        writes in prop::collection::vec((0_u8..60, prop::option::weighted(0.8, 1_u64..9)), 1..120),
        split in 0.0..1.0,
    ) {
        let state = |writes: &[(u8, Option<u64>)]| {
            let mut entries: BTreeMap<u8, u64> = BTreeMap::new();
            for (number, capacity) in writes {
                match capacity {
                    Some(capacity) => drop(entries.insert(*number, *capacity)),
                    None => drop(entries.remove(number)),
                }
            }
            versioned(writes.len() as u64, &entries.into_iter().collect::<Vec<_>>())
        };
        let at = (split * writes.len() as f64) as usize;
        let (old, new) = (state(&writes[..at]), state(&writes));
        let delta = new.delta_for(&old.summary());
        let mut cbor = Vec::new();
        ciborium::into_writer(&delta, &mut cbor).expect("CBOR");
        let delta: CatalogDelta = ciborium::from_reader(cbor.as_slice()).expect("CBOR");
        prop_assert_eq!(old.with_delta(delta), Ok(new));
    }
}

/// Nodes that no peer has brought a configuration read the store one after the other.
#[test]
fn turns_at_the_store_spread_with_the_number_of_nodes() {
    for nodes in [6_usize, 985] {
        let turns: Vec<Duration> = (0..nodes)
            .map(|number| full_read_delay(&NodeName::new(format!("node-{number}")), nodes))
            .collect();
        let last = turns.iter().max().expect("some nodes");
        assert!(*last < Duration::from_millis(12 * nodes as u64), "{last:?} for {nodes}");
        let distinct: std::collections::BTreeSet<&Duration> = turns.iter().collect();
        assert!(distinct.len() * 2 > nodes, "{} turns for {nodes} nodes", distinct.len());
    }
}
