//! Which news of a member this node believes.

use std::time::Duration;

use super::record::{Health, Incarnation, MemberRecord, StateUpdate, Update};
use super::state::{Change, Membership};
use crate::ids::NodeName;

impl Membership {
    /// Takes in one update.
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
            // News of an older process, or of a newer one whose addresses are not known yet.
            _ => {}
        }
    }

    /// Others say something about this node: raise the incarnation unless they are right.
    fn refute(&mut self, said: &StateUpdate) {
        if self.own.health == Health::Left {
            return;
        }
        let own = self.own.incarnation;
        let outdated = said.incarnation < own;
        let agreed = said.incarnation == own && said.health == Health::Alive;
        if outdated || agreed {
            return;
        }
        self.counters.refutations += 1;
        if said.incarnation.process > own.process {
            let process = said.incarnation.process + 1;
            self.own.incarnation = Incarnation { process, refutation: 0 };
            self.changes.push_back(Change::NameTaken);
            self.gossip.push(Update::Full(self.own.clone()));
        } else {
            self.own.incarnation.refutation = said.incarnation.refutation + 1;
            self.gossip.push(Update::State(self.own.state()));
        }
    }

    /// A member nobody told of before. Dead ones are not taken up again.
    fn apply_unknown(&mut self, record: MemberRecord, now: Duration) {
        if record.health.is_live() {
            self.accept_record(record, now);
        }
    }

    /// A newer process of a known member.
    fn apply_new_process(&mut self, record: MemberRecord, now: Duration) {
        match record.health {
            Health::Alive | Health::Suspect => self.accept_record(record, now),
            // Nobody here has seen that process live, so nothing is lost by waiting for a sync.
            Health::Dead => {}
            Health::Left => {
                let node = record.node.clone();
                self.accept_record(MemberRecord { health: Health::Alive, ..record }, now);
                self.declare(&node, Health::Left, now);
            }
        }
    }

    /// News of the known process of a member.
    fn apply_state(&mut self, said: &StateUpdate, known: Incarnation, now: Duration) {
        let Some(member) = self.table.get(&said.node) else { return };
        let present = member.record.health;
        let newer = said.incarnation > known;
        if said.incarnation < known || (!newer && said.health <= present) {
            return;
        }
        match said.health {
            Health::Alive => self.revive(said, now),
            Health::Left => self.declare(&said.node, Health::Left, now),
            Health::Suspect | Health::Dead if newer && present.is_live() => {
                self.revive(said, now);
                self.declare(&said.node, Health::Suspect, now);
            }
            Health::Suspect => self.declare(&said.node, Health::Suspect, now),
            Health::Dead if present == Health::Suspect && self.is_half_elapsed(&said.node, now) => {
                self.declare(&said.node, Health::Dead, now);
            }
            // A death that this node had no sign of, as after a partition: let it be refuted.
            Health::Dead if present == Health::Alive => {
                self.declare(&said.node, Health::Suspect, now);
            }
            Health::Dead => {}
        }
    }

    /// Whether a suspicion has stood for at least half of its time.
    fn is_half_elapsed(&self, node: &NodeName, now: Duration) -> bool {
        let Some(member) = self.table.get(node) else { return false };
        let Some(suspicion) = member.suspicion else { return false };
        now.saturating_sub(member.since) >= suspicion.deadline.saturating_sub(now)
    }

    /// The member refuted what was said of it, or began to leave.
    fn revive(&mut self, said: &StateUpdate, now: Duration) {
        let Some(member) = self.table.get(&said.node) else { return };
        let mut record = member.record.clone();
        let news = !record.health.is_live() || record.leaving != said.leaving;
        record.incarnation = said.incarnation;
        record.health = Health::Alive;
        record.leaving = said.leaving;
        self.table.put(record.clone(), now, None);
        self.gossip.push(Update::State(record.state()));
        if news {
            self.changes.push_back(Change::Live(record));
        }
    }

    /// Takes over a whole record of a live member.
    pub(super) fn accept_record(&mut self, mut record: MemberRecord, now: Duration) {
        let known = self.table.get(&record.node).map(|known| known.record.clone());
        let same_process = known
            .as_ref()
            .is_some_and(|known| known.incarnation.process == record.incarnation.process);
        if let Some(known) = known.as_ref().filter(|_| same_process) {
            record.revision = record.revision.max(known.revision);
        }
        let news = known.is_none_or(|known| {
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
        if news {
            self.counters.joins += 1;
            self.last_join = now;
            self.changes.push_back(Change::Live(record));
        }
        if suspected {
            self.declare(&node, Health::Suspect, now);
        }
    }

    /// Takes up a member learnt from a comparison without spreading it: others know it already.
    pub(super) fn insert_without_gossip(&mut self, record: MemberRecord, now: Duration) {
        self.counters.joins += 1;
        self.last_join = now;
        self.table.put(record.clone(), now, None);
        self.changes.push_back(Change::Live(record));
    }

    /// Changes the health of a known member to something worse, and spreads it.
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
