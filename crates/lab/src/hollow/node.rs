//! One hollow node: the agents of a real one without its threads, callers and back ends.
//!
//! Membership, its datagrams, the spreading of configuration and the table of owners are the code
//! of the daemon's crates. Configuration messages, which real nodes exchange over TCP, are encoded
//! and authenticated in the same way but handed over inside the process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{IndexedCatalog, Revision, VersionedCatalog};
use kestrellock_core::ids::NodeName;
use kestrellock_core::membership::message::MAX_DATAGRAM_BYTES;
use kestrellock_core::membership::{
    Change, Health, Incarnation, MemberRecord, Membership, Seed, Timing,
};
use kestrellock_core::rendezvous::{Candidate, OwnershipTable};
use kestrellock_core::spreading::{Puller, View, audience, is_follower};
use kestrellock_peer::auth::{ClusterKeys, Key, TAG_BYTES};
use kestrellock_peer::datagram::DatagramCodec;
use kestrellock_peer::message::ConfigurationMessage;
use mio::net::UdpSocket;
use rand::RngExt;
use rand::rngs::StdRng;

use super::catalog::zone;

const CLUSTER_KEY: &[u8] = b"key of hollow nodes on loopback";
const CLUSTER: &str = "hollow";
const LENGTH_BYTES: usize = 4;

/// A configuration message on its way, encoded.
#[derive(Debug)]
pub struct Parcel {
    /// Index of the sender.
    pub from: usize,
    /// Tag and CBOR value.
    pub bytes: Vec<u8>,
}

/// Bytes and messages of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of datagrams sent.
    pub datagram_bytes: u64,
    /// Bytes of datagrams received.
    pub received_bytes: u64,
    /// Configuration messages sent.
    pub messages: u64,
    /// Bytes of configuration messages sent.
    pub message_bytes: u64,
    /// Datagrams refused.
    pub refused: u64,
    /// Times the table of owners was brought up to date.
    pub ownership_updates: u64,
    /// Live nodes that this one declared dead.
    pub deaths: u64,
}

/// Where the nodes of a cluster are found.
#[derive(Debug)]
pub struct Directory {
    /// Address of each node, by index.
    pub addresses: Vec<SocketAddr>,
    /// Index of each node, by name.
    pub by_name: HashMap<NodeName, usize>,
}

/// Name of a node.
pub fn node_name(index: usize) -> NodeName {
    NodeName::new(format!("node-{index:04}"))
}

/// A hollow node.
pub struct HollowNode {
    /// Index in the cluster.
    pub index: usize,
    /// Its socket.
    pub socket: UdpSocket,
    /// Whether it runs.
    pub running: bool,
    /// What it sent and received.
    pub traffic: Traffic,
    /// When it put the newest revision in force.
    pub in_force_at: Instant,
    own: Candidate,
    key: Key,
    process: u64,
    membership: Membership,
    codec: DatagramCodec,
    origin: Instant,
    catalog: IndexedCatalog,
    live: Vec<Candidate>,
    members_changed: bool,
    owners: OwnershipTable,
    puller: Puller,
    heard: HashMap<NodeName, Revision>,
    random: StdRng,
}

impl HollowNode {
    /// A node that runs and knows only its seeds.
    pub fn new(index: usize, socket: UdpSocket, directory: &Directory, random: StdRng) -> Self {
        let own = Candidate { node: node_name(index), zone: zone(index) };
        let mut random = random;
        let membership = membership(&own, index, 1, directory, &mut random);
        Self {
            index,
            socket,
            running: true,
            traffic: Traffic::default(),
            in_force_at: Instant::now(),
            puller: Puller::new(own.clone()),
            key: Key::new(CLUSTER_KEY),
            process: 1,
            membership,
            codec: codec(&own.node),
            origin: Instant::now(),
            catalog: IndexedCatalog::default(),
            live: Vec::new(),
            members_changed: true,
            owners: OwnershipTable::default(),
            heard: HashMap::new(),
            own,
            random,
        }
    }

