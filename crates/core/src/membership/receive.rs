//! Handles messages from other members.

use std::time::Duration;

use super::message::{Body, Message};
use super::random::RandomSource;
use super::record::{Health, MemberRecord, Update};
use super::state::{Change, Membership};
use crate::ids::NodeName;

impl Membership {
    /// Handles a message. The caller has authenticated it and dropped duplicates.
    pub fn on_message(&mut self, message: Message, now: Duration, random: &mut dyn RandomSource) {
        let Message { sender, body, updates } = message;
        if sender.node == self.own.node || self.own.health == Health::Left {
            return;
        }
        let node = sender.node.clone();
        self.observe_sender(sender, now);
        for update in updates {
            self.apply(update, now);
        }
        self.handle_body(&node, body, now, random);
    }

    /// Answers a process that was rejected as outdated with the known record of its name, so that
    /// the process can raise its incarnation if it is the current one.
    pub fn on_outdated_sender(&mut self, sender: &MemberRecord) {
        let Some(known) = self.table.get(&sender.node) else { return };
        let update = Update::Full(known.record.clone());
        self.send_first_contact(sender.node.clone(), sender.peer_address);
        if let Some(last) = self.outgoing.last_mut() {
            last.message.updates = vec![update];
        }
    }

    /// Merges the sender's own record: a message is direct evidence of its sender's state.
    fn observe_sender(&mut self, sender: MemberRecord, now: Duration) {
        self.joined_at = self.joined_at.or(Some(now));
        let (node, revision) = (sender.node.clone(), sender.revision);
        let known = self.table.get(&node).map(|known| known.record.incarnation);
        match known {
            Some(known) if sender.incarnation > known => self.accept_record(sender, now),
            None if sender.health.is_live() => self.accept_record(sender, now),
            Some(known) if sender.incarnation == known && sender.health == Health::Left => {
                self.declare(&node, Health::Left, now);
            }
            _ => {}
        }
        if let Some(known) = self.table.get_mut(&node) {
            known.record.revision = known.record.revision.max(revision);
        }
        if revision > self.newest {
            self.newest = revision;
            self.changes.push_back(Change::RevisionSeen(node, revision));
        }
    }

    fn handle_body(
        &mut self,
        node: &NodeName,
        body: Body,
        now: Duration,
        random: &mut dyn RandomSource,
    ) {
        match body {
            Body::Ping { number } => self.send_to_member(node, Body::Ack { number }),
            Body::PingRequest { number, target } => self.relay_ping(node, number, &target, now),
            Body::Ack { number } => {
                if let Some(relay) = self.prober.on_ack(number) {
                    let number = relay.number;
                    self.send_to_member(&relay.requester, Body::Ack { number });
                }
            }
            Body::Gossip => {}
            Body::SyncRequest { hashes, wants_return } => {
                self.on_sync_request(node, &hashes, wants_return, random);
            }
            Body::SyncRecords { records } => self.on_sync_records(records, now),
        }
    }

    fn relay_ping(&mut self, requester: &NodeName, number: u32, target: &NodeName, now: Duration) {
        if self.table.get(target).is_none() {
            return;
        }
        let relay = self.prober.relay(requester.clone(), number, now, &self.timing);
        if let Some(number) = relay {
            self.send_to_member(target, Body::Ping { number });
        }
    }
}
