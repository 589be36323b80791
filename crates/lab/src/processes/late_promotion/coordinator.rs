//! The coordinator that is partitioned first.

use std::thread;
use std::time::{Duration, Instant};

use super::cuts::Cuts;
use crate::processes::ProcessPlatform;

/// Time after which a coordinator that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time for which a coordinator that was started again runs before it is ended once more. Another
/// process counts as evidence a second after its start.
const RESTARTED_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time from the end of the partition until a suspended coordinator is continued. The held bytes
/// arrive within it, so that the coordinator cannot reset their connection first.
const CONTINUE_DELAY: Duration = Duration::from_millis(100);

/// What happens to the coordinator that is partitioned first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinatorFate {
    /// It goes on, partitioned from the platform.
    Lives,
    /// It is killed when the partition begins and not started again.
    Killed,
    /// It is ended when the partition begins and started again under the same name, still
    /// partitioned from the platform.
    Restarted {
        /// How it is ended.
        ending: Ending,
        /// Number of times that it is ended and started again.
        times: u32,
    },
    /// It is suspended when the partition begins and continued after its end.
    Suspended,
}

/// How a process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is killed (SIGKILL).
    Killed,
    /// It is asked to stop (SIGTERM), and finishes its work first.
    Stopped,
}

/// The coordinator.
pub struct Coordinator {
    fate: CoordinatorFate,
    /// Its number, once its partition was seen.
    node: Option<usize>,
    /// When its process was last seen to have ended, if none was started since.
    ended: Option<Instant>,
    /// When its process was last started again.
    restarted: Option<Instant>,
    /// Number of times that it was started again.
    restarts: u32,
}

impl Coordinator {
    /// Plans what happens to the coordinator.
    pub fn new(fate: CoordinatorFate) -> Self {
        Self { fate, node: None, ended: None, restarted: None, restarts: 0 }
    }

    /// Does what is due during the partition.
    pub fn step(&mut self, platform: &mut ProcessPlatform, cuts: &Cuts) -> miette::Result<()> {
        match (self.node, cuts.first_node()) {
            (None, Some(node)) => {
                self.node = Some(node);
                self.begin(node, platform)
            }
            (Some(node), _) => self.restart(node, platform),
            (None, None) => Ok(()),
        }
    }

    /// Whether the process runs that is to outlive the run.
    pub fn is_settled(&self) -> bool {
        match self.fate {
            CoordinatorFate::Restarted { times, .. } => {
                self.node.is_none() || self.restarts == times
            }
            _ => true,
        }
    }

    fn begin(&self, node: usize, platform: &mut ProcessPlatform) -> miette::Result<()> {
        match self.fate {
            CoordinatorFate::Lives => {}
            CoordinatorFate::Killed => end(node, Ending::Killed, platform)?,
            CoordinatorFate::Restarted { ending, .. } => end(node, ending, platform)?,
            CoordinatorFate::Suspended => {
                platform.nodes[node].suspend()?;
                platform.journal.add(&format!("node {node} is suspended"));
            }
        }
        Ok(())
    }

    /// Starts the coordinator again once it has ended, and ends it once more if that is planned.
    fn restart(&mut self, node: usize, platform: &mut ProcessPlatform) -> miette::Result<()> {
        let CoordinatorFate::Restarted { ending, times } = self.fate else { return Ok(()) };
        if self.restarts == times {
            return Ok(());
        }
        let lifetime = self.restarted.map(|restarted| restarted.elapsed());
        if lifetime.is_some_and(|lifetime| lifetime >= RESTARTED_LIFETIME) {
            self.restarted = None;
            end(node, ending, platform)?;
        }
        let process = &mut platform.nodes[node];
        if self.restarted.is_none() && process.has_ended()? {
            let ended = *self.ended.get_or_insert_with(Instant::now);
            if ended.elapsed() >= RESTART_DELAY {
                process.run()?;
                platform.journal.add(&format!("node {node} is started again"));
                self.ended = None;
                self.restarted = Some(Instant::now());
                self.restarts += 1;
            }
        }
        Ok(())
    }

    /// Does what is due when the partitions of `nodes` have ended.
    pub fn on_ended(&self, nodes: &[usize], platform: &ProcessPlatform) -> miette::Result<()> {
        let Some(node) = self.node else { return Ok(()) };
        if self.fate == CoordinatorFate::Suspended && nodes.contains(&node) {
            thread::sleep(CONTINUE_DELAY);
            platform.nodes[node].resume()?;
            platform.journal.add(&format!("node {node} is continued"));
        }
        Ok(())
    }
}

/// Ends the process of a node.
fn end(node: usize, ending: Ending, platform: &mut ProcessPlatform) -> miette::Result<()> {
    let process = &mut platform.nodes[node];
    let event = match ending {
        Ending::Killed => {
            process.kill();
            "is killed"
        }
        Ending::Stopped => {
            process.terminate()?;
            "is asked to stop"
        }
    };
    platform.journal.add(&format!("node {node} {event}"));
    Ok(())
}
