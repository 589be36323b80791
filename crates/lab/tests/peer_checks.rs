//! Replacement checks by other nodes while the store does not answer: a group with a dead replica, whose
//! evidence has expired during a rest.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{Intent, Reason, ReplacementId, nodes_digest};
use kestrellock_daemon::agent::promotion::answer_replacement_query;
use kestrellock_daemon::context::NodeContext;
use kestrellock_daemon::metrics::ReplacementCheckEvent;
use kestrellock_daemon::node::Node;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{
    GROUPS, Platform, PlatformOptions, database, node_relay_zone, store_relay_zone, wait,
};
use kestrellock_peer::message::PeerMessage;

/// Longer than evidence covers arrivals.
const REST: Duration = Duration::from_millis(1_200);
const NODES: usize = 3;

fn group() -> GroupName {
    GroupName::new(GROUPS[0])
}

fn context(platform: &Platform, number: usize) -> &NodeContext {
    let mut nodes = platform.nodes();
    nodes.nth(number).map(|node: &Node| &*node.context).expect("the node runs")
}

fn has_copy(node: &Node) -> bool {
    node.context.replacement_checks.copy.load().requested_at.is_some()
}

/// Three nodes of which each knows the other two, and that nobody replaces a primary.
fn start(options: PlatformOptions) -> Platform {
    let platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    wait("copies of the store", || platform.nodes().all(has_copy)).expect("in time");
    platform
}

/// A platform whose nodes can be cut off from each other and the store.
fn start_with_relays() -> Platform {
    start(PlatformOptions { relayed: true, partitionable: true, ..PlatformOptions::default() })
}

fn open(platform: &Platform, number: usize) -> LineSession {
    let route = database(GROUPS[0], Consistency::Primary);
    let mut session =
        LineSession::open(platform.client_addresses[number], &route, "rare").expect("it opens");
    wait("a write is answered", || write(&mut session).is_success()).expect("in time");
    session
}

fn write(session: &mut LineSession) -> Answer {
    session.run("WRITE thing data").expect("an answer")
}

fn kill_replica(platform: &Platform) {
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let replica = group.instances().into_iter().find(|name| *name != primary);
    group.kill(&replica.expect("a replica"));
}

fn count(platform: &Platform, event: ReplacementCheckEvent) -> u64 {
    platform.nodes().map(|node| node.context.metrics.replacement_checks.get(event)).sum()
}

/// The number of a node that is an owner of the group, which serves its own clients.
fn owner(platform: &Platform) -> usize {
    let owns = |number: &usize| context(platform, *number).owns(&group());
    (0..NODES).find(owns).expect("an owner")
}

/// Guards against a group that acknowledges no write while the store is away, although each node that
/// could replace its primary says that it does not.
#[test]
fn a_write_is_answered_while_the_store_is_down_and_all_nodes_are_reachable() {
    let platform = start(PlatformOptions::default());
    let mut sessions: Vec<LineSession> = (0..NODES).map(|number| open(&platform, number)).collect();
    kill_replica(&platform);
    platform.store.set_outage(true);
    for session in &mut sessions {
        std::thread::sleep(REST);
        let answer = write(session);
        assert!(answer.is_success(), "{:?}", answer.outcome);
    }
    assert!(count(&platform, ReplacementCheckEvent::PeersConfirmed) > 0);
    assert!(count(&platform, ReplacementCheckEvent::StoreFailed) > 0);
    let fails = |node: &Node| node.context.replacement_checks_fail(Instant::now());
    assert!(!platform.nodes().any(fails));
}

/// Guards against a node that alone does not reach the store, and gets no confirmation although its calls
/// to the store have not failed yet.
#[test]
fn a_write_is_answered_while_its_node_is_cut_off_from_the_store() {
    let platform = start_with_relays();
    let number = owner(&platform);
    let mut session = open(&platform, number);
    kill_replica(&platform);
    let network = platform.network.as_ref().expect("relays");
    network.cut(&node_relay_zone(number), &store_relay_zone());
    for _ in 0..2 {
        std::thread::sleep(REST);
        let answer = write(&mut session);
        assert!(answer.is_success(), "{:?}", answer.outcome);
    }
    let checks = &context(&platform, number).metrics.replacement_checks;
    assert!(checks.get(ReplacementCheckEvent::PeersConfirmed) > 0);
}

/// Guards against acknowledged commits that the next primary lacks: the nodes on the other side may
/// replace the primary.
#[test]
fn a_write_is_not_acknowledged_at_a_node_that_is_cut_off_from_its_peers() {
    let platform = start_with_relays();
    let number = owner(&platform);
    let mut session = open(&platform, number);
    kill_replica(&platform);
    let network = platform.network.as_ref().expect("relays");
    let own = node_relay_zone(number);
    let others = (0..NODES).filter(|other| *other != number).map(node_relay_zone);
    others.chain([store_relay_zone()]).for_each(|other| network.cut(&own, &other));
    std::thread::sleep(REST);
    let answer = write(&mut session);
    assert!(!answer.is_success(), "{:?}", answer.outcome);
    let context = context(&platform, number);
    let checks = &context.metrics.replacement_checks;
    assert!(checks.get(ReplacementCheckEvent::PeersUnanswered) > 0);
    assert_eq!(checks.get(ReplacementCheckEvent::PeersConfirmed), 0);
    assert!(context.replacement_checks_fail(Instant::now()));
}

