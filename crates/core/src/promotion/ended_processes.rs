//! Detects that the process of an earlier coordinator has ended and was not restarted: its node
//! refuses connections. The end of a process resets its connections, so that promotions that have
//! not arrived by then never will.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::NodeName;

/// Time between two probes of one node.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Refusals further apart than this do not show that the node has refused connections in between.
const MAX_REFUSAL_GAP: Duration = Duration::from_secs(1);
/// A process has ended if its node has refused connections for this long. Longer than a promotion
/// call and its effect may take, because a process that stops closes its listener first, and a
/// partition may refuse connections as well.
const REFUSAL_PERIOD: Duration = Duration::from_millis(2_500);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// No process listens at the address.
    Refused,
    /// A process accepted the connection, or nothing answered.
    Inconclusive,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProbedNode {
    last_probe: Option<Instant>,
    refused_since: Option<Instant>,
    last_refusal: Option<Instant>,
}

/// The probes of one coordinator.
#[derive(Clone, Debug, Default)]
pub struct ProcessProbes {
    nodes: HashMap<NodeName, ProbedNode>,
}

impl ProcessProbes {
    /// Whether a probe of `node` is due. The caller then sends it.
    pub fn is_due(&mut self, node: &NodeName, now: Instant) -> bool {
        let probed = self.nodes.entry(node.clone()).or_default();
        let is_due = probed.last_probe.is_none_or(|last_probe| now >= last_probe + PROBE_INTERVAL);
        if is_due {
            probed.last_probe = Some(now);
        }
        is_due
    }

    /// Handles the result of a probe. Returns whether the process of the node has ended.
    pub fn on_result(&mut self, node: &NodeName, result: ProbeResult, now: Instant) -> bool {
        let probed = self.nodes.entry(node.clone()).or_default();
        match result {
            ProbeResult::Refused => {
                if probed.last_refusal.is_some_and(|last| now > last + MAX_REFUSAL_GAP) {
                    probed.refused_since = None;
                }
                probed.last_refusal = Some(now);
                let since = *probed.refused_since.get_or_insert(now);
                now >= since + REFUSAL_PERIOD
            }
            ProbeResult::Inconclusive => {
                probed.refused_since = None;
                false
            }
        }
    }
}
