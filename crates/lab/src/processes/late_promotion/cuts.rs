//! Partitions of nodes from the platform, which begin with their promotion calls. In place of a
//! partition, a link can delay what it carries.

use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_platform::standin::promotion;

use crate::processes::ProcessPlatform;
use crate::processes::journal::Journal;
use crate::processes::link::LinkFault;
use crate::standin::relay::RelayEvent;

/// Part of the log line of a node that has become the coordinator.
const LEASE_EVENT: &str = "\"hold_taken\"";

/// Time after the end of a partition within which the next planned one has to begin.
const NEXT_CUT_TIMEOUT: Duration = Duration::from_secs(5);

/// When a partition begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// This long after a node that has not been partitioned yet sends its first promotion call. If
    /// it is zero, the call is held back.
    Call(Duration),
    /// This long after the first node has become the coordinator.
    Lease(Duration),
}

/// When a partition ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutEnd {
    /// This long after its begin.
    After(Duration),
    /// This long after the end of the first partition.
    AfterFirst(Duration),
    /// This long before the end of the first partition.
    BeforeFirst(Duration),
}

/// A planned partition of one node from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// When it begins.
    pub moment: Moment,
    /// When it ends.
    pub end: CutEnd,
}

/// A partition that has begun.
#[derive(Clone, Copy, Debug)]
struct BegunCut {
    node: usize,
    end: Instant,
    is_over: bool,
}

#[derive(Debug, Default)]
struct State {
    begun: Vec<BegunCut>,
    /// The node that sent the first promotion call.
    first_caller: Option<usize>,
    /// What that node has sent to the promotion service.
    first_call: Vec<u8>,
    /// Whether no further partition begins.
    is_closed: bool,
}

/// The partitions of a run, each of another node. They begin in the order of the plan.
pub struct Cuts {
    plan: Vec<Cut>,
    /// For each node, the fault of its links to the platform.
    pub links: Vec<LinkFault>,
    state: Mutex<State>,
    journal: Arc<Journal>,
}

impl Cuts {
    /// Plans the partitions of nodes whose links have the given faults.
    pub fn new(plan: Vec<Cut>, links: Vec<LinkFault>, journal: Arc<Journal>) -> Self {
        Self { plan, links, state: Mutex::default(), journal }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Observes what a node sends to the promotion service.
    pub fn on_event(&self, node: usize, event: RelayEvent<'_>) {
        let description = match event {
            RelayEvent::Received(bytes) => return self.on_bytes(node, bytes),
            RelayEvent::PassedOn(count) => format!("{count} held bytes arrive"),
            RelayEvent::ClosedWithHeldBytes(count) => {
                format!("the sender closed the connection with {count} held bytes")
            }
            RelayEvent::Lost(count) => {
                format!("{count} held bytes are lost: the sender reset the connection")
            }
        };
        self.journal.add(&format!("node {node} to the promotion service: {description}"));
    }

    fn on_bytes(&self, node: usize, bytes: &[u8]) {
        let mut state = self.state();
        if promotion::contains_call(bytes) {
            self.journal.add(&format!("node {node} sends a promotion call"));
            state.first_caller.get_or_insert(node);
            if let Some(Cut { moment: Moment::Call(delay), end }) = self.next(&state, node) {
                self.begin(&mut state, node, delay, end);
            }
        }
        if state.first_caller == Some(node) {
            state.first_call.extend_from_slice(bytes);
        }
    }

    /// The next planned partition, unless `node` has been partitioned already.
    fn next(&self, state: &State, node: usize) -> Option<Cut> {
        let has_been_cut = state.begun.iter().any(|cut| cut.node == node);
        self.plan.get(state.begun.len()).copied().filter(|_| !has_been_cut && !state.is_closed)
    }

    fn begin(&self, state: &mut State, node: usize, delay: Duration, end: CutEnd) {
        let (link, journal) = (self.links[node].clone(), self.journal.clone());
        let begin = move || {
            link.begin();
            let event = match link {
                LinkFault::Partition(_) => "is partitioned from the platform",
                LinkFault::Delay(_) => "reaches the platform late",
            };
            journal.add(&format!("node {node} {event}"));
        };
        match delay.is_zero() {
            true => begin(),
            false => drop(thread::spawn(move || {
                thread::sleep(delay);
                begin();
            })),
        }
        let now = Instant::now();
        let first_end = state.begun.first().map_or(now, |cut| cut.end);
        let end = match end {
            CutEnd::After(duration) => now + delay + duration,
            CutEnd::AfterFirst(offset) => first_end + offset,
            CutEnd::BeforeFirst(offset) => first_end - offset,
        };
        state.begun.push(BegunCut { node, end, is_over: false });
    }

    /// Begins a partition that depends on the lease, and ends those that are due. Returns the nodes
    /// whose partition ends.
    pub fn step(&self, platform: &ProcessPlatform) -> Vec<usize> {
        let mut state = self.state();
        if let Some(Cut { moment: Moment::Lease(delay), end }) =
            self.plan.get(state.begun.len()).copied()
        {
            let coordinator = |node: &usize| platform.nodes[*node].log().contains(LEASE_EVENT);
            if let Some(node) = (0..platform.nodes.len()).find(coordinator) {
                self.begin(&mut state, node, delay, end);
            }
        }
        let now = Instant::now();
        let mut ended = Vec::new();
        for cut in state.begun.iter_mut().filter(|cut| !cut.is_over && now >= cut.end) {
            cut.is_over = true;
            self.journal.add(&format!("the partition of node {} ends", cut.node));
            self.links[cut.node].end();
            ended.push(cut.node);
        }
        ended
    }

    /// The node whose partition has begun first, once it is active.
    pub fn first_node(&self) -> Option<usize> {
        let node = self.state().begun.first()?.node;
        self.links[node].is_active().then_some(node)
    }

    /// Whether all partitions are over. A planned one that does not begin in time never begins.
    pub fn are_over(&self) -> bool {
        let mut state = self.state();
        let Some(last_end) = state.begun.iter().map(|cut| cut.end).max() else { return false };
        let have_all_begun = state.begun.len() == self.plan.len();
        let has_timed_out = last_end.elapsed() >= NEXT_CUT_TIMEOUT;
        let are_over = state.begun.iter().all(|cut| cut.is_over);
        state.is_closed |= are_over && (have_all_begun || has_timed_out);
        state.is_closed
    }

    /// Whether no partition is planned.
    pub fn is_empty(&self) -> bool {
        self.plan.is_empty()
    }

    /// The instance that the first promotion call names.
    pub fn first_choice(&self) -> Option<String> {
        promotion::named_instance(&self.state().first_call)
    }
}
