//! Whether this node is isolated, shared between membership, which decides it, and the parts of the
//! node that act on it.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Group;
use kestrellock_core::ids::ZoneName;

use crate::shared::live::Shared;

/// Time from the report that the node is not ready to the first closed session. Load balancers ask
/// once a second and need two answers, so a client whose session is closed earlier could reach the
/// same node again.
const CLOSE_DELAY: Duration = Duration::from_secs(2);

/// What an isolated node knows of its surroundings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IsolationState {
    /// When the isolation was found.
    pub since: Instant,
    /// Zones in which something answers this node.
    pub reached_zones: BTreeSet<ZoneName>,
}

/// Whether the node is isolated, and reports of failures that make it check.
#[derive(Debug, Default)]
pub struct SharedIsolation {
    is_enabled: bool,
    has_machine_list: bool,
    is_isolated: AtomicBool,
    is_trouble_reported: AtomicBool,
    state: Shared<Option<IsolationState>>,
}

impl SharedIsolation {
    /// Starts without isolation. It is judged only if `is_enabled`. `has_machine_list`: the node
    /// reads a machine list.
    pub fn new(is_enabled: bool, has_machine_list: bool) -> Self {
        Self { is_enabled, has_machine_list, ..Self::default() }
    }

    /// Whether a machine list tells which nodes exist, so that nothing may be judged before it was
    /// read.
    pub fn has_machine_list(&self) -> bool {
        self.has_machine_list
    }

    /// Whether isolation is judged.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Reports that another node or an instance does not answer.
    pub fn report_trouble(&self) {
        if self.is_enabled {
            self.is_trouble_reported.store(true, Ordering::Relaxed);
        }
    }

    /// Whether trouble was reported since the last call.
    pub fn take_trouble(&self) -> bool {
        self.is_trouble_reported.swap(false, Ordering::Relaxed)
    }

    /// Replaces the state; `None`: the node is not isolated.
    pub fn publish(&self, state: Option<IsolationState>) {
        if *self.state.load() != state {
            self.is_isolated.store(state.is_some(), Ordering::Release);
            self.state.store(state);
        }
    }

    /// Whether the node is isolated.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated.load(Ordering::Acquire)
    }

    /// Whether the node has been isolated for long enough to close sessions.
    pub fn closes_sessions(&self, now: Instant) -> bool {
        self.is_isolated()
            && self
                .state
                .load()
                .as_ref()
                .as_ref()
                .is_some_and(|state| now >= state.since + CLOSE_DELAY)
    }

    /// Whether the node is not isolated, or something in the zone answers it.
    pub fn reaches_zone(&self, zone: &ZoneName) -> bool {
        if !self.is_isolated() {
            return true;
        }
        let state = self.state.load();
        state.as_ref().as_ref().is_none_or(|state| state.reached_zones.contains(zone))
    }

    /// Whether the node is not isolated, or most of the group's instances are in zones in which
    /// something answers it. Without a majority nothing shows that the primary still leads, and no
    /// commit can be confirmed.
    pub fn reaches_majority_of(&self, group: &Group) -> bool {
        if !self.is_isolated() {
            return true;
        }
        let reached = group.instances.iter().filter(|instance| self.reaches_zone(&instance.zone));
        reached.count() >= group.majority()
    }
}
