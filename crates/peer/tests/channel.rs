//! Authenticated streams: the handshake, key rotation, and rejection of tampered frames.

use bytes::{Bytes, BytesMut};
use kestrellock_core::ids::NodeName;
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_peer::channel::{Channel, ChannelError, Hello, MAX_HANDSHAKE_BYTES, Side};
use kestrellock_peer::frame;
use kestrellock_peer::message::{HIGHEST_PROTOCOL_VERSION, PROTOCOL_VERSION};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::{Deserialize, Serialize};

const OLD: &[u8] = b"the key before the rotation";
const NEW: &[u8] = b"the key after the rotation";

fn hello(node: &str, nonce: u8) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        cluster: "c".into(),
        node: NodeName::new(node),
        incarnation: 1,
        shard: 0,
        shards: 1,
        nonce: [nonce; 16],
        replaces: None,
        highest_version: Some(HIGHEST_PROTOCOL_VERSION),
    }
}

/// Both sides of a stream and the bytes in transit to each.
struct Pair {
    opener: Channel,
    acceptor: Channel,
    to_opener: BytesMut,
    to_acceptor: BytesMut,
}

impl Pair {
    fn new(opener: (Hello, &[&[u8]]), acceptor: (Hello, &[&[u8]])) -> Self {
        let keys =
            |keys: &[&[u8]]| ClusterKeys::new(keys.iter().copied()).expect("the keys are valid");
        let (mut to_opener, mut to_acceptor) = (BytesMut::new(), BytesMut::new());
        let opener = Channel::begin(Side::Opener, opener.0, keys(opener.1), &mut to_acceptor)
            .expect("the hello fits");
        let acceptor = Channel::begin(Side::Acceptor, acceptor.0, keys(acceptor.1), &mut to_opener)
            .expect("the hello fits");
        Self { opener, acceptor, to_opener, to_acceptor }
    }

    fn complete_handshake(&mut self) -> Result<(), ChannelError> {
        for _ in 0..3 {
            self.opener.advance(&mut self.to_opener, &mut self.to_acceptor)?;
            self.acceptor.advance(&mut self.to_acceptor, &mut self.to_opener)?;
        }
        Ok(())
    }

    fn established() -> Self {
        let mut pair = Self::new((hello("a", 1), &[OLD]), (hello("b", 2), &[OLD]));
        pair.complete_handshake().expect("the handshake succeeds");
        assert!(pair.opener.is_established() && pair.acceptor.is_established());
        pair
    }

    /// Frames that the opener sends, one for each message.
    fn frames(&mut self, messages: &[&[u8]]) -> Vec<Bytes> {
        let mut frames = Vec::new();
        for message in messages {
            let mut frame = BytesMut::new();
            self.opener
                .send(&Bytes::copy_from_slice(message), &mut frame)
                .expect("the message fits");
            frames.push(frame.freeze());
        }
        frames
    }

    fn deliver(&mut self, frame: &[u8]) -> Result<Option<Bytes>, ChannelError> {
        let mut input = BytesMut::from(frame);
        self.acceptor.receive(&mut input)
    }
}

#[test]
fn messages_are_delivered_in_both_directions() {
    let mut pair = Pair::established();
    assert_eq!(pair.acceptor.peer().map(|peer| peer.node.as_str()), Some("a"));
    let frames = pair.frames(&[b"one", b"two"]);
    assert_eq!(
        pair.deliver(&frames[0]).expect("the frame is authentic"),
        Some(Bytes::from_static(b"one"))
    );
    assert_eq!(
        pair.deliver(&frames[1]).expect("the frame is authentic"),
        Some(Bytes::from_static(b"two"))
    );
    let mut back = BytesMut::new();
    pair.acceptor.send(&7_u64, &mut back).expect("the message fits");
    assert_eq!(pair.opener.receive::<u64>(&mut back).expect("the frame is authentic"), Some(7));
}

#[test]
fn keys_can_be_rotated_without_an_interruption() {
    // Keys of the opener and of the acceptor, and whether the handshake succeeds.
    type Keys = &'static [&'static [u8]];
    let steps: [(Keys, Keys, bool); 4] = [
        (&[OLD], &[OLD, NEW], true),
        (&[OLD, NEW], &[NEW, OLD], true),
        (&[NEW, OLD], &[NEW], true),
        (&[NEW], &[OLD, NEW], false),
    ];
    for (opener, acceptor, succeeds) in steps {
        let mut pair = Pair::new((hello("a", 1), opener), (hello("b", 2), acceptor));
        let outcome = pair.complete_handshake();
        assert_eq!(outcome.is_ok(), succeeds, "{outcome:?}");
    }
}

