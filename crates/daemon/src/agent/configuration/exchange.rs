//! Answers peers that want a newer configuration, and asks them for one.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{CatalogDelta, DeltaError, Revision};
use kestrellock_core::ids::NodeName;
use kestrellock_core::spreading::{Puller, View};
use kestrellock_peer::message::ConfigurationMessage;

use super::{Configuration, FIRST_SHARD, Offer};
use crate::metrics::ConfigurationEvent;
use crate::shared::inbox::Received;
use crate::supervisor::StopFlag;

/// Longest wait for a message before the time is looked at.
const STEP: Duration = Duration::from_millis(100);

/// Exchanges configuration with peers until told to stop.
pub fn exchange(configuration: &Configuration, stop: &StopFlag) {
    let mut puller = Puller::new(configuration.own());
    while !stop.is_stopping() {
        stop.wait_while_paused();
        if let Ok(received) = configuration.context.configuration.receiver.recv_timeout(STEP) {
            configuration.on_message(received, &mut puller);
        }
        configuration.ask_if_due(&mut puller);
    }
}

impl Configuration {
    fn ask_if_due(&self, puller: &mut Puller) {
        let (now, have) = (Instant::now(), self.revision());
        let newer = self.context.revisions.newer_than(have);
        if !puller.is_due(newer.is_some(), now) {
            return;
        }
        let live = self.live();
        let view = View { now, have, newer: newer.as_ref(), live: &live, random: rand::random() };
        if let Some(node) = puller.next(&view) {
            // The dead are forgotten here, since a dead node may be the only one that was newer.
            let live: HashSet<&NodeName> = live.iter().map(|other| &other.node).collect();
            self.context.revisions.retain(|node| live.contains(node));
            self.send(&node, FIRST_SHARD, ConfigurationMessage::Request { have });
        }
    }

    fn on_message(&self, received: Received, puller: &mut Puller) {
        let Received { from, shard, message } = received;
        match message {
            ConfigurationMessage::Request { have } => {
                self.context.revisions.hear(&from, have);
                self.answer(&from, shard, have);
            }
            ConfigurationMessage::InForce { revision } => {
                self.context.revisions.hear(&from, revision);
                puller.on_answer(&from);
            }
            ConfigurationMessage::Delta(delta) => self.on_delta(&from, shard, &delta, puller),
        }
    }

    fn answer(&self, node: &NodeName, shard: u16, have: Revision) {
        let catalog = self.context.catalog.load();
        let revision = catalog.revision;
        if revision <= have {
            self.send(node, shard, ConfigurationMessage::InForce { revision });
            return;
        }
        self.context.metrics.configuration.count(ConfigurationEvent::Served);
        let delta = Box::new(catalog.delta_since(have));
        self.send(node, shard, ConfigurationMessage::Delta(delta));
    }

    fn on_delta(&self, from: &NodeName, shard: u16, delta: &CatalogDelta, puller: &mut Puller) {
        self.context.revisions.hear(from, delta.changed.revision);
        puller.on_answer(from);
        let next = self.context.catalog.load().with(delta);
        match next {
            Ok(catalog) => {
                self.context.metrics.configuration.count(ConfigurationEvent::Pulled);
                match self.offer(catalog) {
                    Offer::InForce => self.announce_if_follower(),
                    Offer::NotNewer => {}
                    Offer::Refused => puller.on_refused(from, Instant::now()),
                }
            }
            Err(DeltaError::NotNewer) => {}
            Err(DeltaError::DoesNotFit) if delta.base == Revision::default() => {
                puller.on_refused(from, Instant::now());
            }
            Err(DeltaError::DoesNotFit) => {
                let have = Revision::default();
                self.send(from, shard, ConfigurationMessage::Request { have });
            }
        }
    }
}
