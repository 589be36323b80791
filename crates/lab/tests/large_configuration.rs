//! A large configuration on its way to nodes with slow links.
//!
//! What happened: 1,400 routes were added before 90 nodes, most of them with links of 10 Mbit/s. Nodes
//! answered by the version before for more than 5 s after the store had acknowledged the change, and
//! a later change of a single time-out took as long. Statements failed meanwhile.
//!
//! Sequence: two followers in each zone read the change. All other nodes of the zone asked them for it
//! at once; each answer was one message of the whole catalog. The followers' links were full for
//! seconds, nodes took them for silent (`peer_silent`, `link_replaced`), opened new connections and
//! asked others for the whole again.
//!
//! Cause: every route carried the revision of the one item in which the operator keeps all, so any
//! change was a change of everything; and a transfer had no limit on what it put on the link at once.

use std::time::Duration;

use kestrellock_core::ids::TenantName;
use kestrellock_daemon::metrics::{ConfigurationEvent, ConnectionEvent};
use kestrellock_daemon::node::Node;
use kestrellock_lab::platform::{
    Platform, PlatformOptions, ZONES, extra_database, node_relay_zone, store_relay_zone, wait,
};
use kestrellock_lab::standin::network::links::SilencedDirection;
use kestrellock_peer::catalog_transfer;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// Five a zone, of which two follow the store.
const NODES: usize = 15;
const FOLLOWERS_OF_ZONE: usize = 2;
/// Routes added at once.
const ROUTES: usize = 1_400;
/// 10 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 1_250_000.0;
/// Bytes that one node may receive or send for each node that a change of one route has to reach: the
/// summary of what it has, what differs, and what passes between nodes at rest meanwhile.
const BYTES_OF_SMALL_CHANGE: u64 = 40_000;
/// Time that a node is given to answer a ping: one whose answer the network holds back for longer is silent.
const ANSWER_TO_PING: Duration = Duration::from_millis(200);
const FIRST_TIMEOUT_MS: u64 = 3_000;
const SECOND_TIMEOUT_MS: u64 = 2_000;

/// Names a run whose log is wanted.
const LOG_WANTED: &str = "KESTRELLOCK_TEST_LOG";

fn start() -> Platform {
    if std::env::var_os(LOG_WANTED).is_some() {
        kestrellock_program::logging::start(
            log::LevelFilter::Info,
            kestrellock_program::logging::LogFormat::Text,
        );
    }
    let options = PlatformOptions { nodes: NODES, relayed: true, ..PlatformOptions::default() };
    let platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let network = platform.network.as_ref().expect("relays");
    (0..NODES)
        .for_each(|node| network.limit_streams(&node_relay_zone(node), LINK_BYTES_PER_SECOND));
    platform
}

fn deadline_of(node: &Node, route: usize) -> Option<u64> {
    let tenant = TenantName::new(extra_database(route));
    Some(node.context.catalog.load().parameters(&tenant)?.values.deadline_ms.0)
}

fn wait_for_deadline(platform: &Platform, route: usize, milliseconds: u64) {
    wait("the change is in force", || {
        platform.nodes().all(|node| deadline_of(node, route) == Some(milliseconds))
    })
    .expect("in force everywhere");
}

fn stream_bytes(platform: &Platform) -> u64 {
    let network = platform.network.as_ref().expect("relays");
    (0..NODES).map(|node| network.stream_bytes(&node_relay_zone(node))).sum()
}

fn silent_links(platform: &Platform) -> u64 {
    platform
        .nodes()
        .map(|node| node.context.metrics.link_connections.get(ConnectionEvent::Silent))
        .sum()
}

fn count(platform: &Platform, event: ConfigurationEvent) -> u64 {
    platform.nodes().map(|node| node.context.metrics.configuration.get(event)).sum()
}

/// What a large change came to.
#[derive(Debug)]
struct LargeChange {
    pulled: u64,
    served: u64,
    given_up: u64,
    silent_links: u64,
    /// The longest time for which the network carried nothing.
    paused: Duration,
}

impl LargeChange {
    fn play() -> Self {
        let mut platform = start();
        let pulled = count(&platform, ConfigurationEvent::Fetched);
        let served = count(&platform, ConfigurationEvent::Served);
        platform.configure_extra_routes(&[FIRST_TIMEOUT_MS; ROUTES]);
        wait_for_deadline(&platform, ROUTES - 1, FIRST_TIMEOUT_MS);
        let played = Self {
            pulled: count(&platform, ConfigurationEvent::Fetched) - pulled,
            served: count(&platform, ConfigurationEvent::Served) - served,
            given_up: count(&platform, ConfigurationEvent::TimedOut),
            silent_links: silent_links(&platform),
            paused: platform.network.as_ref().expect("relays").longest_pause(),
        };
        println!("{played:?}, {} bytes", stream_bytes(&platform));
        played
    }

