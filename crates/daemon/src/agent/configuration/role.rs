//! Whether following the source of the configuration is this node's part.
//!
//! A node that has just started knows few others. If it judged by those alone, each of hundreds that start
//! together would take itself for a follower, and would read all that the store holds. So the machine list
//! counts as well while the node is young.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Revision;
use kestrellock_core::distribution::{full_read_delay, is_store_watcher};

use super::Configuration;
use crate::shared::live::listed_not_known;
use crate::supervisor::StopFlag;

/// Time that a node without configuration gives its peers before it asks the store.
pub(super) const PEERS_FIRST: Duration = Duration::from_secs(1);
/// Time for which the machine list counts beside the nodes known to live: as long as membership compares
/// its table often. Later an entry may be that of a machine which is gone for good.
const LIST_COUNTS_FOR: Duration = Duration::from_secs(10);
/// The list is taken for whole once it has not grown for so long: nodes that start together enter
/// themselves within some hundred milliseconds.
const LIST_QUIET: Duration = Duration::from_millis(200);
/// Longest wait for that.
const LIST_LIMIT: Duration = Duration::from_secs(1);
const LIST_STEP: Duration = Duration::from_millis(10);

impl Configuration {
    /// A node that the machine list does not name yet starts for the first time, perhaps with many others:
    /// it waits until the list grows no more.
    pub(super) fn wait_for_list(&self, stop: &StopFlag) {
        let own = &self.context.identity.node;
        let mut length = 0;
        let mut since = Instant::now();
        while self.has_machine_list && self.started.elapsed() < LIST_LIMIT && !stop.is_stopping() {
            let listed = self.context.listed_nodes.load();
            if listed.iter().any(|node| node.candidate.node == *own) {
                return;
            }
            if listed.len() != length {
                (length, since) = (listed.len(), Instant::now());
            }
            if length > 0 && since.elapsed() >= LIST_QUIET {
                return;
            }
            stop.sleep(LIST_STEP);
        }
    }

    /// Whether following the source is this node's part: before it knows of any other node, it is.
    pub(super) fn follows(&self) -> bool {
        let mut expected = self.live();
        let known = expected.len();
        if self.started.elapsed() < LIST_COUNTS_FOR {
            let (live, listed) = (self.context.live.load(), self.context.listed_nodes.load());
            expected.extend(listed_not_known(&live, &listed).cloned());
        }
        let is_its_part = expected.is_empty() || is_store_watcher(&self.own(), &expected);
        is_its_part || (expected.len() > known && self.has_waited_in_vain(expected.len()))
    }

    /// Whether no peer has brought a configuration for so long that this node reads it itself. The nodes do
    /// so one after the other, so that the store is not asked by all of them at once.
    fn has_waited_in_vain(&self, nodes: usize) -> bool {
        let turn = full_read_delay(&self.context.identity.node, nodes);
        let has_none = self.revision() == Revision::default();
        has_none && self.started.elapsed() >= PEERS_FIRST + turn
    }
}
