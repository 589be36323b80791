//! Anti-entropy syncs: compare the tables of two members and repair what gossip missed.
//!
//! Members compare one hash for each bucket of their tables. Only records of buckets that differ
//! are sent, in a bounded number of datagrams. A new node, which lacks most records, repeats the
//! sync at short intervals until it brings nothing new.

use std::time::Duration;

use super::message::{BUCKET_COUNT, Body};
use super::random::{RandomSource, below};
use super::record::{Health, MemberRecord, Update};
use super::state::Membership;
use super::table::{bucket, bucket_hashes};
use crate::ids::NodeName;

/// Most datagrams of records sent in answer to one request.
pub const MAX_SYNC_DATAGRAMS: usize = 8;
/// Delay before the next sync if the last one brought something new.
const RESYNC_DELAY: Duration = Duration::from_millis(300);

impl Membership {
    pub(super) fn sync_if_due(&mut self, now: Duration, random: &mut dyn RandomSource) {
        if now < self.next_sync {
            return;
        }
        let is_early = now.saturating_sub(self.started) < self.timing.early_period;
        let interval =
            if is_early { self.timing.early_sync_interval } else { self.timing.sync_interval };
        let jitter = Duration::from_micros(below(random, interval.as_micros() as usize / 2) as u64);
        self.next_sync = now + interval.mul_f64(0.75) + jitter;
        let Some(node) = self.table.random_live(1, None, random).pop() else {
            // No live member is known yet.
            self.next_sync = now;
            return;
        };
        self.counters.syncs += 1;
        let hashes = self.hashes();
        self.send_to_member(&node, Body::SyncRequest { hashes, wants_return: true });
    }

    fn hashes(&self) -> Vec<u32> {
        bucket_hashes(self.members().chain(std::iter::once(&self.own)))
    }

    /// Answers a sync request with the records of buckets that differ, and requests the records of
    /// the other member.
    pub(super) fn on_sync_request(
        &mut self,
        node: &NodeName,
        remote_hashes: &[u32],
        wants_return: bool,
        random: &mut dyn RandomSource,
    ) {
        let hashes = self.hashes();
        if remote_hashes.len() != BUCKET_COUNT || remote_hashes == hashes {
            return;
        }
        for records in self.differing_records(remote_hashes, &hashes, random) {
            self.send_to_member(node, Body::SyncRecords { records });
        }
        if wants_return {
            self.send_to_member(node, Body::SyncRequest { hashes, wants_return: false });
        }
    }

    /// Records of differing buckets, split into parts that each fit a datagram, starting at a
    /// random bucket.
    fn differing_records(
        &self,
        remote_hashes: &[u32],
        hashes: &[u32],
        random: &mut dyn RandomSource,
    ) -> Vec<Vec<MemberRecord>> {
        let first = below(random, BUCKET_COUNT);
        let mut by_bucket = vec![Vec::new(); BUCKET_COUNT];
        for record in self.members() {
            by_bucket[bucket(&record.node)].push(record);
        }
        let free = self.free_bytes();
        let mut datagrams: Vec<Vec<MemberRecord>> = Vec::new();
        let mut remaining = 0;
        for index in (0..BUCKET_COUNT).map(|offset| (first + offset) % BUCKET_COUNT) {
            if remote_hashes[index] == hashes[index] {
                continue;
            }
            for record in &by_bucket[index] {
                let bytes = record.encoded_bytes();
                if bytes > remaining || datagrams.is_empty() {
                    if datagrams.len() == MAX_SYNC_DATAGRAMS {
                        return datagrams;
                    }
                    datagrams.push(Vec::new());
                    remaining = free;
                }
                remaining = remaining.saturating_sub(bytes);
                datagrams.last_mut().expect("a datagram was pushed").push((*record).clone());
            }
        }
        datagrams
    }

    /// Merges received records; repeats the sync soon if they brought something new.
    pub(super) fn on_sync_records(&mut self, records: Vec<MemberRecord>, now: Duration) {
        let before = (self.counters.joins, self.counters.refutations);
        for record in records {
            self.merge_synced(record, now);
        }
        if before != (self.counters.joins, self.counters.refutations) {
            self.next_sync = self.next_sync.min(now + RESYNC_DELAY);
        }
    }

    fn merge_synced(&mut self, record: MemberRecord, now: Duration) {
        let known = self.table.get(&record.node).map(|known| known.record.incarnation);
        let same_process = known.is_some_and(|known| known.process == record.incarnation.process);
        if same_process && let Some(member) = self.table.get_mut(&record.node) {
            member.record.revision = member.record.revision.max(record.revision);
        }
        let is_own = record.node == self.own.node;
        if known.is_none() && !is_own && record.health == Health::Alive {
            self.insert_without_gossip(record, now);
            return;
        }
        self.apply(Update::Full(record), now);
    }
}
