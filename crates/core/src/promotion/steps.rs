//! The phases of an attempt, the commands that it emits and the events that it consumes.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{
    CombinedReport, Intent, LogHolder, Members, ObservedRestart, PromotionAnswer, PromotionCaller,
    ReplacementId, ReplicationStatus, Successor,
};
use crate::ids::InstanceName;
use crate::incarnation::InstanceIncarnation;
use crate::position::{Position, Term};

/// The phase that an attempt has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The intent is being recorded.
    Recording,
    /// Open work is given time to finish.
    Draining {
        /// When that time ends.
        until: Instant,
    },
    /// Replicas are being stopped.
    Stopping {
        /// When the phase began.
        since: Instant,
    },
    /// The attempt waits until evidence of the old primary has expired.
    Lapsing {
        /// When the phase began.
        since: Instant,
    },
    /// The replicas are queried again to confirm that they are still stopped.
    Checking,
    /// The promotion has been sent.
    Promoting {
        /// When the replicas are checked and the promotion is sent again, unless a successor
        /// appears.
        again: Instant,
    },
    /// A successor is primary: the old primary is demoted and the replicas are released.
    Settling {
        /// When the attempt finishes even if that is incomplete.
        until: Instant,
    },
    /// The attempt is cancelled: the replicas are released.
    Cancelling {
        /// When the attempt finishes even if that is incomplete.
        until: Instant,
    },
    /// The attempt has finished.
    Over,
}

/// What the coordinator has to do for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Write the intent to the store.
    RecordIntent(Intent),
    /// Read the incarnations of the instances from the store and answer with
    /// [`Event::Incarnations`] or [`Event::IncarnationsUnavailable`].
    ReadIncarnations,
    /// Query the replication status of an instance.
    QueryStatus(InstanceName),
    /// Stop a replica: it rejects replication below `term`.
    Stop {
        /// The replica.
        instance: InstanceName,
        /// The minimum term, which is above every term seen.
        term: Term,
    },
    /// Demote a primary of a lower term.
    Demote {
        /// The old primary.
        instance: InstanceName,
        /// The new term.
        term: Term,
    },
    /// Release a replica: it accepts replication again.
    Release(InstanceName),
    /// Ask an earlier caller whether its promotion calls have ended, and have it send no more of
    /// them. Answered with [`Event::CallsEnded`].
    QueryCaller(PromotionCaller),
    /// Have the platform promote an instance.
    Promote(InstanceName),
    /// Write the successor to the store, so that nodes use it while the old primary still reports
    /// that it is the primary.
    RecordSuccessor(InstanceName),
    /// Remove the intent from the store and record the successor, if there is one, in its place.
    Finish {
        /// The replacement whose intent is removed.
        id: ReplacementId,
        /// The new primary, if an instance was promoted.
        successor: Option<Successor>,
    },
}

/// An input of the attempt's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This intent is in the store.
    IntentRecorded(Intent),
    /// The store returned the incarnations of the instances.
    Incarnations {
        /// Incarnation of each instance.
        by_instance: BTreeMap<InstanceName, InstanceIncarnation>,
        /// When the request was sent to the store.
        requested_at: Instant,
    },
    /// The store did not return the incarnations.
    IncarnationsUnavailable,
    /// An instance answered a query or a command with its replication status.
    StatusReported {
        /// The instance.
        instance: InstanceName,
        /// The status that it reported.
        status: ReplicationStatus,
        /// When the query or command was sent.
        sent: Instant,
    },
    /// An instance did not answer.
    NoAnswer(InstanceName),
    /// An instance refused the connection: no process listens at its address.
    Refused {
        /// The instance.
        instance: InstanceName,
        /// When the connection was tried.
        sent: Instant,
    },
    /// Another instance answered at the instance's address, so the instance has terminated.
    Displaced {
        /// The instance.
        instance: InstanceName,
        /// When the connection was tried.
        sent: Instant,
    },
    /// The platform answered a promotion.
    Promoted {
        /// The instance to be promoted.
        instance: InstanceName,
        /// The answer.
        answer: PromotionAnswer,
    },
    /// The promotion calls of an earlier caller have ended: each has reached the platform, or never
    /// will.
    CallsEnded(PromotionCaller),
    /// The instances as the platform reports them now.
    Members(Members),
    /// A replica confirmed that it has been released.
    Released(InstanceName),
    /// A node has seen an instance restart and since then receive every commit acknowledged before
    /// the restart.
    Refilled(ObservedRestart),
    /// The combined reports of all nodes on restarts and on the primary's position.
    ReportsCombined(CombinedReport),
    /// A node that knows all instances that may hold a commit which the others lack reported them.
    LogHoldersReported(Vec<LogHolder>),
    /// The highest position that the primary has reported to any node that has sent a report.
    PositionReported(Position),
    /// All nodes have reported up to which position they may have acknowledged commits to clients;
    /// this is the highest one. None of them passes on a commit any more.
    AcknowledgedPosition(Position),
    /// The operator accepts that acknowledged commits are lost.
    CommitLossAccepted,
    /// Every node that may read at the old primary has revoked its evidence.
    EvidenceRevoked,
    /// Whether there is still a reason to replace the primary.
    StillNeeded(bool),
}
