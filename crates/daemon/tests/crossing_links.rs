//! Two nodes that open a connection to each other at the same moment must keep the same one.
//!
//! Both connections complete their handshake at both ends, but each end may see them in a different
//! order. An end that takes the later one for a replacement of the earlier one may keep a different
//! connection than the other end, and then reads nothing on the one that its peer sends on. Work
//! between the two nodes waits until the heartbeat finds the connection silent after 300 ms, and is
//! then sent to other nodes. The log shows `link_replaced` with `received=0` at both ends, followed
//! by `link_unheard` and `peer_silent`.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_daemon::links::duplicates::LinkInfo;

const HANDSHAKE: Duration = Duration::from_millis(500);

fn link_info(id: u8, opener: &str, opened_at: Instant) -> LinkInfo {
    LinkInfo { id: [id; 16], opener: NodeName::new(opener), replaces: None, opened_at }
}

/// The connection that an end keeps if the handshakes complete there in this order.
fn kept(order: [&LinkInfo; 2]) -> &LinkInfo {
    let [first, second] = order;
    if second.resolve_duplicate(first, HANDSHAKE).keeps_newer() { second } else { first }
}

#[test]
fn both_ends_keep_the_same_of_two_crossing_connections() {
    let start = Instant::now();
    for apart_ms in [0, 3, 40, 300] {
        let opened_by_a = link_info(1, "a", start + Duration::from_millis(apart_ms));
        let opened_by_b = link_info(2, "b", start);
        for order in [[&opened_by_a, &opened_by_b], [&opened_by_b, &opened_by_a]] {
            assert_eq!(kept(order), &opened_by_a, "{apart_ms} ms apart, {order:?}");
            assert!(!order[1].resolve_duplicate(order[0], HANDSHAKE).replaces_silent());
        }
    }
}

/// A node whose connection is silent opens a new one, which must be used regardless of which node
/// opened the silent one.
#[test]
fn a_replacement_for_a_silent_connection_is_kept() {
    let start = Instant::now();
    for (opener, other) in [("a", "b"), ("b", "a"), ("a", "a")] {
        let retired = link_info(1, opener, start);
        let opened_at = start + Duration::from_millis(310);
        let replacing = LinkInfo { replaces: Some(retired.id), ..link_info(2, other, opened_at) };
        assert_eq!(kept([&retired, &replacing]), &replacing);
        assert!(replacing.resolve_duplicate(&retired, HANDSHAKE).replaces_silent());
        // The other end may see them in the opposite order.
        assert_eq!(kept([&replacing, &retired]), &replacing);
    }
}

/// Both ends have retired the same connection, and each opens a new one.
#[test]
fn both_ends_keep_the_same_of_two_crossing_replacements() {
    let start = Instant::now();
    let retired = link_info(1, "a", start);
    let opened_at = start + Duration::from_millis(310);
    let opened_by_a = LinkInfo { replaces: Some(retired.id), ..link_info(2, "a", opened_at) };
    let opened_by_b = LinkInfo { replaces: Some(retired.id), ..link_info(3, "b", opened_at) };
    assert_eq!(kept([&opened_by_a, &opened_by_b]), &opened_by_a);
    assert_eq!(kept([&opened_by_b, &opened_by_a]), &opened_by_a);
}

/// The first connection broke without this end noticing; the other node opens a new one much later.
#[test]
fn a_connection_opened_long_after_another_replaces_it() {
    let start = Instant::now();
    let old = link_info(1, "a", start);
    let new = link_info(2, "b", start + Duration::from_secs(20));
    assert_eq!(kept([&old, &new]), &new);
    assert!(!new.resolve_duplicate(&old, HANDSHAKE).replaces_silent());
}

/// A node opens a second connection only if it cannot use the first. Under load, it may have
/// abandoned the first before its own handshake completed, although the other end's had.
#[test]
fn a_second_connection_of_the_same_opener_replaces_the_first() {
    let start = Instant::now();
    let first = link_info(1, "b", start);
    let second = link_info(2, "b", start + Duration::from_millis(5));
    assert_eq!(kept([&first, &second]), &second);
    assert!(!second.resolve_duplicate(&first, HANDSHAKE).replaces_silent());
}
