//! Datagrams: what is refused and why, and that every message of membership fits into one.

use std::net::SocketAddr;
use std::time::Duration;

use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::membership::message::{BUCKET_COUNT, MAX_DATAGRAM_BYTES};
use kestrellock_core::membership::{
    Body, Contact, Health, Incarnation, MemberRecord, Membership, Message, Outgoing, Timing, Update,
};
use kestrellock_peer::auth::{ClusterKeys, Key, KeyError};
use kestrellock_peer::datagram::{DatagramCodec, DatagramError, MAX_NAME_BYTES};
use kestrellock_peer::replay::{MAX_SENDERS, ReplayError, ReplayGuard, WINDOW};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Duration = Duration::from_secs(1);
const OLD: &[u8] = b"the key before the rotation";
const NEW: &[u8] = b"the key after the rotation";

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn codec(node: &str, keys: &[&[u8]], cluster: &str) -> DatagramCodec {
    let keys = ClusterKeys::new(keys.iter().copied()).expect("valid keys");
    DatagramCodec::new(keys, cluster, NodeName::new(node))
}

fn record(node: &str, process: u64) -> MemberRecord {
    let address = SocketAddr::from(([127, 200, 200, 200], 65000));
    MemberRecord {
        node: NodeName::new(node),
        zone: ZoneName::new("zone"),
        peer_address: address,
        admin_address: address,
        incarnation: Incarnation { process, refutation: 0 },
        health: Health::Alive,
        leaving: false,
        revision: Revision(3),
        link_mbps: 200,
    }
}

fn ping(from: &str, process: u64, to: &str, to_process: Option<u64>) -> Outgoing {
    let sender = record(from, process);
    let to = Contact { node: NodeName::new(to), address: sender.peer_address, process: to_process };
    Outgoing { to, message: Message { sender, body: Body::Ping { number: 1 }, updates: vec![] } }
}

