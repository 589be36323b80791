//! Nodes that the machine list does not name yet: whoever replaces a primary does not wait for their word, so they
//! take no primary's word alone.

use kestrellock_core::catalog::Consistency;
use kestrellock_daemon::metrics::ProbeEvent;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database};

/// A platform whose nodes have not heard that they are listed.
fn start_unlisted() -> Platform {
    let platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    forget_lists(&platform);
    platform
}

fn forget_lists(platform: &Platform) {
    platform.nodes().for_each(|node| node.context.listed_nodes.store(Vec::new()));
}

fn questions(platform: &Platform) -> u64 {
    platform.nodes().map(|node| node.context.metrics.probes.get(ProbeEvent::Answered)).sum()
}

/// Guards against acknowledged commits that the next primary lacks: replicas are asked before the caller is told.
#[test]
fn a_commit_at_a_node_that_is_not_listed_is_acknowledged_once_replicas_confirm_it() {
    let platform = start_unlisted();
    let name = database(GROUPS[0], Consistency::Primary);
    let mut session =
        LineSession::open(platform.client_addresses[0], &name, "w").expect("it opens");
    for number in 0..20 {
        forget_lists(&platform);
        let before = questions(&platform);
        let answer = session.run(&format!("WRITE thing {number}")).expect("an answer");
        assert!(answer.is_success(), "{:?}", answer.error_code());
        // A list that was read meanwhile ends the doubt.
        if platform.nodes().all(|node| node.context.listed_nodes.load().is_empty()) {
            // One that is slow to answer is not waited for: the store answers instead.
            assert!(questions(&platform) > before, "replicas are asked");
        }
    }
}

/// Guards against writes in doubt for as long as one replica is away: the store can say that nobody replaces the
/// primary.
#[test]
fn where_one_replica_is_away_the_store_confirms_what_the_other_says() {
    let platform = start_unlisted();
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let replica = group.instances().into_iter().find(|one| *one != primary).expect("a replica");
    group.kill(&replica);
    let name = database(GROUPS[0], Consistency::Primary);
    let mut session =
        LineSession::open(platform.client_addresses[0], &name, "w").expect("it opens");
    for number in 0..5 {
        forget_lists(&platform);
        let answer = session.run(&format!("WRITE thing {number}")).expect("an answer");
        assert!(answer.is_success(), "{:?}", answer.error_code());
    }
}