#[test]
fn peers_with_another_key_cluster_or_version_are_rejected() {
    let other_cluster = Hello { cluster: "d".into(), ..hello("b", 2) };
    let other_version = Hello { version: PROTOCOL_VERSION + 1, ..hello("b", 2) };
    let cases: [(&str, Hello, &[u8]); 3] = [
        ("another key", hello("b", 2), NEW),
        ("another cluster", other_cluster, OLD),
        ("another version", other_version, OLD),
    ];
    for (what, other_hello, key) in cases {
        let mut pair = Pair::new((hello("a", 1), &[OLD]), (other_hello, &[key]));
        assert!(pair.complete_handshake().is_err(), "{what}");
        assert!(!pair.opener.is_established(), "{what}");
    }
}

/// The hello of a build that does not know the highest version. It decodes the hello of a newer
/// node and encodes what it decoded into the transcript.
#[derive(Serialize, Deserialize)]
struct HelloOfVersion7 {
    version: u16,
    cluster: String,
    node: NodeName,
    incarnation: u64,
    shard: u16,
    shards: u16,
    nonce: [u8; 16],
    #[serde(default, skip_serializing_if = "Option::is_none")]
    replaces: Option<[u8; 16]>,
}

fn hello_of_version_7(node: &str, nonce: u8) -> Hello {
    Hello { highest_version: None, ..hello(node, nonce) }
}

/// Removes the first frame from `bytes` and returns its body.
fn take_frame(bytes: &mut BytesMut) -> Bytes {
    let frame = frame_of(bytes);
    let _ = bytes.split_to(frame.len());
    frame.slice(4..)
}

fn frame_of(bytes: &BytesMut) -> Bytes {
    let length = u32::from_be_bytes(bytes[..4].try_into().expect("a length")) as usize;
    Bytes::copy_from_slice(&bytes[..4 + length])
}

/// Decodes the first frame as a hello, changes it, and puts it back in front.
fn change_hello(bytes: &mut BytesMut, change: impl FnOnce(&mut Hello)) {
    let body = take_frame(bytes);
    let mut hello: Hello = ciborium::from_reader(&body[..]).expect("a hello");
    change(&mut hello);
    let mut changed = BytesMut::new();
    frame::encode(&hello, &mut changed).expect("the hello fits");
    changed.extend_from_slice(bytes);
    *bytes = changed;
}

/// During an upgrade, nodes of both builds connect to each other in both roles. A transcript with a
/// field that the older node drops would have another tag on each side.
#[test]
fn nodes_of_both_versions_use_the_highest_common_version() {
    let newer = Hello { highest_version: Some(HIGHEST_PROTOCOL_VERSION + 1), ..hello("b", 2) };
    let cases = [
        (hello("a", 1), hello("b", 2), HIGHEST_PROTOCOL_VERSION),
        (hello("a", 1), hello_of_version_7("b", 2), PROTOCOL_VERSION),
        (hello_of_version_7("a", 1), hello("b", 2), PROTOCOL_VERSION),
        (hello_of_version_7("a", 1), hello_of_version_7("b", 2), PROTOCOL_VERSION),
        (hello("a", 1), Hello { highest_version: Some(8), ..hello("b", 2) }, 8),
        (hello("a", 1), newer, HIGHEST_PROTOCOL_VERSION),
        (hello("a", 1), Hello { highest_version: Some(3), ..hello("b", 2) }, PROTOCOL_VERSION),
    ];
    for (opener, acceptor, version) in cases {
        let mut pair = Pair::new((opener, &[OLD]), (acceptor, &[OLD]));
        assert_eq!(pair.opener.version(), None, "not authenticated yet");
        pair.complete_handshake().expect("the handshake succeeds");
        assert_eq!(pair.opener.version(), Some(version));
        assert_eq!(pair.acceptor.version(), Some(version));
        pair.opener.send(&7_u64, &mut pair.to_acceptor).expect("the message fits");
        let received = pair.acceptor.receive::<u64>(&mut pair.to_acceptor);
        assert_eq!(received.expect("the frame is authentic"), Some(7));
    }
}

/// The older build must decode the new hello, and what it encodes again must be the hello without
/// the field, as the newer build puts it into its transcript.
#[test]
fn an_older_build_encodes_a_new_hello_without_the_new_field() {
    let pair = Pair::new((hello("a", 1), &[OLD]), (hello("b", 2), &[OLD]));
    let sent = take_frame(&mut pair.to_acceptor.clone());
    let known: HelloOfVersion7 =
        ciborium::from_reader(&sent[..]).expect("an older build decodes it");
    let (mut by_older, mut by_newer) = (BytesMut::new(), BytesMut::new());
    frame::encode(&known, &mut by_older).expect("the hello fits");
    let stripped = Hello { highest_version: None, ..pair.opener.own().clone() };
    frame::encode(&stripped, &mut by_newer).expect("the hello fits");
    assert_eq!(by_older, by_newer);
}

