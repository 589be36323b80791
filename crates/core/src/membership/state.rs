//! The state machine of one node's membership: what it does as time passes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::gossip::Gossip;
use super::message::{Body, Outgoing};
use super::prober::{ProbeStep, Prober};
use super::random::{RandomSource, below};
use super::record::{Health, MemberRecord, Update};
use super::table::Table;
use super::timing::Timing;
use crate::catalog::Revision;
use crate::ids::NodeName;

/// A node to join through, from the settings or the machine list. It may not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub node: NodeName,
    /// Where it accepts peers.
    pub address: SocketAddr,
}

/// What changed in this node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is live that was not, or moved, or began to leave.
    Live(MemberRecord),
    /// A member is dead or gone.
    Gone(NodeName, Health),
    /// A member has a revision in force that is newer than any heard of before.
    RevisionSeen(NodeName, Revision),
    /// Others knew a newer process under this node's name; its incarnation was raised over it.
    NameTaken,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Direct probes sent.
    pub probes: u64,
    /// Probes that others were asked to make.
    pub indirect_probes: u64,
    /// Suspicions begun by own probes.
    pub suspicions: u64,
    /// Times this node refuted what others said of it.
    pub refutations: u64,
    /// Members declared dead.
    pub deaths: u64,
    /// Members that became live.
    pub joins: u64,
    /// Comparisons of tables begun.
    pub syncs: u64,
    /// Times this process found that it had not run for a while.
    pub pauses: u64,
    /// Updates that concerned unknown members without their addresses.
    pub unknown_updates: u64,
}

/// One node's membership.
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
    /// A node that knows only its seeds. `own` carries this process's incarnation.
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

    /// Records of all other members, dead ones among them.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.iter().map(|member| &member.record)
    }

    /// Number of live members, this node among them.
    pub fn live_count(&self) -> usize {
        self.table.live().len() + 1
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether the view may be used: members were found and no more turn up, or none answered
    /// within the limit. Once true it stays so.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Newest revision of the configuration that any member was heard to have in force.
    pub fn newest_revision(&self) -> Revision {
        self.newest
    }

    /// Messages to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Changes since the last call, oldest first.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.changes.drain(..).collect()
    }

    /// Replaces the seeds, as the machine list changes.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
    }

    /// Something outside hints that a member may be gone: it is probed next.
    pub fn hint_unreachable(&mut self, node: &NodeName) {
        self.prober.hint(node);
    }

    /// This node has a revision in force; a few members are told at once.
    pub fn set_revision(&mut self, revision: Revision, random: &mut dyn RandomSource) {
        if revision <= self.own.revision {
            return;
        }
        self.own.revision = revision;
        self.newest = self.newest.max(revision);
        self.push_to_random(self.timing.revision_fan_out, random);
    }

    /// This node begins to stop: it takes no new work but still answers.
    pub fn begin_leaving(&mut self, random: &mut dyn RandomSource) {
        if self.own.leaving {
            return;
        }
        self.own.leaving = true;
        self.own.incarnation.refutation += 1;
        self.gossip.push(Update::State(self.own.state()));
        self.push_to_random(self.timing.revision_fan_out, random);
    }

    /// This node is about to go: others need not find out by probing.
    pub fn announce_left(&mut self, random: &mut dyn RandomSource) {
        self.own.leaving = true;
        self.own.health = Health::Left;
        self.gossip.push(Update::State(self.own.state()));
        self.push_to_random(self.timing.revision_fan_out, random);
    }

    /// Does whatever is due at `now`. To be called several times in a probe timeout.
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

    /// This process did not run for `gap`: others' silence meanwhile proves nothing.
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
        let kept = self.timing.dead_retention;
        if now > kept {
            self.table.forget_dead_before(now - kept);
        }
    }

    fn on_probe_step(&mut self, step: ProbeStep, now: Duration, random: &mut dyn RandomSource) {
        match step {
            ProbeStep::Ping(node, number) => {
                self.counters.probes += 1;
                self.send_to_member(&node, Body::Ping { number });
            }
            ProbeStep::ProbeIndirectly(target, number) => {
                self.hint_neighbour(&target, random);
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

    /// Members of one zone often fail together: another one of it is probed at once.
    fn hint_neighbour(&mut self, node: &NodeName, random: &mut dyn RandomSource) {
        let Some(zone) = self.table.get(node).map(|known| known.record.zone.clone()) else {
            return;
        };
        if let Some(neighbour) = self.table.random_healthy_in(&zone, node, random) {
            self.prober.hint(&neighbour);
        }
    }

    fn suspect(&mut self, node: &NodeName, now: Duration) {
        let healthy =
            self.table.get(node).is_some_and(|known| known.record.health == Health::Alive);
        if !healthy {
            return;
        }
        self.counters.suspicions += 1;
        self.declare(node, Health::Suspect, now);
        self.ping_suspect(node);
    }

    /// A suspect that lives hears of the suspicion directly and can refute it.
    fn ping_suspect(&mut self, node: &NodeName) {
        let number = self.prober.number();
        self.send_to_member(node, Body::Ping { number });
    }

    fn gossip_if_due(&mut self, now: Duration, random: &mut dyn RandomSource) {
        if now < self.next_gossip || self.gossip.is_empty() {
            return;
        }
        self.next_gossip = now + self.timing.gossip_interval;
        self.push_to_random(self.timing.gossip_fan_out, random);
    }

    fn push_to_random(&mut self, count: usize, random: &mut dyn RandomSource) {
        for node in self.table.random_live(count, None, random) {
            self.send_to_member(&node, Body::Gossip);
        }
    }

    fn recontact_if_due(&mut self, now: Duration, random: &mut dyn RandomSource) {
        if now < self.next_recontact {
            return;
        }
        let alone = self.table.live().is_empty();
        let interval =
            if alone { self.timing.join_interval } else { self.timing.recontact_interval };
        self.next_recontact = now + interval;
        self.contact_seeds(alone, random);
        if let Some(dead) = self.table.random_dead(random) {
            let (node, address) = (dead.node.clone(), dead.peer_address);
            self.send_first_contact(node, address);
        }
    }

    /// Contacts a seed that is not a live member; several while no member is known.
    fn contact_seeds(&mut self, alone: bool, random: &mut dyn RandomSource) {
        let is_live = |seed: &Seed| {
            seed.node == self.own.node
                || self.table.get(&seed.node).is_some_and(|known| known.record.health.is_live())
        };
        let mut missing: Vec<Seed> =
            self.seeds.iter().filter(|seed| !is_live(seed)).cloned().collect();
        let count = if alone { self.timing.revision_fan_out } else { 1 };
        for _ in 0..count.min(missing.len()) {
            let seed = missing.swap_remove(below(random, missing.len()));
            self.send_first_contact(seed.node, seed.address);
        }
    }

    fn settle_if_due(&mut self, now: Duration) {
        if self.settled {
            return;
        }
        let since = |start: Duration| now.saturating_sub(start);
        self.settled = match self.joined_at {
            None => since(self.started) >= self.timing.join_timeout,
            Some(joined) => {
                since(self.last_join) >= self.timing.settle_quiet_period
                    || since(joined) >= self.timing.settle_timeout
            }
        };
    }
}
