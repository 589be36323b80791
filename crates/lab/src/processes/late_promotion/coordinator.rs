//! The coordinator that is partitioned first.

use std::thread;
use std::time::{Duration, Instant};

use super::cuts::Cuts;
use crate::processes::ProcessPlatform;

/// Time after which a killed coordinator is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
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
    /// It is killed when the partition begins and started again under the same name, still
    /// partitioned from the platform.
    Restarted,
    /// It is suspended when the partition begins and continued after its end.
    Suspended,
}

/// The coordinator.
pub struct Coordinator {
    fate: CoordinatorFate,
    /// Its number, and when its partition was first seen.
    partitioned: Option<(usize, Instant)>,
}

impl Coordinator {
    /// Plans what happens to the coordinator.
    pub fn new(fate: CoordinatorFate) -> Self {
        Self { fate, partitioned: None }
    }

    /// Does what is due during the partition.
    pub fn step(&mut self, platform: &mut ProcessPlatform, cuts: &Cuts) -> miette::Result<()> {
        match (self.partitioned, cuts.first_node()) {
            (None, Some(node)) => {
                self.partitioned = Some((node, Instant::now()));
                self.begin(node, platform)
            }
            (Some((node, since)), _) => self.restart(node, since, platform),
            (None, None) => Ok(()),
        }
    }

    fn begin(&self, node: usize, platform: &mut ProcessPlatform) -> miette::Result<()> {
        match self.fate {
            CoordinatorFate::Lives => {}
            CoordinatorFate::Killed | CoordinatorFate::Restarted => {
                platform.nodes[node].kill();
                platform.journal.add(&format!("node {node} is killed"));
            }
            CoordinatorFate::Suspended => {
                platform.nodes[node].suspend()?;
                platform.journal.add(&format!("node {node} is suspended"));
            }
        }
        Ok(())
    }

    fn restart(
        &self,
        node: usize,
        since: Instant,
        platform: &mut ProcessPlatform,
    ) -> miette::Result<()> {
        let process = &mut platform.nodes[node];
        let is_due = since.elapsed() >= RESTART_DELAY && !process.is_started();
        if self.fate == CoordinatorFate::Restarted && is_due {
            process.run()?;
            platform.journal.add(&format!("node {node} is started again"));
        }
        Ok(())
    }

    /// Does what is due when the partitions of `nodes` have ended.
    pub fn on_ended(&self, nodes: &[usize], platform: &ProcessPlatform) -> miette::Result<()> {
        let Some((node, _)) = self.partitioned else { return Ok(()) };
        if self.fate == CoordinatorFate::Suspended && nodes.contains(&node) {
            thread::sleep(CONTINUE_DELAY);
            platform.nodes[node].resume()?;
            platform.journal.add(&format!("node {node} is continued"));
        }
        Ok(())
    }
}
