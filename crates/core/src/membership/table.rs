//! The table of known members.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::message::BUCKET_COUNT;
use super::random::{RandomSource, below};
use super::record::{Health, MemberRecord};
use crate::ids::{NodeName, ZoneName};

/// A suspect is not pinged again if less than this time is left of its suspicion.
const MIN_PING_INTERVAL: Duration = Duration::from_millis(300);
/// With more suspects than this, each suspect is pinged only once more.
const MAX_REPEATEDLY_PINGED: usize = 16;

/// A member with this node's local state about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The member's record.
    pub record: MemberRecord,
    /// When its current health began.
    pub since: Duration,
    /// For a suspect: the timers of its suspicion.
    pub suspicion: Option<Suspicion>,
}

/// Timers of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// When the suspect is declared dead.
    pub deadline: Duration,
    /// When the suspect is pinged again, in case its refutation was lost.
    pub next_ping: Duration,
}

impl Suspicion {
    /// Timers of a suspicion that begins at `now`.
    pub fn new(now: Duration, timeout: Duration) -> Self {
        Self { deadline: now + timeout, next_ping: now + timeout / 2 }
    }
}

/// All members except this node.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: BTreeMap<NodeName, Member>,
    live: Vec<NodeName>,
    suspects: BTreeSet<NodeName>,
}

impl Table {
    /// The member with that name.
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// The member with that name; callers may change only the revision in its record.
    pub fn get_mut(&mut self, node: &NodeName) -> Option<&mut Member> {
        self.members.get_mut(node)
    }

    /// All members, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Names of live members, in no particular order.
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

    /// Removes members that have been dead or have left since before `limit`.
    pub fn forget_dead_before(&mut self, limit: Duration) {
        self.members.retain(|_, member| member.record.health.is_live() || member.since >= limit);
    }

    /// Whether the member counts as live.
    pub fn is_live(&self, node: &NodeName) -> bool {
        self.members.get(node).is_some_and(|member| member.record.health.is_live())
    }

    /// Suspects whose deadline has passed.
    pub fn expired_suspects(&self, now: Duration) -> Vec<NodeName> {
        let is_expired = |suspicion: &Suspicion| suspicion.deadline <= now;
        self.suspects_where(is_expired)
    }

    /// Suspects due for another ping. Schedules the next ping after half of the remaining time.
    pub fn take_due_pings(&mut self, now: Duration) -> Vec<NodeName> {
        let due = self.suspects_where(|suspicion| suspicion.next_ping <= now);
        let has_many = self.suspects.len() > MAX_REPEATEDLY_PINGED;
        for node in &due {
            let member = self.members.get_mut(node);
            if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
                let remaining = suspicion.deadline.saturating_sub(now);
                let last = has_many || remaining < MIN_PING_INTERVAL;
                let delay = if last { remaining } else { remaining / 2 };
                suspicion.next_ping = now + delay;
            }
        }
        due
    }

    fn suspects_where(&self, matches: impl Fn(&Suspicion) -> bool) -> Vec<NodeName> {
        let suspicion = |node: &&NodeName| self.members.get(*node)?.suspicion;
        self.suspects
            .iter()
            .filter(|node| suspicion(node).is_some_and(|suspicion| matches(&suspicion)))
            .cloned()
            .collect()
    }

    /// Extends the deadline of every suspect.
    pub fn extend_suspicions(&mut self, by: Duration) {
        for member in self.members.values_mut() {
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.deadline += by;
                suspicion.next_ping += by;
            }
        }
    }

    /// At most `count` distinct live members other than `except`, chosen at random.
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

/// Index of the bucket that contains a member.
pub fn bucket(node: &NodeName) -> usize {
    xxhash_rust::xxh3::xxh3_64(node.as_str().as_bytes()) as usize % BUCKET_COUNT
}

/// Hash of one record; members that are not live count as absent, so that removing them from the
/// table does not change the hash.
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

/// Hashes of all buckets over `records`.
pub fn bucket_hashes<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<u32> {
    let mut hashes = vec![0_u32; BUCKET_COUNT];
    for record in records {
        hashes[bucket(&record.node)] ^= hash(record);
    }
    hashes
}
