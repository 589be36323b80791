//! What a front answers a client whose write it has sent several times, each time to be refused.

mod support;

use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Catalog, Elector, IndexedCatalog};
use kestrellock_core::ids::{GroupName, LeaseId, ZoneName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::rendezvous::Candidate;
use kestrellock_daemon::context::NodeContext;
use kestrellock_daemon::event::{Io, Outgoing};
use kestrellock_daemon::front::Front;
use kestrellock_daemon::shared::live::LiveNode;
use kestrellock_peer::message::{GatewayCall, LeaseEvent, ToFront, ToGateway};
use mio::Poll;
use support::lines::{LineClient, LineNode, login_line};
use support::wait_until;

/// Longer than a front waits between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The shared state of a node that owns every instance, and whose threads do not run, so that only
/// the test changes it.
fn context() -> Arc<NodeContext> {
    let mut line_node = LineNode::start(|_| {});
    let context = line_node.node().context.clone();
    wait_until("a configuration", || !context.catalog.load().groups.is_empty());
    line_node.node.take().expect("it runs").kill();
    let mut catalog = Catalog::clone(&context.catalog.load());
    let group = catalog.groups.get_mut(&GroupName::new("g")).expect("the group");
    group.elector = Elector::Proxy;
    context.catalog.store(IndexedCatalog::new(catalog));
    let node = context.identity.node.clone();
    let candidate = Candidate { node, zone: ZoneName::new("a"), link_mbps: 0 };
    let peer_address = ([127, 0, 0, 1], 1).into();
    context.live.store(vec![LiveNode { candidate, peer_address, accepts_work: true }]);
    context
}

/// A front with one client, whose gateway is the test.
struct World {
    context: Arc<NodeContext>,
    front: Front,
    poll: Poll,
    now: Instant,
    client: LineClient,
}

impl World {
    /// Sends a write of a client that has logged in.
    fn start() -> Self {
        let context = context();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let client = LineClient::of(TcpStream::connect(address).expect("a connection"));
        let (stream, _) = listener.accept().expect("it is accepted");
        let front = Front::new(context.identity.clone(), 0);
        let poll = Poll::new().expect("an event loop");
        let mut world = Self { context, front, poll, now: Instant::now(), client };
        world.run(|front, io| front.accept(stream, io));
        world.client.send_bytes(login_line("db").as_bytes());
        world.client.send("QUERY 1 WRITE row data");
        world
    }

    /// The leases on which `work` has exchanges sent.
    fn run(&mut self, work: impl FnOnce(&mut Front, &mut Io)) -> Vec<LeaseId> {
        let mut outbox = VecDeque::new();
        let (registry, context) = (self.poll.registry(), self.context.as_ref());
        let mut io = Io { registry, now: self.now, outbox: &mut outbox, context, shard: 0 };
        work(&mut self.front, &mut io);
        let lease_of = |outgoing| match outgoing {
            Outgoing::Gateway {
                message: ToGateway { call: GatewayCall::Exchange(exchange), .. },
                ..
            } => Some(exchange.lease),
            _ => None,
        };
        outbox.into_iter().filter_map(lease_of).collect()
    }

    /// The lease of the first attempt.
    fn first_attempt(&mut self) -> LeaseId {
        let mut sent = Vec::new();
        wait_until("the write at the gateway", || {
            sent = self.run(|front, io| front.on_ready(0, io));
            !sent.is_empty()
        });
        sent.remove(0)
    }

    /// The lease of the next attempt.
    fn next_attempt(&mut self) -> LeaseId {
        self.now += RETRY_DELAY;
        let sent = self.run(|front, io| front.on_tick(io));
        sent.into_iter().next().expect("it is sent again")
    }

    fn refuse(&mut self, lease: LeaseId, code: ResultCode) {
        let event = LeaseEvent::Refused(Refusal::new(code, "refused"));
        self.run(|front, io| front.on_message(ToFront::Lease { lease, sequence: 0, event }, io));
    }

    /// The first error that the client receives.
    fn error(&mut self) -> String {
        loop {
            let line = self.client.line().expect("a line");
            if line.starts_with("ERROR") {
                return line;
            }
        }
    }
}

/// Guards against an answer that depends on the moment: a write that a replica had refused was
/// reported as never sent if its deadline passed at the gateway, and for want of a primary if it
/// passed anywhere else.
#[test]
fn a_write_that_was_refused_by_a_replica_ends_for_want_of_a_primary_wherever_its_deadline_passes() {
    let cases = [
        (ResultCode::NotPrimary, "KL1302"),
        // It has reached no instance.
        (ResultCode::NotSent, "KL1403"),
    ];
    for (first, expected) in cases {
        let mut world = World::start();
        let lease = world.first_attempt();
        world.refuse(lease, first);
        let lease = world.next_attempt();
        world.refuse(lease, ResultCode::DeadlineBeforeSend);
        let error = world.error();
        assert!(error.contains(expected), "after {first:?}: {error}");
    }
}

/// Guards against a refusal that counts for the session's next write.
#[test]
fn the_refusal_of_an_earlier_write_does_not_count() {
    let mut world = World::start();
    let lease = world.first_attempt();
    world.refuse(lease, ResultCode::NotPrimary);
    let lease = world.next_attempt();
    world.refuse(lease, ResultCode::Overloaded);
    assert!(world.error().contains("KL1401"));
    world.client.send("QUERY 2 WRITE row data");
    let lease = world.first_attempt();
    world.refuse(lease, ResultCode::DeadlineBeforeSend);
    assert!(world.error().contains("KL1403"));
}
