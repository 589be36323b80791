//! Runs the membership protocol: its socket, its clock, and the state that it publishes in the
//! node.
//!
//! Decisions are made in `core::membership`. This module receives and sends the datagrams, drives
//! the ticks, and publishes the list of live nodes whenever it changes.

use std::io;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use kestrellock_core::membership::message::MAX_DATAGRAM_BYTES;
use kestrellock_core::membership::{
    Change, Health, Incarnation, MemberRecord, Membership, Seed, Timing,
};
use kestrellock_core::rendezvous::Candidate;
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_peer::datagram::{DatagramCodec, DatagramError};
use kestrellock_store::machines::{Machine, MachineState};

use crate::agent::isolation::IsolationCheck;
use crate::context::NodeContext;
use crate::metrics::MessageEvent;
use crate::settings::Settings;
use crate::shared::live::LiveNode;
use crate::shared::membership::NewestRevision;
use crate::supervisor::StopFlag;

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two publications of the member list.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// Most datagrams handled in a row before the clock is checked for a due tick.
const MAX_DATAGRAM_BATCH: usize = 256;
/// Most senders with an outdated incarnation that are notified between two ticks.
const MAX_OUTDATED_NOTICES_PER_TICK: usize = 4;

/// This node's own member record, and how it finds and authenticates other nodes.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    own: MemberRecord,
    seeds: Vec<Seed>,
    cluster: String,
    keys: ClusterKeys,
}

impl MembershipConfig {
    /// Builds the configuration from the settings, with `process` as the incarnation of this
    /// process.
    pub fn new(settings: &Settings, process: u64, keys: ClusterKeys) -> Self {
        let own = MemberRecord {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            peer_address: settings.advertised_peer_address.unwrap_or(settings.peer_address),
            admin_address: settings.admin_address,
            incarnation: Incarnation { process, refutation: 0 },
            health: Health::Alive,
            leaving: false,
            revision: Default::default(),
            link_mbps: settings.link_mbps.unwrap_or(0),
        };
        let seeds = configured_seeds(settings);
        Self { own, seeds, cluster: settings.cluster.clone(), keys }
    }
}

/// This node's entry in the machine list.
pub fn own_machine(settings: &Settings) -> Machine {
    Machine {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.advertised_peer_address.unwrap_or(settings.peer_address),
        state: MachineState::Live,
        link_mbps: settings.link_mbps.unwrap_or(0),
    }
}

/// The peers from the settings, as seeds.
pub fn configured_seeds(settings: &Settings) -> Vec<Seed> {
    let peers = settings.peers.iter();
    peers.map(|peer| Seed { node: peer.node.clone(), address: peer.address }).collect()
}

/// Takes part in membership until `stop` is set, and sends a leave message if the node is leaving.
pub fn run(socket: &UdpSocket, config: &MembershipConfig, context: &NodeContext, stop: &StopFlag) {
    let mut agent = Agent::new(socket, config, context);
    while !stop.is_stopping() {
        stop.wait_while_paused();
        agent.receive();
        stop.wait_while_paused();
        agent.tick_if_due();
    }
    if context.is_leaving() {
        agent.membership.announce_left(&mut random);
        agent.send();
    }
}

fn random() -> u64 {
    rand::random()
}

struct Agent<'a> {
    socket: &'a UdpSocket,
    context: &'a NodeContext,
    membership: Membership,
    /// Present if the settings ask for it.
    isolation: Option<IsolationCheck<'a>>,
    codec: DatagramCodec,
    origin: Instant,
    next_tick: Instant,
    next_publish: Instant,
    outdated_notices: usize,
}