    /// Nodes that the network keeps from hearing each other for so long are right to call each other silent.
    fn is_disturbed(&self) -> bool {
        self.paused >= ANSWER_TO_PING
    }
}

/// The check of silent links failed now and then beside load (12 busy loops, a simulation and a compiler on 5 cores), also
/// after two connections that cross kept the same one. The log of such a run shows why:
///
/// ```text
/// 18.908 link_unheard peer=node-13 unanswered_ms=312 looks=7 longest_step_ms=50
/// 18.913 link_unheard peer=node-9 unanswered_ms=312 looks=7 longest_step_ms=50
/// 19.140 network_paused paused_ms=418
/// ```
///
/// The one thread that carries all bytes of this test got no processor time from 18.72 to 19.14 s, while the nodes ran. So a
/// play counts if the network carried on; where it did not, transfers that a node gave up may come twice.
#[test]
fn a_large_change_reaches_nodes_with_slow_links_without_any_being_taken_for_silent() {
    const PLAYS: usize = 8;
    // A follower may have begun to serve another one that reads the change by itself meanwhile.
    let followers = (ZONES.len() * FOLLOWERS_OF_ZONE) as u64;
    for _ in 0..PLAYS {
        let played = LargeChange::play();
        let LargeChange { pulled, served, given_up, silent_links, .. } = &played;
        if !played.is_disturbed() {
            assert_eq!(*silent_links, 0, "no connection carried nothing");
            assert!(*served <= pulled + followers, "{served} transfers for {pulled}");
            return;
        }
        assert!(*served <= pulled + followers + given_up, "{played:?}");
    }
    panic!("the network paused in each play: silence could not be judged");
}

#[test]
fn a_change_of_one_route_costs_what_it_changes() {
    let mut platform = start();
    let mut timeouts = [FIRST_TIMEOUT_MS; ROUTES];
    platform.configure_extra_routes(&timeouts);
    wait_for_deadline(&platform, ROUTES - 1, FIRST_TIMEOUT_MS);
    let before = stream_bytes(&platform);
    timeouts[ROUTES / 2] = SECOND_TIMEOUT_MS;
    platform.configure_extra_routes(&timeouts);
    wait_for_deadline(&platform, ROUTES / 2, SECOND_TIMEOUT_MS);
    let bytes = stream_bytes(&platform) - before;
    println!("{bytes} bytes for one route");
    assert!(bytes <= NODES as u64 * BYTES_OF_SMALL_CHANGE, "{bytes} bytes for one route");
}

/// What happened: three nodes were sent 1,400 routes twice by one follower, 0.1 ms after each other, and the check
/// above failed once in 40 runs (16 transfers for 9 that were used).
///
/// Cause: a follower that has a newer revision says so to its zone, also while it serves it. A node that waited for
/// a part took that for the answer that there is nothing to send, and asked again. Small changes right behind a
/// large one make it come.
#[test]
fn small_changes_right_behind_a_large_one_do_not_have_it_sent_twice() {
    const SMALL_CHANGES: usize = 6;
    const PAUSE: Duration = Duration::from_millis(15);
    let mut platform = start();
    let had = platform.nodes().next().expect("a node").context.catalog.load().summary();
    let dropped = BytesSentInVain::so_far(&platform);
    let mut timeouts = [FIRST_TIMEOUT_MS; ROUTES];
    platform.configure_extra_routes(&timeouts);
    for changed in 1..=SMALL_CHANGES {
        std::thread::sleep(PAUSE);
        timeouts[..changed].fill(SECOND_TIMEOUT_MS);
        platform.configure_extra_routes(&timeouts);
    }
    wait_for_deadline(&platform, SMALL_CHANGES - 1, SECOND_TIMEOUT_MS);
    let catalog = platform.nodes().next().expect("a node").context.catalog.load();
    let large = catalog_transfer::pack(&catalog.delta_for(&had)).expect("it is packed").len();
    // What a slow node was not waited for is sent in vain, and no more than that.
    let allowed = || count(&platform, ConfigurationEvent::TimedOut) * large as u64;
    wait("what is sent is used", || dropped.since(&platform) <= allowed() as i64)
        .unwrap_or_else(|error| panic!("{error}: {} bytes", dropped.since(&platform)));
}

/// Bytes of configuration that nodes have sent and no node has taken in: what is on its way, and what is dropped.
struct BytesSentInVain(i64);

impl BytesSentInVain {
    fn so_far(platform: &Platform) -> Self {
        Self(Self::count(platform))
    }

