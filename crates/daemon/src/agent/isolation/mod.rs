//! Finds out whether this node is isolated, on the thread of membership.
//!
//! `core::isolation` decides. This module gives it the listed nodes and the instances, asks its
//! questions (pings of membership, and connections to instances), and publishes, logs and counts
//! its decision. Pings and acks are messages that every version of a node understands.

pub mod instance_attempts;
mod surroundings;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::{InstanceName, NodeName, ZoneName};
use kestrellock_core::isolation::{Change, Isolation, Observation, Question};
use kestrellock_core::membership::{Body, Membership, Message, RandomSource};

use kestrellock_protocol::backend::BackendTarget;

use self::instance_attempts::InstanceAttempts;
use crate::context::NodeContext;
use crate::metrics::IsolationEvent;
use crate::shared::isolation::IsolationState;

/// Time after a ping in which its ack counts. It is longer than a slow node takes to answer.
const ACK_LIFETIME: Duration = Duration::from_secs(1);
/// Interval between two updates of the listed nodes and the instances. Copying those of a large
/// cluster at each change would be expensive while many nodes change at once.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// A ping whose ack is outstanding.
#[derive(Debug)]
struct Ping {
    node: NodeName,
    sent: Duration,
}

/// Runs the isolation check of one node.
pub struct IsolationCheck<'a> {
    context: &'a NodeContext,
    isolation: Isolation,
    pings: BTreeMap<u32, Ping>,
    attempts: InstanceAttempts,
    /// When the node became isolated.
    isolated_since: Option<Instant>,
    catalog: Arc<IndexedCatalog>,
    next_update: Duration,
}

impl<'a> IsolationCheck<'a> {
    /// Creates the check, if the settings ask for it.
    pub fn new(context: &'a NodeContext) -> Option<Self> {
        if !context.isolation.is_enabled() {
            return None;
        }
        let identity = &context.identity;
        let (own, zone) = (identity.node.clone(), identity.zone.clone());
        Some(Self {
            context,
            isolation: Isolation::new(own, zone, Duration::ZERO),
            pings: BTreeMap::new(),
            attempts: InstanceAttempts::default(),
            isolated_since: None,
            catalog: Arc::default(),
            next_update: Duration::ZERO,
        })
    }

    /// Handles a message of another node: an ack of a ping shows that packets pass in both
    /// directions.
    pub fn on_message(&mut self, message: &Message, now: Duration) {
        let Body::Ack { number } = message.body else { return };
        self.context.routing_overrides.on_zone_answer(&message.sender.zone);
        let is_sender = |ping: &Ping| ping.node == message.sender.node;
        if self.pings.get(&number).is_some_and(is_sender) {
            self.pings.remove(&number);
            self.isolation.on_node_answer(&message.sender.node, now);
        }
    }

    /// Does the work due at `now`.
    pub fn on_tick(
        &mut self,
        membership: &mut Membership,
        now: Duration,
        random: &mut dyn RandomSource,
    ) {
        self.update_surroundings(membership, now);
        self.pings.retain(|_, ping| now.saturating_sub(ping.sent) < ACK_LIFETIME);
        if self.context.isolation.take_trouble() {
            self.isolation.on_trouble();
        }
        for instance in self.attempts.take_answered() {
            self.isolation.on_instance_answer(&instance, now);
        }
        let (questions, change) = self.isolation.on_tick(now, random);
        for question in questions {
            self.ask(question, membership, now);
        }
        if let Some(change) = change {
            self.apply(&change);
        }
        self.publish(now);
    }

    fn update_surroundings(&mut self, membership: &Membership, now: Duration) {
        let listed = self.context.listed_nodes.load();
        let is_unlisted = self.context.isolation.has_machine_list() && listed.is_empty();
        // A node that has not joined the others, or has not read the machine list, knows too few of
        // them: the few could look like most of all nodes.
        if now < self.next_update || self.context.live.load().is_empty() || is_unlisted {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        self.catalog = self.context.catalog.load();
        let surroundings = surroundings::collect(membership, &listed, &self.catalog);
        self.isolation.set_surroundings(surroundings);
    }

    fn ask(&mut self, question: Question, membership: &mut Membership, now: Duration) {
        match question {
            Question::Node(node) => {
                let Some(address) = self.context.peer_address(&node) else { return };
                let number = membership.ping(&node, address);
                self.pings.insert(number, Ping { node, sent: now });
            }
            Question::Instance(instance) => self.try_instance(&instance),
        }
    }

    fn try_instance(&mut self, instance: &InstanceName) {
        let Some((name, configured)) = self.catalog.instance(instance) else { return };
        let Some(group) = self.catalog.groups.get(name) else { return };
        let mut startup = BytesMut::new();
        let target = BackendTarget {
            group: name,
            instance,
            database: &group.database,
            account: None,
            user: &group.user,
            password: self.context.backend_passwords.get(&group.user),
        };
        self.context.protocol.backend().put_startup(&target, &mut startup);
        let source = self.context.identity.address;
        self.attempts.start(instance, source, configured.address, startup);
    }

    fn apply(&mut self, change: &Change) {
        let metrics = &self.context.metrics;
        match change {
            Change::Isolated(observation) => {
                self.isolated_since = Some(Instant::now());
                metrics.isolation.count(IsolationEvent::Isolated);
                metrics.isolated.set(1);
                log_isolated(observation);
            }
            Change::Over(observation) => {
                self.isolated_since = None;
                metrics.isolation.count(IsolationEvent::Over);
                metrics.isolated.set(0);
                log_isolation_over(observation);
            }
        }
    }

    fn publish(&self, now: Duration) {
        let state = self.isolated_since.map(|since| {
            let reached_zones: BTreeSet<ZoneName> =
                self.isolation.reached_zones(now).into_iter().collect();
            IsolationState { since, reached_zones }
        });
        self.context.isolation.publish(state);
    }
}

fn zones_text(observation: &Observation) -> String {
    let zones: Vec<&str> = observation.zones_reached.iter().map(ZoneName::as_str).collect();
    zones.join(",")
}

fn log_isolated(observation: &Observation) {
    log::warn!(
        event = "isolated",
        zones_reached = zones_text(observation).as_str(),
        nodes_reached = observation.nodes_reached,
        nodes_listed = observation.nodes_listed,
        nodes_asked = observation.nodes_asked,
        nodes_answered = observation.nodes_answered,
        instances_tried = observation.instances_tried;
        "the node is cut off from most of the cluster and reports that it is not ready"
    );
}

fn log_isolation_over(observation: &Observation) {
    log::info!(
        event = "isolation_over",
        zones_reached = zones_text(observation).as_str(),
        nodes_reached = observation.nodes_reached,
        nodes_listed = observation.nodes_listed,
        nodes_asked = observation.nodes_asked,
        nodes_answered = observation.nodes_answered,
        instances_tried = observation.instances_tried;
        "the node is no longer cut off from most of the cluster"
    );
}
