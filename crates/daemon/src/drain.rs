//! A planned stop, in stages that every thread of the node sees.
//!
//! While *leaving*, the node accepts no callers, sends those at rest away, finishes what is under
//! way, and refers work for its instances to their standbys. Once nothing is left it is *closed*:
//! from then on it runs nothing that other nodes still send, and can tell them so.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::context::NodeContext;
use crate::settings::Settings;
use crate::shard::Shard;
use crate::shard::mailbox::{Mailboxes, ShardMessage};
use crate::shared::stage::Stage;

/// Time between two looks at whether the node has drained.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time without work from other nodes after which they are taken to go elsewhere.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait for the shards to take leave of other nodes.
const GOODBYE_LIMIT: Duration = Duration::from_secs(1);

/// How long a planned stop may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLimits {
    /// Time in which everything is as before, but for the node saying that it will stop.
    pub notice: Duration,
    /// Time after which open transactions are ended, if that is before the end of all.
    pub transactions: Option<Duration>,
    /// Time after which everything is cut.
    pub whole: Duration,
}

impl DrainLimits {
    /// The limits that the settings give.
    pub fn of(settings: &Settings) -> Self {
        Self {
            notice: settings.drain_notice,
            transactions: settings.drain_transactions,
            whole: settings.drain_limit,
        }
    }
}

/// The parts of a node that a stop deals with.
pub struct Drain {
    /// What the node's threads share.
    pub context: Arc<NodeContext>,
    /// Its shards.
    pub shards: Vec<Arc<Mutex<Shard>>>,
    /// Their mailboxes.
    pub mailboxes: Arc<Mailboxes>,
    /// Whether the listener for callers is closed, and all that it accepted is with the shards.
    pub callers_closed: Arc<AtomicBool>,
}

impl Drain {
    /// Finishes what is under way within `limits`. Returns whether everything was finished.
    pub fn run(&self, limits: DrainLimits) -> bool {
        let began = Instant::now();
        let until = began + limits.whole;
        self.context.transaction_deadline.store(limits.transactions.map(|limit| began + limit));
        if !limits.notice.is_zero() {
            self.context.stage.advance_to(Stage::Notice);
            std::thread::sleep(limits.notice);
        }
        self.context.stage.advance_to(Stage::Leaving);
        // A caller that connected before the listener closed may not have reached its shard yet.
        if !wait_until(until, || self.has_taken_in_callers()) {
            return false;
        }
        if !self.wait(until, |shard| shard.is_drained(QUIET_PERIOD)) {
            return false;
        }
        self.context.stage.advance_to(Stage::Closed);
        // Work may have come in between the look and the change of stage.
        if !self.wait(until, |shard| shard.is_drained(Duration::ZERO)) {
            return false;
        }
        for number in 0..self.shards.len() {
            self.mailboxes.send(number as u16, ShardMessage::Goodbye);
        }
        self.wait(Instant::now() + GOODBYE_LIMIT, Shard::has_said_goodbye)
    }

    fn has_taken_in_callers(&self) -> bool {
        self.callers_closed.load(Ordering::Acquire) && self.mailboxes.are_empty()
    }

    fn wait(&self, until: Instant, is_done: impl Fn(&Shard) -> bool) -> bool {
        let lock = |shard: &Arc<Mutex<Shard>>| {
            is_done(&shard.lock().unwrap_or_else(PoisonError::into_inner))
        };
        wait_until(until, || self.shards.iter().all(lock))
    }
}

/// Looks again and again until something holds; false if it does not in time.
fn wait_until(end: Instant, holds: impl Fn() -> bool) -> bool {
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    true
}
