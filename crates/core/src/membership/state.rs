//! The membership state machine of one node. From received messages and the passing of time it
//! decides which members are live, and which messages to send: probes, gossip and syncs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::gossip::Gossip;
use super::message::{Body, Contact, Outgoing};
use super::prober::{ProbeStep, Prober};
use super::random::{RandomSource, below};
use super::record::{Health, MemberRecord, Update};
use super::table::Table;
use super::timing::Timing;
use crate::catalog::Revision;
use crate::ids::NodeName;

/// A node through which to join the cluster, from the settings or the machine list. It may not
/// exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub node: NodeName,
    /// Address at which it accepts peers.
    pub address: SocketAddr,
}

/// A change in this node's view of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member has become live, has restarted, or has begun to leave.
    Live(MemberRecord),
    /// A member is dead or has left.
    Gone(NodeName, Health),
    /// A member's active revision is newer than any received before.
    RevisionSeen(NodeName, Revision),
    /// Other members know a newer process with this node's name; this node has raised its
    /// incarnation above that of the other process.
    NameTaken,
}

/// Event counts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Direct probes sent.
    pub probes: u64,
    /// Probes requested from other members.
    pub indirect_probes: u64,
    /// Suspicions started by this node's probes.
    pub suspicions: u64,
    /// Updates about itself that this node refuted.
    pub refutations: u64,
    /// Members declared dead.
    pub deaths: u64,
    /// Members that became live.
    pub joins: u64,
    /// Anti-entropy syncs started.
    pub syncs: u64,
    /// Times this process detected that it had been suspended.
    pub pauses: u64,
    /// State updates about unknown members.
    pub unknown_updates: u64,
}

/// One node's view of the cluster's members.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) own: MemberRecord,
    pub(super) timing: Timing,
    pub(super) table: Table,
    pub(super) gossip: Gossip,
    pub(super) prober: Prober,
    pub(super) seeds: Vec<Seed>,
    pub(super) outgoing: Vec<Outgoing>,
    pub(super) changes: VecDeque<Change>,
    pub(super) counters: Counters,
    pub(super) newest: Revision,
    pub(super) joined_at: Option<Duration>,
    pub(super) last_join: Duration,
    settled: bool,
    pub(super) started: Duration,
    last_tick: Duration,
    next_gossip: Duration,
    pub(super) next_sync: Duration,
    next_recontact: Duration,
}

impl Membership {
    /// Creates the state of a node that knows only its seeds. `own` holds this process's
    /// incarnation.
    pub fn new(
        own: MemberRecord,
        timing: Timing,
        seeds: Vec<Seed>,
        now: Duration,
        random: &mut dyn RandomSource,
    ) -> Self {
        let prober = Prober::new(now, &timing, random);
        Self {
            newest: own.revision,
            joined_at: None,
            last_join: now,
            settled: seeds.is_empty(),
            own,
            timing,
            table: Table::default(),
            gossip: Gossip::default(),
            prober,
            seeds,
            outgoing: Vec::new(),
            changes: VecDeque::new(),
            counters: Counters::default(),
            started: now,
            last_tick: now,
            next_gossip: now,
            next_sync: now,
            next_recontact: now,
        }
    }

