//! A coordinator that is partitioned from the platform while its promotion calls are on their way.
//!
//! The primary of a group crashes, and some node sends a promotion call. That node is partitioned
//! from the store and from the promotion service, and the partition holds the call back. Another
//! node may replace the primary in the meantime. When the partition ends, the call may arrive: it
//! must not undo what has happened since. The same holds if the links of the node delay the call.

mod coordinator;
mod cuts;
mod instances;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use miette::miette;

pub use self::coordinator::{CoordinatorFate, Ending};
pub use self::cuts::{Cut, CutEnd, Moment};

use self::coordinator::Coordinator;
use self::cuts::Cuts;
use self::instances::Instances;
use super::journal::Journal;
use super::link::LinkFault;
use super::node::NodeProcess;
use super::rules::{self, Violation};
use super::writers::{WriteHistory, Writers};
use super::{ProcessPlatform, PromotionObserver};
use crate::platform::{WAIT_TIMEOUT, ZONES};
use crate::standin::delaying_relay::LinkDelay;
use crate::standin::instances::CompletedPromotion;

/// Time for which clients write before the first primary crashes. Nodes replace a primary only after they
/// have observed its group for a while.
const STEADY_PERIOD: Duration = Duration::from_secs(4);
/// Time for which a run without a partition goes on after the crash.
const UNDISTURBED_PERIOD: Duration = Duration::from_secs(6);
/// Time after the partitions within which held calls take effect.
const SETTLING_PERIOD: Duration = Duration::from_secs(2);
const STEP_INTERVAL: Duration = Duration::from_millis(5);

/// A run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the run, which its nodes have in their names.
    pub name: String,
    /// Number of nodes.
    pub nodes: usize,
    /// For each group, the time from the begin of the trouble to the crash of its primary.
    pub crashes: Vec<Duration>,
    /// The partitions, each of another node. None for a run without trouble.
    pub cuts: Vec<Cut>,
    /// In place of partitions, the links delay by this time what is sent on them.
    pub link_delay: Option<Duration>,
    /// What happens to the coordinator that is partitioned first.
    pub coordinator: CoordinatorFate,
    /// Whether the instance that the first promotion call names stops receiving commits during the
    /// partition: if it is promoted, it crashes and returns as a replica that receives nothing.
    pub choice_falls_behind: bool,
}

impl Scenario {
    /// A run of one group and a node in each zone, without trouble but the crash of the primary.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            nodes: ZONES.len(),
            crashes: vec![Duration::ZERO],
            cuts: Vec::new(),
            link_delay: None,
            coordinator: CoordinatorFate::Lives,
            choice_falls_behind: false,
        }
    }

    fn link_fault(&self) -> LinkFault {
        match self.link_delay {
            Some(delay) => LinkFault::Delay(Arc::new(LinkDelay::new(delay))),
            None => LinkFault::Partition(Arc::default()),
        }
    }

    /// Time after the partitions within which held and delayed calls take effect.
    fn settling_period(&self) -> Duration {
        SETTLING_PERIOD + self.link_delay.unwrap_or_default()
    }
}

/// What a run has shown.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Fencing tokens of the promotion requests in the order of their arrival.
    pub fences: Vec<u64>,
    /// Figures of the run.
    pub summary: String,
    /// What happened in the run.
    pub journal: String,
}

/// Plays a run and checks the rules.
pub fn run(scenario: &Scenario) -> miette::Result<Outcome> {
    let journal = Arc::new(Journal::default());
    let links: Vec<LinkFault> = (0..scenario.nodes).map(|_| scenario.link_fault()).collect();
    let cuts = Arc::new(Cuts::new(scenario.cuts.clone(), links.clone(), journal.clone()));
    let observing = cuts.clone();
    let observer: Arc<PromotionObserver> =
        Arc::new(move |node, event| observing.on_event(node, event));
    let groups = scenario.crashes.len();
    let mut platform =
        ProcessPlatform::start(&scenario.name, groups, links, journal.clone(), &observer)?;
    let played = play(scenario, &mut platform, &cuts);
    let outcome = played.map(|played| judge(scenario, &platform, &played));
    platform.keep_logs(&scenario.name)?;
    outcome.map_err(|error| miette!("{error}\n{}", journal.text()))
}

/// What clients have seen.
struct Played {
    /// For each group, its writes.
    writes: Vec<WriteHistory>,
    /// When the first primary crashed.
    crash: Instant,
    end: Instant,
}

