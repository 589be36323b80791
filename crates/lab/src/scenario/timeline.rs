//! Carries the faults of a scenario out when they are due, and takes note of what operators did.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use super::catalog;
use super::definition::{Deployment, Fault};
use super::deployment::{Cluster, Group};
use super::schedule::PlannedFault;
use crate::check::final_state::DrainingInstance;
use crate::check::history::{AcceptedChange, GroupId, PlannedStop, RunTime};

/// An instance that operators began to take out of use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingInstance {
    /// The group.
    pub group: GroupId,
    /// The instance and the time.
    pub leaving: DrainingInstance,
}

/// What was done to the cluster that the checker must know.
#[derive(Debug, Default)]
pub struct Done {
    /// Nodes that were asked to stop.
    pub planned_stops: Vec<PlannedStop>,
    /// Changes of configuration that were accepted.
    pub accepted_changes: Vec<AcceptedChange>,
    /// Instances that operators began to take out of use.
    pub leaving: Vec<LeavingInstance>,
    /// Steps that could not be carried out.
    pub failures: Vec<String>,
}

/// Carries out the faults of one run.
pub struct Timeline<'a> {
    cluster: &'a Cluster,
    deployment: &'a Deployment,
    began: Instant,
    done: Mutex<Done>,
}

impl<'a> Timeline<'a> {
    /// A timeline that counts from `began`.
    pub fn new(cluster: &'a Cluster, deployment: &'a Deployment, began: Instant) -> Self {
        Self { cluster, deployment, began, done: Mutex::default() }
    }

    /// What was done.
    pub fn into_done(self) -> Done {
        self.done.into_inner().expect("a step of the timeline panicked")
    }

    /// Waits for a fault's time and carries it out, to its end.
    pub fn carry_out(&self, planned: &PlannedFault) {
        let due = self.began + planned.at;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        match &planned.fault {
            Fault::KillPrimary { database, back_after_ms } => {
                self.kill_primary(self.cluster.group(database), *back_after_ms);
            }
            Fault::CutPrimary { database } => self.cut_primary(self.cluster.group(database)),
            Fault::PausePrimary { database, for_ms } => {
                pause_primary(self.cluster.group(database), *for_ms);
            }
            Fault::CutZone { .. } => {
                self.cluster.network.cut_zone(&self.cluster.zones[planned.zone]);
            }
            Fault::Heal => self.heal(),
            Fault::LoseAnswers { database, for_ms } => {
                lose_answers(self.cluster.group(database), *for_ms);
            }
            Fault::LagReplicas { database, lag_ms } => {
                lag_replicas(self.cluster.group(database), *lag_ms);
            }
            Fault::PauseNode { for_ms, .. } => self.pause_nodes(&planned.nodes, *for_ms),
            Fault::KillNode { back_after_ms, .. } | Fault::KillNodes { back_after_ms, .. } => {
                self.kill_nodes(&planned.nodes, *back_after_ms);
            }
            Fault::KillZone { .. } => self.kill_zone(planned.zone),
            Fault::RestartNode { .. } => self.restart_nodes(&planned.nodes, 0),
            Fault::RollingRestart { pause_ms } => self.restart_nodes(&planned.nodes, *pause_ms),
            Fault::LeaveReplica { database } => {
                self.leave_replica(self.cluster.group(database));
            }
            Fault::ChangeCapacity { capacity } => self.change_capacity(*capacity),
        }
    }

    /// Heals every cut between zones.
    pub fn heal(&self) {
        for zone in &self.cluster.zones {
            self.cluster.network.heal_zone(zone);
        }
    }

    fn now(&self) -> RunTime {
        RunTime(self.began.elapsed().as_micros() as u64)
    }

    fn note(&self, note: impl FnOnce(&mut Done)) {
        note(&mut self.done.lock().expect("a step of the timeline panicked"));
    }

    fn kill_primary(&self, group: &Group, back_after_ms: Option<u64>) {
        let Some(primary) = group.servers.primary() else { return };
        group.servers.kill(primary);
        if let Some(wait) = back_after_ms {
            thread::sleep(Duration::from_millis(wait));
            group.servers.restart(primary);
        }
    }

    fn cut_primary(&self, group: &Group) {
        let Some(primary) = group.servers.primary() else { return };
        let zone = &group.servers.instances[primary].zone;
        self.cluster.network.cut_zone(zone);
    }

