//! A coordinator that is partitioned from the platform while its promotion call is on its way.
//!
//! The primary of the group crashes, and some node sends a promotion call. That node is partitioned
//! from the store and from the promotion service, and the partition holds the call back. Another
//! node may replace the primary in the meantime. When the partition ends, the call may arrive: it
//! must not undo what has happened since.

use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use miette::miette;

use super::journal::Journal;
use super::rules::{self, Violation};
use super::writers::Writers;
use super::{DATABASE, NODES, ProcessPlatform, PromotionObserver};
use crate::platform::wait;
use crate::standin::relay::{Partition, RelayEvent};

/// Time for which clients write before the primary crashes. Nodes replace a primary only after they
/// have observed its group for a while.
const STEADY_PERIOD: Duration = Duration::from_secs(4);
/// Time after which the crashed primary returns once another instance leads.
const FORMER_PRIMARY_RETURN_DELAY: Duration = Duration::from_millis(300);
/// Time for which a promoted instance leads before it crashes.
const SUCCESSOR_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time after which a crashed instance returns if no other one leads.
const MAX_CRASH_DURATION: Duration = Duration::from_secs(25);
/// Time after which a killed coordinator is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time for which a run without a partition goes on after the crash.
const UNDISTURBED_PERIOD: Duration = Duration::from_secs(6);
/// Time after the partition within which held calls take effect.
const SETTLING_PERIOD: Duration = Duration::from_secs(2);
const STEP_INTERVAL: Duration = Duration::from_millis(5);
const CALL_START: &[u8] = b"POST /promotion";
const INSTANCE_FIELD: &str = "\"instanceId\":\"";

/// What happens to the coordinator whose call is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinatorFate {
    /// It goes on, partitioned from the platform.
    Lives,
    /// It is killed when the partition begins and not started again.
    Killed,
    /// It is killed when the partition begins and started again under the same name, still
    /// partitioned from the platform.
    Restarted,
    /// It is suspended when the partition begins and continued at its end.
    Suspended,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the run, which its nodes have in their names.
    pub name: &'static str,
    /// Duration of the partition; `None` for a run without trouble.
    pub partition: Option<Duration>,
    /// What happens to the coordinator during the partition.
    pub coordinator: CoordinatorFate,
    /// Whether the instance that the held call names stops receiving commits during the partition:
    /// if it is promoted, it crashes and returns as a replica that receives nothing.
    pub choice_falls_behind: bool,
}

/// What a run has shown.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Fencing tokens of the promotion requests in the order of their arrival.
    pub fences: Vec<u64>,
    /// The journal, the figures of the run included.
    pub journal: String,
}

/// The first promotion call, as the relays have seen it.
#[derive(Debug, Default)]
struct FirstCall {
    node: Option<usize>,
    bytes: Vec<u8>,
}

impl FirstCall {
    /// The instance that the call names.
    fn instance(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.bytes);
        let (_, behind) = text.split_once(INSTANCE_FIELD)?;
        behind.split_once('"').map(|(name, _)| name.to_owned())
    }
}

/// Partitions the first node that sends a promotion call from the platform.
struct Trigger {
    is_enabled: bool,
    partitions: Vec<Arc<Partition>>,
    first_call: Mutex<FirstCall>,
    journal: Arc<Journal>,
}

impl Trigger {
    fn new(is_enabled: bool, journal: Arc<Journal>) -> Self {
        let partitions = (0..NODES).map(|_| Arc::default()).collect();
        Self { is_enabled, partitions, first_call: Mutex::default(), journal }
    }

    fn first_call(&self) -> MutexGuard<'_, FirstCall> {
        self.first_call.lock().expect("a holder of the call's lock panicked")
    }

    fn on_event(&self, node: usize, event: RelayEvent<'_>) {
        let description = match event {
            RelayEvent::Received(bytes) => return self.on_bytes(node, bytes),
            RelayEvent::PassedOn(count) => format!("{count} held bytes arrive"),
            RelayEvent::ClosedWithHeldBytes(count) => {
                format!("the sender closed the connection with {count} held bytes")
            }
            RelayEvent::Lost(count) => {
                format!("{count} held bytes are lost: the sender reset the connection")
            }
        };
        self.journal.add(&format!("node {node} to the promotion service: {description}"));
    }

    fn on_bytes(&self, node: usize, bytes: &[u8]) {
        let mut call = self.first_call();
        let is_call = bytes.windows(CALL_START.len()).any(|window| window == CALL_START);
        if is_call {
            self.journal.add(&format!("node {node} sends a promotion call"));
        }
        if call.node.is_none() && is_call {
            call.node = Some(node);
            if self.is_enabled {
                self.partitions[node].begin();
                self.journal.add(&format!("node {node} is partitioned from the platform"));
            }
        }
        if call.node == Some(node) {
            call.bytes.extend_from_slice(bytes);
        }
    }
}

