//! One run of a deployment with one seed under one policy.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_daemon::policy::Policy;
use miette::{bail, miette};

use super::plan::{FAR_LAG, Plan, Population};
use super::sample::{self, Sample};
use crate::check::check;
use crate::check::final_state::FinalState;
use crate::check::history::{ConfigurationTrack, GroupId, History, SessionNumber};
use crate::check::violation::Verdict;
use crate::report::FailoverGap;
use crate::report::measurement::{Failover, Measurement};
use crate::scenario::caller::session::{
    Latency, NodeEndpoint, Recorded, Session, SessionIdentity, Surroundings,
};
use crate::scenario::caller::statements::operation_in;
use crate::scenario::catalog::TENANT;
use crate::scenario::collect;
use crate::scenario::deployment::{Cluster, Group};
use crate::scenario::schedule::{Requests, plan_faults};
use crate::scenario::timeline::Timeline;
use crate::scenario::{schema, watch};

/// Longest wait for a group to settle when a run is over.
const QUIET_LIMIT: Duration = Duration::from_secs(30);

/// A caller's read, as the instance that it reached counted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadArrival {
    /// When, after the run began.
    pub at: Duration,
    /// Whether that instance was primary.
    pub at_primary: bool,
}

/// An answered request.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Group that was asked.
    pub group: GroupId,
    /// When it was due and how long it took from then.
    pub latency: Latency,
}

/// Everything that one run showed.
pub struct RunOutcome {
    /// Its seed.
    pub seed: u64,
    /// Answered requests.
    pub answered: Vec<Answered>,
    /// Every attempt of every caller.
    pub history: History,
    /// Reads that reached the instances.
    pub reads: Vec<ReadArrival>,
    /// Changes of primary as the groups tell them.
    pub failovers: Vec<Failover>,
    /// The same with what the proxy added.
    pub gaps: Vec<FailoverGap>,
    /// Looks at the instances.
    pub samples: Vec<Sample>,
    /// What the checker found.
    pub verdict: Verdict,
}

/// What the threads of a run brought back.
struct Gathered {
    recorded: Vec<Recorded>,
    groups: Vec<GroupId>,
    samples: Vec<Sample>,
    configuration: Vec<ConfigurationTrack>,
}

/// Runs a plan once and judges it.
pub fn run(plan: &Plan, seed: u64, policy: Policy) -> miette::Result<RunOutcome> {
    let cluster = Cluster::start(&plan.scenario, seed, policy)?;
    schema::prepare(&cluster, &plan.scenario.workload)?;
    for group in &cluster.groups {
        spread_lag(plan, group, seed);
    }
    let began = Instant::now();
    let gathered = drive(plan, seed, &cluster, began)?;
    let outcome = judge(seed, &cluster, began, gathered);
    cluster.stop();
    outcome
}

/// Gives every instance of a group the plan's distribution of lag.
fn spread_lag(plan: &Plan, group: &Group, seed: u64) {
    for index in 0..group.servers.instances.len() {
        let seed = seed.wrapping_add(index as u64);
        let bounds = plan.lag;
        group.servers.set_lag_distribution(index, bounds.shortest, bounds.longest, seed);
    }
}

fn drive(plan: &Plan, seed: u64, cluster: &Cluster, began: Instant) -> miette::Result<Gathered> {
    let over = AtomicBool::new(false);
    let timeline = Timeline::new(cluster, &plan.scenario.deployment, began);
    let planned = plan_faults(&plan.scenario, seed);
    let callers = callers(plan, cluster, began);
    let groups = callers.iter().map(|caller| caller.identity.group.clone()).collect();
    let joined = thread::scope(|scope| {
        let sampling = scope.spawn(|| sample::follow(cluster, began, &over));
        let watching = scope.spawn(|| watch::follow(cluster, began, &over));
        let lagging = scope.spawn(|| fall_behind(plan, cluster, seed, began));
        let faults: Vec<_> =
            planned.iter().map(|fault| scope.spawn(|| timeline.carry_out(fault))).collect();
        let sessions: Vec<_> = callers
            .iter()
            .map(|caller| {
                let number = caller.identity.number.0;
                let requests = Requests::new(seed, number, &caller.population.workload)
                    .starting_at(caller.population.window.from);
                let session = Session::new(caller.identity.clone(), &caller.surroundings, requests);
                scope.spawn(move || session.run())
            })
            .collect();
        let recorded: Option<Vec<Recorded>> =
            sessions.into_iter().map(|session| session.join().ok()).collect();
        let faults_ended = faults.into_iter().all(|fault| fault.join().is_ok());
        over.store(true, Ordering::Release);
        lagging.join().ok().filter(|()| faults_ended)?;
        Some((recorded?, sampling.join().ok()?, watching.join().ok()?))
    });
    if let Some(failure) = timeline.into_done().failures.first() {
        bail!("seed {seed}: {failure}");
    }
    let (recorded, samples, configuration) =
        joined.ok_or_else(|| miette!("seed {seed}: a thread of the run panicked"))?;
    Ok(Gathered { recorded, groups, samples, configuration })
}

