//! Faults that begin when a coordinator sends a promotion: a partition that holds what the
//! coordinator sends, the end or suspension of its process, and the loss of the instance that it
//! has chosen.

use kestrellock_core::promotion::Phase;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::messages::{Call, Message};
use crate::plan::{FaultKind, Planned};
use crate::store::Operation;
use crate::world::World;

/// Separates the random draws of the aimed faults from those of the world with the same seed.
const SEED_MASK: u64 = 0x6c61_7465_6361_6c6c;
/// Longest time from the event that a partition is aimed at to its beginning.
const MAX_OFFSET_MS: u64 = 20;
/// Length of a partition that holds promotions and store calls.
const PARTITION_MS: std::ops::RangeInclusive<u64> = 1_000..=14_000;
/// Length of a partition that holds requests to instances. Instances drop connections whose far end
/// has been silent for three seconds.
const REQUEST_PARTITION_MS: std::ops::RangeInclusive<u64> = 200..=3_000;
/// After the last fault has ended, writes must be acknowledged again within this time.
const RECOVERY_BOUND_MS: u64 = 9_000;
/// Time for which a coordinator waits for a process whose machine has lost power for good: nothing
/// shows that its promotions have ended.
const OPEN_CALL_TIMEOUT_MS: u64 = 30_000;
/// End of a fault that never ends.
const NEVER: u64 = u64::MAX;

/// What happens to the process that has sent the held messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// It runs on.
    Lives,
    /// It is killed when the partition begins.
    Killed,
    /// It is suspended when the partition begins, until its end or longer.
    Suspended,
    /// Its machine loses power when the partition begins.
    LosesPower,
}

/// What arrives late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Late {
    /// Promotions.
    Promotions,
    /// Commands to instances.
    Requests,
    /// Calls to the store.
    StoreCalls,
    /// The store executes some changes late; nothing is held.
    StoreWrites,
    /// The coordinator's first record of its intent, which is executed after it has sent a
    /// promotion; nothing is held.
    Intent,
    /// Nothing: the sender is only cut off, killed, suspended or without power.
    Nothing,
}

/// What happens to the instance that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChosenInstance {
    /// Nothing.
    Unharmed,
    /// It crashes some time after it leads, and returns without receiving replication.
    CrashesAsPrimary {
        /// Time from its promotion to the crash.
        after: u64,
        /// How long it is down.
        downtime: u64,
    },
    /// It cannot be reached for this time, and then receives no replication.
    Lags(u64),
}

/// Aimed faults of one run.
#[derive(Debug)]
pub struct AimedFaults {
    late: Late,
    sender: Sender,
    /// Whether the partition begins before the promotion is sent.
    begins_before: bool,
    /// Time from the event that the partition is aimed at to its beginning.
    offset: u64,
    partition: u64,
    cuts_store: bool,
    cuts_peers: bool,
    /// Time from the beginning of the partition to the restart of a process that has ended.
    restart_after: Option<u64>,
    /// How much longer than the partition the suspension lasts.
    suspended_longer: u64,
    chosen_fault: ChosenInstance,
    /// Time from the promotion to the late execution of the intent record.
    intent_delay: u64,
    first_fault: Planned,
    /// The partitioned node and the end of its partition.
    begun: Option<(usize, u64)>,
    /// The instance of the first promotion.
    chosen: Option<usize>,
    captured_intent: Option<Call>,
}

