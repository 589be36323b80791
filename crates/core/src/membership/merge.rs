//! Merges received updates about members into this node's table.
//!
//! An update with a higher incarnation overrides one with a lower incarnation; for the same
//! incarnation, the worse health overrides the better one. A report that a member is dead is
//! accepted only after half of this node's own suspicion timeout for that member. If this node does
//! not suspect the member, the report starts a suspicion, which a live member can refute.

use std::time::Duration;

use super::record::{Health, Incarnation, MemberRecord, StateUpdate, Update};
use super::state::{Change, Membership};
use crate::ids::NodeName;

impl Membership {
    /// Merges one update.
    pub(super) fn apply(&mut self, update: Update, now: Duration) {
        let state = update.state();
        if state.node == self.own.node {
            self.refute(&state);
            return;
        }
        let known = self.table.get(&state.node).map(|known| known.record.incarnation);
        match (update, known) {
            (Update::Full(record), None) => self.apply_unknown(record, now),
            (Update::Full(record), Some(known)) if record.incarnation.process > known.process => {
                self.apply_new_process(record, now);
            }
            (Update::State(_), None) => self.counters.unknown_updates += 1,
            (_, Some(known)) if state.incarnation.process == known.process => {
                self.apply_state(&state, known, now);
            }
            // An update about an older process, or about a newer one without its addresses.
            _ => {}
        }
    }

    /// Handles an update about this node: raises the incarnation unless the update is correct.
    fn refute(&mut self, update: &StateUpdate) {
        if self.own.health == Health::Left {
            return;
        }
        let own = self.own.incarnation;
        let is_outdated = update.incarnation < own;
        let is_correct = update.incarnation == own && update.health == Health::Alive;
        if is_outdated || is_correct {
            return;
        }
        self.counters.refutations += 1;
        if update.incarnation.process > own.process {
            let process = update.incarnation.process + 1;
            self.own.incarnation = Incarnation { process, refutation: 0 };
            self.changes.push_back(Change::NameTaken);
            self.gossip.push(Update::Full(self.own.clone()));
        } else {
            self.own.incarnation.refutation = update.incarnation.refutation + 1;
            self.gossip.push(Update::State(self.own.state()));
        }
    }

    /// Handles a full update about an unknown member. Dead members are not added again.
    fn apply_unknown(&mut self, record: MemberRecord, now: Duration) {
        if record.health.is_live() {
            self.accept_record(record, now);
        }
    }

    /// Handles a full update about a newer process of a known member.
    fn apply_new_process(&mut self, record: MemberRecord, now: Duration) {
        match record.health {
            Health::Alive | Health::Suspect => self.accept_record(record, now),
            // This node has never seen that process live, so it can wait for the next sync.
            Health::Dead => {}
            Health::Left => {
                let node = record.node.clone();
                self.accept_record(MemberRecord { health: Health::Alive, ..record }, now);
                self.declare(&node, Health::Left, now);
            }
        }
    }

    /// Handles an update about the known process of a member.
    fn apply_state(&mut self, update: &StateUpdate, known: Incarnation, now: Duration) {
        let Some(member) = self.table.get(&update.node) else { return };
        let current = member.record.health;
        let newer = update.incarnation > known;
        if update.incarnation < known || (!newer && update.health <= current) {
            return;
        }
        match update.health {
            Health::Alive => self.revive(update, now),
            Health::Left => self.declare(&update.node, Health::Left, now),
            Health::Suspect | Health::Dead if newer && current.is_live() => {
                self.revive(update, now);
                self.declare(&update.node, Health::Suspect, now);
            }
            Health::Suspect => self.declare(&update.node, Health::Suspect, now),
            Health::Dead
                if current == Health::Suspect && self.is_half_elapsed(&update.node, now) =>
            {
                self.declare(&update.node, Health::Dead, now);
            }
            // This node had no sign of a failure, as after a partition: the member gets a chance to
            // refute the report.
            Health::Dead if current == Health::Alive => {
                self.declare(&update.node, Health::Suspect, now);
            }
            Health::Dead => {}
        }
    }

    /// Whether at least half of the suspicion timeout has passed.
    fn is_half_elapsed(&self, node: &NodeName, now: Duration) -> bool {
        let Some(member) = self.table.get(node) else { return false };
        let Some(suspicion) = member.suspicion else { return false };
        now.saturating_sub(member.since) >= suspicion.deadline.saturating_sub(now)
    }

    /// Marks a member alive because it refuted a suspicion or began to leave.
    fn revive(&mut self, update: &StateUpdate, now: Duration) {
        let Some(member) = self.table.get(&update.node) else { return };
        let mut record = member.record.clone();
        let is_change = !record.health.is_live() || record.leaving != update.leaving;
        record.incarnation = update.incarnation;
        record.health = Health::Alive;
        record.leaving = update.leaving;
        self.table.put(record.clone(), now, None);
        self.gossip.push(Update::State(record.state()));
        if is_change {
            self.changes.push_back(Change::Live(record));
        }
    }

    /// Replaces the record of a member by a full one and gossips it.
    pub(super) fn accept_record(&mut self, mut record: MemberRecord, now: Duration) {
        let known = self.table.get(&record.node).map(|known| known.record.clone());
        let same_process = known
            .as_ref()
            .is_some_and(|known| known.incarnation.process == record.incarnation.process);
        if let Some(known) = known.as_ref().filter(|_| same_process) {
            record.revision = record.revision.max(known.revision);
        }
        let is_change = known.is_none_or(|known| {
            !same_process || !known.health.is_live() || known.leaving != record.leaving
        });
        let suspected = record.health == Health::Suspect;
        record.health = if record.health == Health::Left { Health::Left } else { Health::Alive };
        let node = record.node.clone();
        self.table.put(record.clone(), now, None);
        let update =
            if same_process { Update::State(record.state()) } else { Update::Full(record.clone()) };
        self.gossip.push(update);
        if record.health == Health::Left {
            self.changes.push_back(Change::Gone(node, Health::Left));
            return;
        }
        if is_change {
            self.counters.joins += 1;
            self.last_join = now;
            self.changes.push_back(Change::Live(record));
        }
        if suspected {
            self.declare(&node, Health::Suspect, now);
        }
    }

    /// Adds a member learned from a sync without gossiping it: other members know it already.
    pub(super) fn insert_without_gossip(&mut self, record: MemberRecord, now: Duration) {
        self.counters.joins += 1;
        self.last_join = now;
        self.table.put(record.clone(), now, None);
        self.changes.push_back(Change::Live(record));
    }

    /// Changes the health of a known member to a worse one, and gossips the change.
    pub(super) fn declare(&mut self, node: &NodeName, health: Health, now: Duration) {
        let Some(member) = self.table.get(node) else { return };
        let was_live = member.record.health.is_live();
        let record = MemberRecord { health, ..member.record.clone() };
        let timeout = self.timing.suspicion_timeout(self.live_count());
        let suspicion =
            (health == Health::Suspect).then(|| super::table::Suspicion::new(now, timeout));
        self.gossip.push(Update::State(record.state()));
        self.table.put(record, now, suspicion);
        if was_live && !health.is_live() {
            self.counters.deaths += u64::from(health == Health::Dead);
            self.changes.push_back(Change::Gone(node.clone(), health));
        }
    }
}
