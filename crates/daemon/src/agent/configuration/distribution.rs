//! Distributes the configuration between nodes: answers peers that request or fetch a newer
//! configuration, and fetches it from them.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::spreading::{Puller, View};
use kestrellock_peer::message::ConfigurationMessage;

use super::confirmation_queries::ConfirmationQueries;
use super::delta_receiver::DeltaReceiver;
use super::delta_server::DeltaServer;
use super::{Configuration, Peer};
use crate::shared::inbox::Received;
use crate::supervisor::StopFlag;

/// Longest wait for a message before the thread checks what is due.
const STEP: Duration = Duration::from_millis(100);

/// Exchanges configuration with peers until `stop` is set.
pub fn distribute(configuration: &Configuration, stop: &StopFlag) {
    let mut exchange = Distribution::new(configuration);
    while !stop.is_stopping() {
        stop.wait_while_paused();
        if let Ok(received) = configuration.context.configuration.receiver.recv_timeout(STEP) {
            exchange.on_message(received);
        }
        exchange.ask_if_due();
        exchange.confirming.ask_if_due(configuration);
        if exchange.serving.has_waiting() {
            exchange.serving.serve_waiting(configuration);
        }
    }
}

/// State of the exchange with peers.
struct Distribution<'a> {
    own: &'a Configuration,
    puller: Puller,
    serving: DeltaServer,
    fetching: DeltaReceiver,
    confirming: ConfirmationQueries,
}

impl<'a> Distribution<'a> {
    fn new(own: &'a Configuration) -> Self {
        let puller = Puller::new(own.own());
        let confirming = ConfirmationQueries::new(own);
        Self {
            own,
            puller,
            serving: DeltaServer::default(),
            fetching: DeltaReceiver::default(),
            confirming,
        }
    }

    fn ask_if_due(&mut self) {
        let context = &self.own.context;
        let (now, have) = (Instant::now(), self.own.revision());
        let newer = context.revisions.newer_than(have);
        if !self.puller.is_due(newer.is_some(), now) {
            return;
        }
        let live = self.own.live();
        let view = View { now, have, newer: newer.as_ref(), live: &live, random: rand::random() };
        let Some(node) = self.puller.next(&view) else { return };
        // Dead nodes are removed here, because a dead node may be the only one with a newer revision.
        let live: HashSet<&NodeName> = live.iter().map(|other| &other.node).collect();
        context.revisions.retain(|node| live.contains(node));
        let peer = Peer::first_shard_of(node);
        if newer.is_none() {
            self.own.send(&peer, ConfigurationMessage::Request { have });
            return;
        }
        self.fetching.begin(self.own, &peer, context.catalog.load().summary());
    }

    fn on_message(&mut self, received: Received) {
        let own = self.own;
        let Received { from, shard, message } = received;
        let peer = Peer { node: from, shard };
        match message {
            ConfigurationMessage::Request { have } => {
                own.context.revisions.record(&peer.node, have);
                let revision = own.revision();
                own.send(&peer, ConfigurationMessage::InForce { revision });
            }
            ConfigurationMessage::InForce { revision } => {
                own.context.revisions.record(&peer.node, revision);
                if self.puller.on_revision(&peer.node, revision) {
                    self.fetching.on_nothing(&peer.node, revision);
                }
            }
            ConfigurationMessage::Fetch { have } => {
                own.context.revisions.record(&peer.node, have.revision);
                self.serving.on_fetch(own, &peer, have);
            }
            ConfigurationMessage::Queued => self.puller.on_queued(&peer.node, Instant::now()),
            ConfigurationMessage::Part(part) => {
                self.fetching.on_part(own, &peer, &part, &mut self.puller);
            }
            ConfigurationMessage::Next { transfer, offset } => {
                self.serving.on_next(own, &peer, transfer, offset);
            }
            ConfigurationMessage::Confirm { number } => {
                self.confirming.on_question(own, &peer, number);
            }
            ConfigurationMessage::Confirmed { number, newest } => {
                self.confirming.on_answer(own, &peer, number, newest);
            }
            ConfigurationMessage::Enough => self.serving.on_enough(own, &peer.node),
        }
    }
}
