//! Exchanges confirmations with other nodes: when the configuration was last known to be the
//! newest.
//!
//! These confirmations are the evidence that the credentials in the configuration have not been
//! revoked. Without a revocation limit this node asks for none, but answers others.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::CatalogVersion;
use kestrellock_core::credential_evidence::{
    Confirmation, EvidenceRequestId, EvidenceRequester, RequesterView,
};
use kestrellock_peer::message::ConfigurationMessage;

use super::{Configuration, Peer};

/// Queries to and from peers about confirmations.
#[derive(Debug, Default)]
pub(super) struct ConfirmationQueries {
    /// `None` without a revocation limit.
    seeker: Option<EvidenceRequester>,
}

impl ConfirmationQueries {
    /// Uses the revocation limit from the node's settings.
    pub fn new(configuration: &Configuration) -> Self {
        Self { seeker: configuration.context.revocation_limit.map(EvidenceRequester::new) }
    }

    /// Asks a node for newer evidence if a query is due.
    pub fn query_if_due(&mut self, configuration: &Configuration) {
        let Some(seeker) = &mut self.seeker else { return };
        let context = &configuration.context;
        let (own_candidate, live) =
            (configuration.own_candidate(), configuration.live_candidates());
        let newest = context.confirmations.newest(configuration.version()).map(|known| known.at);
        let view = RequesterView {
            now: Instant::now(),
            own: &own_candidate,
            live: &live,
            newest,
            random: rand::random(),
        };
        if let Some((node, number)) = seeker.next(&view) {
            let number = number.0;
            configuration
                .send(&Peer::first_shard_of(node), ConfigurationMessage::Confirm { number });
        }
    }

    /// Answers the query of a node.
    pub fn on_query(&self, configuration: &Configuration, peer: &Peer, number: u64) {
        let newest = configuration.context.confirmations.newest(configuration.version());
        let newest = newest.map(|known| (known.version, known.at.elapsed()));
        configuration.send(peer, ConfigurationMessage::Confirmed { number, newest });
    }

    /// Handles the answer of a node. The confirmation counts from the time of the query, less the
    /// age that the node reported, so that no clocks are compared between nodes.
    pub fn on_answer(
        &mut self,
        configuration: &Configuration,
        peer: &Peer,
        number: u64,
        newest: Option<(CatalogVersion, Duration)>,
    ) {
        let Some(seeker) = &mut self.seeker else { return };
        let Some(asked) = seeker.on_answer(&peer.node, EvidenceRequestId(number)) else { return };
        let confirmation = newest.and_then(|(version, age)| {
            configuration.context.revisions.record(&peer.node, version.revision);
            Some(Confirmation { version, at: asked.checked_sub(age)? })
        });
        seeker.on_evidence(&peer.node, asked, confirmation.map(|known| known.at));
        if let Some(confirmation) = confirmation {
            configuration.context.confirmations.add(confirmation);
        }
    }
}
