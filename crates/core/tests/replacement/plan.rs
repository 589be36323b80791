//! The faults that a seed may draw, and the faults that tests plant in the simulated nodes.

use rand::RngExt;
use rand::rngs::StdRng;

/// Selects the kinds of faults that a seed may draw.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// The primary may crash, become unreachable, leave, or be cut from its replicas or from nodes.
    pub primaries: bool,
    /// A node cannot reach the store while a working primary is replaced, and keeps using that
    /// primary.
    pub isolates_node: bool,
    /// Maximum number of faults of the general kinds in one run.
    pub max_faults: usize,
    /// Whether a promotion also releases replicas that do not follow the successor yet, as it does
    /// on the platform; otherwise they stay stopped until they follow it.
    pub releases_all: bool,
    /// Whether open connections also go silent while new ones work.
    pub silent_connections: bool,
    /// Whether an instance also restarts under its name without its data. This happens to one
    /// instance, once in a run, since a commit that two instances hold is lost if both lose their
    /// data.
    pub loses_data: bool,
    /// Whether nodes have to register, and another node joins.
    pub nodes_join: bool,
    /// Whether all nodes start at the beginning of the run, and all of them restart once.
    pub full_restart: bool,
    /// Whether the store is restored from an older copy, once or twice.
    pub store_restores: bool,
    /// Whether an instance that has lost its log may restart in less time than a promotion takes.
    pub quick_restarts: bool,
    /// Whether the coordinator's notifications reach the other nodes; otherwise all of them are
    /// lost.
    pub coordinator_notifies: bool,
    /// Whether a replica leaves as planned, while a node that cannot reach the store may keep using
    /// the primary.
    pub replicas_leave: bool,
    /// Whether nodes open further connections to instances from time to time.
    pub opens_connections: bool,
}

impl Faults {
    /// The general kinds of faults, at most four in a run.
    pub fn all() -> Self {
        Self {
            primaries: true,
            isolates_node: false,
            max_faults: 4,
            releases_all: false,
            silent_connections: false,
            loses_data: false,
            nodes_join: false,
            full_restart: false,
            store_restores: false,
            quick_restarts: false,
            coordinator_notifies: false,
            replicas_leave: false,
            opens_connections: false,
        }
    }

    /// The general kinds and an isolated node, at most nine in a run, so that planted faults meet
    /// the conditions that show them.
    pub fn dense() -> Self {
        Self {
            primaries: true,
            isolates_node: true,
            max_faults: 9,
            releases_all: false,
            silent_connections: false,
            loses_data: false,
            nodes_join: false,
            full_restart: false,
            store_restores: false,
            quick_restarts: false,
            coordinator_notifies: false,
            replicas_leave: false,
            opens_connections: false,
        }
    }

    /// Lets promotions release all replicas.
    pub fn with_releases(self) -> Self {
        Self { releases_all: true, ..self }
    }

    /// Adds connections that go silent.
    pub fn with_silent_connections(self) -> Self {
        Self { silent_connections: true, ..self }
    }

    /// Adds an instance that restarts without its data.
    pub fn with_data_loss(self) -> Self {
        Self { loses_data: true, ..self }
    }

    /// Adds registration of nodes in the store, and a node that joins.
    pub fn with_joining_nodes(self) -> Self {
        Self { nodes_join: true, ..self }
    }

    /// Starts all nodes with the run, and adds a restart of all of them.
    pub fn with_full_restart(self) -> Self {
        Self { full_restart: true, ..self }
    }

    /// Adds restores of the store from an older copy.
    pub fn with_store_restores(self) -> Self {
        Self { store_restores: true, ..self }
    }

    /// Adds an instance that restarts without its data after a short downtime.
    pub fn with_quick_data_loss(self) -> Self {
        Self { loses_data: true, quick_restarts: true, ..self }
    }

    /// Delivers the coordinator's notifications.
    pub fn with_coordinator_notifications(self) -> Self {
        Self { coordinator_notifies: true, ..self }
    }

    /// Adds a replica that leaves as planned.
    pub fn with_leaving_replicas(self) -> Self {
        Self { replicas_leave: true, ..self }
    }

    /// Lets nodes open further connections to instances.
    pub fn with_new_connections(self) -> Self {
        Self { opens_connections: true, ..self }
    }

