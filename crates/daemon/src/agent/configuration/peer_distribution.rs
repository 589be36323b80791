//! Distributes the configuration between nodes: answers peers that request or fetch a newer
//! configuration, and fetches it from them.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use kestrellock_core::distribution::{Fetcher, FetcherView};
use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::ConfigurationMessage;

use super::confirmation_queries::ConfirmationQueries;
use super::delta_receiver::DeltaReceiver;
use super::delta_server::DeltaServer;
use super::{Configuration, Peer};
use crate::shared::inbox::Received;
use crate::supervisor::StopFlag;

/// Longest wait for a message before the thread checks what is due.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Exchanges configuration with peers until `stop` is set.
pub fn distribute(configuration: &Configuration, stop: &StopFlag) {
    let mut distribution = Distribution::new(configuration);
    while !stop.is_stopping() {
        stop.wait_while_paused();
        if let Ok(received) =
            configuration.context.configuration.receiver.recv_timeout(RECEIVE_TIMEOUT)
        {
            distribution.on_message(received);
        }
        distribution.fetch_if_due();
        distribution.confirmation_queries.query_if_due(configuration);
        if distribution.delta_server.has_waiting() {
            distribution.delta_server.serve_waiting(configuration);
        }
    }
}

/// State of the exchange with peers.
struct Distribution<'a> {
    configuration: &'a Configuration,
    puller: Fetcher,
    delta_server: DeltaServer,
    delta_receiver: DeltaReceiver,
    confirmation_queries: ConfirmationQueries,
}

impl<'a> Distribution<'a> {
    fn new(configuration: &'a Configuration) -> Self {
        let puller = Fetcher::new(configuration.own_candidate());
        let confirmation_queries = ConfirmationQueries::new(configuration);
        Self {
            configuration,
            puller,
            delta_server: DeltaServer::default(),
            delta_receiver: DeltaReceiver::default(),
            confirmation_queries,
        }
    }

    fn fetch_if_due(&mut self) {
        let context = &self.configuration.context;
        let (now, have) = (Instant::now(), self.configuration.revision());
        let newer = context.revisions.newer_than(have);
        if !self.puller.is_due(newer.is_some(), now) {
            return;
        }
        let live = self.configuration.live_candidates();
        let view = FetcherView {
            now,
            active_revision: have,
            newer_node: newer.as_ref(),
            live: &live,
            random: rand::random(),
        };
        let Some(node) = self.puller.next(&view) else { return };
        // Dead nodes are removed here, because a dead node may be the only one with a newer
        // revision.
        let live: HashSet<&NodeName> = live.iter().map(|other| &other.node).collect();
        context.revisions.retain(|node| live.contains(node));
        let peer = Peer::first_shard_of(node);
        if newer.is_none() {
            self.configuration.send(&peer, ConfigurationMessage::Request { have });
            return;
        }
        self.delta_receiver.start(self.configuration, &peer, context.catalog.load().summary());
    }

    fn on_message(&mut self, received: Received) {
        let configuration = self.configuration;
        let Received { from, shard, message } = received;
        let peer = Peer { node: from, shard };
        match message {
            ConfigurationMessage::Request { have } => {
                configuration.context.revisions.record(&peer.node, have);
                let revision = configuration.revision();
                configuration.send(&peer, ConfigurationMessage::InForce { revision });
            }
            ConfigurationMessage::InForce { revision } => {
                configuration.context.revisions.record(&peer.node, revision);
                if self.puller.on_revision(&peer.node, revision) {
                    self.delta_receiver.on_nothing_newer(&peer.node, revision);
                }
            }
            ConfigurationMessage::Fetch { have } => {
                configuration.context.revisions.record(&peer.node, have.revision);
                self.delta_server.on_fetch(configuration, &peer, have);
            }
            ConfigurationMessage::Queued => self.puller.on_queued(&peer.node, Instant::now()),
            ConfigurationMessage::Part(part) => {
                self.delta_receiver.on_chunk(configuration, &peer, &part, &mut self.puller);
            }
            ConfigurationMessage::Next { transfer, offset } => {
                self.delta_server.on_next(configuration, &peer, transfer, offset);
            }
            ConfigurationMessage::Confirm { number } => {
                self.confirmation_queries.on_query(configuration, &peer, number);
            }
            ConfigurationMessage::Confirmed { number, newest } => {
                self.confirmation_queries.on_answer(configuration, &peer, number, newest);
            }
            ConfigurationMessage::Enough => self.delta_server.on_enough(configuration, &peer.node),
        }
    }
}