impl AimedFaults {
    /// Draws the faults of a seed. The sender's fate is drawn if it is not given.
    pub fn draw(seed: u64, late: Late, sender: Option<Sender>) -> Self {
        let rng = &mut StdRng::seed_from_u64(seed ^ SEED_MASK);
        let drawn_sender = match rng.random_range(0..4) {
            0 => Sender::Lives,
            1 => Sender::Killed,
            2 => Sender::Suspended,
            _ => Sender::LosesPower,
        };
        let partition = match late {
            Late::Requests => rng.random_range(REQUEST_PARTITION_MS),
            _ => rng.random_range(PARTITION_MS),
        };
        let chosen_fault = match rng.random_range(0..5) {
            0 => ChosenInstance::Unharmed,
            1 => ChosenInstance::Lags(rng.random_range(3_000..6_000)),
            _ => ChosenInstance::CrashesAsPrimary {
                after: rng.random_range(200..2_000),
                downtime: rng.random_range(1_000..3_000),
            },
        };
        Self {
            late,
            sender: sender.unwrap_or(drawn_sender),
            begins_before: rng.random_bool(0.3),
            offset: if rng.random_bool(0.5) {
                rng.random_range(1..=4)
            } else {
                rng.random_range(1..=MAX_OFFSET_MS)
            },
            partition,
            cuts_store: rng.random_bool(0.7),
            cuts_peers: rng.random_bool(0.5),
            restart_after: rng.random_bool(0.6).then(|| rng.random_range(200..8_000)),
            suspended_longer: if rng.random_bool(0.5) { 0 } else { rng.random_range(1..3_000) },
            chosen_fault,
            intent_delay: rng.random_range(1..2_500),
            first_fault: draw_first_fault(rng),
            begun: None,
            chosen: None,
            captured_intent: None,
        }
    }

    /// Whether the fault that the partition is aimed at has occurred.
    fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// The partition of `node` from `at` on, and what happens to its process.
    fn partition_of(&self, node: usize, at: u64) -> Vec<Planned> {
        let until = at + self.partition;
        let held = match self.late {
            Late::Promotions => Some(FaultKind::HoldPromotions(node)),
            Late::Requests => Some(FaultKind::HoldRequests(node)),
            Late::StoreCalls => Some(FaultKind::HoldStoreCalls(node)),
            Late::StoreWrites | Late::Intent | Late::Nothing => None,
        };
        // A late intent is only executed if it reaches the store before the lease has ended.
        let cuts_store = self.cuts_store && self.late != Late::StoreCalls;
        let cut_store = cuts_store.then_some(FaultKind::CutStore(node));
        let cut_peers = self.cuts_peers.then_some(FaultKind::CutPeers(node));
        let ended = self.restart_after.map_or(NEVER, |after| at + after);
        let process = match self.sender {
            Sender::Lives => None,
            Sender::Killed => Some((FaultKind::KillNode(node), ended)),
            Sender::Suspended => Some((FaultKind::Freeze(node), until + self.suspended_longer)),
            Sender::LosesPower => Some((FaultKind::PowerLoss(node), ended)),
        };
        let partition = held.into_iter().chain(cut_store).chain(cut_peers);
        let mut plan: Vec<Planned> = partition.map(|kind| Planned { at, until, kind }).collect();
        plan.extend(process.map(|(kind, until)| Planned { at, until, kind }));
        plan
    }

    /// What happens to the chosen instance at the time of the promotion.
    fn lag_of(&self, chosen: usize, now: u64, until: u64) -> Vec<Planned> {
        let ChosenInstance::Lags(unreachable) = self.chosen_fault else { return Vec::new() };
        let at = now + self.offset;
        let reachable_at = at + unreachable;
        vec![
            Planned { at, until: reachable_at, kind: FaultKind::Unreachable(chosen) },
            Planned {
                at,
                until: until.max(reachable_at) + 500,
                kind: FaultKind::ReplicationStalled(chosen),
            },
        ]
    }

    /// The crash of the chosen instance, which has led since `now`.
    fn crash_of(&self, chosen: usize, now: u64, until: u64) -> Vec<Planned> {
        let ChosenInstance::CrashesAsPrimary { after, downtime } = self.chosen_fault else {
            return Vec::new();
        };
        let at = now + after;
        let restart = at + downtime;
        vec![
            Planned { at, until: restart, kind: FaultKind::Crash(chosen) },
            Planned {
                at,
                until: until.max(restart) + 500,
                kind: FaultKind::ReplicationStalled(chosen),
            },
        ]
    }
}

/// A fault that calls for a replacement of the first primary.
fn draw_first_fault(rng: &mut StdRng) -> Planned {
    let kind = match rng.random_range(0..5) {
        0 => FaultKind::Unreachable(0),
        1 => FaultKind::Leave,
        _ => FaultKind::Crash(0),
    };
    let at = rng.random_range(400..2_500);
    let until = at + rng.random_range(800..2_500);
    Planned { at, until, kind }
}

