//! Reports of the nodes that show, during a primary replacement, whether a restarted instance has
//! every acknowledged commit again.
//!
//! A restarted instance has lost its log. Each node sends its report to the coordinator together
//! with the confirmation that it has revoked its evidence. Two observations show that the instance
//! is complete again: a node has seen it receive everything ([`super::refill`]); or all nodes have
//! seen the restart, and the instance has received the log up to the highest position that the
//! primary reported to any of them, since no node has acknowledged a commit beyond that position to
//! a client.
//!
//! The reports also show up to which position commits may have been acknowledged to clients
//! ([`RestartReports::acknowledged_position`]), for a coordinator that cannot reach all instances
//! that may hold commits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, NodeName};
use crate::incarnation::InstanceIncarnation;
use crate::position::{LogOffset, Position, Term};

/// Longest time that a report is under way, as far as it matters for the times in it. A link that
/// delivers nothing for a fraction of this is replaced.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(2);

/// A restart of an instance that a node has observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedRestart {
    /// The instance.
    pub instance: InstanceName,
    /// Incarnation of the process that the restart began.
    #[serde(rename = "start")]
    pub incarnation: InstanceIncarnation,
}

/// An instance that may hold a commit that the others lack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogHolder {
    /// The instance.
    pub instance: InstanceName,
    /// Incarnation of its process, if the platform reports it.
    pub incarnation: Option<InstanceIncarnation>,
}

/// What one node knows about restarts in a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartReport {
    /// Restarts that it has observed; empty until it has observed the group for long enough.
    pub started_again: Vec<ObservedRestart>,
    /// Restarts after which it has seen the instance receive everything again.
    pub refilled: Vec<ObservedRestart>,
    /// The highest position that the group's primary has reported to it, or that an instance has
    /// reported with an answer to a commit. It has acknowledged no commit beyond that.
    #[serde(rename = "heard")]
    pub primary_position: Option<Position>,
    /// All instances that may hold a commit that the others lack; `None` if the node does not know
    /// them all. Older nodes do not report it.
    #[serde(default)]
    pub log_holders: Option<Vec<LogHolder>>,
    /// Whether the node acknowledges no commit of the old primary to a client any more.
    #[serde(default)]
    pub has_ended_commits: bool,
    /// Time since the node sent the query to which the primary of the term of that position reported
    /// its newest position; `None` if it has no such answer.
    #[serde(default)]
    pub position_age: Option<Duration>,
    /// Time since the node's process started.
    #[serde(default)]
    pub uptime: Duration,
    /// Whether the node's settings accept the loss of acknowledged commits.
    #[serde(default)]
    pub accepts_commit_loss: bool,
}

/// The reports of all nodes combined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CombinedReport {
    /// Restarts that every node has observed.
    pub started_again: Vec<ObservedRestart>,
    /// The highest position that the primary has reported to any node.
    pub highest_position: Position,
}

/// The nodes whose reports a coordinator needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportingNodes {
    /// The nodes that may use the old primary now.
    pub current: Vec<NodeName>,
    /// When a node that may have used it was last listed and is not listed any more.
    pub last_removal: Option<Instant>,
    /// The highest term of the group that is known to have been led.
    pub highest_led: Term,
}

/// The report of a node, and when it arrived.
#[derive(Clone, Debug)]
struct ReceivedReport {
    report: RestartReport,
    received_at: Instant,
}

impl ReceivedReport {
    /// When the query for the newest position was sent, at the latest.
    fn sampled_at(&self) -> Option<Instant> {
        self.received_at.checked_sub(self.report.position_age?)
    }

    /// Whether the node's process ran at `moment`.
    fn ran_at(&self, moment: Instant) -> bool {
        let started = self.received_at.checked_sub(self.report.uptime);
        started.is_none_or(|started| started + MAX_REPORT_DELAY <= moment)
    }
}

/// The restart reports that the coordinator has received from the nodes during one replacement of
/// a group's primary.
#[derive(Clone, Debug, Default)]
pub struct RestartReports {
    by_node: BTreeMap<NodeName, ReceivedReport>,
}