    /// This node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Records of all other members, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.iter().map(|member| &member.record)
    }

    /// Number of live members, including this node.
    pub fn live_count(&self) -> usize {
        self.table.live().len() + 1
    }

    /// Event counts since the process started.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether the view may be used: members were found and no more are joining, or no seed
    /// answered within the timeout. Once true, it stays true.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Newest revision of an active configuration received from any member.
    pub fn newest_revision(&self) -> Revision {
        self.newest
    }

    /// Takes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Changes since the last call, oldest first.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.changes.drain(..).collect()
    }

    /// Replaces the seeds after a change of the machine list.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
    }

    /// Schedules a probe of a member that may have failed according to another component.
    pub fn hint_unreachable(&mut self, node: &NodeName) {
        self.prober.hint(node);
    }

    /// Pings a node outside the regular probes and returns the number of its ack. `address` is used
    /// if the node is not a member. A missing ack has no effect on membership.
    pub fn ping(&mut self, node: &NodeName, address: SocketAddr) -> u32 {
        let number = self.prober.number();
        match self.table.get(node) {
            Some(_) => self.send_to_member(node, Body::Ping { number }),
            None => {
                let to = Contact { node: node.clone(), address, process: None };
                self.send(to, Body::Ping { number });
            }
        }
        number
    }

    /// Sets the revision of this node's active configuration and sends it to a few members at once.
    pub fn set_revision(&mut self, revision: Revision, random: &mut dyn RandomSource) {
        if revision <= self.own.revision {
            return;
        }
        self.own.revision = revision;
        self.newest = self.newest.max(revision);
        self.gossip_to_random(self.timing.revision_fan_out, random);
    }

    /// Announces that this node begins to stop: it accepts no new work but still answers.
    pub fn begin_leaving(&mut self, random: &mut dyn RandomSource) {
        if self.own.leaving {
            return;
        }
        self.own.leaving = true;
        self.own.incarnation.refutation += 1;
        self.gossip.push(Update::State(self.own.state()));
        self.gossip_to_random(self.timing.revision_fan_out, random);
    }

    /// Sends the leave message, so that other members need not detect by probing that this node
    /// stopped.
    pub fn announce_left(&mut self, random: &mut dyn RandomSource) {
        self.own.leaving = true;
        self.own.health = Health::Left;
        self.gossip.push(Update::State(self.own.state()));
        self.gossip_to_random(self.timing.revision_fan_out, random);
    }

    /// Does the work due at `now`. To be called several times within a probe timeout.
    pub fn on_tick(&mut self, now: Duration, random: &mut dyn RandomSource) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > self.timing.pause_threshold {
            self.on_resume(gap, now);
        }
        if self.own.health == Health::Left {
            return;
        }
        self.expire_suspects(now);
        for step in self.prober.step(now, &self.timing, &self.table, random) {
            self.on_probe_step(step, now, random);
        }
        self.gossip_if_due(now, random);
        self.sync_if_due(now, random);
        self.recontact_if_due(now, random);
        self.settle_if_due(now);
    }

    /// Handles a suspension of this process for `gap`: missing acks during that time do not show
    /// that a member failed.
    fn on_resume(&mut self, gap: Duration, now: Duration) {
        self.counters.pauses += 1;
        self.prober.on_resume(now);
        self.table.extend_suspicions(gap);
        self.next_sync = now;
    }

    fn expire_suspects(&mut self, now: Duration) {
        for node in self.table.expired_suspects(now) {
            self.declare(&node, Health::Dead, now);
        }
        for node in self.table.take_due_pings(now) {
            self.ping_suspect(&node);
        }
        let retention = self.timing.dead_retention;
        if now > retention {
            self.table.forget_dead_before(now - retention);
        }
    }

    fn on_probe_step(&mut self, step: ProbeStep, now: Duration, random: &mut dyn RandomSource) {
        match step {
            ProbeStep::Ping(node, number) => {
                self.counters.probes += 1;
                self.send_to_member(&node, Body::Ping { number });
            }
            ProbeStep::ProbeIndirectly(target, number) => {
                self.probe_zone_neighbour(&target, random);
                let count = self.timing.indirect_probes;
                for other in self.table.random_live(count, Some(&target), random) {
                    self.counters.indirect_probes += 1;
                    let target = target.clone();
                    self.send_to_member(&other, Body::PingRequest { number, target });
                }
            }
            ProbeStep::Failed(node) => self.suspect(&node, now),
        }
    }

    /// Schedules a probe of another member of the same zone, because members of one zone often fail
    /// together.
    fn probe_zone_neighbour(&mut self, node: &NodeName, random: &mut dyn RandomSource) {
        let Some(zone) = self.table.get(node).map(|known| known.record.zone.clone()) else {
            return;
        };
        if let Some(neighbour) = self.table.random_healthy_in(&zone, node, random) {
            self.prober.hint(&neighbour);
        }
    }

    fn suspect(&mut self, node: &NodeName, now: Duration) {
        let is_alive =
            self.table.get(node).is_some_and(|known| known.record.health == Health::Alive);
        if !is_alive {
            return;
        }
        self.counters.suspicions += 1;
        self.declare(node, Health::Suspect, now);
        self.ping_suspect(node);
    }

    /// Pings a suspect: the message carries the suspicion, so a live suspect can refute it.
    fn ping_suspect(&mut self, node: &NodeName) {
        let number = self.prober.number();
        self.send_to_member(node, Body::Ping { number });
    }

    fn gossip_if_due(&mut self, now: Duration, random: &mut dyn RandomSource) {
        if now < self.next_gossip || self.gossip.is_empty() {
            return;
        }
        self.next_gossip = now + self.timing.gossip_interval;
        self.gossip_to_random(self.timing.gossip_fan_out, random);
    }

    fn gossip_to_random(&mut self, count: usize, random: &mut dyn RandomSource) {
        for node in self.table.random_live(count, None, random) {
            self.send_to_member(&node, Body::Gossip);
        }
    }

    fn recontact_if_due(&mut self, now: Duration, random: &mut dyn RandomSource) {
        if now < self.next_recontact {
            return;
        }
        let is_alone = self.table.live().is_empty();
        let interval =
            if is_alone { self.timing.join_interval } else { self.timing.recontact_interval };
        self.next_recontact = now + interval;
        self.contact_seeds(is_alone, random);
        if let Some(dead) = self.table.random_dead(random) {
            let (node, address) = (dead.node.clone(), dead.peer_address);
            self.send_first_contact(node, address);
        }
    }

    /// Contacts a seed that is not a live member; several seeds while no live member is known.
    fn contact_seeds(&mut self, is_alone: bool, random: &mut dyn RandomSource) {
        let is_live = |seed: &Seed| {
            seed.node == self.own.node
                || self.table.get(&seed.node).is_some_and(|known| known.record.health.is_live())
        };
        let mut missing: Vec<Seed> =
            self.seeds.iter().filter(|seed| !is_live(seed)).cloned().collect();
        let count = if is_alone { self.timing.revision_fan_out } else { 1 };
        for _ in 0..count.min(missing.len()) {
            let seed = missing.swap_remove(below(random, missing.len()));
            self.send_first_contact(seed.node, seed.address);
        }
    }

    fn settle_if_due(&mut self, now: Duration) {
        if self.settled {
            return;
        }
        let elapsed = |start: Duration| now.saturating_sub(start);
        self.settled = match self.joined_at {
            None => elapsed(self.started) >= self.timing.join_timeout,
            Some(joined) => {
                elapsed(self.last_join) >= self.timing.settle_quiet_period
                    || elapsed(joined) >= self.timing.settle_timeout
            }
        };
    }
}