impl World {
    /// Adds the aimed faults.
    pub fn with_aimed_faults(mut self, aimed: AimedFaults) -> Self {
        self.plan.push(aimed.first_fault);
        if aimed.late == Late::StoreWrites {
            let first = aimed.first_fault;
            let until = first.at + aimed.partition;
            let kind = FaultKind::StoreWritesLate;
            self.add_aimed(vec![Planned { at: first.at - 300, until, kind }]);
        }
        self.aimed = Some(aimed);
        self
    }

    /// Lets the promotion client reset the connections of abandoned requests.
    pub fn with_resets(mut self) -> Self {
        self.partitions.promotion_client_resets = true;
        self
    }

    /// Makes the record of each intent require the revision of the intent that it replaces.
    pub fn with_conditional_intents(mut self) -> Self {
        self.partitions.every_intent_is_conditional = true;
        self
    }

    /// Lets nodes acknowledge commits whose answers no evidence covers. That evidence prevents the
    /// losses to which some planted faults lead, and each of them must still be detected.
    pub fn with_uncovered_answers(mut self) -> Self {
        self.partitions.acknowledges_uncovered_answers = true;
        self
    }

    /// Adds faults, and lengthens the run so that it shows whether everything recovers.
    fn add_aimed(&mut self, faults: Vec<Planned>) {
        for planned in faults {
            let last = match planned.kind {
                FaultKind::PowerLoss(_) if planned.until == NEVER => {
                    planned.at + OPEN_CALL_TIMEOUT_MS
                }
                _ if planned.until == NEVER => planned.at,
                _ => planned.until,
            };
            self.run_length = self.run_length.max(last + RECOVERY_BOUND_MS);
            self.plan.push(planned);
        }
    }

    /// Handles the sending of a promotion.
    pub fn on_promotion_sent(&mut self, node: usize, instance: usize, call: u64) {
        let Some(aimed) = &mut self.aimed else { return };
        let is_first = aimed.chosen.is_none();
        aimed.chosen.get_or_insert(instance);
        let (begun, intent_delay) = (aimed.has_begun(), aimed.intent_delay);
        let captured = aimed.captured_intent.take_if(|intent| intent.node == node);
        self.await_promotion(node, instance, call);
        if let Some(intent) = captured {
            self.send_after(intent_delay, Message::LateCall(intent));
        }
        if !begun {
            self.begin_partition(node);
        }
        let Some(aimed) = self.aimed.as_ref().filter(|_| is_first) else { return };
        let until = aimed.begun.map_or(self.now, |(_, until)| until);
        let lag = aimed.lag_of(instance, self.now, until);
        self.add_aimed(lag);
    }

    /// Handles a new phase of a node's attempt: a partition that begins before the promotion is
    /// aimed at the check that precedes it.
    pub fn on_attempt_phase(&mut self, node: usize, phase: Phase) {
        let is_aimed = |aimed: &AimedFaults| aimed.begins_before && !aimed.has_begun();
        if phase == Phase::Checking && self.aimed.as_ref().is_some_and(is_aimed) {
            self.begin_partition(node);
        }
    }

    fn begin_partition(&mut self, node: usize) {
        let Some(aimed) = &mut self.aimed else { return };
        let at = self.now + aimed.offset;
        aimed.begun = Some((node, at + aimed.partition));
        let faults = aimed.partition_of(node, at);
        self.add_aimed(faults);
    }

    /// Handles that an instance leads.
    pub fn on_instance_leads(&mut self, index: usize) {
        let Some(aimed) = &mut self.aimed else { return };
        let (Some((_, until)), true) = (aimed.begun, aimed.chosen == Some(index)) else { return };
        let crash = aimed.crash_of(index, self.now, until);
        aimed.chosen_fault = ChosenInstance::Unharmed;
        self.add_aimed(crash);
    }

    /// Takes a coordinator's first record of its intent, to be executed late.
    pub fn capture_intent(&mut self, call: &Call) -> bool {
        let Some(aimed) = self.aimed.as_mut().filter(|aimed| aimed.late == Late::Intent) else {
            return false;
        };
        let is_first = matches!(&call.operation, Operation::RecordIntent(intent)
            if !intent.promoting && intent.id.attempt == 1);
        let is_captured = is_first && aimed.captured_intent.is_none() && aimed.chosen.is_none();
        if is_captured {
            aimed.captured_intent = Some(call.clone());
        }
        is_captured
    }
}
