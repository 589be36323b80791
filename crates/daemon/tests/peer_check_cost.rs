//! Cost of a replacement check by all listed nodes, in a cluster of 985 nodes: bytes and time at the
//! asking node and at an answering one. `--nocapture` prints the figures.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::catalog::{Catalog, Group, IndexedCatalog};
use kestrellock_core::ids::{GroupName, NodeName, ZoneName};
use kestrellock_core::promotion::{CoordinationView, MAX_GROUPS_PER_CHECK, PeerAnswer};
use kestrellock_core::rendezvous::Candidate;
use kestrellock_daemon::agent::promotion::{PeerChecker, answer_replacement_query};
use kestrellock_daemon::context::NodeContext;
use kestrellock_daemon::metrics::ReplacementCheckEvent;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use kestrellock_daemon::shard::mailbox::{Mailbox, Mailboxes, ShardMessage};
use kestrellock_daemon::shared::live::LiveNode;
use kestrellock_daemon::shared::replacement_checks::StoreCopy;
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_peer::channel::{Channel, Hello, Side};
use kestrellock_peer::message::{HIGHEST_PROTOCOL_VERSION, PROTOCOL_VERSION, PeerMessage};

const NODES: usize = 985;
const FEW_NODES: usize = 5;
const RUNS: usize = 5;
const DEADLINE: Duration = Duration::from_secs(60);

fn node_name(number: usize) -> NodeName {
    NodeName::new(format!("node-{number:04}"))
}

fn group_name(number: usize) -> GroupName {
    GroupName::new(format!("group-{number:04}"))
}

fn groups(count: usize) -> BTreeSet<GroupName> {
    (0..count).map(group_name).collect()
}

/// The shared state of node 0 of `nodes` listed ones. Its threads do not run, so that only the test
/// changes it.
fn context(nodes: usize) -> Arc<NodeContext> {
    let mut settings = Settings::loopback(node_name(0), ZoneName::new("z"));
    let listeners = Listeners::bind(&mut settings).expect("free ports");
    let group = support::scripted::ScriptedGroup::start();
    let store = support::store(&group, DEADLINE);
    let node = Node::start(&settings, listeners, store, Policy::Standard).expect("it starts");
    let context = node.context.clone();
    node.kill();
    let text = "database = 'd'\nuser = 'u'\n[[instances]]\nname = 'i'\nzone = 'z'\n\
                address = '127.0.0.1:1'\nslots = 1\nconnections = 12";
    let group: Group = toml::from_str(text).expect("the group is valid");
    let groups = groups(MAX_GROUPS_PER_CHECK).into_iter().map(|name| (name, group.clone()));
    let groups = groups.collect();
    context.catalog.store(IndexedCatalog::new(Catalog { groups, ..Catalog::default() }));
    let live: Vec<LiveNode> = (0..nodes).map(live_node).collect();
    context.live.store(live.clone());
    context.listed_nodes.store(live);
    let copy = StoreCopy { view: Arc::default(), requested_at: Some(Instant::now()) };
    context.replacement_checks.copy.store(copy);
    context
}

fn live_node(number: usize) -> LiveNode {
    let candidate = Candidate { node: node_name(number), zone: ZoneName::new("z"), link_mbps: 0 };
    LiveNode { candidate, peer_address: SocketAddr::from(([127, 0, 0, 1], 1)), accepts_work: true }
}

/// Both ends of an established link.
struct Link {
    asker: Channel,
    answerer: Channel,
}

impl Link {
    fn new() -> Self {
        let keys = || ClusterKeys::new([b"a key of the cluster".as_slice()]).expect("a valid key");
        let (mut to_asker, mut to_answerer) = (BytesMut::new(), BytesMut::new());
        let mut asker =
            Channel::begin(Side::Opener, hello(0), keys(), &mut to_answerer).expect("it fits");
        let mut answerer =
            Channel::begin(Side::Acceptor, hello(1), keys(), &mut to_asker).expect("it fits");
        for _ in 0..3 {
            asker.advance(&mut to_asker, &mut to_answerer).expect("a handshake");
            answerer.advance(&mut to_answerer, &mut to_asker).expect("a handshake");
        }
        Self { asker, answerer }
    }
}

fn hello(number: usize) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        cluster: "c".into(),
        node: node_name(number),
        incarnation: 1,
        shard: 0,
        shards: 1,
        nonce: [number as u8; 16],
        replaces: None,
        highest_version: Some(HIGHEST_PROTOCOL_VERSION),
    }
}

