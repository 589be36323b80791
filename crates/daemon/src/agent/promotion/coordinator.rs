//! Runs primary replacements for as long as this node holds the coordinator lease.
//!
//! The thread acquires the lease, starts an attempt for each group whose primary needs to be
//! replaced, executes the commands of each attempt, and releases the lease when nothing is left to
//! replace. It renews the lease before its end and stops once the lease has ended, because another
//! node may be the coordinator from then on.
//!
//! After a store restore the store may not contain the lease any more, so the node acquires it
//! again. No other node may be the coordinator until the old lease would have ended, so the
//! attempts in the store can continue under the new fencing token.

mod commands;
mod input;

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::{
    Attempt, Event, KnownInstances, Need, ProbeResult, ProcessProbes, PromotionCaller,
    ReplacementId, Timing,
};
use kestrellock_core::store_era::StoreEra;
use kestrellock_store::coordination::{Coordination, CoordinatorLease};

use super::ReplacementServices;
use super::executor::{Executor, Report};
use super::lease_acquisition::{acquire_lease_for_watcher, reacquire_lease};
use super::reporting_nodes::nodes_to_report;
use super::running_attempt::{CallsEndedEvidence, RunningAttempt};
use crate::context::NodeContext;
use crate::supervisor::StopFlag;

pub use input::{CoordinatorInput, LeaseAttempt, SharedCoordinatorInput};

/// Longest time between two steps of the attempts.
const STEP_INTERVAL: Duration = Duration::from_millis(3);
/// The lease is renewed when less than this is left of it.
const RENEW_MARGIN: Duration = Duration::from_millis(1_500);
/// The lease is released after this time without an attempt.
const IDLE_LEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before a failed change of the store is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Needs are ignored for this long after an attempt of their group has ended: they may have been
/// computed before its end.
const STALE_NEEDS_PERIOD: Duration = Duration::from_millis(200);

struct CoordinatorThread<'a> {
    context: &'a NodeContext,
    input: &'a SharedCoordinatorInput,
    coordination: Arc<dyn Coordination>,
    executor: Executor,
    lease: CoordinatorLease,
    /// Whether the store has reported that the lease has ended.
    is_lease_over: bool,
    /// Whether the store may return outdated incarnations of instances.
    incarnations_may_be_outdated: bool,
    renewing: bool,
    attempts: BTreeMap<GroupName, RunningAttempt>,
    /// Number of attempts started under this lease.
    attempts_started: u32,
    /// When the last attempt of each group ended, to ignore needs that were computed before.
    ended: BTreeMap<GroupName, Instant>,
    /// Probes of nodes whose earlier processes may have promotions open.
    process_probes: ProcessProbes,
}

/// Why the thread stopped acting under a lease.
enum Ending {
    /// The node stops, nothing is left to replace, or the lease has ended.
    Done,
    /// The store was restored from a copy that does not contain the lease.
    StoreRestored {
        /// When the lease would have ended.
        until: Instant,
    },
}

/// Ends the attempts of this node as far as other nodes are told of them, also after a panic.
struct AttemptsEnd<'a>(&'a NodeContext);

impl Drop for AttemptsEnd<'_> {
    fn drop(&mut self) {
        self.0.replacement_checks.attempts().end_all(Instant::now());
    }
}

/// Acquires the coordinator lease, runs all replacements that are needed, and releases the lease.
pub fn run(
    context: &NodeContext,
    services: &ReplacementServices,
    input: &SharedCoordinatorInput,
    stop: &StopFlag,
) {
    let mut acquired = acquire_lease_for_watcher(context, services, input);
    while let Some(lease) = acquired {
        let ending = {
            let _attempts_end = AttemptsEnd(context);
            run_under_lease(lease, context, services, input, stop)
        };
        context.metrics.replacements_waiting_for_log.set(0);
        context.metrics.replacements_waiting_for_calls.set(0);
        context.replacements.on_coordinator_lease_ended();
        acquired = match ending {
            Ending::Done => None,
            Ending::StoreRestored { until } => reacquire_lease(until, context, services, stop),
        };
    }
}