    /// Starts again as a new process that remembers nothing.
    pub fn restart(&mut self, directory: &Directory) {
        self.process += 1;
        self.origin = Instant::now();
        self.membership =
            membership(&self.own, self.index, self.process, directory, &mut self.random);
        self.codec = codec(&self.own.node);
        self.catalog = IndexedCatalog::default();
        self.live = Vec::new();
        self.members_changed = true;
        self.owners = OwnershipTable::default();
        self.puller = Puller::new(self.own.clone());
        self.heard.clear();
        self.running = true;
    }

    /// Says good-bye, as a planned stop does.
    pub fn announce_left(&mut self) {
        let random = &mut self.random;
        self.membership.announce_left(&mut || random.random());
        self.send_datagrams();
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.catalog.revision
    }

    /// Number of live nodes in this one's view.
    pub fn live_count(&self) -> usize {
        self.membership.live_count()
    }

    /// Whether this node follows the store.
    pub fn is_follower(&self) -> bool {
        !self.live.is_empty() && is_follower(&self.own, &self.live)
    }

    /// Reads every datagram that waits.
    pub fn receive(&mut self) {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        while let Ok((count, _)) = self.socket.recv_from(&mut buffer) {
            if self.running {
                self.take_in(&buffer[..count]);
            }
        }
        self.send_datagrams();
    }

    fn take_in(&mut self, bytes: &[u8]) {
        self.traffic.received_bytes += bytes.len() as u64;
        let now = self.origin.elapsed();
        let process = self.membership.own().incarnation.process;
        let Ok(message) = self.codec.open(bytes, process, now) else {
            self.traffic.refused += 1;
            return;
        };
        self.hear(message.sender.node.clone(), message.sender.revision);
        let random = &mut self.random;
        self.membership.on_message(message, now, &mut || random.random());
    }

    fn hear(&mut self, node: NodeName, revision: Revision) {
        let known = self.heard.entry(node).or_default();
        *known = revision.max(*known);
    }

    fn send_datagrams(&mut self) {
        for outgoing in self.membership.take_outgoing() {
            let Ok(bytes) = self.codec.seal(&outgoing) else { continue };
            // A full socket buffer loses the datagram, as a network does.
            if self.socket.send_to(&bytes, outgoing.to.address).is_ok() {
                self.traffic.datagrams += 1;
                self.traffic.datagram_bytes += bytes.len() as u64;
            }
        }
    }

    /// Lets time pass; returns configuration messages for others.
    pub fn tick(&mut self, directory: &Directory) -> Vec<(usize, Parcel)> {
        let random = &mut self.random;
        self.membership.set_revision(self.catalog.revision, &mut || random.random());
        self.membership.on_tick(self.origin.elapsed(), &mut || random.random());
        self.send_datagrams();
        self.follow_members();
        self.ask_if_due(directory)
    }

    fn follow_members(&mut self) {
        let changes = self.membership.take_changes();
        let died = |change: &&Change| matches!(change, Change::Gone(_, Health::Dead));
        self.traffic.deaths += changes.iter().filter(died).count() as u64;
        self.members_changed |= !changes.is_empty();
        if !self.members_changed || !self.membership.is_settled() {
            return;
        }
        self.members_changed = false;
        let members = self.membership.members().chain([self.membership.own()]);
        let working = members.filter(|member| member.health.is_live() && !member.leaving);
        let candidate = |member: &MemberRecord| Candidate {
            node: member.node.clone(),
            zone: member.zone.clone(),
        };
        self.live = working.map(candidate).collect();
        self.update_owners();
    }

    fn update_owners(&mut self) {
        self.traffic.ownership_updates += 1;
        let instances = self.catalog.groups.values().flat_map(|group| &group.instances);
        let instances = instances.map(|instance| (&instance.name, &instance.zone));
        self.owners.update(&self.live, instances);
    }

    fn ask_if_due(&mut self, directory: &Directory) -> Vec<(usize, Parcel)> {
        let have = self.revision();
        let newest = self.heard.iter().max_by_key(|(_, revision)| **revision);
        let newer = newest.filter(|(_, revision)| **revision > have).map(|(node, _)| node.clone());
        let view = View {
            now: Instant::now(),
            have,
            newer: newer.as_ref(),
            live: &self.live,
            random: self.random.random(),
        };
        let Some(node) = self.puller.next(&view) else { return Vec::new() };
        let live = &self.live;
        self.heard.retain(|known, _| live.iter().any(|peer| peer.node == *known));
        self.parcel(&node, &ConfigurationMessage::Request { have }, directory)
    }

