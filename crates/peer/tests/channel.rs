//! Authenticated streams: the handshake, key rotation, and rejection of tampered frames.

use bytes::{Bytes, BytesMut};
use kestrellock_core::ids::NodeName;
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_peer::channel::{Channel, ChannelError, Hello, MAX_HANDSHAKE_BYTES, Side};
use kestrellock_peer::message::PROTOCOL_VERSION;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

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
