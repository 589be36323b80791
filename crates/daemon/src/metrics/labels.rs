//! The values of the labels of the node's counters.
//!
//! Every value comes from an enum: text from outside the process never becomes a label.

use kestrellock_core::outcome::ResultCode;
use kestrellock_core::primary_evidence::EvidenceKind;

/// A fixed set of label values.
pub trait Label: Copy + 'static {
    /// Every value, in the order of [`Label::index`].
    const ALL: &'static [Self];

    /// Position in [`Label::ALL`].
    fn index(self) -> usize;

    /// The label value as exported.
    fn text(self) -> String;
}

macro_rules! labels {
    ($(#[$doc:meta])* $name:ident { $($(#[$value_doc:meta])* $value:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($(#[$value_doc])* $value,)* }

        impl Label for $name {
            const ALL: &'static [Self] = &[$(Self::$value,)*];

            fn index(self) -> usize {
                self as usize
            }

            fn text(self) -> String {
                match self { $(Self::$value => $text.to_owned(),)* }
            }
        }
    };
}

impl Label for ResultCode {
    const ALL: &'static [Self] = ResultCode::ALL;

    fn index(self) -> usize {
        self as usize
    }

    fn text(self) -> String {
        self.to_string()
    }
}

labels! {
    /// Result of a statement for its client.
    StatementResult {
        /// A read that an instance answered.
        ReadAnswered = "read_answered",
        /// A write that an instance answered.
        WriteAnswered = "write_answered",
        /// Refused by the proxy; it did not run.
        NotRun = "not_run",
        /// The proxy does not know whether it ran.
        InDoubt = "in_doubt",
    }
}

labels! {
    /// Destination of an exchange.
    Route {
        /// To a replica.
        Replica = "replica",
        /// To the primary, for a read.
        PrimaryRead = "primary_read",
        /// To the primary, for a write.
        PrimaryWrite = "primary_write",
    }
}

labels! {
    /// Event on a connection to a client, an instance or another node.
    ConnectionEvent {
        /// Opened.
        Opened = "opened",
        /// Closed, by either side.
        Closed = "closed",
        /// Refused by the side that was asked to accept it.
        Refused = "refused",
        /// Closed while idle, to make room for a connection of another account.
        Replaced = "replaced",
        /// Abandoned because another connection to the same process exists.
        Duplicate = "doubled",
        /// Abandoned because nothing arrived on it any more, although the process at the other end
        /// runs.
        Silent = "silent",
    }
}

labels! {
    /// Event of a connection that was opened in advance for an account.
    PrewarmEvent {
        /// Opened.
        Opened = "opened",
        /// Ran its first statement.
        Used = "used",
        /// Closed before it ran a statement.
        Unused = "unused",
    }
}

labels! {
    /// Event of a preparation, which establishes a session's state on a connection to an instance.
    PreparationEvent {
        /// Sent.
        Sent = "sent",
        /// Confirmed by the instance.
        Confirmed = "confirmed",
        /// Failed by the instance.
        Failed = "failed",
        /// The connection ended, or the instance did not answer in time.
        Interrupted = "interrupted",
    }
}

labels! {
    /// Event of a position that a session's reads must have reached in a group.
    SessionBoundEvent {
        /// Used again, because the session's database returned to the group.
        Restored = "restored",
        /// Dropped, because the session has written in too many other groups. Its reads in the group
        /// then cover all acknowledged commits.
        Dropped = "dropped",
    }
}

labels! {
    /// Event of a position probe.
    ProbeEvent {
        /// Sent.
        Sent = "sent",
        /// Answered.
        Answered = "answered",
        /// Lost, refused, or with an invalid answer.
        Failed = "failed",
    }
}

labels! {
    /// Event of a connection for the status queries of one instance.
    StatusConnectionEvent {
        /// Opened, because no connection of the instance's pool was idle.
        Opened = "opened",
        /// A status query was sent on it.
        Queried = "queried",
        /// Not established, lost, or without an answer.
        Failed = "failed",
        /// Closed, because it was not needed any more.
        Closed = "closed",
    }
}

labels! {
    /// Event of a datagram or message between nodes.
    MessageEvent {
        /// Sent.
        Sent = "sent",
        /// Received and processed.
        Received = "received",
        /// Malformed, of another version or cluster, or a replay.
        Refused = "refused",
    }
}

labels! {
    /// Result of a request to the store.
    StoreResult {
        /// Answered.
        Answered = "answered",
        /// Not sent, because the store was unreachable.
        Unreachable = "unreachable",
        /// Sent but not answered.
        Unanswered = "unanswered",
        /// Refused by the store's rate limit.
        RateLimited = "rate_limited",
        /// Answered in violation of the protocol.
        Protocol = "protocol",
    }
}

labels! {
    /// Why a node calls the store. Calls for the configuration of operators are not included.
    StorePurpose {
        /// Following changes and reading what has to be followed.
        Watch = "watch",
        /// Writing votes on primaries.
        Vote = "vote",
        /// Replacement checks.
        ReplacementCheck = "replacement_check",
        /// Attempts to acquire the coordinator lease; one attempt makes up to two calls.
        Lease = "lease",
        /// Operations of a coordinator on its lease and on replacement records.
        Replacement = "replacement",
    }
}

labels! {
    /// Result of a check whether the primaries of groups are being replaced.
    ReplacementCheckEvent {
        /// The store confirmed all groups.
        StoreConfirmed = "store_confirmed",
        /// The store's record of a group is newer than this node's copy, or this node has learned of
        /// a replacement since.
        StoreRefused = "store_refused",
        /// The store did not answer.
        StoreFailed = "store_failed",
        /// All other nodes confirmed all groups.
        PeersConfirmed = "peers_confirmed",
        /// A node did not confirm some groups.
        PeersRefused = "peers_refused",
        /// A node did not answer in time, or runs a version that cannot.
        PeersUnanswered = "peers_unanswered",
    }
}

labels! {
    /// Event of the votes that owners exchange directly.
    VoteEvent {
        /// A message with votes, or their withdrawal, was sent to another owner.
        Sent = "sent",
        /// Another owner confirmed the votes.
        Confirmed = "confirmed",
        /// A message with votes arrived from another owner and is used.
        Received = "received",
        /// A vote went through the store, because not all owners have confirmed it.
        InStore = "in_store",
    }
}

labels! {
    /// Event of a configuration that the node received, or sent to a peer.
    ConfigurationEvent {
        /// Activated.
        Applied = "applied",
        /// Malformed or invalid as a whole; the active configuration stayed.
        Refused = "refused",
        /// An entry or instance was invalid and left out.
        LeftOut = "left_out",
        /// An entry in the store could not be parsed.
        Unreadable = "unreadable",
        /// Fetched from a peer.
        Fetched = "pulled",
        /// A fetch that a peer did not complete in time.
        TimedOut = "given_up",
        /// Announced to the peers that fetch from this node.
        Announced = "announced",
        /// Sent to a peer.
        Served = "served",
    }
}

labels! {
    /// Change of the decision whether the node is isolated.
    IsolationEvent {
        /// The node has become isolated.
        Isolated = "isolated",
        /// The isolation has ended.
        Over = "over",
    }
}

labels! {
    /// Event of the division of an instance's capacity among owners.
    CapacityEvent {
        /// A slot was allocated to this node.
        Granted = "granted",
        /// A statement started under an allocation.
        Taken = "taken",
        /// The demand of another owner expired without news from it.
        Expired = "expired",
    }
}

labels! {
    /// How a session ended that the node ended.
    SessionEndEvent {
        /// The client was told that its session ends.
        Notified = "notified",
        /// A request that was on its way when the client was told was refused.
        RefusedCrossing = "refused_crossing",
        /// A request in progress was refused because the process was about to end.
        RefusedAtLimit = "refused_at_limit",
    }
}

labels! {
    /// Why a whole request got no complete answer.
    UnansweredRequest {
        /// It arrived after the node had ended its stream.
        AfterEndOfStream = "after_end_of_stream",
        /// It was in progress when the connection was closed.
        InProgress = "in_progress",
        /// The client did not read its answer in time.
        OutputUnsent = "output_unsent",
        /// The client had read too little of its answers, and the node could not buffer more.
        OutputLimit = "output_limit",
        /// A thread panicked while it handled the session, which may have read a request.
        ThreadPanicked = "thread_panicked",
        /// It was unfinished when the process ended.
        EndOfStop = "end_of_stop",
    }
}

labels! {
    /// Work of fronts that the planned stop of its owner has ended.
    StoppedExchange {
        /// An exchange that had not run was refused, so that its front sends it to another owner.
        NotRun = "not_run",
        /// An open transaction was rolled back.
        TransactionLost = "transaction_lost",
        /// An exchange that ran, or whose commit was not confirmed yet, was ended.
        CutOff = "cut_off",
    }
}

labels! {
    /// The evidence that an instance leads on which it was chosen for an exchange, or that was
    /// missing.
    ChoiceEvidence {
        /// A write, on a commit that the primary acknowledged.
        WriteByCommit = "write_commit",
        /// A write, on reports that were answered while earlier evidence held.
        WriteByRenewedReports = "write_renewed_reports",
        /// A write, on reports of some replicas and the store.
        WriteBySomeReplicas = "write_some_replicas",
        /// A write, on new reports of all replicas and of the primary alone.
        WriteByUncheckedReplicas = "write_unchecked_replicas",
        /// A write that waits because evidence is missing.
        WriteWaits = "write_waits",
        /// A read, on a commit that the primary acknowledged.
        ReadByCommit = "read_commit",
        /// A read, on reports that were answered while earlier evidence held.
        ReadByRenewedReports = "read_renewed_reports",
        /// A read, on reports of some replicas and the store.
        ReadBySomeReplicas = "read_some_replicas",
        /// A read, on new reports of all replicas and of the primary alone.
        ReadByUncheckedReplicas = "read_unchecked_replicas",
        /// A read that waits because evidence is missing.
        ReadWaits = "read_waits",
    }
}

labels! {
    /// The evidence that covers the answer of a commit that wrote: it shows that the commit reached
    /// a replica before a promotion can have released one.
    AnswerEvidence {
        /// An earlier commit that the primary acknowledged.
        Commit = "commit",
        /// Reports that were answered while earlier evidence held.
        RenewedReports = "renewed_reports",
        /// Reports of some replicas and a replacement check.
        SomeReplicas = "some_replicas",
        /// None: another instance may lead. All replicas have reported, and without earlier evidence
        /// or a replacement check that is none.
        Unclaimed = "reports_without_claim",
        /// None for other reasons.
        Missing = "none",
    }
}

labels! {
    /// Why the answer of a commit waits until replicas have confirmed it.
    CommitWait {
        /// This node is not in the machine list.
        Unlisted = "unlisted",
        /// No evidence that this node had before covers the answer.
        Uncovered = "uncovered",
        /// This node does not know how a replacement of the primary ended.
        ReplacementUnknown = "replacement_unknown",
    }
}

labels! {
    /// What a request waits for before it is sent to an instance.
    HeldFor {
        /// Evidence that the primary leads.
        Evidence = "evidence",
        /// A primary that leads the term of the session's last commit.
        SessionTerm = "session_term",
        /// A confirmation that the primary is not being replaced.
        ReplacementCheck = "replacement_check",
        /// An instance that qualifies.
        Instance = "instance",
        /// A gateway, or an instance of the group, that the client's node knows.
        Gateway = "gateway",
    }
}

labels! {
    /// How the wait of a commit ended whose answer no evidence covered when it arrived.
    CommitWaitEnd {
        /// Acknowledged: evidence arrived that had been requested early enough.
        Covered = "covered",
        /// Acknowledged: replicas that were queried after the answer confirmed it.
        Confirmed = "confirmed",
        /// In doubt: the primary is being replaced, or has been.
        Replaced = "replaced",
        /// In doubt: nothing confirmed it before its deadline.
        InDoubt = "in_doubt",
    }
}

labels! {
    /// An event that is counted here because no other metric counts exactly its log lines. The text
    /// is the event in the log.
    LoggedEvent {
        /// A write that was sent to an instance has no answer.
        WriteFailed = "write_failed",
        /// A primary that is being replaced answered a commit too late.
        AnswerTooLate = "answer_too_late",
        /// An exchange arrived after it was reported to its front as not run.
        RuledOut = "ruled_out",
        /// An open transaction was rolled back because its zone is being drained.
        TransactionDrained = "transaction_drained",
        /// A link was closed because of an error of the other side.
        LinkClosed = "link_closed",
        /// The replacement records of a group could not be written back to the store.
        NotWrittenBack = "not_written_back",
    }
}

impl AnswerEvidence {
    /// The label for the evidence of an answer; `None` if there is none. `lacks_claim` says whether
    /// reports of all replicas yield none for want of a claim.
    pub fn of(evidence: Option<EvidenceKind>, lacks_claim: bool) -> Self {
        match evidence {
            Some(EvidenceKind::Commit) => Self::Commit,
            Some(EvidenceKind::RenewedReports) => Self::RenewedReports,
            Some(EvidenceKind::SomeReplicas) => Self::SomeReplicas,
            Some(EvidenceKind::UncheckedReplicas) | None if lacks_claim => Self::Unclaimed,
            Some(EvidenceKind::UncheckedReplicas) | None => Self::Missing,
        }
    }
}

impl ChoiceEvidence {
    /// The label for an exchange that writes or reads, and the evidence for its instance; `None` if
    /// it waits for evidence.
    pub fn of(writes: bool, evidence: Option<EvidenceKind>) -> Self {
        match (writes, evidence) {
            (true, Some(EvidenceKind::Commit)) => Self::WriteByCommit,
            (true, Some(EvidenceKind::RenewedReports)) => Self::WriteByRenewedReports,
            (true, Some(EvidenceKind::SomeReplicas)) => Self::WriteBySomeReplicas,
            (true, Some(EvidenceKind::UncheckedReplicas)) => Self::WriteByUncheckedReplicas,
            (true, None) => Self::WriteWaits,
            (false, Some(EvidenceKind::Commit)) => Self::ReadByCommit,
            (false, Some(EvidenceKind::RenewedReports)) => Self::ReadByRenewedReports,
            (false, Some(EvidenceKind::SomeReplicas)) => Self::ReadBySomeReplicas,
            (false, Some(EvidenceKind::UncheckedReplicas)) => Self::ReadByUncheckedReplicas,
            (false, None) => Self::ReadWaits,
        }
    }
}