/// Lets the last replica of some groups fall far behind for a time.
fn fall_behind(plan: &Plan, cluster: &Cluster, seed: u64, began: Instant) {
    let far = &plan.far_behind;
    let sleep_until =
        |due: Duration| thread::sleep((began + due).saturating_duration_since(Instant::now()));
    sleep_until(far.window.from);
    for database in &far.databases {
        let servers = &cluster.group(database).servers;
        let primary = servers.primary();
        let last = (0..servers.instances.len()).rev().find(|index| Some(*index) != primary);
        if let Some(last) = last {
            servers.set_lag(last, FAR_LAG);
        }
    }
    sleep_until(far.window.to);
    for database in &far.databases {
        spread_lag(plan, cluster.group(database), seed);
    }
}

struct Caller<'a> {
    identity: SessionIdentity,
    population: &'a Population,
    surroundings: Surroundings,
}

fn callers<'a>(plan: &'a Plan, cluster: &Cluster, began: Instant) -> Vec<Caller<'a>> {
    let mut callers: Vec<Caller> = Vec::new();
    for population in &plan.populations {
        for database in &population.databases {
            for _ in 0..population.workload.sessions {
                let number = callers.len();
                let home = number % cluster.nodes.len();
                let identity = SessionIdentity {
                    number: SessionNumber(number as u32),
                    group: cluster.group(database).id.clone(),
                    database: database.clone(),
                    from: cluster.caller_address(cluster.nodes[home].zone),
                    home,
                };
                let surroundings = surroundings(plan, population, cluster, began);
                callers.push(Caller { identity, population, surroundings });
            }
        }
    }
    callers
}

fn surroundings(
    plan: &Plan,
    population: &Population,
    cluster: &Cluster,
    began: Instant,
) -> Surroundings {
    let nodes = cluster.nodes.iter();
    Surroundings {
        nodes: nodes
            .map(|slot| NodeEndpoint { node: slot.id.clone(), address: slot.address })
            .collect(),
        began,
        last_request: began + population.window.to,
        last_resolution: began + plan.scenario.duration() + plan.scenario.settle(),
        deadline: Duration::from_millis(plan.scenario.deployment.deadline_ms),
        user: TENANT.into(),
    }
}

fn judge(
    seed: u64,
    cluster: &Cluster,
    began: Instant,
    gathered: Gathered,
) -> miette::Result<RunOutcome> {
    let mut state = FinalState::default();
    let mut failovers: Vec<Failover> = Vec::new();
    let mut reads = Vec::new();
    for group in &cluster.groups {
        if !group.servers.wait_for_replicas(QUIET_LIMIT) {
            bail!("seed {seed}: the replicas of {} did not follow", group.id);
        }
        let record = collect::record(group, began)
            .ok_or_else(|| miette!("seed {seed}: {} has no primary", group.id))?;
        state.groups.push(record);
        failovers.extend(collect::failovers(group, began));
        reads.extend(read_arrivals(group, began));
    }
    let mut answered = Vec::new();
    let mut attempts = Vec::new();
    for (group, recorded) in gathered.groups.iter().zip(gathered.recorded) {
        let latencies = recorded.latencies.into_iter();
        answered.extend(latencies.map(|latency| Answered { group: group.clone(), latency }));
        attempts.extend(recorded.attempts);
    }
    let configuration = gathered.configuration;
    let history = History { attempts, configuration, ..History::default() };
    let gaps = Measurement::new(seed, &history, &failovers).failovers;
    let verdict = check(&history, &state);
    let samples = gathered.samples;
    Ok(RunOutcome { seed, answered, history, reads, failovers, gaps, samples, verdict })
}

/// Reads of callers, told from those of the nodes by the operation that their text names.
fn read_arrivals(group: &Group, began: Instant) -> Vec<ReadArrival> {
    let arrivals = group.servers.instances.iter().flat_map(|instance| instance.arrivals.all());
    arrivals
        .filter(|arrival| arrival.text.starts_with("SELECT"))
        .filter(|arrival| operation_in(&arrival.text).is_some())
        .map(|arrival| ReadArrival {
            at: arrival.at.saturating_duration_since(began),
            at_primary: arrival.primary,
        })
        .collect()
}
