//! Connections that go silent for good, without a reset, while new ones work: between nodes and to
//! the store.

use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_daemon::metrics::ConnectionEvent;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{
    GROUPS, Platform, PlatformOptions, database, node_relay_zone, store_relay_zone, wait,
};
use kestrellock_lab::standin::network::links::SilencedDirection;
use kestrellock_net::source::SourceAddress;
use kestrellock_platform::keys::{Freshness, KeyStore};

/// Twice the owners of a group, so that some nodes forward.
const NODES: usize = 6;
/// Connections of an instance: as many as make three owners of a group.
const CONNECTIONS: usize = 16;
const WAYS: [SilencedDirection; 3] =
    [SilencedDirection::ToTarget, SilencedDirection::FromTarget, SilencedDirection::Both];
/// Limit of one call to the store; any will do that an answer on loopback keeps.
const CALL_LIMIT: Duration = Duration::from_millis(400);
const CALLS_AT_ONCE: usize = 6;

fn start() -> Platform {
    let options = PlatformOptions {
        nodes: NODES,
        max_connections: CONNECTIONS,
        relayed: true,
        ..PlatformOptions::default()
    };
    let platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn open_everywhere(platform: &Platform) -> Vec<LineSession> {
    let database = database(GROUPS[0], Consistency::Primary);
    let open = |node: usize| {
        LineSession::open(platform.client_addresses[node], &database, &format!("s{node}"))
            .expect("it opens")
    };
    (0..NODES).map(open).collect()
}

fn silence_links(platform: &Platform, way: SilencedDirection) {
    let network = platform.network.as_ref().expect("relays");
    (0..NODES).for_each(|node| network.silence_open_connections(&node_relay_zone(node), way));
}

fn replaced(platform: &Platform) -> u64 {
    platform
        .nodes()
        .map(|node| node.context.metrics.link_connections.get(ConnectionEvent::Silent))
        .sum()
}

#[test]
fn writes_succeed_once_each_when_links_between_nodes_go_silent() {
    for way in WAYS {
        let platform = start();
        let mut sessions = open_everywhere(&platform);
        for session in &mut sessions {
            assert!(session.run("WRITE seat free").expect("an answer").is_success());
        }
        silence_links(&platform, way);
        let mut ids = Vec::new();
        for session in &mut sessions {
            ids.push(session.next_statement_id());
            session.send_statement("WRITE seat taken").expect("it is sent");
        }
        for (session, id) in sessions.iter_mut().zip(&ids) {
            let answer = session.read_answer().expect("an answer");
            assert!(answer.is_success(), "{way:?}: {id}: {answer:?}");
        }
        let runs = platform.groups[0].executed_statements();
        for id in ids {
            let times = runs.iter().filter(|run| run.id == id).count();
            assert_eq!(times, 1, "{way:?}: {id}");
        }
        assert!(replaced(&platform) > 0, "{way:?}: some link carried a statement");
    }
}

#[test]
fn a_transaction_under_way_over_a_silent_link_commits_or_is_said_to_be_lost() {
    for way in WAYS {
        let platform = start();
        let mut sessions = open_everywhere(&platform);
        for (number, session) in sessions.iter_mut().enumerate() {
            assert!(session.run("BEGIN").expect("an answer").is_success());
            let written = session.run(&format!("WRITE place{number} taken")).expect("an answer");
            assert!(written.is_success());
        }
        silence_links(&platform, way);
        let committed: Vec<bool> = sessions
            .iter_mut()
            .map(|session| {
                let answer = session.run("COMMIT").expect("an answer");
                let lost = answer.error_code() == Some("ABORTED");
                assert!(answer.is_success() || lost, "{way:?}: {answer:?}");
                answer.is_success()
            })
            .collect();
        let mut reader = open_everywhere(&platform).remove(0);
        for (number, committed) in committed.into_iter().enumerate() {
            let rows = reader.run(&format!("READ place{number}")).expect("an answer").rows;
            assert_eq!(rows == ["taken"], committed, "{way:?}: place{number}");
        }
    }
}

#[test]
fn links_that_nobody_used_are_replaced_before_somebody_needs_them() {
    let platform = start();
    let mut sessions = open_everywhere(&platform);
    for session in &mut sessions {
        assert!(session.run("WRITE seat free").expect("an answer").is_success());
    }
    let links = |platform: &Platform| -> u64 {
        let open = |node: &kestrellock_daemon::node::Node| {
            let links = &node.context.metrics.link_connections;
            links.get(ConnectionEvent::Opened) - links.get(ConnectionEvent::Closed)
        };
        platform.nodes().map(open).sum()
    };
    let ends = links(&platform);
    silence_links(&platform, SilencedDirection::Both);
    // One statement over one dead link makes its node ask on its other ones; each of those that is
    // replaced does the same at its other end.
    for session in &mut sessions {
        assert!(session.run("WRITE seat taken").expect("an answer").is_success());
    }
    wait("every end is replaced", || replaced(&platform) >= ends).expect("in time");
}

#[test]
fn a_dead_connection_to_the_store_is_not_followed_by_the_next_dead_one() {
    let platform = start();
    let network = platform.network.as_ref().expect("relays");
    let exposed = network.expose_tcp(&store_relay_zone(), platform.store.address).expect("exposed");
    let store =
        KeyStore::new(&exposed.to_string(), SourceAddress::ANY).with_call_timeout(CALL_LIMIT);
    std::thread::scope(|scope| {
        for _ in 0..CALLS_AT_ONCE {
            scope.spawn(|| {
                // Waits, so that each call has a connection of its own.
                store.changes("nowhere", 0, CALL_LIMIT).expect("an answer")
            });
        }
    });
    network.silence_open_connections(&store_relay_zone(), SilencedDirection::Both);
    store.items("op", Freshness::Newest).expect_err("the connection is dead");
    store.items("op", Freshness::Newest).expect("a new connection");
}