    fn pause_nodes(&self, nodes: &[usize], for_ms: u64) {
        self.set_paused(nodes, true);
        thread::sleep(Duration::from_millis(for_ms));
        self.set_paused(nodes, false);
    }

    fn set_paused(&self, nodes: &[usize], paused: bool) {
        for node in nodes {
            if let Some(node) = self.cluster.nodes[*node].running().as_ref() {
                node.set_paused(paused);
            }
        }
    }

    fn kill_nodes(&self, nodes: &[usize], back_after_ms: Option<u64>) {
        thread::scope(|scope| {
            for node in nodes {
                if let Some(node) = self.cluster.nodes[*node].running().take() {
                    scope.spawn(move || node.kill());
                }
            }
        });
        if let Some(wait) = back_after_ms {
            thread::sleep(Duration::from_millis(wait));
            nodes.iter().for_each(|node| self.start_node(*node));
        }
    }

    fn start_node(&self, node: usize) {
        if let Err(error) = self.cluster.start_node(node) {
            self.note(|done| done.failures.push(format!("node {node} does not start: {error}")));
        }
    }

    fn kill_zone(&self, zone: usize) {
        let nodes: Vec<usize> = (0..self.cluster.nodes.len())
            .filter(|node| self.cluster.nodes[*node].zone == zone)
            .collect();
        let zone = &self.cluster.zones[zone];
        for group in &self.cluster.groups {
            for instance in &group.servers.instances {
                if instance.zone == *zone {
                    group.servers.kill(instance.index);
                }
            }
        }
        self.kill_nodes(&nodes, None);
    }

    fn restart_nodes(&self, nodes: &[usize], pause_ms: u64) {
        for node in nodes {
            let Some(running) = self.cluster.nodes[*node].running().take() else { continue };
            let began = self.now();
            running.stop();
            let ended = self.now();
            let node_id = self.cluster.nodes[*node].id.clone();
            self.note(|done| {
                done.planned_stops.push(PlannedStop { node: node_id, began, ended });
            });
            self.start_node(*node);
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    fn change_capacity(&self, capacity: u32) {
        let store = self.cluster.store.as_ref();
        self.note_change(catalog::change_capacity(store, self.deployment, capacity));
    }

    fn leave_replica(&self, group: &Group) {
        let primary = group.servers.primary();
        let mut instances = group.servers.instances.iter().rev();
        let Some(replica) = instances.find(|instance| Some(instance.index) != primary) else {
            return;
        };
        let store = self.cluster.store.as_ref();
        let index = replica.index;
        self.note_change(catalog::mark_leaving(store, self.deployment, group, index));
        let leaving = DrainingInstance { instance: group.instance(index), since: self.now() };
        let leaving = LeavingInstance { group: group.id.clone(), leaving };
        self.note(|done| done.leaving.push(leaving));
    }

    fn note_change(&self, accepted: miette::Result<u64>) {
        let at = self.now();
        self.note(|done| match accepted {
            Ok(revision) => done.accepted_changes.push(AcceptedChange { at, revision }),
            Err(error) => done.failures.push(error.to_string()),
        });
    }
}

fn pause_primary(group: &Group, for_ms: u64) {
    let Some(primary) = group.servers.primary() else { return };
    group.servers.pause(primary);
    thread::sleep(Duration::from_millis(for_ms));
    group.servers.resume(primary);
}

/// Time between two answers lost.
const LOSS_INTERVAL: Duration = Duration::from_millis(40);

/// Loses the answer of one commit after the other, half of them by silence, half by a reset.
fn lose_answers(group: &Group, for_ms: u64) {
    let end = Instant::now() + Duration::from_millis(for_ms);
    let mut silent = false;
    while Instant::now() < end {
        if let Some(primary) = group.servers.primary() {
            match silent {
                true => group.servers.hang_after_commit(primary),
                false => group.servers.reset_after_commit(primary),
            }
        }
        silent = !silent;
        thread::sleep(LOSS_INTERVAL);
    }
}

fn lag_replicas(group: &Group, lag_ms: u64) {
    let primary = group.servers.primary();
    for instance in &group.servers.instances {
        if Some(instance.index) != primary {
            group.servers.set_lag(instance.index, Duration::from_millis(lag_ms));
        }
    }
}
