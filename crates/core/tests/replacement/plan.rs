//! Which faults a seed may draw, and which fault of our own is planted.

use rand::RngExt;
use rand::rngs::StdRng;

/// Kinds of faults that are drawn.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// The primary crashes, goes dark, leaves, or is cut from its replicas or from nodes.
    pub primaries: bool,
    /// A node is out of reach of the store while a primary that works is replaced: it goes on there.
    pub cut_off: bool,
    /// The most that happens in one run.
    pub most: usize,
    /// Whether a promotion releases replicas that have not heard of it, too, as it does on the
    /// platform; otherwise they stay stopped until they hear of the successor.
    pub releases_all: bool,
    /// Whether open connections go silent besides, while new ones work.
    pub silences: bool,
    /// Whether an instance besides starts again under its name with nothing: one of them, once in a run,
    /// since what only two held is lost when both start so.
    pub starts_empty: bool,
    /// Whether nodes have to enter themselves, and another one comes.
    pub nodes_come: bool,
    /// Whether all nodes start with the run, and all of them start again once.
    pub start_of_all: bool,
    /// Whether the store comes back from an older copy, once or twice.
    pub put_back: bool,
    /// Whether an instance that has lost its log may run again sooner than a promotion takes.
    pub quick_starts: bool,
    /// Whether nodes hear what holders tell them; otherwise all of that is lost on its way.
    pub told: bool,
    /// Whether a replica is replaced as planned, while a node may go on at the primary that does not reach the
    /// store.
    pub replicas_leave: bool,
}

impl Faults {
    /// Every kind.
    pub fn all() -> Self {
        Self {
            primaries: true,
            cut_off: false,
            most: 4,
            releases_all: false,
            silences: false,
            starts_empty: false,
            nodes_come: false,
            start_of_all: false,
            put_back: false,
            quick_starts: false,
            told: false,
            replicas_leave: false,
        }
    }

    /// Every kind, and more at once, so that planted faults meet what shows them.
    pub fn dense() -> Self {
        Self {
            primaries: true,
            cut_off: true,
            most: 9,
            releases_all: false,
            silences: false,
            starts_empty: false,
            nodes_come: false,
            start_of_all: false,
            put_back: false,
            quick_starts: false,
            told: false,
            replicas_leave: false,
        }
    }

    /// The same where promotions release all replicas.
    pub fn with_releases(self) -> Self {
        Self { releases_all: true, ..self }
    }

    /// The same with connections that go silent.
    pub fn with_silences(self) -> Self {
        Self { silences: true, ..self }
    }

    /// The same with an instance that starts again with nothing.
    pub fn with_empty_starts(self) -> Self {
        Self { starts_empty: true, ..self }
    }

    /// The same with nodes that have to enter themselves in the store, and one that comes.
    pub fn with_nodes_that_come(self) -> Self {
        Self { nodes_come: true, ..self }
    }

    /// The same with nodes that have just started, and all start again once.
    pub fn with_start_of_all(self) -> Self {
        Self { start_of_all: true, ..self }
    }

    /// The same with a store that comes back from an older copy.
    pub fn with_put_back(self) -> Self {
        Self { put_back: true, ..self }
    }

    /// The same with an instance that has lost its log and runs again within moments.
    pub fn with_quick_empty_starts(self) -> Self {
        Self { starts_empty: true, quick_starts: true, ..self }
    }

    /// The same where nodes hear what holders tell them.
    pub fn with_word_of_holders(self) -> Self {
        Self { told: true, ..self }
    }

    /// The same with a replica that is replaced as planned.
    pub fn with_replicas_that_leave(self) -> Self {
        Self { replicas_leave: true, ..self }
    }

    /// Trouble of single nodes, of one replica and of the store only. If all replicas receive
    /// nothing no commit is answered, just as if the primary were cut off: that calls for a
    /// replacement.
    pub fn without_primaries() -> Self {
        Self {
            primaries: false,
            cut_off: false,
            most: 4,
            releases_all: false,
            silences: false,
            starts_empty: false,
            nodes_come: false,
            start_of_all: false,
            put_back: false,
            quick_starts: false,
            told: false,
            replicas_leave: false,
        }
    }
}

