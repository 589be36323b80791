//! A coordinator that is partitioned from the platform while its promotion call is on its way.
//!
//! The primary of the group crashes, and some node sends a promotion call. That node is partitioned
//! from the store and from the promotion service, and the partition holds the call back. Another
//! node may replace the primary in the meantime. When the partition ends, the call may arrive: it
//! must not undo what has happened since.

mod coordinator;
mod cuts;
mod instances;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use miette::miette;

pub use self::coordinator::CoordinatorFate;
pub use self::cuts::{Cut, Moment};

use self::coordinator::Coordinator;
use self::cuts::Cuts;
use self::instances::Instances;
use super::journal::Journal;
use super::node::NodeProcess;
use super::rules::{self, Violation};
use super::writers::{WriteHistory, Writers};
use super::{DATABASE, ProcessPlatform, PromotionObserver};
use crate::platform::WAIT_TIMEOUT;

/// Time for which clients write before the primary crashes. Nodes replace a primary only after they
/// have observed its group for a while.
const STEADY_PERIOD: Duration = Duration::from_secs(4);
/// Time for which a run without a partition goes on after the crash.
const UNDISTURBED_PERIOD: Duration = Duration::from_secs(6);
/// Time after the partition within which held calls take effect.
const SETTLING_PERIOD: Duration = Duration::from_secs(2);
const STEP_INTERVAL: Duration = Duration::from_millis(5);

/// A run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the run, which its nodes have in their names.
    pub name: String,
    /// The partitions, each of another node. None for a run without trouble.
    pub cuts: Vec<Cut>,
    /// What happens to the coordinator that is partitioned first.
    pub coordinator: CoordinatorFate,
    /// Whether the instance that the first promotion call names stops receiving commits during the
    /// partition: if it is promoted, it crashes and returns as a replica that receives nothing.
    pub choice_falls_behind: bool,
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
    let cuts = Arc::new(Cuts::new(scenario.cuts.clone(), journal.clone()));
    let observing = cuts.clone();
    let observer: Arc<PromotionObserver> =
        Arc::new(move |node, event| observing.on_event(node, event));
    let partitions = cuts.partitions.clone();
    let mut platform =
        ProcessPlatform::start(&scenario.name, partitions, journal.clone(), &observer)?;
    let played = play(scenario, &mut platform, &cuts);
    let outcome = played.map(|played| judge(scenario, &platform, &played));
    platform.keep_logs(&scenario.name)?;
    outcome.map_err(|error| miette!("{error}\n{}", journal.text()))
}

/// What clients have seen.
struct Played {
    writes: WriteHistory,
    /// When the primary crashed.
    crash: Instant,
    end: Instant,
}

fn play(
    scenario: &Scenario,
    platform: &mut ProcessPlatform,
    cuts: &Cuts,
) -> miette::Result<Played> {
    platform.wait_until_ready()?;
    let writers = Writers::start(&platform.client_addresses(), DATABASE);
    thread::sleep(STEADY_PERIOD);
    let primary = platform.group.primary().ok_or_else(|| miette!("the group has no primary"))?;
    let crash = Instant::now();
    let mut instances = Instances::crash_primary(primary, scenario.choice_falls_behind, platform);
    disturb(scenario, platform, cuts, &mut instances)?;
    let settled = Instant::now() + SETTLING_PERIOD;
    while Instant::now() < settled {
        instances.step(platform, cuts);
        thread::sleep(STEP_INTERVAL);
    }
    for number in 0..platform.nodes.len() {
        if platform.nodes[number].is_started() {
            platform.wait_until_served_with(number, || instances.step(platform, cuts))?;
        }
    }
    let end = Instant::now();
    let writes = writers.history();
    // The nodes end before the clients, so that none waits for an answer.
    platform.nodes.iter_mut().for_each(NodeProcess::kill);
    Ok(Played { writes, crash, end })
}

/// Plays the partitions to their end.
fn disturb(
    scenario: &Scenario,
    platform: &mut ProcessPlatform,
    cuts: &Cuts,
    instances: &mut Instances,
) -> miette::Result<()> {
    let mut coordinator = Coordinator::new(scenario.coordinator);
    let longest: Duration = scenario.cuts.iter().map(|cut| cut.duration).sum();
    let begun = Instant::now();
    loop {
        let ended = cuts.step(platform);
        coordinator.on_ended(&ended, platform)?;
        coordinator.step(platform, cuts)?;
        instances.step(platform, cuts);
        let is_over = match cuts.is_empty() {
            true => begun.elapsed() >= UNDISTURBED_PERIOD,
            false => cuts.are_over(),
        };
        if is_over {
            return Ok(());
        }
        if begun.elapsed() >= WAIT_TIMEOUT + longest {
            return Err(miette!("timed out waiting: the partitions are over"));
        }
        thread::sleep(STEP_INTERVAL);
    }
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
    violations.extend(rules::check_logs(&completed, &played.writes.acknowledged));
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
    let since_crash = writes.acknowledged.iter().filter(|write| write.acknowledged >= *crash);
    format!(
        "summary of {}: {} broken rules, fences {fences:?}; {} of {} writes acknowledged, {} in {} ms since the crash, longest time without one {} ms",
        scenario.name,
        violations.len(),
        writes.acknowledged.len(),
        writes.tried,
        since_crash.count(),
        (*end - *crash).as_millis(),
        writes.longest_gap(*crash, *end).as_millis(),
    )
}