    /// Faults of single nodes, of one replica and of the store only. Faults of all replicas are
    /// left out: if none of them receives, no commit is answered, which is the same as an isolated
    /// primary and requires a replacement.
    pub fn without_primaries() -> Self {
        Self {
            primaries: false,
            isolates_node: false,
            max_faults: 4,
            releases_all: false,
            silent_connections: false,
            loses_data: false,
            nodes_join: false,
            full_restart: false,
            store_restores: false,
            quick_restarts: false,
            coordinator_notifies: false,
            replicas_leave: false,
            opens_connections: false,
        }
    }
}

/// A fault planted in the simulated nodes, instances or coordinator, to show that the checker
/// detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// No planted fault.
    None,
    /// Reads go to the primary without evidence.
    ReadsWithoutEvidence,
    /// Writes go to the primary without evidence.
    WritesWithoutEvidence,
    /// The coordinator does not wait for evidence to expire.
    NoEvidenceWait,
    /// The replica that lags most is promoted.
    LaggingReplicaPromoted,
    /// Replicas report that they are stopped, but still receive.
    StopIgnored,
    /// Every coordinator has the same fencing token.
    FenceReused,
    /// Replicas stay stopped: neither a release command, nor following the successor, nor a
    /// promotion releases them.
    ReplicasNeverReleased,
    /// A write without an answer is reported as not run.
    InDoubtReportedNotRun,
    /// Nodes assume without a replacement check that the primary is not being replaced, and demote
    /// no old primary.
    NoReplacementCheck,
    /// Any answer of a primary counts as evidence that it leads, also one to a read.
    ReadAnswersAsEvidence,
    /// A planned replacement does not compare the old primary's log.
    OldPrimaryNotRequired,
    /// An instance announces the same incarnation after each restart.
    RestartsHidden,
    /// A node relies on its evidence for the full lifetime before it is listed.
    UnlistedEvidenceNotShortened,
    /// Incarnations from the store are trusted immediately after a store restore.
    StaleIncarnationsTrusted,
    /// Fencing tokens are bare revisions, which repeat after a store restore.
    RevisionAsFence,
    /// The coordinator does not read the list of nodes again when its intent is recorded.
    NodeListFromCopy,
    /// Commit answers of an old primary count at any time.
    LateCommitsAccepted,
    /// A node that coordinators do not notify acknowledges commits without confirmation by
    /// replicas.
    NoConfirmation,
    /// A replacement of which a node hears no more counts as one without a promotion.
    SilenceEndsReplacements,
    /// The coordinator does not wait for the end of earlier promotions.
    NoWaitForOpenCalls,
    /// An earlier coordinator that has been silent for a second counts as one without open
    /// promotions.
    SilenceEndsCalls,
    /// Evidence counts for reads on a new connection, although the process of the primary that it
    /// leads to may have started after the evidence was gathered.
    ProcessesIgnored,
}