#[test]
fn what_is_accepted_and_what_is_refused() {
    type Outcome = Result<(), DatagramError>;
    type Case = (&'static str, &'static [&'static [u8]], &'static str, Outgoing, Outcome);
    let other_receiver = || Err(DatagramError::OtherReceiver);
    let cases: [Case; 7] = [
        ("same key", &[OLD], "c", ping("a", 1, "b", Some(9)), Ok(())),
        ("first contact", &[OLD], "c", ping("a", 1, "b", None), Ok(())),
        ("signed with the first key", &[OLD, NEW], "c", ping("a", 1, "b", Some(9)), Ok(())),
        ("foreign key", &[NEW], "c", ping("a", 1, "b", Some(9)), Err(DatagramError::Tag)),
        ("other cluster", &[OLD], "d", ping("a", 1, "b", None), Err(DatagramError::OtherCluster)),
        ("other node", &[OLD], "c", ping("a", 1, "x", None), other_receiver()),
        ("other process", &[OLD], "c", ping("a", 1, "b", Some(8)), other_receiver()),
    ];
    for (what, sender_keys, cluster, outgoing, expected) in cases {
        let bytes = codec("a", sender_keys, cluster).seal(&outgoing).expect("it fits");
        let opened = codec("b", &[OLD], "c").open(&bytes, 9, NOW).map(|_| ());
        assert_eq!(opened, expected, "{what}");
    }
}

#[test]
fn both_keys_are_accepted_while_one_is_replaced() {
    let mut receiver = codec("b", &[NEW, OLD], "c");
    for (sender, key) in [("a", OLD), ("e", NEW)] {
        let bytes = codec(sender, &[key], "c").seal(&ping(sender, 1, "b", None)).expect("it fits");
        assert!(receiver.open(&bytes, 9, NOW).is_ok(), "{sender}");
    }
}

#[test]
fn repeated_datagrams_and_those_of_an_older_process_are_refused() {
    let mut sender = codec("a", &[OLD], "c");
    let mut receiver = codec("b", &[OLD], "c");
    let first = sender.seal(&ping("a", 5, "b", None)).expect("it fits");
    let second = sender.seal(&ping("a", 5, "b", None)).expect("it fits");
    assert!(receiver.open(&second, 9, NOW).is_ok());
    assert!(receiver.open(&first, 9, NOW).is_ok(), "order does not matter");
    assert_eq!(receiver.open(&first, 9, NOW), Err(DatagramError::Repeated));
    let restarted = codec("a", &[OLD], "c").seal(&ping("a", 6, "b", None)).expect("it fits");
    assert!(receiver.open(&restarted, 9, NOW).is_ok());
    let outdated = receiver.open(&second, 9, NOW);
    assert_eq!(outdated, Err(DatagramError::OldProcess(Box::new(record("a", 5)))));
}

#[test]
fn keys_that_are_short_or_too_many_are_refused() {
    let refusal = |keys: &[&[u8]]| ClusterKeys::new(keys.iter().copied()).map(|_| ()).unwrap_err();
    assert_eq!(refusal(&[]), KeyError::Count(0));
    assert_eq!(refusal(&[b"short"]), KeyError::Short(5));
    assert_eq!(refusal(&[OLD, NEW, OLD]), KeyError::Count(3));
}

#[test]
fn the_replay_guard_remembers_a_bounded_number_of_senders() {
    let mut guard = ReplayGuard::default();
    for sender in 0..=MAX_SENDERS as u64 {
        let name = NodeName::new(format!("node-{sender}"));
        assert!(guard.check(&name, 1, 1, NOW + Duration::from_secs(sender)).is_ok());
    }
    let late = NOW + Duration::from_secs(MAX_SENDERS as u64 + 1);
    let kept = guard.check(&NodeName::new("node-9"), 1, 1, late);
    assert_eq!(kept, Err(ReplayError::Repeated));
    assert!(guard.check(&NodeName::new("node-0"), 1, 1, late).is_ok(), "the oldest was forgotten");
}

/// A record whose every part takes as many bytes as it may.
fn large_record(number: u64, name_bytes: usize, wide: bool) -> MemberRecord {
    let digits = format!("{number:0>name_bytes$}");
    let mut record = record(&digits[digits.len() - name_bytes..], u64::MAX - 9);
    record.zone = ZoneName::new("z".repeat(name_bytes));
    record.incarnation.refutation = u32::MAX - 9;
    record.revision = Revision(u64::MAX);
    if wide {
        let address = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535";
        record.peer_address = address.parse().expect("an address");
        record.admin_address = record.peer_address;
    }
    record
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn arbitrary_bytes_are_refused_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..1500),
        valid_header in any::<bool>(),
    ) {
        let mut bytes = bytes;
        if valid_header {
            let real = codec("a", &[OLD], "c").seal(&ping("a", 1, "b", None)).expect("it fits");
            let replaced = 5.min(bytes.len());
            bytes.splice(0..replaced, real[..5].iter().copied());
        }
        prop_assert!(codec("b", &[OLD], "c").open(&bytes, 9, NOW).is_err());
    }

    #[test]
    fn a_changed_bit_is_noticed(position in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let mut bytes = codec("a", &[OLD], "c").seal(&ping("a", 1, "b", None)).expect("it fits");
        let index = position.index(bytes.len());
        bytes[index] ^= 1 << bit;
        prop_assert!(codec("b", &[OLD], "c").open(&bytes, 9, NOW).is_err());
    }

    /// A body that a holder of the key made but that is no message.
    #[test]
    fn malformed_bodies_of_key_holders_are_refused(
        body in prop::collection::vec(any::<u8>(), 1..300),
    ) {
        let real = codec("a", &[OLD], "c").seal(&ping("a", 1, "b", None)).expect("it fits");
        let header = &real[..5];
        let tag = Key::new(OLD).sign(&[b"kestrellock datagram", header, &body]);
        let bytes = [header, &tag, &body].concat();
        let opened = codec("b", &[OLD], "c").open(&bytes, 9, NOW);
        prop_assert_eq!(opened, Err(DatagramError::Malformed));
    }

    /// Each sequence number in the window is accepted exactly once.
    #[test]
    fn the_replay_window_accepts_each_number_once(
        numbers in prop::collection::vec(1_u64..3 * WINDOW, 1..400),
    ) {
        let mut guard = ReplayGuard::default();
        let mut accepted = std::collections::BTreeSet::new();
        let mut highest = 0;
        for number in numbers {
            let outcome = guard.check(&NodeName::new("a"), 1, number, NOW);
            let in_window = number > highest || highest - number < WINDOW;
            prop_assert_eq!(outcome.is_ok(), in_window && accepted.insert(number));
            highest = highest.max(number);
        }
    }
}

proptest! {
    #![proptest_config(config(32))]

    /// However many members there are and however long their names, nothing exceeds a datagram.
    #[test]
    fn every_message_fits_into_one_datagram(
        name_bytes in 4_usize..=MAX_NAME_BYTES,
        members in 0_u64..200,
        seed in any::<u64>(),
        wide in any::<bool>(),
    ) {
        let mut state = seed;
        let mut random = move || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            state >> 11
        };
        let large = |number| large_record(number, name_bytes, wide);
        let own = MemberRecord { node: NodeName::new("o".repeat(name_bytes)), ..large(0) };
        let mut sender = codec(own.node.as_str(), &[OLD], "c");
        let mut membership = Membership::new(own, Timing::default(), vec![], NOW, &mut random);
        let mut now = NOW;
        for member in 1..=members {
            let hashes = vec![u32::MAX; BUCKET_COUNT];
            let updates = vec![Update::Full(large(member + 1000))];
            let body = Body::SyncRequest { hashes, wants_return: true };
            let message = Message { sender: large(member), body, updates };
            membership.on_message(message, now, &mut random);
            now += Duration::from_millis(100);
            membership.on_tick(now, &mut random);
            for outgoing in membership.take_outgoing() {
                let sealed = sender.seal(&outgoing);
                prop_assert!(sealed.is_ok(), "{:?}", sealed.map(|bytes| bytes.len()));
            }
        }
        prop_assert!(MAX_DATAGRAM_BYTES <= 1400);
    }
}