/// Plays a run and checks the rules.
pub fn run(scenario: &Scenario) -> miette::Result<Outcome> {
    let journal = Arc::new(Journal::default());
    let trigger = Arc::new(Trigger::new(scenario.partition.is_some(), journal.clone()));
    let observing = trigger.clone();
    let observer: Arc<PromotionObserver> =
        Arc::new(move |node, event| observing.on_event(node, event));
    let partitions = trigger.partitions.clone();
    let mut platform =
        ProcessPlatform::start(scenario.name, partitions, journal.clone(), &observer)?;
    let played = play(scenario, &mut platform, &trigger);
    let kept = platform.keep_logs(scenario.name);
    let outcome = played.map_err(|error| miette!("{error}\n{}", journal.text()))?;
    kept?;
    Ok(outcome)
}

fn play(
    scenario: &Scenario,
    platform: &mut ProcessPlatform,
    trigger: &Trigger,
) -> miette::Result<Outcome> {
    platform.wait_until_ready()?;
    let writers = Writers::start(&platform.client_addresses(), DATABASE);
    thread::sleep(STEADY_PERIOD);
    let former_primary =
        platform.group.primary().ok_or_else(|| miette!("the group has no primary"))?;
    let mut instances = Instances::crash_primary(former_primary, scenario, &platform.journal);
    platform.group.kill(&instances.former_primary);
    let crashed = Instant::now();
    wait("a promotion call is sent", || trigger.first_call().node.is_some())?;
    let node = trigger.first_call().node.unwrap_or_default();
    match scenario.partition {
        Some(duration) => {
            let mut coordinator = Coordinator::begin(scenario.coordinator, node, platform)?;
            let end = Instant::now() + duration;
            while Instant::now() < end {
                instances.step(platform, trigger);
                coordinator.step(platform)?;
                thread::sleep(STEP_INTERVAL);
            }
            platform.journal.add(&format!("the partition of node {node} ends"));
            platform.partitions[node].end();
            coordinator.end(platform)?;
        }
        None => {
            let end = Instant::now() + UNDISTURBED_PERIOD;
            while Instant::now() < end {
                instances.step(platform, trigger);
                thread::sleep(STEP_INTERVAL);
            }
        }
    }
    instances.partition_is_over = true;
    let settled = Instant::now() + SETTLING_PERIOD;
    while Instant::now() < settled {
        instances.step(platform, trigger);
        thread::sleep(STEP_INTERVAL);
    }
    wait_until_served(platform, &mut instances, trigger)?;
    let end = Instant::now();
    let history = writers.history();
    // The nodes end before the clients, so that none waits for an answer.
    platform.nodes.iter_mut().for_each(super::node::NodeProcess::kill);
    drop(writers);
    let journal = &platform.journal;
    let arrivals = platform.promotions.arrivals();
    for (at, call) in &arrivals {
        let at = journal.time_of(*at);
        journal.add(&format!(
            "at {at}: {} had {} promoted with fence {}",
            call.coordinator, call.instance, call.fence
        ));
    }
    let completed = platform.promotions.completed();
    for promotion in &completed {
        let (at, term) = (journal.time_of(promotion.at), promotion.term.0);
        journal.add(&format!("at {at}: {} leads with term {term}", promotion.instance));
    }
    let mut violations = rules::check_fences(&arrivals);
    violations.extend(rules::check_logs(&completed, &history.acknowledged));
    for violation in &violations {
        journal.add(&violation.to_string());
    }
    let fences: Vec<u64> = arrivals.iter().map(|(_, call)| call.fence).collect();
    let since_crash =
        history.acknowledged.iter().filter(|write| write.acknowledged >= crashed).count();
    journal.add(&format!(
        "summary of {}: fences {fences:?}, {} broken rules, {} of {} writes acknowledged, {since_crash} in {} ms since the crash, longest time without one {} ms",
        scenario.name,
        violations.len(),
        history.acknowledged.len(),
        history.tried,
        (end - crashed).as_millis(),
        history.longest_gap(crashed, end).as_millis(),
    ));
    Ok(Outcome { violations, fences, journal: journal.text() })
}

