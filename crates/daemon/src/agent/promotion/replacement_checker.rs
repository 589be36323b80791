//! Replacement checks: requests to the store that confirm that no primary replacement is running.
//!
//! If only some replicas of a group have reported their status, the reports are evidence for its
//! primary only together with such a check (`core::primary_evidence`). A check reads the replacement
//! records of the groups from the store and compares them with this node's copy. Where they are the
//! same, the intent and the last promoted instance in the copy were valid when the check began.
//!
//! While the store does not answer, the other nodes are asked instead (`peer_checks`).

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TryRecvError, bounded, unbounded};
use kestrellock_core::catalog::Group;
use kestrellock_core::ids::GroupName;
use kestrellock_core::primary_evidence::CheckSource;
use kestrellock_core::promotion::{CoordinationView, StoreCheck};
use kestrellock_core::store_access::CallBackoff;
use kestrellock_store::coordination::{Coordination, ReplacementCheck};
use kestrellock_store::store::StoreError;

use super::ReplacementServices;
use super::peer_checks::PeerChecker;
use super::store_calls::{log_backoff_begin, log_backoff_end, refusal_of};
use crate::context::NodeContext;
use crate::metrics::{ReplacementCheckEvent, StorePurpose};
use crate::shard::mailbox::Mailboxes;

/// Least time between two checks of a node. Requests to the store are limited in number and
/// expensive, and the evidence that a check confirms lasts for a second.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Result of a check.
#[derive(Debug)]
struct CheckResult {
    /// When the check began.
    started_at: Instant,
    outcome: Result<ReplacementCheck, StoreError>,
}

/// Runs the replacement checks of a node, one at a time.
pub struct ReplacementChecker {
    requests: Sender<BTreeSet<GroupName>>,
    results: Receiver<CheckResult>,
    /// Groups that the check in progress is for.
    in_progress: Option<BTreeSet<GroupName>>,
    last_start: Option<Instant>,
    coordination: Arc<dyn Coordination>,
    backoff: CallBackoff,
    store_check: StoreCheck,
    peers: PeerChecker,
}

impl ReplacementChecker {
    /// Starts the thread that sends the requests; it ends when the checker is dropped.
    pub fn start(context: &Arc<NodeContext>, services: &ReplacementServices) -> Self {
        let (requests, request_receiver) = bounded(1);
        let (result_sender, results) = unbounded();
        let coordination = services.coordination.clone();
        let thread_coordination = coordination.clone();
        let thread_context = context.clone();
        let spawned = thread::Builder::new().name("store-look".to_owned()).spawn(move || {
            run_checks(&thread_coordination, &request_receiver, |result| {
                let is_received = result_sender.send(result).is_ok();
                thread_context.replacement_check_requests.on_check_ended();
                is_received
            });
        });
        if let Err(error) = spawned {
            log::error!("failed to start the replacement check thread: {error}");
        }
        let backoff = CallBackoff::for_calls();
        Self {
            requests,
            results,
            in_progress: None,
            last_start: None,
            coordination,
            backoff,
            store_check: StoreCheck::default(),
            peers: PeerChecker::new(),
        }
    }

    /// Whether a check by other nodes is in progress, whose answers arrive soon.
    pub fn is_asking_peers(&self) -> bool {
        self.peers.is_open()
    }

    /// Processes the results of checks, and begins others if groups wait for them. `view` is the
    /// copy of the replacement state that this node uses.
    pub fn step(
        &mut self,
        context: &NodeContext,
        view: &CoordinationView,
        mailboxes: &Mailboxes,
        now: Instant,
    ) {
        self.peers.receive(context, view, now);
        match self.results.try_recv() {
            Ok(result) => {
                let groups = self.in_progress.take().unwrap_or_default();
                self.follow_backoff(&result, now);
                apply_result(&groups, &result, context, view);
            }
            Err(TryRecvError::Empty) => {}
            // The thread could not be started, which was logged.
            Err(TryRecvError::Disconnected) => return,
        }
        let asks_store = self.may_check(now);
        let asks_peers = self.is_store_silent(now) && self.peers.is_due(context, now);
        if !asks_store && !asks_peers {
            return;
        }
        let mut groups = context.replacement_check_requests.take();
        // No answer would confirm the others. They are requested again while statements wait.
        groups.retain(|name| is_unreplaced(name, context, view));
        if groups.is_empty() {
            return;
        }
        if asks_store && self.requests.try_send(groups.clone()).is_ok() {
            for name in &groups {
                context.statuses.on_check_started(name, CheckSource::Store, now);
            }
            self.in_progress = Some(groups.clone());
            self.last_start = Some(now);
            self.store_check.begin(now);
        }
        if asks_peers {
            self.peers.begin(&mut groups, context, view, mailboxes);
            context.replacement_check_requests.keep(groups);
        }
    }

    /// Whether a check by the store may begin.
    fn may_check(&mut self, now: Instant) -> bool {
        let is_early =
            self.last_start.is_some_and(|last_start| now < last_start + MIN_CHECK_INTERVAL);
        self.in_progress.is_none() && !is_early && self.may_call(now)
    }

    /// Whether the store does not make checks now.
    fn is_store_silent(&mut self, now: Instant) -> bool {
        self.store_check.is_unanswered(now) || !self.may_call(now)
    }

