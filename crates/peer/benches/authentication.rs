//! Cost of authentication for frames of a stream and for datagrams.

use bytes::BytesMut;
use criterion::{Criterion, criterion_group, criterion_main};
use kestrellock_core::ids::NodeName;
use kestrellock_peer::auth::{ClusterKeys, Key};
use kestrellock_peer::channel::{Channel, Hello, Side};
use kestrellock_peer::frame;
use kestrellock_peer::message::{HIGHEST_PROTOCOL_VERSION, PROTOCOL_VERSION};

fn hello(node: &str) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        cluster: "bench".into(),
        node: NodeName::new(node),
        incarnation: 1,
        shard: 0,
        shards: 1,
        nonce: [7; 16],
        replaces: None,
        highest_version: Some(HIGHEST_PROTOCOL_VERSION),
    }
}

fn established_pair() -> (Channel, Channel) {
    let keys = ClusterKeys::new([b"a key of the bench".as_slice()]).expect("valid key");
    let (mut to_acceptor, mut to_opener) = (BytesMut::new(), BytesMut::new());
    let mut opener = Channel::begin(Side::Opener, hello("a"), keys.clone(), &mut to_acceptor)
        .expect("the hello fits into a frame");
    let mut acceptor = Channel::begin(Side::Acceptor, hello("b"), keys, &mut to_opener)
        .expect("the hello fits into a frame");
    for _ in 0..2 {
        opener.advance(&mut to_opener, &mut to_acceptor).expect("the handshake succeeds");
        acceptor.advance(&mut to_acceptor, &mut to_opener).expect("the handshake succeeds");
    }
    (opener, acceptor)
}

fn bench(criterion: &mut Criterion) {
    for size in [200_usize, 4096] {
        let body = bytes::Bytes::from(vec![5_u8; size]);
        criterion.bench_function(&format!("plain frame there and back, {size} B"), |bench| {
            let mut buffer = BytesMut::new();
            bench.iter(|| {
                frame::encode(&body, &mut buffer).expect("the message is encoded");
                frame::decode::<bytes::Bytes>(&mut buffer).expect("the message is decoded")
            });
        });
        criterion.bench_function(
            &format!("authenticated frame there and back, {size} B"),
            |bench| {
                let (mut opener, mut acceptor) = established_pair();
                let mut buffer = BytesMut::new();
                bench.iter(|| {
                    opener.send(&body, &mut buffer).expect("the message is encoded");
                    acceptor.receive::<bytes::Bytes>(&mut buffer).expect("the message is decoded")
                });
            },
        );
        criterion.bench_function(&format!("tag alone, {size} B"), |bench| {
            let key = Key::new(b"a key of the bench");
            bench.iter(|| key.sign(&[&body]));
        });
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