fn order(position: &Position) -> (Term, LogOffset) {
    (position.term, position.offset)
}

impl RestartReports {
    /// Adds the report of a node, in place of its previous one.
    pub fn add(&mut self, node: &NodeName, report: RestartReport, received_at: Instant) {
        self.by_node.insert(node.clone(), ReceivedReport { report, received_at });
    }

    /// Whether all of `nodes` have sent a report.
    pub fn includes_all(&self, nodes: &[NodeName]) -> bool {
        nodes.iter().all(|node| self.by_node.contains_key(node))
    }

    /// Restarts after which at least one node has seen the instance receive everything again.
    pub fn refilled(&self) -> Vec<ObservedRestart> {
        let mut restarts: Vec<ObservedRestart> = Vec::new();
        let reports = self.by_node.values().map(|received| &received.report);
        for restart in reports.flat_map(|report| &report.refilled) {
            if !restarts.contains(restart) {
                restarts.push(restart.clone());
            }
        }
        restarts
    }

    /// The sets of instances that may hold commits, from the nodes that know them.
    pub fn log_holders(&self) -> impl Iterator<Item = &Vec<LogHolder>> {
        self.by_node.values().filter_map(|received| received.report.log_holders.as_ref())
    }

    /// The highest position that the primary has reported to any node that has sent a report.
    pub fn highest_position(&self) -> Option<Position> {
        let reports = self.by_node.values().map(|received| &received.report);
        reports.filter_map(|report| report.primary_position).max_by_key(order)
    }

    /// Whether the settings of any node accept the loss of acknowledged commits.
    pub fn accept_commit_loss(&self) -> bool {
        self.by_node.values().any(|received| received.report.accepts_commit_loss)
    }

    fn of_all(&self, nodes: &[NodeName]) -> Option<Vec<&ReceivedReport>> {
        nodes.iter().map(|node| self.by_node.get(node)).collect()
    }

    /// The combined report of all `nodes`; `None` unless all of them have sent a report and at
    /// least one of them knows a position of the primary.
    pub fn combined(&self, nodes: &[NodeName]) -> Option<CombinedReport> {
        let reports: Vec<&RestartReport> =
            self.of_all(nodes)?.into_iter().map(|received| &received.report).collect();
        let highest =
            reports.iter().filter_map(|report| report.primary_position).max_by_key(order)?;
        let observed = reports.first()?.started_again.iter();
        let by_all = |restart: &&ObservedRestart| {
            reports.iter().all(|report| report.started_again.contains(restart))
        };
        Some(CombinedReport {
            started_again: observed.filter(by_all).cloned().collect(),
            highest_position: highest,
        })
    }

    /// The position up to which commits may have been acknowledged to clients; `None` unless it is
    /// certain.
    ///
    /// A reported position alone is a sample: commits may have been acknowledged after it. It is
    /// certain if every process that has acknowledged commits since the newest sample reports, and
    /// acknowledges none any more: each has seen a position of the primary with every answer to a
    /// commit. Commits of processes that had ended before the newest sample are included in it.
    pub fn acknowledged_position(&self, nodes: &ReportingNodes) -> Option<Position> {
        let received = self.of_all(&nodes.current)?;
        let reports = received.iter().map(|received| &received.report);
        let highest = reports.filter_map(|report| report.primary_position).max_by_key(order)?;
        let from_newest_primary = received.iter().filter(|received| {
            received.report.primary_position.is_some_and(|at| at.term == highest.term)
        });
        let newest = from_newest_primary.filter_map(|received| received.sampled_at()).max()?;
        let have_ended = received.iter().all(|received| received.report.has_ended_commits);
        let have_run = received.iter().all(|received| received.ran_at(newest));
        let removal = nodes.last_removal;
        let none_removed = removal.is_none_or(|removed| removed + MAX_REPORT_DELAY <= newest);
        let is_certain =
            have_ended && have_run && none_removed && highest.term >= nodes.highest_led;
        is_certain.then_some(highest)
    }
}
