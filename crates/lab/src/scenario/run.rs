//! One run of a scenario with one seed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_daemon::policy::Policy;
use miette::{bail, miette};

use super::caller::session::{NodeEndpoint, Recorded, Session, SessionIdentity, Surroundings};
use super::catalog::TENANT;
use super::collect;
use super::definition::Scenario;
use super::deployment::Cluster;
use super::schedule::{Requests, plan_faults};
use super::timeline::{Done, Timeline};
use super::{schema, trace, watch};
use crate::check::check;
use crate::check::final_state::FinalState;
use crate::check::history::{ConfigurationTrack, History, SessionNumber};
use crate::report::RunResult;
use crate::report::measurement::{Failover, Measurement};

/// Longest wait for a group to settle when a run is over.
const QUIET_LIMIT: Duration = Duration::from_secs(30);

/// What the parts of a run brought back.
struct Gathered {
    recorded: Vec<Recorded>,
    done: Done,
    configuration: Vec<ConfigurationTrack>,
}

/// Runs a scenario once and judges it.
pub fn run(scenario: &Scenario, seed: u64, policy: Policy) -> miette::Result<RunResult> {
    let cluster = Cluster::start(scenario, seed, policy)?;
    schema::prepare(&cluster, &scenario.workload)?;
    let began = Instant::now();
    let gathered = drive(scenario, seed, &cluster, began)?;
    if let Some(failure) = gathered.done.failures.first() {
        bail!("seed {seed}: {failure}");
    }
    let result = judge(scenario, seed, &cluster, began, gathered);
    cluster.stop();
    result
}

/// Runs callers, faults and the watch on the configuration side by side.
fn drive(
    scenario: &Scenario,
    seed: u64,
    cluster: &Cluster,
    began: Instant,
) -> miette::Result<Gathered> {
    let surroundings = surroundings(scenario, cluster, began);
    let timeline = Timeline::new(cluster, &scenario.deployment, began);
    let over = AtomicBool::new(false);
    let planned = plan_faults(scenario, seed);
    let (recorded, configuration) = thread::scope(|scope| {
        let watching = scope.spawn(|| watch::follow(cluster, began, &over));
        let faults: Vec<_> =
            planned.iter().map(|planned| scope.spawn(|| timeline.carry_out(planned))).collect();
        let sessions: Vec<_> = identities(scenario, cluster)
            .into_iter()
            .map(|identity| {
                let requests = Requests::new(seed, identity.number.0, &scenario.workload);
                let session = Session::new(identity, &surroundings, requests);
                scope.spawn(move || session.run())
            })
            .collect();
        thread::sleep(surroundings.last_request.saturating_duration_since(Instant::now()));
        timeline.heal();
        let faults_ended = faults.into_iter().all(|fault| fault.join().is_ok());
        let recorded: Option<Vec<Recorded>> =
            sessions.into_iter().map(|session| session.join().ok()).collect();
        over.store(true, Ordering::Release);
        (recorded.filter(|_| faults_ended), watching.join().ok())
    });
    let panicked = || miette!("seed {seed}: a thread of the run panicked");
    Ok(Gathered {
        recorded: recorded.ok_or_else(panicked)?,
        configuration: configuration.ok_or_else(panicked)?,
        done: timeline.into_done(),
    })
}

fn surroundings(scenario: &Scenario, cluster: &Cluster, began: Instant) -> Surroundings {
    let endpoint = |slot: &super::deployment::NodeSlot| NodeEndpoint {
        node: slot.id.clone(),
        address: slot.address,
    };
    let last_request = began + scenario.duration();
    Surroundings {
        nodes: cluster.nodes.iter().map(endpoint).collect(),
        began,
        last_request,
        last_resolution: last_request + scenario.settle(),
        deadline: Duration::from_millis(scenario.deployment.deadline_ms),
        user: TENANT.into(),
    }
}

/// Sessions of every group, spread over the nodes.
fn identities(scenario: &Scenario, cluster: &Cluster) -> Vec<SessionIdentity> {
    let mut identities = Vec::new();
    for group in &cluster.groups {
        for _ in 0..scenario.workload.sessions {
            let number = identities.len();
            let home = number % cluster.nodes.len();
            identities.push(SessionIdentity {
                number: SessionNumber(number as u32),
                group: group.id.clone(),
                database: group.id.0.clone(),
                from: cluster.caller_address(cluster.nodes[home].zone),
                home,
            });
        }
    }
    identities
}

fn judge(
    scenario: &Scenario,
    seed: u64,
    cluster: &Cluster,
    began: Instant,
    gathered: Gathered,
) -> miette::Result<RunResult> {
    let mut state = FinalState::default();
    let mut failovers: Vec<Failover> = Vec::new();
    for group in &cluster.groups {
        if !group.servers.wait_for_replicas(QUIET_LIMIT) {
            bail!("seed {seed}: the replicas of {} did not follow", group.id);
        }
        let mut record = collect::record(group, began)
            .ok_or_else(|| miette!("seed {seed}: {} has no primary", group.id))?;
        let leaving = gathered.done.leaving.iter().filter(|leaving| leaving.group == group.id);
        record.leaving = leaving.map(|leaving| leaving.leaving.clone()).collect();
        state.groups.push(record);
        failovers.extend(collect::failovers(group, began));
    }
    let mut recorded = gathered.recorded;
    let history = History {
        attempts: recorded.iter_mut().flat_map(|one| std::mem::take(&mut one.attempts)).collect(),
        planned_stops: gathered.done.planned_stops,
        only_planned_stops: scenario.faults.iter().all(|scheduled| scheduled.fault.is_planned()),
        configuration: gathered.configuration,
        accepted_changes: gathered.done.accepted_changes,
    };
    let mut measurement = Measurement::new(seed, &history, &failovers);
    for latency in recorded.iter().flat_map(|one| &one.latencies) {
        measurement.record_latency(&latency.action, latency.time);
    }
    for counts in cluster.groups.iter().map(collect::reads) {
        measurement.reads_at_primary += counts.primary;
        measurement.reads_at_replica += counts.replica;
    }
    let verdict = check(&history, &state);
    let planned = plan_faults(scenario, seed);
    let trace = (!verdict.violations.is_empty())
        .then(|| trace::write(cluster, &planned, began, &history, &state));
    Ok(RunResult { seed, measurement, verdict, trace })
}