/// Waits until a write through each running node is acknowledged.
fn wait_until_served(
    platform: &ProcessPlatform,
    instances: &mut Instances,
    trigger: &Trigger,
) -> miette::Result<()> {
    for (number, node) in platform.nodes.iter().enumerate() {
        if node.is_started() {
            instances.step(platform, trigger);
            platform.wait_until_served(number)?;
        }
    }
    Ok(())
}

/// The coordinator whose call is held back.
struct Coordinator {
    fate: CoordinatorFate,
    node: usize,
    began: Instant,
}

impl Coordinator {
    fn begin(
        fate: CoordinatorFate,
        node: usize,
        platform: &mut ProcessPlatform,
    ) -> miette::Result<Self> {
        match fate {
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
        Ok(Self { fate, node, began: Instant::now() })
    }

    fn step(&mut self, platform: &mut ProcessPlatform) -> miette::Result<()> {
        let node = &mut platform.nodes[self.node];
        let is_due = self.began.elapsed() >= RESTART_DELAY && !node.is_started();
        if self.fate == CoordinatorFate::Restarted && is_due {
            node.run()?;
            platform.journal.add(&format!("node {} is started again", self.node));
        }
        Ok(())
    }

    fn end(&self, platform: &ProcessPlatform) -> miette::Result<()> {
        if self.fate == CoordinatorFate::Suspended {
            platform.nodes[self.node].resume()?;
            platform.journal.add(&format!("node {} is continued", self.node));
        }
        Ok(())
    }
}

/// The instances of the group, which crash and return during the run.
struct Instances {
    former_primary: String,
    choice_falls_behind: bool,
    partition_is_over: bool,
    crashed: Vec<CrashedInstance>,
    /// Whether the instance that the held call names does not receive commits any more.
    has_fallen_behind: bool,
}

struct CrashedInstance {
    name: String,
    since: Instant,
    /// When another instance was first seen to lead.
    replaced: Option<Instant>,
    return_delay: Duration,
}

impl Instances {
    fn crash_primary(former_primary: String, scenario: &Scenario, journal: &Journal) -> Self {
        journal.add(&format!("the primary {former_primary} crashes"));
        let crashed = CrashedInstance {
            name: former_primary.clone(),
            since: Instant::now(),
            replaced: None,
            return_delay: FORMER_PRIMARY_RETURN_DELAY,
        };
        Self {
            former_primary,
            choice_falls_behind: scenario.choice_falls_behind,
            partition_is_over: false,
            crashed: vec![crashed],
            has_fallen_behind: false,
        }
    }

    fn step(&mut self, platform: &ProcessPlatform, trigger: &Trigger) {
        self.restart_crashed(platform);
        if self.choice_falls_behind && !self.has_fallen_behind && !self.partition_is_over {
            self.let_choice_fall_behind(platform, trigger);
        }
    }

    fn restart_crashed(&mut self, platform: &ProcessPlatform) {
        let primary = platform.group.primary();
        self.crashed.retain_mut(|crashed| {
            if primary.is_some() {
                crashed.replaced.get_or_insert_with(Instant::now);
            }
            let is_replaced =
                crashed.replaced.is_some_and(|at| at.elapsed() >= crashed.return_delay);
            let returns = is_replaced || crashed.since.elapsed() >= MAX_CRASH_DURATION;
            if returns {
                platform.group.restart(&crashed.name);
                platform.journal.add(&format!("{} returns, {primary:?} leads", crashed.name));
            }
            !returns
        });
    }

    /// Lets the instance that the held call names miss all further commits, once another promotion
    /// has taken effect.
    fn let_choice_fall_behind(&mut self, platform: &ProcessPlatform, trigger: &Trigger) {
        let completed = platform.promotions.completed();
        let Some(promotion) = completed.first() else { return };
        let choice = trigger.first_call().instance();
        let choice = choice.unwrap_or_else(|| promotion.instance.clone());
        let leads = promotion.instance == choice;
        if leads && promotion.at.elapsed() < SUCCESSOR_LIFETIME {
            return;
        }
        platform.group.set_replication_blocked(&choice, true);
        platform.journal.add(&format!("{choice} receives nothing any more"));
        if leads {
            platform.group.kill(&choice);
            platform.journal.add(&format!("{choice}, which leads, crashes"));
            self.crashed.push(CrashedInstance {
                name: choice,
                since: Instant::now(),
                replaced: None,
                return_delay: Duration::ZERO,
            });
        }
        self.has_fallen_behind = true;
    }
}