    fn since(&self, platform: &Platform) -> i64 {
        Self::count(platform) - self.0
    }

    fn count(platform: &Platform) -> i64 {
        let bytes = |event| -> u64 {
            platform.nodes().map(|node| node.context.metrics.configuration_bytes.get(event)).sum()
        };
        bytes(ConfigurationEvent::Served) as i64 - bytes(ConfigurationEvent::Fetched) as i64
    }
}

/// The same cause elsewhere: a time limit on a whole answer is one on the size of the configuration. Three
/// nodes with 0.25 MB/s between them and the store had not read 1,400 routes after 30 s, since each try was
/// given up after 2 to 3.5 s.
#[test]
fn a_large_item_is_read_over_a_line_that_takes_longer_than_a_call_may_wait() {
    /// All that the nodes may read from the store, in bytes a second.
    const STORE_LINE: f64 = 250_000.0;
    let options = PlatformOptions { relayed: true, ..PlatformOptions::default() };
    let mut platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let network = platform.network.as_ref().expect("relays");
    network.limit_streams(&store_relay_zone(), STORE_LINE);
    platform.configure_extra_routes(&[FIRST_TIMEOUT_MS; ROUTES]);
    wait_for_deadline(&platform, ROUTES - 1, FIRST_TIMEOUT_MS);
}

/// Changes, each with trouble for some nodes while it travels.
const TROUBLED_CHANGES: u64 = 6;
const TROUBLED_NODES: usize = 4;

/// What becomes of a node while a change travels.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Frozen,
    Killed,
    SilentLinks(SilencedDirection),
}

impl Trouble {
    fn draw(random: &mut ChaCha8Rng) -> Self {
        match random.random_range(0..5) {
            0 => Self::Killed,
            1 => Self::SilentLinks(SilencedDirection::ToTarget),
            2 => Self::SilentLinks(SilencedDirection::FromTarget),
            3 => Self::SilentLinks(SilencedDirection::Both),
            _ => Self::Frozen,
        }
    }

    fn strike(self, platform: &mut Platform, node: usize) {
        match self {
            Self::Frozen => platform.set_paused(node, true),
            Self::Killed => platform.kill_node(node),
            Self::SilentLinks(way) => {
                let network = platform.network.as_ref().expect("relays");
                network.silence_open_connections(&node_relay_zone(node), way);
            }
        }
    }
}

/// Strikes some nodes while a change travels; returns those that are frozen.
fn strike_some(platform: &mut Platform, random: &mut ChaCha8Rng, about: &str) -> Vec<usize> {
    let mut frozen = Vec::new();
    for _ in 0..TROUBLED_NODES {
        std::thread::sleep(Duration::from_millis(random.random_range(0..60)));
        // Each zone keeps a node that is not troubled.
        let node = random.random_range(ZONES.len()..NODES);
        let trouble = Trouble::draw(random);
        println!("{about}: node {node} {trouble:?}");
        trouble.strike(platform, node);
        if matches!(trouble, Trouble::Frozen) {
            frozen.push(node);
        }
    }
    frozen
}

fn number_of(node: &Node) -> usize {
    let name = node.context.identity.node.as_str();
    name.trim_start_matches("node-").parse().expect("a number")
}

/// Whoever sends a change may freeze, die or fall silent in the middle of it: the others get it from
/// elsewhere, nobody goes back, and who was frozen gets it afterwards.
#[test]
fn a_change_reaches_everybody_else_while_nodes_freeze_die_and_fall_silent() {
    for seed in [1, 2] {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut platform = start();
        let mut newest = [0_u64; NODES];
        for change in 0..TROUBLED_CHANGES {
            let about = format!("seed {seed}, change {change}");
            let timeout = FIRST_TIMEOUT_MS + change;
            let has = |node: &Node| deadline_of(node, ROUTES - 1) == Some(timeout);
            platform.configure_extra_routes(&[timeout; ROUTES]);
            let frozen = strike_some(&mut platform, &mut random, &about);
            wait("the others have it", || {
                platform.nodes().all(|node| frozen.contains(&number_of(node)) || has(node))
            })
            .unwrap_or_else(|error| panic!("{about}: {error}"));
            frozen.iter().for_each(|node| platform.set_paused(*node, false));
            wait("all have it", || platform.nodes().all(has))
                .unwrap_or_else(|error| panic!("{about}: {error}"));
            for node in platform.nodes() {
                let revision = node.context.catalog.load().revision.0;
                let before = &mut newest[number_of(node)];
                assert!(revision >= *before, "{about}: {} went back", number_of(node));
                *before = revision;
            }
        }
    }
}