fn run_under_lease(
    lease: CoordinatorLease,
    context: &NodeContext,
    services: &ReplacementServices,
    input: &SharedCoordinatorInput,
    stop: &StopFlag,
) -> Ending {
    let coordination = services.coordination.clone();
    log::info!(event = "hold_taken", fence = lease.fence; "this node is the coordinator and may replace primaries");
    let era = StoreEra::of(lease.fence);
    let (executor, reports) = Executor::start(
        context.identity.address,
        services.clone(),
        context.promotion_calls.clone(),
    );
    let mut coordinator = CoordinatorThread {
        context,
        input,
        coordination: coordination.clone(),
        executor,
        lease,
        is_lease_over: false,
        incarnations_may_be_outdated: true,
        renewing: false,
        attempts: BTreeMap::new(),
        attempts_started: 0,
        ended: BTreeMap::new(),
        process_probes: ProcessProbes::default(),
    };
    let mut idle_since = Instant::now();
    loop {
        stop.wait_while_paused();
        if stop.is_stopping() {
            // Releasing the lease at a planned stop lets another node become the coordinator at
            // once.
            if context.is_stopping() {
                let _ = coordination.release(&coordinator.lease);
            }
            return Ending::Done;
        }
        if coordination.era() > era {
            log::warn!(event = "hold_outdated", fence = coordinator.lease.fence, era = coordination.era().0; "the store was restored from an older copy: acquiring the coordinator lease again");
            return Ending::StoreRestored { until: coordinator.lease.valid_until };
        }
        if coordinator.is_lease_over || Instant::now() >= coordinator.lease.valid_until {
            log::warn!(event = "hold_lost", fence = coordinator.lease.fence; "the coordinator lease has ended");
            return Ending::Done;
        }
        if let Ok(report) = reports.recv_timeout(STEP_INTERVAL) {
            coordinator.on_report(report);
            reports.try_iter().for_each(|report| coordinator.on_report(report));
        }
        coordinator.step();
        if !coordinator.attempts.is_empty() {
            idle_since = Instant::now();
        } else if idle_since.elapsed() >= IDLE_LEASE_TIMEOUT {
            break;
        }
    }
    // If the release fails, the lease expires by itself.
    let _ = coordination.release(&coordinator.lease);
    log::info!(event = "hold_given_up", fence = coordinator.lease.fence; "released the coordinator lease: nothing is left to replace");
    Ending::Done
}

