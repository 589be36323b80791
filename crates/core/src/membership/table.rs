//! The table of members.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::message::BUCKET_COUNT;
use super::random::{RandomSource, below};
use super::record::{Health, MemberRecord};
use crate::ids::{NodeName, ZoneName};

/// Time left below which a suspect is not pinged again.
const MIN_PING_INTERVAL: Duration = Duration::from_millis(300);
/// With more suspects than this, each is pinged only once more.
const MANY_SUSPECTS: usize = 16;

/// A member and what this node keeps about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What is known.
    pub record: MemberRecord,
    /// When its present health began.
    pub since: Duration,
    /// For a suspect: what is still to be done about it.
    pub suspicion: Option<Suspicion>,
}

/// A suspicion that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// When the suspect is declared dead.
    pub deadline: Duration,
    /// When it is pinged once more, in case its refutation was lost.
    pub next_ping: Duration,
}

impl Suspicion {
    /// A suspicion that begins at `now`.
    pub fn new(now: Duration, timeout: Duration) -> Self {
        Self { deadline: now + timeout, next_ping: now + timeout / 2 }
    }
}

/// All members but this node.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: BTreeMap<NodeName, Member>,
    live: Vec<NodeName>,
    suspects: BTreeSet<NodeName>,
}

impl Table {
    /// The member of that name.
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// The record of that name, to be changed in its revision only.
    pub fn get_mut(&mut self, node: &NodeName) -> Option<&mut Member> {
        self.members.get_mut(node)
    }

    /// Every member, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Names of live members, in no order.
    pub fn live(&self) -> &[NodeName] {
        &self.live
    }

    /// Inserts or replaces a record.
    pub fn put(&mut self, record: MemberRecord, now: Duration, suspicion: Option<Suspicion>) {
        let node = record.node.clone();
        let was_live = self.members.get(&node).is_some_and(|known| known.record.health.is_live());
        let is_live = record.health.is_live();
        self.members.insert(node.clone(), Member { record, since: now, suspicion });
        if suspicion.is_some() {
            self.suspects.insert(node.clone());
        } else {
            self.suspects.remove(&node);
        }
        if is_live && !was_live {
            self.live.push(node);
        } else if was_live && !is_live {
            self.live.retain(|known| *known != node);
        }
    }

    /// Forgets members that have been dead or gone since before `limit`.
    pub fn forget_dead_before(&mut self, limit: Duration) {
        self.members.retain(|_, member| member.record.health.is_live() || member.since >= limit);
    }

    /// Whether the member counts as live.
    pub fn is_live(&self, node: &NodeName) -> bool {
        self.members.get(node).is_some_and(|member| member.record.health.is_live())
    }

    /// Suspects whose time is up.
    pub fn expired_suspects(&self, now: Duration) -> Vec<NodeName> {
        let late = |suspicion: &Suspicion| suspicion.deadline <= now;
        self.suspects_where(late)
    }

    /// Suspects due for another ping; the next one is set to half of the time left.
    pub fn take_due_pings(&mut self, now: Duration) -> Vec<NodeName> {
        let due = self.suspects_where(|suspicion| suspicion.next_ping <= now);
        let many = self.suspects.len() > MANY_SUSPECTS;
        for node in &due {
            let member = self.members.get_mut(node);
            if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
                let left = suspicion.deadline.saturating_sub(now);
                let last = many || left < MIN_PING_INTERVAL;
                let rest = if last { left } else { left / 2 };
                suspicion.next_ping = now + rest;
            }
        }
        due
    }

    fn suspects_where(&self, holds: impl Fn(&Suspicion) -> bool) -> Vec<NodeName> {
        let suspicion = |node: &&NodeName| self.members.get(*node)?.suspicion;
        self.suspects
            .iter()
            .filter(|node| suspicion(node).is_some_and(|suspicion| holds(&suspicion)))
            .cloned()
            .collect()
    }

    /// Gives every suspect more time.
    pub fn extend_suspicions(&mut self, by: Duration) {
        for member in self.members.values_mut() {
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.deadline += by;
                suspicion.next_ping += by;
            }
        }
    }

    /// At most `count` distinct live members, chosen at random, without `except`.
    pub fn random_live(
        &self,
        count: usize,
        except: Option<&NodeName>,
        random: &mut dyn RandomSource,
    ) -> Vec<NodeName> {
        let mut chosen: Vec<NodeName> = Vec::new();
        let mut index = below(random, self.live.len());
        for _ in 0..self.live.len() {
            if chosen.len() == count {
                break;
            }
            let node = &self.live[index];
            if Some(node) != except && !chosen.contains(node) {
                chosen.push(node.clone());
                index = below(random, self.live.len());
            } else {
                index = (index + 1) % self.live.len();
            }
        }
        chosen
    }

    /// An unsuspected member of `zone` other than `except`, chosen at random.
    pub fn random_healthy_in(
        &self,
        zone: &ZoneName,
        except: &NodeName,
        random: &mut dyn RandomSource,
    ) -> Option<NodeName> {
        let healthy: Vec<&MemberRecord> = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|record| record.health == Health::Alive && record.zone == *zone)
            .filter(|record| record.node != *except)
            .collect();
        healthy.get(below(random, healthy.len())).map(|record| record.node.clone())
    }

    /// A dead member, chosen at random.
    pub fn random_dead(&self, random: &mut dyn RandomSource) -> Option<&MemberRecord> {
        let dead: Vec<&MemberRecord> = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|record| record.health == Health::Dead)
            .collect();
        dead.get(below(random, dead.len())).copied()
    }
}

/// The bucket of a member.
pub fn bucket(node: &NodeName) -> usize {
    xxhash_rust::xxh3::xxh3_64(node.as_str().as_bytes()) as usize % BUCKET_COUNT
}

/// Hash of one record; dead members count as absent, so that forgetting them changes nothing.
fn hash(record: &MemberRecord) -> u32 {
    if !record.health.is_live() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    hasher.update(record.node.as_str().as_bytes());
    hasher.update(&record.incarnation.process.to_le_bytes());
    hasher.update(&record.incarnation.refutation.to_le_bytes());
    hasher.update(&[u8::from(record.leaving)]);
    hasher.digest() as u32
}

/// Hash of every bucket over `records`.
pub fn bucket_hashes<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<u32> {
    let mut hashes = vec![0_u32; BUCKET_COUNT];
    for record in records {
        hashes[bucket(&record.node)] ^= hash(record);
    }
    hashes
}