fn intent() -> Intent {
    Intent {
        holder: NodeName::new("gone"),
        id: ReplacementId { fence: u64::MAX, attempt: 1 },
        reason: Reason::Suspected,
        former: None,
        called_off: false,
        promoting: false,
        awaits_log: false,
        callers: Vec::new(),
    }
}

/// Guards against acknowledged commits that the next primary lacks: another node has heard of a
/// replacement that the node of the client, without the store, has not.
#[test]
fn a_write_is_not_acknowledged_if_another_node_knows_of_a_replacement() {
    let platform = start(PlatformOptions::default());
    let number = owner(&platform);
    let mut session = open(&platform, number);
    kill_replica(&platform);
    platform.store.set_outage(true);
    let other = context(&platform, (number + 1) % NODES);
    other.replacements.on_reported(&group(), intent(), Duration::ZERO, Instant::now());
    std::thread::sleep(REST);
    let answer = write(&mut session);
    assert!(!answer.is_success(), "{:?}", answer.outcome);
    assert!(count(&platform, ReplacementCheckEvent::PeersRefused) > 0);
    assert_eq!(count(&platform, ReplacementCheckEvent::PeersConfirmed), 0);
}

/// Whether a node confirms to a node that knows the same list that the primary is not being replaced.
fn confirms(node: &NodeContext, listed: &[NodeName], term: Term) -> bool {
    let groups = vec![(group(), term)];
    let answer = answer_replacement_query(3, groups, nodes_digest(listed), node);
    let PeerMessage::ReplacementQueryAnswer { number: 3, unreplaced } = answer else {
        panic!("not the answer to the query: {answer:?}");
    };
    unreplaced == [group()]
}

/// Makes the store unavailable, and waits until no node gets a newer copy of it.
fn begin_outage(platform: &Platform) {
    platform.store.set_outage(true);
    let is_old = |node: &Node| node.context.store_copy_age(Instant::now()) > Some(REST);
    wait("no answer of the store", || platform.nodes().all(is_old)).expect("in time");
}

/// Guards against a node that denies a replacement that it runs or has run, or whose end it does not
/// know; one that knows another primary; and one that the asker does not know.
#[test]
fn a_node_confirms_only_what_it_can_know() {
    let platform = start(PlatformOptions::default());
    let node = context(&platform, 0);
    let listed = node.listed_node_names();
    let term = node.statuses.highest_led_term(&group());
    assert!(confirms(node, &listed, term));
    assert!(!confirms(node, &listed[1..], term), "the asker does not know a node");
    let elsewhere = GroupName::new("elsewhere");
    node.replacement_checks.attempts().begin(&elsewhere);
    assert!(confirms(node, &listed, term), "the attempt is for another group");
    node.replacement_checks.attempts().begin(&group());
    assert!(!confirms(node, &listed, term), "an attempt runs");
    begin_outage(&platform);
    node.replacement_checks.attempts().end_all(Instant::now());
    assert!(!confirms(node, &listed, term), "its end is in no copy of the store");
    platform.store.set_outage(false);
    wait("a copy after its end", || confirms(node, &listed, term)).expect("in time");
    begin_outage(&platform);
    node.replacements.on_reported(&group(), intent(), Duration::ZERO, Instant::now());
    assert!(!confirms(node, &listed, term), "a coordinator has announced a replacement");
    platform.store.set_outage(false);
    wait("the store shows that it has ended", || confirms(node, &listed, term)).expect("in time");
    node.statuses.on_led(&group(), Term(term.0 + 1));
    assert!(!confirms(node, &listed, term), "another primary has led");
    assert!(confirms(node, &listed, Term(term.0 + 1)), "the asker knows it");
}

/// Guards against a process that denies the intent of its predecessor, which it has not read yet.
#[test]
fn a_node_without_a_copy_of_the_store_confirms_nothing() {
    let mut platform = start(PlatformOptions::default());
    platform.kill_node(1);
    platform.store.set_outage(true);
    platform.restart_node(1).expect("it starts");
    let (other, node) = (context(&platform, 0), context(&platform, 1));
    node.listed_nodes.store(other.listed_nodes.load().to_vec());
    let (listed, term) = (other.listed_node_names(), other.statuses.highest_led_term(&group()));
    assert!(confirms(other, &listed, term));
    assert!(!confirms(node, &listed, term));
}

/// Guards against a node without reads because an instance that crashed as the primary is still
/// listed: it counts in the group and cannot report, so the present primary has to be asked, whose
/// report joins that of the replica. Nobody makes a replacement check meanwhile.
#[test]
fn reads_are_served_beside_a_dead_former_primary_without_the_store_and_other_nodes() {
    let mut platform = start(PlatformOptions::default());
    let group = &platform.groups[0];
    let former = group.primary().expect("a primary");
    let number = owner(&platform);
    let mut session = open(&platform, number);
    group.kill(&former);
    wait("another primary leads", || {
        let _ = write(&mut session);
        group.primary().is_some_and(|now| now != former)
    })
    .expect("in time");
    wait("a write is answered", || write(&mut session).is_success()).expect("in time");
    platform.store.set_outage(true);
    (0..NODES).filter(|other| *other != number).for_each(|other| platform.kill_node(other));
    for _ in 0..3 {
        std::thread::sleep(REST);
        let answer = session.run("READ thing").expect("an answer");
        assert!(answer.is_success(), "{:?}", answer.outcome);
    }
}
