//! Decides whether this node is a store watcher, which reads its configuration from the store.
//!
//! A node that has just started knows few other nodes. If the decision used those alone, each of
//! hundreds of nodes that start together would become a store watcher and read the whole store. So
//! for some time after its start the node also counts the nodes in the machine list.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Revision;
use kestrellock_core::distribution::{full_read_delay, is_store_watcher};

use super::Configuration;
use crate::shared::live::listed_but_unknown;
use crate::supervisor::StopFlag;

/// Time that a node without configuration waits for its peers before it reads the store.
pub(super) const PEER_WAIT: Duration = Duration::from_secs(1);
/// Time after the start for which listed nodes count like live ones: as long as membership runs its
/// anti-entropy sync often. Later an entry may be that of a machine that is gone for good.
const LIST_USE_PERIOD: Duration = Duration::from_secs(10);
/// The machine list counts as complete once it has not changed in length for this long: nodes that
/// start together add themselves within a few hundred milliseconds.
const LIST_STABLE_TIME: Duration = Duration::from_millis(200);
/// Longest wait for a complete machine list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Configuration {
    /// Waits until the machine list is complete or names this node. A node that is not listed yet
    /// starts for the first time, perhaps together with many others.
    pub(super) fn wait_for_machine_list(&self, stop: &StopFlag) {
        let own = &self.context.identity.node;
        let mut length = 0;
        let mut since = Instant::now();
        while self.has_machine_list && self.started.elapsed() < LIST_TIMEOUT && !stop.is_stopping()
        {
            let listed = self.context.listed_nodes.load();
            if listed.iter().any(|node| node.candidate.node == *own) {
                return;
            }
            if listed.len() != length {
                (length, since) = (listed.len(), Instant::now());
            }
            if length > 0 && since.elapsed() >= LIST_STABLE_TIME {
                return;
            }
            stop.sleep(LIST_POLL_INTERVAL);
        }
    }

    /// Whether this node is a store watcher. It is one as long as it knows of no other node.
    pub(super) fn is_store_watcher(&self) -> bool {
        let mut expected = self.live_candidates();
        let known = expected.len();
        if self.started.elapsed() < LIST_USE_PERIOD {
            let (live, listed) = (self.context.live.load(), self.context.listed_nodes.load());
            expected.extend(listed_but_unknown(&live, &listed).cloned());
        }
        let is_chosen = expected.is_empty() || is_store_watcher(&self.own_candidate(), &expected);
        is_chosen || (expected.len() > known && self.has_waited_for_peers(expected.len()))
    }

    /// Whether this node has waited for a configuration from peers for so long that it reads the
    /// store itself. The nodes take turns, so that not all of them read the store at once.
    fn has_waited_for_peers(&self, nodes: usize) -> bool {
        let turn_delay = full_read_delay(&self.context.identity.node, nodes);
        let has_none = self.revision() == Revision::default();
        has_none && self.started.elapsed() >= PEER_WAIT + turn_delay
    }
}