fn play(
    scenario: &Scenario,
    platform: &mut ProcessPlatform,
    cuts: &Cuts,
) -> miette::Result<Played> {
    platform.wait_until_ready()?;
    let addresses = platform.client_addresses();
    let databases = platform.databases();
    let writers: Vec<Writers> = databases
        .iter()
        .map(|database| Writers::start(&addresses, database, &platform.clients))
        .collect();
    thread::sleep(STEADY_PERIOD);
    let crash = Instant::now();
    let crashes = scenario.crashes.iter().enumerate();
    let mut instances: Vec<Instances> = crashes
        .map(|(group, after)| Instances::new(group, crash + *after, scenario.choice_falls_behind))
        .collect();
    disturb(scenario, platform, cuts, &mut instances)?;
    let settled = Instant::now() + scenario.settling_period();
    while Instant::now() < settled {
        step_all(&mut instances, platform, cuts);
        thread::sleep(STEP_INTERVAL);
    }
    for number in 0..platform.nodes.len() {
        if platform.nodes[number].is_started() {
            let step = || step_all(&mut instances, platform, cuts);
            platform.wait_until_served_with(number, step)?;
        }
    }
    let end = Instant::now();
    let writes = writers.iter().map(Writers::history).collect();
    // The nodes end before the clients, so that none waits for an answer.
    platform.nodes.iter_mut().for_each(NodeProcess::kill);
    Ok(Played { writes, crash, end })
}

fn step_all(instances: &mut [Instances], platform: &ProcessPlatform, cuts: &Cuts) {
    instances.iter_mut().for_each(|instances| instances.step(platform, cuts));
}

/// Plays the partitions to their end.
fn disturb(
    scenario: &Scenario,
    platform: &mut ProcessPlatform,
    cuts: &Cuts,
    instances: &mut [Instances],
) -> miette::Result<()> {
    let mut coordinator = Coordinator::new(scenario.coordinator);
    let longest = longest_trouble(scenario);
    let begun = Instant::now();
    loop {
        let ended = cuts.step(platform);
        coordinator.on_ended(&ended, platform)?;
        coordinator.step(platform, cuts)?;
        step_all(instances, platform, cuts);
        let are_cuts_over = match cuts.is_empty() {
            true => begun.elapsed() >= UNDISTURBED_PERIOD,
            false => cuts.are_over(),
        };
        let have_begun = instances.iter().all(Instances::has_begun);
        if are_cuts_over && have_begun && coordinator.is_settled() {
            return Ok(());
        }
        if begun.elapsed() >= WAIT_TIMEOUT + longest {
            return Err(miette!("timed out waiting: the partitions are over"));
        }
        thread::sleep(STEP_INTERVAL);
    }
}

/// An upper bound of the time for which the trouble of a run lasts once it has begun.
fn longest_trouble(scenario: &Scenario) -> Duration {
    let cuts = scenario.cuts.iter().map(|cut| match cut.end {
        CutEnd::After(duration) | CutEnd::AfterFirst(duration) => duration,
        CutEnd::BeforeFirst(_) => Duration::ZERO,
    });
    cuts.chain(scenario.crashes.iter().copied()).sum()
}

fn judge(scenario: &Scenario, platform: &ProcessPlatform, played: &Played) -> Outcome {
    let journal = &platform.journal;
    let arrivals = platform.promotions.arrivals();
    for (at, call) in &arrivals {
        let (at, fence) = (journal.time_of(*at), call.fence);
        let (coordinator, instance) = (&call.coordinator, &call.instance);
        journal.add(&format!("at {at}: {coordinator} had {instance} promoted with fence {fence}"));
    }
    let completed = platform.promotions.completed();
    for promotion in &completed {
        let (at, term) = (journal.time_of(promotion.at), promotion.term.0);
        journal.add(&format!("at {at}: {} leads with term {term}", promotion.instance));
    }
    let mut violations = rules::check_fences(&arrivals);
    for (group, writes) in platform.groups.iter().zip(&played.writes) {
        let of_group = |promotion: &&CompletedPromotion| promotion.group == group.name();
        let promotions: Vec<_> = completed.iter().filter(of_group).cloned().collect();
        violations.extend(rules::check_logs(&promotions, &writes.acknowledged));
    }
    let of_statements = platform.clients.violations(&platform.groups);
    violations.extend(of_statements.into_iter().map(Violation::Statement));
    for violation in &violations {
        journal.add(&violation.to_string());
    }
    let fences: Vec<u64> = arrivals.iter().map(|(_, call)| call.fence).collect();
    let summary = summary(scenario, played, &fences, &violations);
    journal.add(&summary);
    Outcome { violations, fences, summary, journal: journal.text() }
}

fn summary(
    scenario: &Scenario,
    played: &Played,
    fences: &[u64],
    violations: &[Violation],
) -> String {
    let Played { writes, crash, end } = played;
    let acknowledged = || writes.iter().flat_map(|writes| &writes.acknowledged);
    let tried: usize = writes.iter().map(|writes| writes.tried).sum();
    let since_crash = acknowledged().filter(|write| write.acknowledged >= *crash);
    let gap = writes.iter().map(|writes| writes.longest_gap(*crash, *end)).max();
    format!(
        "summary of {}: {} broken rules, fences {fences:?}; {} of {tried} writes acknowledged, {} in {} ms since the crash, longest time without one {} ms",
        scenario.name,
        violations.len(),
        acknowledged().count(),
        since_crash.count(),
        (*end - *crash).as_millis(),
        gap.unwrap_or_default().as_millis(),
    )
}