impl PlantedFault {
    /// Whether nodes count unchecked reports of all replicas as evidence for a whole lifetime in
    /// worlds with this fault. The rule that requires earlier evidence or a replacement check prevents
    /// what the fault leads to, and the fault must still be detected.
    pub fn counts_reports_of_all_replicas(self) -> bool {
        matches!(
            self,
            Self::NoReplacementCheck
                | Self::LateCommitsAccepted
                | Self::NoEvidenceWait
                | Self::SilenceEndsReplacements
        )
    }
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// An instance crashes and restarts with its log.
    Crash(usize),
    /// An instance crashes and restarts under its name without its data.
    CrashWithDataLoss(usize),
    /// An instance keeps running, but cannot be reached.
    Unreachable(usize),
    /// The primary announces that it leaves.
    Leave,
    /// A replica announces that it leaves. The process that takes over its address and its log does
    /// not know that the replica was stopped.
    LeaveReplica(usize),
    /// An instance receives no replication.
    ReplicationStalled(usize),
    /// The first primary is cut from its replicas.
    CutReplication,
    /// The instances other than the first one cannot reach each other.
    CutReplicasApart,
    /// A node (first field) cannot reach an instance (second field).
    CutLink(usize, usize),
    /// A node's process is suspended.
    Freeze(usize),
    /// The clients of a node send nothing.
    ClientsRest(usize),
    /// A node crashes and restarts without its state.
    KillNode(usize),
    /// A new node starts.
    Join(usize),
    /// A node cannot reach the store.
    CutStore(usize),
    /// The store does not answer.
    StoreDown,
    /// The store does not answer, and is then restored to its state this many milliseconds before
    /// the fault began.
    StoreRestore(u64),
    /// Some answers of the store are lost, and some changes are applied late.
    StoreLosesAnswers,
    /// Some open connections carry nothing until they are detected as dead and replaced: some
    /// messages are lost, while later ones arrive.
    SilentConnections,
    /// A node's watch of the store is silent: the node receives no changes, but its calls to the
    /// store work.
    SilentWatch(usize),
    /// A node is partitioned from the platform's promotion service. Its requests are held, and
    /// arrive in order when the partition ends.
    HoldPromotions(usize),
    /// A node is partitioned from the instances. Its requests are held, and arrive in order when
    /// the partition ends.
    HoldRequests(usize),
    /// Calls of a node to the store are held, and arrive in order when the partition ends.
    HoldStoreCalls(usize),
    /// A node and the other nodes cannot reach each other.
    CutPeers(usize),
    /// A node's machine loses power: its process ends, and what it has sent is lost unless it has
    /// arrived.
    PowerLoss(usize),
    /// The store executes some changes seconds late.
    StoreWritesLate,
}

/// A fault and its period.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// When it begins, in milliseconds.
    pub at: u64,
    /// When it ends.
    pub until: u64,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// Faults end before this time, so that the rest of the run shows whether everything recovers.
pub const QUIET_FROM_MS: u64 = 5_000;

/// Downtime of an instance that restarts quickly, in milliseconds.
const QUICK_RESTART_MS: std::ops::Range<u64> = 10..600;

/// Draws the faults of a seed.
pub fn draw(faults: Faults, instances: usize, nodes: usize, rng: &mut StdRng) -> Vec<Planned> {
    let count = rng.random_range(1..=faults.max_faults);
    let isolated = if faults.isolates_node { draw_isolated_node(rng) } else { Vec::new() };
    let drawn = (0..count).map(|_| {
        let at = rng.random_range(300..2_500);
        let length = rng.random_range(100..2_400);
        let kind = draw_kind(faults, instances, nodes, rng);
        Planned { at, until: (at + length).min(QUIET_FROM_MS), kind }
    });
    let mut plan: Vec<Planned> = isolated.into_iter().chain(drawn).collect();
    if faults.silent_connections {
        plan.extend(draw_silent_connections(nodes, rng));
    }
    if faults.loses_data {
        plan.push(draw_data_loss(instances, rng));
        if faults.quick_restarts
            && let Some(crash) = plan.last_mut()
        {
            crash.until = crash.at + rng.random_range(QUICK_RESTART_MS);
        }
    }
    if faults.nodes_join {
        plan.extend(draw_join(nodes, rng));
    }
    if faults.full_restart {
        plan.extend(draw_full_restart(nodes, rng));
    }
    if faults.store_restores {
        plan.extend(draw_store_restores(rng));
    }
    if faults.replicas_leave {
        plan.extend(draw_leaving_replica(instances, nodes, rng));
    }
    plan
}

/// A replica leaves. Its process ends at about the time when the primary is replaced, and only a
/// node that cannot reach the store still reaches that primary.
fn draw_leaving_replica(instances: usize, nodes: usize, rng: &mut StdRng) -> Vec<Planned> {
    let end = rng.random_range(1_800..4_000);
    let replica = rng.random_range(1..instances);
    let leave = FaultKind::LeaveReplica(replica);
    let mut plan = vec![Planned { at: end - 1_400, until: end, kind: leave }];
    let until = end + 700;
    let cut_at = end - rng.random_range(1_000..1_700);
    plan.push(Planned { at: cut_at, until, kind: FaultKind::CutStore(0) });
    let at = cut_at + rng.random_range(0..200);
    let cut_links = (1..nodes).map(|other| FaultKind::CutLink(other, 0));
    plan.extend(cut_links.map(|kind| Planned { at, until, kind }));
    plan
}

