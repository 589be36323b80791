//! What an owner of instances that stops tells the fronts of other nodes about exchanges that it has
//! not run.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::catalog::{Catalog, Group, IndexedCatalog};
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId, NodeName, TenantName, ZoneName};
use kestrellock_core::planned_stop::{StopLimits, StopSchedule};
use kestrellock_core::rendezvous::Candidate;
use kestrellock_core::routing::Access;
use kestrellock_daemon::context::NodeContext;
use kestrellock_daemon::event::{Io, Outgoing};
use kestrellock_daemon::gateway::Gateway;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use kestrellock_daemon::shared::live::LiveNode;
use kestrellock_daemon::shared::stage::Stage;
use kestrellock_peer::message::{
    Exchange, GatewayCall, LeaseEvent, Placement, PlacementRequirements, ToFront, ToGateway,
};
use mio::Poll;

const OWN: &str = "own";
const OTHER: &str = "other";
const FRONT: &str = "front";
const DEADLINE: Duration = Duration::from_secs(60);
const LIMITS: StopLimits =
    StopLimits { notice: Duration::ZERO, transactions: None, total: Duration::from_secs(10) };

/// The gateway of a node that owns every instance of a group. No instance runs, so that exchanges
/// wait.
struct Owner {
    context: Arc<NodeContext>,
    gateway: Gateway,
    poll: Poll,
    began: Instant,
    next_serial: u64,
}

fn live(name: &str, accepts_work: bool) -> LiveNode {
    let candidate = Candidate { node: NodeName::new(name), zone: ZoneName::new("z"), link_mbps: 0 };
    LiveNode { candidate, peer_address: SocketAddr::from(([127, 0, 0, 1], 1)), accepts_work }
}

fn catalog() -> IndexedCatalog {
    let text = "database = 'd'\nuser = 'u'\n[[instances]]\nname = 'i'\nzone = 'z'\n\
                address = '127.0.0.1:1'\nslots = 1\nconnections = 12";
    let group: Group = toml::from_str(text).expect("the group is valid");
    let mut catalog = Catalog::default();
    catalog.groups.insert(GroupName::new("g"), group);
    IndexedCatalog::new(catalog)
}

/// The shared state of a node whose threads do not run, so that only the test changes it.
fn context() -> Arc<NodeContext> {
    let mut settings = Settings::loopback(NodeName::new(OWN), ZoneName::new("z"));
    let listeners = Listeners::bind(&mut settings).expect("free ports");
    let group = support::scripted::ScriptedGroup::start();
    let store = support::store(&group, DEADLINE);
    let node = Node::start(&settings, listeners, store, Policy::Standard).expect("it starts");
    let context = node.context.clone();
    node.kill();
    context
}

fn lease(serial: u64) -> LeaseId {
    LeaseId { node: NodeName::new(FRONT), incarnation: 1, shard: 0, serial }
}

impl Owner {
    fn start() -> Self {
        let context = context();
        context.catalog.store(catalog());
        context.live.store(vec![live(OWN, true)]);
        let poll = Poll::new().expect("an event loop");
        let gateway = Gateway::default();
        Self { context, gateway, poll, began: Instant::now(), next_serial: 0 }
    }

    /// Another node can own the instances while this one leaves.
    fn add_other_owner(&self) {
        self.context.live.store(vec![live(OWN, true), live(OTHER, true)]);
    }

    /// The events for fronts that `work` causes at `now`.
    fn run(
        &mut self,
        now: Instant,
        work: impl FnOnce(&mut Gateway, &mut Io),
    ) -> Vec<(LeaseId, u32, LeaseEvent)> {
        let mut outbox = VecDeque::new();
        let (registry, context) = (self.poll.registry(), self.context.as_ref());
        work(&mut self.gateway, &mut Io { registry, now, outbox: &mut outbox, context, shard: 0 });
        let event_of = |outgoing| match outgoing {
            Outgoing::Front { message: ToFront::Lease { lease, sequence, event }, .. } => {
                Some((lease, sequence, event))
            }
            _ => None,
        };
        outbox.into_iter().filter_map(event_of).collect()
    }

    /// The first exchange of a lease of another node's front arrives `after` the start of the stop.
    fn receive(&mut self, placement: Placement, after: Duration) -> Vec<LeaseEvent> {
        let lease = lease(self.next_serial);
        self.next_serial += 1;
        let exchange = Exchange {
            lease: lease.clone(),
            number: 0,
            request: Some("request".to_owned()),
            placement,
            tenant: TenantName::new("t"),
            account: None,
            access: Access::PrimaryRead { bound: None },
            priority: kestrellock_core::catalog::Priority::default(),
            time_left: DEADLINE,
            statements: Vec::new(),
            settings: Vec::new(),
            taints: false,
            frames: Bytes::from_static(b"frames"),
            ready_expected: 1,
            may_commit: false,
            commits_write: false,
            required_lead: None,
        };
        let events = self.call(GatewayCall::Exchange(Box::new(exchange)), after);
        events.into_iter().map(|(_, _, event)| event).collect()
    }