impl CoordinatorThread<'_> {
    fn input(&self) -> CoordinatorInput {
        self.input.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn on_report(&mut self, report: Report) {
        let now = Instant::now();
        match report {
            Report::Event(group, event) => {
                if let Some(running) = self.attempts.get_mut(&group) {
                    if matches!(event, Event::IntentRecorded(_)) {
                        running.pending = None;
                        running.recorded.get_or_insert(now);
                    }
                    running.attempt.on_event(event, now);
                }
            }
            Report::Probed(node, result) => self.on_probed(&node, result, now),
            Report::Installed => {}
            Report::Finished(group) => {
                self.announce_end(&group);
                self.end_attempt(group, now);
            }
            Report::EarlierPromotion(group) => {
                log::warn!(event = "attempt_restarted", group = group.as_str(); "an earlier coordinator may have sent promotions: the attempt begins again with them");
                // It has sent no commands, since its intent is not recorded. Another one begins
                // from what the store shows.
                self.end_attempt(group, now);
            }
            Report::StoreFailed(group) => {
                if let Some(running) = self.attempts.get_mut(&group) {
                    let pending = running.pending.take();
                    running.retry = pending.map(|command| (now + STORE_RETRY_DELAY, command));
                }
            }
            Report::Renewed(lease) => {
                self.renewing = false;
                self.lease = lease;
            }
            Report::LeaseOver => self.is_lease_over = true,
        }
    }

    fn end_attempt(&mut self, group: GroupName, now: Instant) {
        self.attempts.remove(&group);
        self.context.replacement_checks.attempts().end(&group, now);
        self.ended.insert(group, now);
    }

    fn remove_withdrawn_attempts(&mut self, now: Instant) {
        let withdrawn = self.attempts.extract_if(.., |_, running| running.attempt.is_withdrawn());
        for (group, _) in withdrawn {
            self.context.replacement_checks.attempts().end(&group, now);
        }
    }

    /// Has the end of an attempt announced to the owners of the group.
    fn announce_end(&self, group: &GroupName) {
        let Some(running) = self.attempts.get(group) else { return };
        let (attempt, replacements) = (&running.attempt, &self.context.replacements);
        if attempt.may_announce_end() {
            replacements.on_attempt_ended(group, attempt.id(), attempt.successor_term());
        } else {
            log::warn!(
                event = "end_not_announced",
                group = group.as_str(),
                chosen:? = attempt.chosen();
                "the successor has not reported its term: nodes learn of the end from the store"
            );
            self.context.metrics.unannounced_replacement_ends.inc();
            replacements.on_attempt_ended_without_term(group);
        }
    }

    fn step(&mut self) {
        let now = Instant::now();
        let input = self.input();
        self.incarnations_may_be_outdated = input.incarnations_may_be_outdated;
        if !self.renewing && now + RENEW_MARGIN >= self.lease.valid_until {
            self.renewing = true;
            self.executor.renew(&self.lease);
        }
        for (group, need) in &input.needs {
            let ended = self.ended.get(group);
            let is_stale = ended.is_some_and(|ended| now < *ended + STALE_NEEDS_PERIOD);
            if !self.attempts.contains_key(group) && !is_stale {
                self.start_attempt(group, need, &input.known, now);
            }
        }
        self.take_ended_calls(now);
        let groups: Vec<GroupName> = self.attempts.keys().cloned().collect();
        for group in groups {
            self.step_group(&group, &input, now);
        }
        self.remove_withdrawn_attempts(now);
        let waiting = self.attempts.values().filter(|running| running.log_wait.is_reported());
        self.context.metrics.replacements_waiting_for_log.set(waiting.count() as i64);
        let waiting = self.attempts.values().filter(|running| running.call_wait.is_reported());
        self.context.metrics.replacements_waiting_for_calls.set(waiting.count() as i64);
    }

    /// Passes on which earlier callers have answered that their promotions have ended.
    fn take_ended_calls(&mut self, now: Instant) {
        for (group, caller) in self.context.promotion_calls.take_ended() {
            if let Some(running) = self.attempts.get_mut(&group) {
                running.on_calls_ended(&group, caller, CallsEndedEvidence::Answer, now);
            }
        }
    }

    /// Handles the result of a probe: if the node runs no process, its earlier promotions have
    /// ended.
    fn on_probed(&mut self, node: &NodeName, result: ProbeResult, now: Instant) {
        if !self.process_probes.on_result(node, result, now) {
            return;
        }
        for (group, running) in &mut self.attempts {
            for caller in running.attempt.callers_that_end_with(node) {
                running.on_calls_ended(group, caller, CallsEndedEvidence::ProcessEnded, now);
            }
        }
    }

    /// Finds out whether the promotions of an earlier caller have ended.
    fn query_caller(&mut self, group: &GroupName, caller: PromotionCaller, now: Instant) {
        let (identity, calls) = (&self.context.identity, &self.context.promotion_calls);
        if caller.node == identity.node {
            let has_ended = calls.confirm_ended(group, &caller, now);
            if let (true, Some(running)) = (has_ended, self.attempts.get_mut(group)) {
                running.on_calls_ended(group, caller, CallsEndedEvidence::Answer, now);
            }
            return;
        }
        if let Some(address) = self.context.peer_address(&caller.node)
            && self.process_probes.is_due(&caller.node, now)
        {
            self.executor.probe(caller.node.clone(), address);
        }
        calls.query(group, caller);
    }

    fn start_attempt(
        &mut self,
        group: &GroupName,
        need: &Need,
        known: &KnownInstances,
        now: Instant,
    ) {
        self.attempts_started += 1;
        self.context.replacement_checks.attempts().begin(group);
        let highest = self.context.statuses.highest_term(group);
        let attempt = Attempt::new(
            self.context.identity.node.clone(),
            ReplacementId { fence: self.lease.fence, attempt: self.attempts_started },
            need,
            known.members(group),
            highest,
            Timing::default(),
        )
        .in_process(self.context.identity.incarnation);
        log::info!(
            event = "attempt",
            group = group.as_str(),
            reason:? = need.reason,
            former:? = need.old_primary,
            term = highest.0,
            fence = self.lease.fence,
            may_have_promoted = need.may_have_promoted,
            callers:? = need.callers;
            "a primary is to be replaced"
        );
        self.attempts.insert(group.clone(), RunningAttempt::new(attempt, now));
    }

    fn step_group(&mut self, group: &GroupName, input: &CoordinatorInput, now: Instant) {
        let Some(running) = self.attempts.get_mut(group) else { return };
        let wanted = input.needs.get(group).is_some_and(|need| need.is_current);
        running.attempt.on_event(Event::Members(input.known.members(group)), now);
        running.attempt.on_event(Event::StillNeeded(wanted), now);
        let id = running.attempt.id();
        let reports = self.context.revoked_evidence.for_replacement(group, id);
        if let Some(reports) = reports {
            let last_removal = input.last_node_removal;
            let nodes = nodes_to_report(group, self.context, &*self.coordination, last_removal);
            running.attempt.on_reports(&reports, &nodes, now);
        }
        let mut commands = running.attempt.step(now);
        if running.retry.as_ref().is_some_and(|(at, _)| now >= *at) {
            commands.extend(running.retry.take().map(|(_, command)| command));
        }
        running.log_wait.observe(group, running.attempt.missing_logs(), now);
        running.call_wait.observe(group, &running.attempt, now);
        if running.phase != running.attempt.phase() {
            running.phase = running.attempt.phase();
            let after = now.saturating_duration_since(running.started).as_millis() as u64;
            log::info!(event = "phase", group = group.as_str(), phase:? = running.phase, chosen:? = running.attempt.chosen(), after_ms = after; "the attempt goes on");
        }
        if let Some(intent) = running.attempt.recorded_intent() {
            let recorded = running.recorded.unwrap_or(now);
            self.context.replacements.on_attempt_running(group, intent, recorded);
        }
        for command in commands {
            self.execute(group, command, &input.known, now);
        }
    }
}
