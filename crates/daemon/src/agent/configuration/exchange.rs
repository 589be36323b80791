//! Answers peers that want a newer configuration, and asks them for one.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use kestrellock_core::distribution::{Fetcher, FetcherView};
use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::ConfigurationMessage;

use super::confirming::Confirming;
use super::fetching::Fetching;
use super::serving::Serving;
use super::{Configuration, Peer};
use crate::shared::inbox::Received;
use crate::supervisor::StopFlag;

/// Longest wait for a message before the time is looked at.
const STEP: Duration = Duration::from_millis(100);

/// Exchanges configuration with peers until told to stop.
pub fn exchange(configuration: &Configuration, stop: &StopFlag) {
    let mut exchange = Exchange::new(configuration);
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

/// What is under way between this node and its peers.
struct Exchange<'a> {
    own: &'a Configuration,
    puller: Fetcher,
    serving: Serving,
    fetching: Fetching,
    confirming: Confirming,
}

impl<'a> Exchange<'a> {
    fn new(own: &'a Configuration) -> Self {
        let puller = Fetcher::new(own.own());
        let confirming = Confirming::new(own);
        Self { own, puller, serving: Serving::default(), fetching: Fetching::default(), confirming }
    }

    fn ask_if_due(&mut self) {
        let context = &self.own.context;
        let (now, have) = (Instant::now(), self.own.revision());
        let newer = context.revisions.newer_than(have);
        if !self.puller.is_due(newer.is_some(), now) {
            return;
        }
        let live = self.own.live();
        let view = FetcherView {
            now,
            active_revision: have,
            newer_node: newer.as_ref(),
            live: &live,
            random: rand::random(),
        };
        let Some(node) = self.puller.next(&view) else { return };
        // The dead are forgotten here, since a dead node may be the only one that was newer.
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
                own.context.revisions.hear(&peer.node, have);
                let revision = own.revision();
                own.send(&peer, ConfigurationMessage::InForce { revision });
            }
            ConfigurationMessage::InForce { revision } => {
                own.context.revisions.hear(&peer.node, revision);
                if self.puller.on_revision(&peer.node, revision) {
                    self.fetching.on_nothing(&peer.node, revision);
                }
            }
            ConfigurationMessage::Fetch { have } => {
                own.context.revisions.hear(&peer.node, have.revision);
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