    fn call(&mut self, call: GatewayCall, after: Duration) -> Vec<(LeaseId, u32, LeaseEvent)> {
        let group = GroupName::new("g");
        let message = ToGateway { from: NodeName::new(FRONT), group, call };
        self.run(self.began + after, |gateway, io| gateway.on_call(message, io))
    }

    fn tick(&mut self, after: Duration) -> Vec<LeaseEvent> {
        let now = self.began + after;
        let events = self.run(now, |gateway, io| gateway.on_tick(io));
        events.into_iter().map(|(_, _, event)| event).collect()
    }

    fn stop(&self) -> StopSchedule {
        let schedule = StopSchedule::new(self.began, LIMITS);
        self.context.stop.store(Some(schedule));
        self.context.stage.advance_to(Stage::Leaving);
        schedule
    }
}

fn at_instance() -> Placement {
    Placement::Instance(InstanceName::new("i"))
}

fn at_any_instance() -> Placement {
    Placement::Any(PlacementRequirements {
        waited: Duration::ZERO,
        staleness: Some(Duration::ZERO),
        excluded_instance: None,
    })
}

fn referral(owner: Option<&str>) -> Vec<LeaseEvent> {
    vec![LeaseEvent::NotOwner { owner: owner.map(NodeName::new) }]
}

const SOON: Duration = Duration::from_millis(10);

/// Guards against transactions and statements that a leaving owner accepts although another node
/// can run them.
#[test]
fn a_leaving_owner_refers_new_and_queued_exchanges_to_the_next_owner() {
    let mut owner = Owner::start();
    assert_eq!(owner.receive(at_instance(), Duration::ZERO), []);
    owner.add_other_owner();
    owner.stop();
    assert_eq!(owner.tick(SOON), referral(Some(OTHER)));
    assert_eq!(owner.receive(at_instance(), SOON), referral(Some(OTHER)));
    assert!(!owner.gateway.is_waiting());
}

/// Guards against exchanges that wait for a qualifying instance at a leaving owner until their
/// deadline, although the next owner could run them.
#[test]
fn a_leaving_owner_refuses_exchanges_that_wait_for_an_instance() {
    let mut owner = Owner::start();
    assert_eq!(owner.receive(at_any_instance(), Duration::ZERO), []);
    assert!(owner.gateway.is_waiting());
    owner.add_other_owner();
    owner.stop();
    assert_eq!(owner.tick(SOON), referral(None));
    assert!(!owner.gateway.is_waiting());
}

/// Guards against exchanges whose front learns only from the end of the link that they will not be
/// answered: it would have to report writes as in doubt. All nodes leave, so that the owner stays
/// the owner and finishes what it can until the final refusals.
#[test]
fn the_final_refusals_cover_exchanges_that_wait_at_an_owner() {
    let mut owner = Owner::start();
    let schedule = owner.stop();
    let last = schedule.final_refusals - owner.began;
    assert_eq!(owner.receive(at_instance(), SOON), []);
    assert_eq!(owner.receive(at_any_instance(), SOON), []);
    assert_eq!(owner.tick(last - SOON), []);
    let events = owner.tick(last);
    assert_eq!(events, [referral(None), referral(None)].concat());
    assert!(!owner.gateway.is_waiting());
    assert_eq!(owner.receive(at_instance(), last), referral(None));
    assert_eq!(owner.receive(at_any_instance(), last), referral(None));
}

/// Guards against exchanges that a closed owner drops without a word: their front learns that they
/// have not run only if the leave message follows before the link breaks.
#[test]
fn a_closed_owner_refuses_every_exchange() {
    let mut owner = Owner::start();
    owner.add_other_owner();
    owner.stop();
    owner.context.stage.advance_to(Stage::Closed);
    assert_eq!(owner.receive(at_instance(), SOON), referral(Some(OTHER)));
    assert_eq!(owner.receive(at_any_instance(), SOON), referral(None));
    assert!(!owner.gateway.is_waiting());
}

/// Guards against an exchange whose front, which stops, has to report it as in doubt although it
/// waits here, and against one that runs after it was reported as not run.
#[test]
fn a_withdrawn_exchange_that_waits_is_dropped_and_reported_as_not_run() {
    let mut owner = Owner::start();
    assert_eq!(owner.receive(at_instance(), Duration::ZERO), []);
    assert_eq!(owner.receive(at_any_instance(), Duration::ZERO), []);
    for serial in 0..2 {
        assert!(owner.gateway.is_waiting());
        let not_run = LeaseEvent::NotInProgress { has_not_run: true };
        let events = owner.call(GatewayCall::Withdraw(lease(serial)), SOON);
        assert_eq!(events, [(lease(serial), 0, not_run)]);
        assert!(!owner.gateway.is_lease_active(&lease(serial)));
    }
    assert!(!owner.gateway.is_waiting());
}

/// Guards against a report that an exchange has not run although the owner does not know that.
#[test]
fn an_exchange_that_does_not_wait_cannot_be_withdrawn() {
    let mut owner = Owner::start();
    assert_eq!(owner.receive(at_instance(), Duration::ZERO), []);
    assert_eq!(owner.call(GatewayCall::Withdraw(lease(1)), SOON), []);
    assert!(owner.gateway.is_lease_active(&lease(0)));
}