/// A fault of our own, so that the checker shows that it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// None.
    None,
    /// Reads go to the primary without evidence.
    EvidenceDropped,
    /// Nobody waits for evidence to lapse.
    NoLapse,
    /// The replica that is furthest behind is promoted.
    WrongReplica,
    /// Replicas say that they are stopped, and are not.
    NotStopped,
    /// Every holder has the same fence.
    FenceReused,
    /// Nobody releases replicas, and promotions do not either.
    StopForgotten,
    /// A write without an answer is called not run.
    DoubtPromised,
    /// Nodes take the store's word for given that nobody replaces the primary, and tell no old primary to
    /// step down.
    NoLook,
    /// Whatever a primary answers counts as evidence that it leads.
    AnswersShow,
    /// What is remembered of an instance outlasts its process.
    MemoryKept,
    /// A node relies on its evidence before it is listed as after.
    UnlistedEvidenceLasts,
    /// Starts of instances are believed as soon as the store has come back from a copy.
    StartsBelieved,
    /// Fences are bare revisions, which are given out again.
    FenceOfRevision,
    /// Whoever replaces a primary does not read the list of nodes anew.
    ListFromCopy,
    /// What an old primary answers to commits counts at any time.
    LateAnswers,
    /// A node that nobody tells of replacements passes on what a primary answers to commits.
    Unconfirmed,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// An instance dies; it comes back with its log.
    Crash(usize),
    /// An instance dies; it comes back under its name with nothing.
    CrashEmpty(usize),
    /// An instance can be reached by nobody, and goes on.
    Dark(usize),
    /// The primary says that it leaves.
    Leave,
    /// A replica says that it leaves. Its successor, at its address and with its log, does not know that it was
    /// stopped.
    LeaveReplica(usize),
    /// An instance receives nothing.
    Deaf(usize),
    /// The primary is cut from its replicas.
    CutReplicas,
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
    PutBack(u64),
    /// Answers of the store are lost, and some changes done late.
    StoreLoses,
    /// Some open connections carry nothing until they are noticed and replaced: of what is said
    /// meanwhile some never arrives, while later messages do.
    Silence,
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
const QUICK_START_MS: std::ops::Range<u64> = 10..600;

/// Draws the faults of a seed.
pub fn draw(faults: Faults, instances: usize, nodes: usize, random: &mut StdRng) -> Vec<Planned> {
    let count = random.random_range(1..=faults.most);
    let cut_off = if faults.cut_off { draw_cut_off(random) } else { Vec::new() };
    let others = (0..count).map(|_| {
        let at = random.random_range(300..2_500);
        let length = random.random_range(100..2_400);
        let kind = draw_kind(faults, instances, nodes, random);
        Planned { at, until: (at + length).min(QUIET_FROM_MS), kind }
    });
    let mut plan: Vec<Planned> = cut_off.into_iter().chain(others).collect();
    if faults.silences {
        plan.extend(draw_silences(nodes, random));
    }
    if faults.starts_empty {
        plan.push(draw_empty_start(instances, random));
        if faults.quick_starts
            && let Some(start) = plan.last_mut()
        {
            start.until = start.at + random.random_range(QUICK_START_MS);
        }
    }
    if faults.nodes_come {
        plan.extend(draw_join(nodes, random));
    }
    if faults.start_of_all {
        plan.extend(draw_start_of_all(nodes, random));
    }
    if faults.put_back {
        plan.extend(draw_put_back(random));
    }
    if faults.replicas_leave {
        plan.extend(draw_leaving_replica(instances, nodes, random));
    }
    plan
}

/// A replica leaves, and ends at about the time at which a primary is replaced that only a node out of reach of the
/// store still reaches.
fn draw_leaving_replica(instances: usize, nodes: usize, random: &mut StdRng) -> Vec<Planned> {
    let ends = random.random_range(1_800..4_000);
    let replica = random.random_range(1..instances);
    let leaves = FaultKind::LeaveReplica(replica);
    let mut plan = vec![Planned { at: ends - 1_400, until: ends, kind: leaves }];
    let until = ends + 700;
    let cut_at = ends - random.random_range(1_000..1_700);
    plan.push(Planned { at: cut_at, until, kind: FaultKind::CutStore(0) });
    let at = cut_at + random.random_range(0..200);
    let lost = (1..nodes).map(|other| FaultKind::CutLink(other, 0));
    plan.extend(lost.map(|kind| Planned { at, until, kind }));
    plan
}