/// What one check has cost.
#[derive(Debug, Default)]
struct Cost {
    bytes_sent: usize,
    bytes_received: usize,
    query_bytes: usize,
    answer_bytes: usize,
    /// To begin the check and to hand a message for each node to the shard.
    begin: Duration,
    /// To encode and sign all queries.
    encode: Duration,
    /// To verify and decode all answers.
    decode: Duration,
    /// To count all answers, all at once.
    count: Duration,
    /// At one answering node, from the received bytes of the query to those of the answer.
    answer: Duration,
}

impl Cost {
    fn asker(&self) -> Duration {
        self.begin + self.encode + self.decode + self.count
    }
}

fn queries(mailbox: &Mailbox) -> Vec<(NodeName, PeerMessage)> {
    let of = |message| match message {
        ShardMessage::ToPeer { node, message } => Some((node, message)),
        _ => None,
    };
    mailbox.messages.try_iter().filter_map(of).collect()
}

/// Runs one check. The answering nodes know the same as the asking one.
fn run_check(context: &NodeContext, group_count: usize) -> Cost {
    let (mailboxes, receivers) = Mailboxes::new(1).expect("mailboxes");
    let view = CoordinationView::default();
    let mut checker = PeerChecker::new();
    let mut link = Link::new();
    let mut cost = Cost::default();
    let mut waiting = groups(group_count);
    let start = Instant::now();
    checker.begin(&mut waiting, context, &view, &mailboxes);
    cost.begin = start.elapsed();
    // The nodes answer at the same time, not one after the other as here.
    let arrived = Instant::now();
    let mut answers = Vec::new();
    for (node, query) in queries(&receivers[0]) {
        let mut sent = BytesMut::new();
        let start = Instant::now();
        link.asker.send(&query, &mut sent).expect("it fits");
        cost.encode += start.elapsed();
        cost.query_bytes = sent.len();
        cost.bytes_sent += sent.len();
        let start = Instant::now();
        let query = link.answerer.receive(&mut sent).expect("it is valid").expect("it is whole");
        let PeerMessage::ReplacementQuery { number, groups, nodes_digest } = query else {
            panic!("another message")
        };
        let answer = answer_replacement_query(number, groups, nodes_digest, context);
        let mut received = BytesMut::new();
        link.answerer.send(&answer, &mut received).expect("it fits");
        cost.answer = start.elapsed();
        cost.answer_bytes = received.len();
        cost.bytes_received += received.len();
        let start = Instant::now();
        let answer = link.asker.receive(&mut received).expect("it is valid").expect("whole");
        cost.decode += start.elapsed();
        let PeerMessage::ReplacementQueryAnswer { number, unreplaced } = answer else {
            panic!("another message")
        };
        let unreplaced = unreplaced.into_iter().collect();
        answers.push(PeerAnswer { from: node, number, unreplaced, arrived });
    }
    answers.into_iter().for_each(|answer| context.replacement_checks.add_answer(answer));
    let start = Instant::now();
    checker.receive(context, &view, arrived);
    cost.count = start.elapsed();
    assert!(!checker.is_open(), "all nodes have answered");
    cost
}

/// Guards against messages that grow with the number of nodes: a check of a large cluster would take
/// links that statements need.
#[test]
fn the_messages_of_a_check_are_as_large_in_a_large_cluster_as_in_a_small_one() {
    let few = run_check(&context(FEW_NODES), MAX_GROUPS_PER_CHECK);
    let context = context(NODES);
    for group_count in [1, MAX_GROUPS_PER_CHECK] {
        let mut costs: Vec<Cost> = (0..RUNS).map(|_| run_check(&context, group_count)).collect();
        costs.sort_by_key(Cost::asker);
        println!("{NODES} nodes, {group_count} groups, median of {RUNS}: {:?}", costs[RUNS / 2]);
        println!(
            "asker in all: {:?}, longest {:?}",
            costs[RUNS / 2].asker(),
            costs[RUNS - 1].asker()
        );
        let most = |cost: &Cost| cost.bytes_sent.max(cost.bytes_received) / (NODES - 1);
        assert!(costs.iter().all(|cost| most(cost) <= few.query_bytes.max(few.answer_bytes) + 8));
    }
    let confirmed = context.metrics.replacement_checks.get(ReplacementCheckEvent::PeersConfirmed);
    assert_eq!(confirmed, 2 * RUNS as u64, "every check was confirmed");
}