/// The store is restored to its state of up to two seconds before, once or twice.
fn draw_store_restores(rng: &mut StdRng) -> Vec<Planned> {
    let mut from = 400;
    let mut plan = Vec::new();
    for _ in 0..rng.random_range(1..=2) {
        let at = from + rng.random_range(0..1_500);
        let age = rng.random_range(20..2_000).min(at);
        let until = at + rng.random_range(50..800);
        plan.push(Planned { at, until, kind: FaultKind::StoreRestore(age) });
        from = until + 50;
    }
    plan
}

/// Silent connections are detected within about 400 ms, a silent watch only when its call should
/// have ended.
fn draw_silent_connections(nodes: usize, rng: &mut StdRng) -> Vec<Planned> {
    let mut plan = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        let at = rng.random_range(300..3_500);
        let until = at + rng.random_range(50..400);
        plan.push(Planned { at, until, kind: FaultKind::SilentConnections });
        let node = rng.random_range(0..nodes);
        let until = (at + rng.random_range(500..3_500)).min(QUIET_FROM_MS);
        plan.push(Planned { at, until, kind: FaultKind::SilentWatch(node) });
    }
    plan
}

fn draw_data_loss(instances: usize, rng: &mut StdRng) -> Planned {
    let at = rng.random_range(300..3_000);
    let until = at + rng.random_range(100..1_500);
    Planned { at, until, kind: FaultKind::CrashWithDataLoss(rng.random_range(0..instances)) }
}

/// A node joins and loses the store at about the time when it would be listed. In half of the plans
/// the other nodes also lose the primary and replace it, while the new node keeps using it.
fn draw_join(node: usize, rng: &mut StdRng) -> Vec<Planned> {
    let at = rng.random_range(300..2_500);
    let join = Planned { at, until: at + 1, kind: FaultKind::Join(node) };
    let cut_at = at + rng.random_range(5..300);
    let until = cut_at + rng.random_range(1_000..2_400);
    let mut plan = vec![join, Planned { at: cut_at, until, kind: FaultKind::CutStore(node) }];
    if rng.random_bool(0.5) {
        let at = cut_at + rng.random_range(0..100);
        let cut_links = (0..node).map(|other| FaultKind::CutLink(other, 0));
        plan.extend(cut_links.map(|kind| Planned { at, until, kind }));
    }
    plan
}

/// All nodes crash at once and restart within a fraction of a second of each other.
fn draw_full_restart(nodes: usize, rng: &mut StdRng) -> Vec<Planned> {
    let at = rng.random_range(300..2_500);
    let downtime = rng.random_range(50..600);
    let each = (0..nodes).map(|node| {
        let until = at + downtime + rng.random_range(0..300);
        Planned { at, until, kind: FaultKind::KillNode(node) }
    });
    each.collect()
}

fn draw_isolated_node(rng: &mut StdRng) -> Vec<Planned> {
    let cause = if rng.random_bool(0.5) { FaultKind::Leave } else { FaultKind::CutReplication };
    let at = rng.random_range(500..1_500);
    vec![
        Planned { at: 300, until: 4_500, kind: FaultKind::CutStore(0) },
        Planned { at, until: at + 2_500, kind: cause },
    ]
}

fn draw_kind(faults: Faults, instances: usize, nodes: usize, rng: &mut StdRng) -> FaultKind {
    let node = rng.random_range(0..nodes);
    let stalled = if faults.primaries { rng.random_range(1..instances) } else { 1 };
    let choices = if faults.primaries { 13 } else { 7 };
    match rng.random_range(0..choices) {
        0 => FaultKind::Freeze(node),
        1 => FaultKind::KillNode(node),
        2 => FaultKind::CutStore(node),
        3 => FaultKind::StoreDown,
        4 => FaultKind::StoreLosesAnswers,
        5 => FaultKind::ReplicationStalled(stalled),
        6 => {
            let cut_node = if faults.primaries { node } else { 0 };
            FaultKind::CutLink(cut_node, rng.random_range(0..instances))
        }
        7 | 8 => FaultKind::Crash(0),
        9 => FaultKind::Unreachable(0),
        10 => FaultKind::Leave,
        11 => FaultKind::CutReplication,
        _ => FaultKind::Crash(rng.random_range(0..instances)),
    }
}