/// The store comes back as it was up to two seconds before, once or twice.
fn draw_put_back(random: &mut StdRng) -> Vec<Planned> {
    let mut from = 400;
    let mut plan = Vec::new();
    for _ in 0..random.random_range(1..=2) {
        let at = from + random.random_range(0..1_500);
        let age = random.random_range(20..2_000).min(at);
        let until = at + random.random_range(50..800);
        plan.push(Planned { at, until, kind: FaultKind::PutBack(age) });
        from = until + 50;
    }
    plan
}

/// Connections are noticed as dead within some 400 ms, a watch when its call should have ended.
fn draw_silences(nodes: usize, random: &mut StdRng) -> Vec<Planned> {
    let mut plan = Vec::new();
    for _ in 0..random.random_range(1..=3) {
        let at = random.random_range(300..3_500);
        let until = at + random.random_range(50..400);
        plan.push(Planned { at, until, kind: FaultKind::Silence });
        let node = random.random_range(0..nodes);
        let until = (at + random.random_range(500..3_500)).min(QUIET_FROM_MS);
        plan.push(Planned { at, until, kind: FaultKind::SilentWatch(node) });
    }
    plan
}

fn draw_empty_start(instances: usize, random: &mut StdRng) -> Planned {
    let at = random.random_range(300..3_000);
    let until = at + random.random_range(100..1_500);
    Planned { at, until, kind: FaultKind::CrashEmpty(random.random_range(0..instances)) }
}

/// A node joins, and loses the store at about the moment when it would be listed. Half of the time the others
/// lose the primary then, and replace it, while the one that has come goes on there.
fn draw_join(node: usize, random: &mut StdRng) -> Vec<Planned> {
    let at = random.random_range(300..2_500);
    let join = Planned { at, until: at + 1, kind: FaultKind::Join(node) };
    let cut_at = at + random.random_range(5..300);
    let until = cut_at + random.random_range(1_000..2_400);
    let mut plan = vec![join, Planned { at: cut_at, until, kind: FaultKind::CutStore(node) }];
    if random.random_bool(0.5) {
        let at = cut_at + random.random_range(0..100);
        let lost = (0..node).map(|other| FaultKind::CutLink(other, 0));
        plan.extend(lost.map(|kind| Planned { at, until, kind }));
    }
    plan
}

/// All nodes die at once, and start within a fraction of a second of each other.
fn draw_start_of_all(nodes: usize, random: &mut StdRng) -> Vec<Planned> {
    let at = random.random_range(300..2_500);
    let dark = random.random_range(50..600);
    let each = (0..nodes).map(|node| {
        let until = at + dark + random.random_range(0..300);
        Planned { at, until, kind: FaultKind::KillNode(node) }
    });
    each.collect()
}

fn draw_cut_off(random: &mut StdRng) -> Vec<Planned> {
    let replaced = if random.random_bool(0.5) { FaultKind::Leave } else { FaultKind::CutReplicas };
    let at = random.random_range(500..1_500);
    vec![
        Planned { at: 300, until: 4_500, kind: FaultKind::CutStore(0) },
        Planned { at, until: at + 2_500, kind: replaced },
    ]
}

fn draw_kind(faults: Faults, instances: usize, nodes: usize, random: &mut StdRng) -> FaultKind {
    let node = random.random_range(0..nodes);
    let deaf = if faults.primaries { random.random_range(1..instances) } else { 1 };
    let choices = if faults.primaries { 13 } else { 7 };
    match random.random_range(0..choices) {
        0 => FaultKind::Freeze(node),
        1 => FaultKind::KillNode(node),
        2 => FaultKind::CutStore(node),
        3 => FaultKind::StoreDown,
        4 => FaultKind::StoreLoses,
        5 => FaultKind::Deaf(deaf),
        6 => {
            let cut = if faults.primaries { node } else { 0 };
            FaultKind::CutLink(cut, random.random_range(0..instances))
        }
        7 | 8 => FaultKind::Crash(0),
        9 => FaultKind::Dark(0),
        10 => FaultKind::Leave,
        11 => FaultKind::CutReplicas,
        _ => FaultKind::Crash(random.random_range(0..instances)),
    }
}