impl<'a> Agent<'a> {
    fn new(socket: &'a UdpSocket, config: &MembershipConfig, context: &'a NodeContext) -> Self {
        let origin = Instant::now();
        let MembershipConfig { own, seeds, cluster, keys } = config.clone();
        let codec = DatagramCodec::new(keys, &cluster, own.node.clone());
        let membership =
            Membership::new(own, Timing::default(), seeds, Duration::ZERO, &mut random);
        Self {
            socket,
            context,
            membership,
            isolation: IsolationCheck::new(context),
            codec,
            origin,
            next_tick: origin,
            next_publish: origin,
            outdated_notices: 0,
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Receives and handles datagrams until the next tick is due.
    fn receive(&mut self) {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAM_BATCH {
            let wait = self.next_tick.saturating_duration_since(Instant::now());
            if wait.is_zero() || self.socket.set_read_timeout(Some(wait)).is_err() {
                return;
            }
            match self.socket.recv_from(&mut buffer) {
                Ok((count, _)) => self.handle_datagram(&buffer[..count]),
                // The operating system reports here that an earlier datagram reached a closed port.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => return,
            }
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8]) {
        let metrics = &self.context.metrics;
        let now = self.now();
        let process = self.membership.own().incarnation.process;
        match self.codec.open(bytes, process, now) {
            Ok(message) => {
                metrics.datagrams.count(MessageEvent::Received);
                metrics.datagram_bytes.add(MessageEvent::Received, bytes.len() as u64);
                self.context.revisions.record(&message.sender.node, message.sender.revision);
                if let Some(isolation) = &mut self.isolation {
                    isolation.on_message(&message, now);
                }
                self.membership.on_message(message, now, &mut random);
            }
            Err(error) => {
                metrics.datagrams.count(MessageEvent::Refused);
                metrics.datagram_bytes.add(MessageEvent::Refused, bytes.len() as u64);
                self.on_rejected_datagram(error);
            }
        }
        self.send();
    }

    fn on_rejected_datagram(&mut self, error: DatagramError) {
        log::debug!("datagram refused: {error}");
        if let DatagramError::OldProcess(sender) = error
            && self.outdated_notices < MAX_OUTDATED_NOTICES_PER_TICK
        {
            self.outdated_notices += 1;
            self.membership.on_outdated_sender(&sender);
        }
    }

    fn send(&mut self) {
        let metrics = &self.context.metrics;
        for outgoing in self.membership.take_outgoing() {
            let bytes = match self.codec.seal(&outgoing) {
                Ok(bytes) => bytes,
                Err(error) => {
                    log::warn!("datagram to {} not sent: {error}", outgoing.to.node);
                    continue;
                }
            };
            // A datagram that cannot be sent counts as lost in the network.
            if self.socket.send_to(&bytes, outgoing.to.address).is_ok() {
                metrics.datagrams.count(MessageEvent::Sent);
                metrics.datagram_bytes.add(MessageEvent::Sent, bytes.len() as u64);
            }
        }
    }

    fn tick_if_due(&mut self) {
        let now = Instant::now();
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.outdated_notices = 0;
        self.apply_inputs();
        let now_since_start = self.now();
        self.membership.on_tick(now_since_start, &mut random);
        if let Some(isolation) = &mut self.isolation {
            isolation.on_tick(&mut self.membership, now_since_start, &mut random);
        }
        self.send();
        self.publish(now);
    }

    fn apply_inputs(&mut self) {
        let revision = self.context.catalog.load().revision;
        self.membership.set_revision(revision, &mut random);
        if let Some(seeds) = self.context.listed_seeds.take() {
            self.membership.set_seeds(seeds);
        }
        if self.context.is_leaving() {
            self.membership.begin_leaving(&mut random);
        }
        for node in self.context.membership.take_hints() {
            self.context.isolation.report_trouble();
            self.membership.hint_unreachable(&node);
        }
    }

    fn publish(&mut self, now: Instant) {
        let changes = self.membership.take_changes();
        for change in &changes {
            self.log_change(change);
        }
        if changes.is_empty() && now < self.next_publish {
            return;
        }
        self.next_publish = now + PUBLISH_INTERVAL;
        let own = std::iter::once(self.membership.own());
        let members: Vec<MemberRecord> = own.chain(self.membership.members()).cloned().collect();
        if self.membership.is_settled() {
            self.publish_live(&members);
        }
        self.context.membership.members.store(members);
        self.context.membership.set_counters(self.membership.counters());
    }

    /// Publishes the list of live nodes if it has changed.
    fn publish_live(&self, members: &[MemberRecord]) {
        let live: Vec<LiveNode> =
            members.iter().filter(|member| member.health.is_live()).map(live_node).collect();
        if live != *self.context.live.load() {
            self.context.live.store(live);
        }
    }

    fn log_change(&self, change: &Change) {
        match change {
            Change::Live(member) if member.leaving => log::info!("{} is leaving", member.node),
            Change::Live(member) => {
                log::info!("{} is live at {}", member.node, member.peer_address);
            }
            Change::Gone(node, Health::Left) => log::info!("{node} has left"),
            Change::Gone(node, _) => log::warn!("{node} is held for dead"),
            Change::NameTaken => {
                log::warn!("another process used this node's name; took a newer incarnation");
            }
            Change::RevisionSeen(node, revision) => {
                let member = self.membership.members().find(|member| member.node == *node);
                if let Some(member) = member {
                    self.context.membership.set_newest_revision(NewestRevision {
                        node: node.clone(),
                        peer_address: member.peer_address,
                        admin_address: member.admin_address,
                        revision: *revision,
                    });
                }
            }
        }
    }
}

fn live_node(member: &MemberRecord) -> LiveNode {
    LiveNode {
        candidate: Candidate {
            node: member.node.clone(),
            zone: member.zone.clone(),
            link_mbps: member.link_mbps,
        },
        peer_address: member.peer_address,
        accepts_work: !member.leaving,
    }
}
