//! What an attempt is told, what it asks for, and how far it is.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{
    CombinedReport, Intent, Members, ObservedRestart, PromotionAnswer, ReplacementId,
    ReplicationStatus, Successor,
};
use crate::ids::InstanceName;
use crate::incarnation::InstanceIncarnation;
use crate::position::Term;

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The intent is being recorded.
    Recording,
    /// What is under way gets time to end.
    Draining {
        /// When that is over.
        until: Instant,
    },
    /// Replicas are being stopped.
    Stopping {
        /// Since when.
        since: Instant,
    },
    /// Evidence of the old primary lapses.
    Lapsing {
        /// Since when.
        since: Instant,
    },
    /// The replicas are asked once more.
    Checking,
    /// The promotion is under way.
    Promoting {
        /// When it is sent again unless a successor shows.
        again: Instant,
    },
    /// A successor leads: the rest is put in order.
    Settling {
        /// When that is given up.
        until: Instant,
    },
    /// It is called off: the replicas are released.
    Cancelling {
        /// When that is given up.
        until: Instant,
    },
    /// Nothing is left to do.
    Over,
}

/// What the holder is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Record the intent in the store.
    RecordIntent(Intent),
    /// Ask the store which starts of their processes the instances tell, and say [`Event::Starts`] or
    /// [`Event::StartsUnknown`].
    ReadIncarnations,
    /// Ask an instance how it stands.
    QueryStatus(InstanceName),
    /// Tell a replica to receive nothing below `term`.
    Stop {
        /// The replica.
        instance: InstanceName,
        /// Above every term seen.
        term: Term,
    },
    /// Tell a primary of a lower term to step down.
    Demote {
        /// The old primary.
        instance: InstanceName,
        /// The new term.
        term: Term,
    },
    /// Tell a replica to receive again.
    Release(InstanceName),
    /// Have the platform promote an instance.
    Promote(InstanceName),
    /// Record the successor, so that nodes follow it while the old primary still says it leads.
    RecordSuccessor(InstanceName),
    /// Take the record back; the successor, if there is one, is recorded in its place.
    Finish {
        /// Whose record it is.
        id: ReplacementId,
        /// The new primary.
        successor: Option<Successor>,
    },
}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This intent is recorded.
    IntentRecorded(Intent),
    /// The store, asked at `asked`, said which starts of their processes the instances tell.
    Incarnations {
        /// By instance.
        by_instance: BTreeMap<InstanceName, InstanceIncarnation>,
        /// When the store was asked.
        asked: Instant,
    },
    /// The store did not say it.
    IncarnationsUnavailable,
    /// An instance answered a question or a command that was sent at `sent`.
    StatusReported {
        /// The instance.
        instance: InstanceName,
        /// What it said.
        status: ReplicationStatus,
        /// When it was asked.
        sent: Instant,
    },
    /// An instance did not answer.
    NoAnswer(InstanceName),
    /// An instance refused the connection: nothing runs at its address.
    Refused {
        /// The instance.
        instance: InstanceName,
        /// When the connection was tried.
        sent: Instant,
    },
    /// Another instance answered at the instance's address: it has ended.
    Displaced {
        /// The instance.
        instance: InstanceName,
        /// When the connection was tried.
        sent: Instant,
    },
    /// The platform answered a promotion.
    Promoted {
        /// The instance that was to take over.
        instance: InstanceName,
        /// The answer.
        answer: PromotionAnswer,
    },
    /// The instances as the platform tells them now.
    Members(Members),
    /// A replica that was told to receive again has answered.
    Released(InstanceName),
    /// A node has seen an instance start again, and receive since whatever was answered before.
    Refilled(ObservedRestart),
    /// What all nodes have heard of the primary.
    ReportsCombined(CombinedReport),
    /// Every node that may read at the old primary has given its evidence up.
    EvidenceRevoked,
    /// Whether there still is a reason.
    StillNeeded(bool),
}
