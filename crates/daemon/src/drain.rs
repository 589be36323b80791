//! Planned stop of a node: drains it in stages that every thread of the node observes.
//!
//! In the stage *leaving*, the node accepts no clients, disconnects idle ones, finishes open work,
//! and refers new work for its instances to their standbys. Once no work is left, the node is
//! *closed*: it runs nothing that other nodes still send, and can therefore report to them that
//! their unanswered messages will not run. The process ends once the other nodes have taken what was
//! sent to them, or at the end of the stop.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use kestrellock_core::planned_stop::{StopLimits, StopSchedule};
use mio::Waker;

use crate::context::NodeContext;
use crate::settings::Settings;
use crate::shard::Shard;
use crate::shard::mailbox::{Mailboxes, ShardMessage};
use crate::shared::stage::Stage;

/// Interval of checks whether the node has drained.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// After this time without work from other nodes, they are assumed to send their work elsewhere.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait, after the end of a stop, for shards that lag to refuse the requests that they hold.
const LATE_REFUSALS_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for the other nodes to read what was sent to them and to close their links.
const END_LINKS_TIMEOUT: Duration = Duration::from_millis(500);

/// The limits in the settings.
pub fn limits_of(settings: &Settings) -> StopLimits {
    StopLimits {
        notice: settings.drain_notice,
        transactions: settings.drain_transactions,
        total: settings.drain_limit,
    }
}

/// The parts of a node that a planned stop drains.
pub struct Drain {
    /// State shared by the node's threads.
    pub context: Arc<NodeContext>,
    /// Shards of the node.
    pub shards: Vec<Arc<Mutex<Shard>>>,
    /// Mailboxes of the shards.
    pub mailboxes: Arc<Mailboxes>,
    /// Whether the client listener is closed and all connections that it accepted were sent to the
    /// shards.
    pub client_listener_closed: Arc<AtomicBool>,
    /// Wakes the acceptor of the client listener.
    pub client_acceptor: Arc<Waker>,
}

impl Drain {
    /// Drains the node within `limits`. Returns whether all open work was finished.
    pub fn run(&self, limits: StopLimits) -> bool {
        let schedule = StopSchedule::new(Instant::now(), limits);
        let deadline = schedule.end;
        self.context.stop.store(Some(schedule));
        if !limits.notice.is_zero() {
            self.context.stage.advance_to(Stage::Notice);
            std::thread::sleep(schedule.leaving.saturating_duration_since(Instant::now()));
        }
        self.context.stage.advance_to(Stage::Leaving);
        // Otherwise, the acceptor would take clients until its next check. If it cannot be woken, it
        // does so.
        let _ = self.client_acceptor.wake();
        self.finish_work(&schedule);
        // From now on the gateways run nothing, and end what is left.
        self.context.stage.advance_to(Stage::Closed);
        self.send_to_shards(|| ShardMessage::EndWork);
        if self.wait(deadline, |shard| shard.gateway.is_drained(Duration::ZERO)) {
            self.send_to_shards(|| ShardMessage::Leave);
            self.wait(deadline, Shard::has_sent_leave);
            self.end_links(deadline);
        }
        self.wait(deadline, |shard| shard.is_drained(Duration::ZERO))
    }

    /// Waits until no work is left, or the time for it is over.
    fn finish_work(&self, schedule: &StopSchedule) {
        let limit = schedule.last_answers;
        // A client that connected before the listener closed may not have reached its shard yet.
        wait_until(limit, || self.all_clients_delivered());
        self.wait(limit, |shard| shard.is_drained(QUIET_PERIOD));
    }

    /// Ends the links, and waits briefly until the other nodes have read what was sent on them.
    fn end_links(&self, deadline: Instant) {
        self.send_to_shards(|| ShardMessage::EndLinks);
        let limit = deadline.min(Instant::now() + END_LINKS_TIMEOUT);
        self.wait(limit, Shard::has_closed_links);
    }

    fn send_to_shards(&self, message: impl Fn() -> ShardMessage) {
        for number in 0..self.shards.len() {
            self.mailboxes.send(number as u16, message());
        }
    }

    /// Waits for shards that could not refuse the requests that they hold before the end of the
    /// stop, because their threads got too little processor time.
    pub fn await_late_refusals(&self) {
        let deadline = Instant::now() + LATE_REFUSALS_TIMEOUT;
        // What is left is reported next.
        let _ = self.wait(deadline, |shard| !shard.front.has_unanswered());
    }

    /// Counts and logs the requests that are still unanswered. The process is about to end.
    pub fn report_unanswered(&self) {
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.front.report_unanswered(&self.context, Instant::now());
        }
    }

    fn all_clients_delivered(&self) -> bool {
        self.client_listener_closed.load(Ordering::Acquire) && self.mailboxes.are_empty()
    }

    /// Waits until the condition holds for every shard; false if it does not by the deadline.
    fn wait(&self, deadline: Instant, is_done: impl Fn(&Shard) -> bool) -> bool {
        let check = |shard: &Arc<Mutex<Shard>>| {
            is_done(&shard.lock().unwrap_or_else(PoisonError::into_inner))
        };
        wait_until(deadline, || self.shards.iter().all(check))
    }
}

/// Polls the condition until it holds; false if it does not by the deadline.
fn wait_until(deadline: Instant, condition: impl Fn() -> bool) -> bool {
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    true
}