    /// A catalog that this node read from the store; returns what it tells others.
    pub fn on_stored(
        &mut self,
        catalog: VersionedCatalog,
        directory: &Directory,
    ) -> Vec<(usize, Parcel)> {
        if !self.put_in_force(catalog) {
            return Vec::new();
        }
        self.announce(directory)
    }

    fn announce(&mut self, directory: &Directory) -> Vec<(usize, Parcel)> {
        let message = ConfigurationMessage::InForce { revision: self.revision() };
        let audience = audience(&self.own, &self.live);
        audience.iter().flat_map(|node| self.parcel(node, &message, directory)).collect()
    }

    fn put_in_force(&mut self, catalog: VersionedCatalog) -> bool {
        if catalog.revision <= self.revision() || catalog.validate().is_err() {
            return false;
        }
        self.catalog = IndexedCatalog::new(catalog);
        self.in_force_at = Instant::now();
        self.update_owners();
        true
    }

    /// Takes in a configuration message; returns what it tells others.
    pub fn on_parcel(&mut self, parcel: &Parcel, directory: &Directory) -> Vec<(usize, Parcel)> {
        let (tag, body) = parcel.bytes.split_at(TAG_BYTES);
        if !self.running || !self.key.verify(&[body], tag) {
            return Vec::new();
        }
        let message: Result<ConfigurationMessage, _> = ciborium::from_reader(body);
        let Ok(message) = message else { return Vec::new() };
        let from = node_name(parcel.from);
        match message {
            ConfigurationMessage::Request { have } => {
                self.hear(from.clone(), have);
                let revision = self.revision();
                let answer = if revision <= have {
                    ConfigurationMessage::InForce { revision }
                } else {
                    ConfigurationMessage::Delta(Box::new(self.catalog.delta_since(have)))
                };
                self.parcel(&from, &answer, directory)
            }
            ConfigurationMessage::InForce { revision } => {
                self.hear(from.clone(), revision);
                self.puller.on_answer(&from);
                Vec::new()
            }
            ConfigurationMessage::Delta(delta) => {
                self.hear(from.clone(), delta.changed.revision);
                self.puller.on_answer(&from);
                let Ok(catalog) = self.catalog.with(&delta) else { return Vec::new() };
                if self.put_in_force(catalog) && self.is_follower() {
                    self.announce(directory)
                } else {
                    Vec::new()
                }
            }
        }
    }

    fn parcel(
        &mut self,
        to: &NodeName,
        message: &ConfigurationMessage,
        directory: &Directory,
    ) -> Vec<(usize, Parcel)> {
        let mut body = Vec::new();
        let encoded = ciborium::into_writer(message, &mut body);
        let (Ok(()), Some(&index)) = (encoded, directory.by_name.get(to)) else {
            return Vec::new();
        };
        let mut bytes = self.key.sign(&[&body]).to_vec();
        bytes.extend_from_slice(&body);
        self.traffic.messages += 1;
        self.traffic.message_bytes += (LENGTH_BYTES + bytes.len()) as u64;
        vec![(index, Parcel { from: self.index, bytes })]
    }
}

fn codec(node: &NodeName) -> DatagramCodec {
    let keys = ClusterKeys::new([CLUSTER_KEY]).expect("the key is long enough");
    DatagramCodec::new(keys, CLUSTER, node.clone())
}

fn membership(
    own: &Candidate,
    index: usize,
    process: u64,
    directory: &Directory,
    random: &mut StdRng,
) -> Membership {
    const SEEDS: usize = 3;
    let record = MemberRecord {
        node: own.node.clone(),
        zone: own.zone.clone(),
        peer_address: directory.addresses[index],
        admin_address: directory.addresses[index],
        incarnation: Incarnation { process, refutation: 0 },
        health: Health::Alive,
        leaving: false,
        revision: Revision::default(),
    };
    let seeds = (0..SEEDS.min(directory.addresses.len()))
        .map(|seed| Seed { node: node_name(seed), address: directory.addresses[seed] })
        .collect();
    Membership::new(record, Timing::default(), seeds, Duration::ZERO, &mut || random.random())
}
