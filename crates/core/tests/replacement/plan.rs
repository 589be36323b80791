//! Which faults a seed may draw, and which fault of our own is planted.

use rand::RngExt;
use rand::rngs::StdRng;

/// Kinds of faults that are drawn.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// The primary crashes, goes dark, leaves, or is cut from its replicas or from nodes.
    pub primaries: bool,
    /// A node is out of reach of the store while a primary that works is replaced: it goes on there.
    pub isolates_node: bool,
    /// The most that happens in one run.
    pub max_faults: usize,
    /// Whether a promotion releases replicas that have not heard of it, too, as it does on the
    /// platform; otherwise they stay stopped until they hear of the successor.
    pub releases_all: bool,
    /// Whether open connections go silent besides, while new ones work.
    pub silent_connections: bool,
    /// Whether an instance besides starts again under its name with nothing: one of them, once in a run,
    /// since what only two held is lost when both start so.
    pub loses_data: bool,
    /// Whether nodes have to enter themselves, and another one comes.
    pub nodes_join: bool,
    /// Whether all nodes start with the run, and all of them start again once.
    pub full_restart: bool,
    /// Whether the store comes back from an older copy, once or twice.
    pub store_restores: bool,
    /// Whether an instance that has lost its log may run again sooner than a promotion takes.
    pub quick_restarts: bool,
    /// Whether nodes hear what holders tell them; otherwise all of that is lost on its way.
    pub coordinator_notifies: bool,
    /// Whether a replica is replaced as planned, while a node may go on at the primary that does not reach the
    /// store.
    pub replicas_leave: bool,
}

impl Faults {
    /// Every kind.
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
        }
    }

    /// Every kind, and more at once, so that planted faults meet what shows them.
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
        }
    }

    /// The same where promotions release all replicas.
    pub fn with_releases(self) -> Self {
        Self { releases_all: true, ..self }
    }

    /// The same with connections that go silent.
    pub fn with_silent_connections(self) -> Self {
        Self { silent_connections: true, ..self }
    }

    /// The same with an instance that starts again with nothing.
    pub fn with_data_loss(self) -> Self {
        Self { loses_data: true, ..self }
    }

    /// The same with nodes that have to enter themselves in the store, and one that comes.
    pub fn with_joining_nodes(self) -> Self {
        Self { nodes_join: true, ..self }
    }

    /// The same with nodes that have just started, and all start again once.
    pub fn with_full_restart(self) -> Self {
        Self { full_restart: true, ..self }
    }

    /// The same with a store that comes back from an older copy.
    pub fn with_store_restores(self) -> Self {
        Self { store_restores: true, ..self }
    }

    /// The same with an instance that has lost its log and runs again within moments.
    pub fn with_quick_data_loss(self) -> Self {
        Self { loses_data: true, quick_restarts: true, ..self }
    }

    /// The same where nodes hear what holders tell them.
    pub fn with_coordinator_notifications(self) -> Self {
        Self { coordinator_notifies: true, ..self }
    }

    /// The same with a replica that is replaced as planned.
    pub fn with_leaving_replicas(self) -> Self {
        Self { replicas_leave: true, ..self }
    }

    /// Trouble of single nodes, of one replica and of the store only. If all replicas receive
    /// nothing no commit is answered, just as if the primary were cut off: that calls for a
    /// replacement.
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
        }
    }
}

/// A fault of our own, so that the checker shows that it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// None.
    None,
    /// Reads go to the primary without evidence.
    ReadsWithoutEvidence,
    /// Nobody waits for evidence to lapse.
    NoEvidenceWait,
    /// The replica that is furthest behind is promoted.
    LaggingReplicaPromoted,
    /// Replicas say that they are stopped, and are not.
    StopIgnored,
    /// Every holder has the same fence.
    FenceReused,
    /// Nobody releases replicas, and promotions do not either.
    ReplicasNeverReleased,
    /// A write without an answer is called not run.
    InDoubtReportedNotRun,
    /// Nodes take the store's word for given that nobody replaces the primary, and tell no old primary to
    /// step down.
    NoReplacementCheck,
    /// Whatever a primary answers counts as evidence that it leads.
    ReadAnswersAsEvidence,
    /// What is remembered of an instance outlasts its process.
    RestartsHidden,
    /// A node relies on its evidence before it is listed as after.
    UnlistedEvidenceNotShortened,
    /// Starts of instances are believed as soon as the store has come back from a copy.
    StaleIncarnationsTrusted,
    /// Fences are bare revisions, which are given out again.
    RevisionAsFence,
    /// Whoever replaces a primary does not read the list of nodes anew.
    NodeListFromCopy,
    /// What an old primary answers to commits counts at any time.
    LateCommitsAccepted,
    /// A node that nobody tells of replacements passes on what a primary answers to commits.
    NoConfirmation,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// An instance dies; it comes back with its log.
    Crash(usize),
    /// An instance dies; it comes back under its name with nothing.
    CrashWithDataLoss(usize),
    /// An instance can be reached by nobody, and goes on.
    Unreachable(usize),
    /// The primary says that it leaves.
    Leave,
    /// A replica says that it leaves. Its successor, at its address and with its log, does not know that it was
    /// stopped.
    LeaveReplica(usize),
    /// An instance receives nothing.
    ReplicationStalled(usize),
    /// The primary is cut from its replicas.
    CutReplication,
    /// A node cannot reach an instance.
    CutLink(usize, usize),
    /// A node does not run.
    Freeze(usize),
    /// A node dies; it comes back with nothing.
    KillNode(usize),
    /// A node starts that was not there before.
    Join(usize),
    /// A node cannot reach the store.
    CutStore(usize),
    /// The store does not answer.
    StoreDown,
    /// The store does not answer, and then comes back as it was so many milliseconds before that began.
    StoreRestore(u64),
    /// Answers of the store are lost, and some changes done late.
    StoreLosesAnswers,
    /// Some open connections carry nothing until they are noticed and replaced: of what is said
    /// meanwhile some never arrives, while later messages do.
    SilentConnections,
    /// The watch of a node is silent: it hears of no change, and its calls of the store work.
    SilentWatch(usize),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// When it begins, in milliseconds.
    pub at: u64,
    /// When it ends.
    pub until: u64,
    /// What it is.
    pub kind: FaultKind,
}

/// Faults end before this time, so that what follows shows whether everything recovers.
pub const QUIET_FROM_MS: u64 = 5_000;

/// Time for which an instance is away that starts again quickly, in milliseconds.
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

/// A replica leaves, and ends at about the time at which a primary is replaced that only a node out of reach of the
/// store still reaches.
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

/// The store comes back as it was up to two seconds before, once or twice.
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

/// Connections are noticed as dead within some 400 ms, a watch when its call should have ended.
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

/// A node joins, and loses the store at about the moment when it would be listed. Half of the time the others
/// lose the primary then, and replace it, while the one that has come goes on there.
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

/// All nodes die at once, and start within a fraction of a second of each other.
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