    fn may_call(&mut self, now: Instant) -> bool {
        self.backoff.on_availability(&self.coordination.availability());
        self.backoff.may_call(now)
    }

    fn follow_backoff(&mut self, result: &CheckResult, now: Instant) {
        self.store_check.end(result.outcome.is_ok());
        match &result.outcome {
            Ok(_) => {
                if self.backoff.on_success() {
                    log_backoff_end(StorePurpose::ReplacementCheck);
                }
            }
            Err(error) => {
                let refusal = refusal_of(error);
                if self.backoff.on_refused(refusal, rand::random(), now) {
                    log_backoff_begin(StorePurpose::ReplacementCheck, refusal);
                }
            }
        }
    }
}

/// Makes the requested checks until `deliver` returns that their results are no longer received.
fn run_checks(
    coordination: &Arc<dyn Coordination>,
    request_receiver: &Receiver<BTreeSet<GroupName>>,
    deliver: impl Fn(CheckResult) -> bool,
) {
    while let Ok(groups) = request_receiver.recv() {
        let started_at = Instant::now();
        let outcome = coordination.check_view(&groups);
        if !deliver(CheckResult { started_at, outcome }) {
            return;
        }
    }
}

fn apply_result(
    groups: &BTreeSet<GroupName>,
    result: &CheckResult,
    context: &NodeContext,
    view: &CoordinationView,
) {
    let check = match &result.outcome {
        Ok(check) => check,
        Err(error) => {
            context.metrics.replacement_checks.count(ReplacementCheckEvent::StoreFailed);
            return log_failed_check(groups, result.started_at, error);
        }
    };
    context.replacement_checks.on_success();
    let is_view_complete = view.revision >= check.view_revision;
    let confirmed = check.confirmed.iter().filter(|_| is_view_complete);
    let confirmed: BTreeSet<&GroupName> =
        confirmed.filter(|name| is_unreplaced(name, context, view)).collect();
    for name in &confirmed {
        context.statuses.on_replacement_check(name, result.started_at);
        context.renew_claim(name);
    }
    let event = match confirmed.len() == groups.len() {
        true => ReplacementCheckEvent::StoreConfirmed,
        false => ReplacementCheckEvent::StoreRefused,
    };
    context.metrics.replacement_checks.count(event);
    log_check(groups, result.started_at, check, &confirmed);
}

/// Whether this node uses the instance that was promoted last as the primary of a group, and knows
/// of no replacement of it, neither running nor cancelled.
pub(super) fn is_unreplaced(
    name: &GroupName,
    context: &NodeContext,
    view: &CoordinationView,
) -> bool {
    let catalog = context.catalog.load();
    let Some(group) = catalog.groups.get(name) else { return false };
    let promoted = view.promoted.get(name).map(|successor| &successor.instance);
    let is_promotion_active = group.promoted.as_ref() == promoted;
    let has_active_intent = context.intents.load().contains_key(name);
    let has_intent = has_active_intent || view.intents.contains_key(name);
    let is_newest =
        group.is_led_by_last_promoted() || leads_above_record(name, group, context, view);
    is_promotion_active && !has_intent && is_newest
}

/// Whether the primary leads a higher term than the recorded successor did. A promotion that takes
/// effect after its attempt has ended with another successor is not recorded, and nobody replaces the
/// primary that results as long as it works.
fn leads_above_record(
    name: &GroupName,
    group: &Group,
    context: &NodeContext,
    view: &CoordinationView,
) -> bool {
    let recorded = view.promoted.get(name).and_then(|successor| successor.term);
    let leader = context.leader(name, group);
    let led = leader.and_then(|leader| context.statuses.led_term_of(name, &leader.name));
    recorded.is_some_and(|recorded| led > Some(recorded))
}

fn log_failed_check(groups: &BTreeSet<GroupName>, started_at: Instant, error: &StoreError) {
    log::info!(
        event = "replacement_check",
        outcome = "error",
        groups:? = groups,
        began_ms_ago = started_at.elapsed().as_millis() as u64,
        error = error.to_string().as_str();
        "a replacement check failed: it confirms no primary"
    );
}

/// Logs an answered check. Groups that are neither confirmed nor newer in the store are those whose
/// replacement this node has learned of since the check began.
fn log_check(
    groups: &BTreeSet<GroupName>,
    started_at: Instant,
    check: &ReplacementCheck,
    confirmed: &BTreeSet<&GroupName>,
) {
    let newer_in_store: Vec<&GroupName> = groups.difference(&check.confirmed).collect();
    let outcome = match (newer_in_store.is_empty(), confirmed.len() == groups.len()) {
        (true, true) => "confirmed",
        (true, false) => "replaced",
        (false, _) => "newer record",
    };
    log::info!(
        event = "replacement_check",
        outcome = outcome,
        groups:? = groups,
        confirmed:? = confirmed,
        newer_in_store:? = newer_in_store,
        began_ms_ago = started_at.elapsed().as_millis() as u64,
        read_revision = check.read_revision,
        copy_revision = check.view_revision,
        calls = check.calls;
        "the store was asked whether primaries are being replaced"
    );
}