/// An attacker on the network must not be able to choose the version, neither by another number nor
/// by passing a node off as an older one.
#[test]
fn a_changed_added_or_removed_version_is_detected() {
    /// The nodes, and the highest versions that replace theirs on the way: the opener's, the
    /// acceptor's.
    struct Case(&'static str, Hello, Hello, [Option<u16>; 2]);
    let (a, b, old_a) = (hello("a", 1), hello("b", 2), hello_of_version_7("a", 1));
    let cases = [
        Case("lowered", a.clone(), b.clone(), [Some(7), Some(8)]),
        Case("raised", a.clone(), b.clone(), [Some(8), Some(9)]),
        Case("removed from the opener's hello", a.clone(), b.clone(), [None, Some(8)]),
        Case("removed from the acceptor's hello", a.clone(), b.clone(), [Some(8), None]),
        Case("removed from both hellos", a, b.clone(), [None, None]),
        Case("added to an older node's hello", old_a, b, [Some(8), Some(8)]),
    ];
    for Case(what, opener, acceptor, [to_acceptor, to_opener]) in cases {
        let mut pair = Pair::new((opener, &[OLD]), (acceptor, &[OLD]));
        change_hello(&mut pair.to_acceptor, |hello| hello.highest_version = to_acceptor);
        change_hello(&mut pair.to_opener, |hello| hello.highest_version = to_opener);
        assert!(pair.complete_handshake().is_err(), "{what}");
        let established = pair.opener.is_established() && pair.acceptor.is_established();
        assert!(!established, "{what}");
    }
}

#[test]
fn nothing_is_sent_or_received_before_the_handshake() {
    let mut pair = Pair::new((hello("a", 1), &[OLD]), (hello("b", 2), &[OLD]));
    let mut buffer = BytesMut::new();
    assert!(matches!(pair.opener.send(&1_u8, &mut buffer), Err(ChannelError::NotEstablished)));
    assert!(buffer.is_empty());
    let received = pair.opener.receive::<u8>(&mut buffer);
    assert!(matches!(received, Err(ChannelError::NotEstablished)));
    let mut huge = BytesMut::from(&(MAX_HANDSHAKE_BYTES as u32 + 1).to_be_bytes()[..]);
    assert!(pair.opener.advance(&mut huge, &mut BytesMut::new()).is_err());
}

#[test]
fn dropped_repeated_reflected_and_moved_frames_are_rejected() {
    let mut pair = Pair::established();
    let frames = pair.frames(&[b"one", b"two"]);
    assert!(pair.deliver(&frames[1]).is_err(), "the first frame was dropped");

    let mut pair = Pair::established();
    let frames = pair.frames(&[b"one"]);
    assert!(pair.deliver(&frames[0]).is_ok());
    assert!(pair.deliver(&frames[0]).is_err(), "repeated");

    let mut pair = Pair::established();
    let frames = pair.frames(&[b"one"]);
    let mut reflected = BytesMut::from(&frames[0][..]);
    assert!(pair.opener.receive::<Bytes>(&mut reflected).is_err(), "sent back to its sender");

    let mut other = Pair::new((hello("a", 3), &[OLD]), (hello("b", 2), &[OLD]));
    other.complete_handshake().expect("the handshake succeeds");
    assert!(other.deliver(&frames[0]).is_err(), "moved to another connection");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_flipped_bit_is_detected(position in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let mut pair = Pair::established();
        let mut frame = pair.frames(&[b"a statement"])[0].to_vec();
        let index = position.index(frame.len());
        frame[index] ^= 1 << bit;
        // A larger length makes the frame incomplete; every other change is an error.
        prop_assert!(!matches!(pair.deliver(&frame), Ok(Some(_))));
    }

    #[test]
    fn arbitrary_bytes_neither_establish_a_stream_nor_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..600),
        established in any::<bool>(),
    ) {
        if established {
            let outcome = Pair::established().deliver(&bytes);
            prop_assert!(!matches!(outcome, Ok(Some(_))));
        } else {
            let mut pair = Pair::new((hello("a", 1), &[OLD]), (hello("b", 2), &[OLD]));
            let mut input = BytesMut::from(&bytes[..]);
            let _ = pair.acceptor.advance(&mut input, &mut BytesMut::new());
            prop_assert!(!pair.acceptor.is_established());
        }
    }
}
