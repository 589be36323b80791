//! Asks other nodes since when the configuration is known to be the newest, and answers them.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::CatalogVersion;
use kestrellock_core::credential_evidence::{
    Confirmation, EvidenceRequestId, EvidenceRequester, RequesterView,
};
use kestrellock_peer::message::ConfigurationMessage;

use super::{Configuration, Peer};

/// What is asked and answered between this node and its peers.
#[derive(Debug, Default)]
pub(super) struct Confirming {
    /// None where no limit is set.
    seeker: Option<EvidenceRequester>,
}

impl Confirming {
    /// For the limit of the node's settings.
    pub fn new(own: &Configuration) -> Self {
        Self { seeker: own.context.revocation_limit.map(EvidenceRequester::new) }
    }

    /// Asks for newer evidence if that is due.
    pub fn ask_if_due(&mut self, own: &Configuration) {
        let Some(seeker) = &mut self.seeker else { return };
        let context = &own.context;
        let (own_candidate, live) = (own.own(), own.live());
        let newest = context.confirmations.newest(own.version()).map(|known| known.at);
        let view = RequesterView {
            now: Instant::now(),
            own: &own_candidate,
            live: &live,
            newest,
            random: rand::random(),
        };
        if let Some((node, number)) = seeker.next(&view) {
            let number = number.0;
            own.send(&Peer::first_shard_of(node), ConfigurationMessage::Confirm { number });
        }
    }

    /// A node asks.
    pub fn on_question(&self, own: &Configuration, peer: &Peer, number: u64) {
        let newest = own.context.confirmations.newest(own.version());
        let newest = newest.map(|known| (known.version, known.at.elapsed()));
        own.send(peer, ConfigurationMessage::Confirmed { number, newest });
    }

    /// A node has answered.
    pub fn on_answer(
        &mut self,
        own: &Configuration,
        peer: &Peer,
        number: u64,
        newest: Option<(CatalogVersion, Duration)>,
    ) {
        let Some(seeker) = &mut self.seeker else { return };
        let Some(asked) = seeker.on_answer(&peer.node, EvidenceRequestId(number)) else { return };
        let confirmation = newest.and_then(|(version, age)| {
            own.context.revisions.hear(&peer.node, version.revision);
            Some(Confirmation { version, at: asked.checked_sub(age)? })
        });
        seeker.on_evidence(&peer.node, asked, confirmation.map(|known| known.at));
        if let Some(confirmation) = confirmation {
            own.context.confirmations.add(confirmation);
        }
    }
}
