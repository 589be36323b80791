//! How often accounts have recently used an instance.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::catalog::Priority;
use crate::ids::AccountName;

/// Time in which a use loses all but 1/e of its weight. It spans several pauses of a client between
/// statements, so that an account does not lose its connection in a pause.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// How long an account counts as urgent after its last urgent statement.
const URGENT_PERIOD: Duration = Duration::from_secs(10);
/// Most accounts that are remembered for one instance.
pub const MAX_ACCOUNTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Record {
    weight: f64,
    updated: Instant,
    last_urgent: Option<Instant>,
}

impl Record {
    fn weight_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.weight * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// The accounts' recent use of one instance.
#[derive(Debug, Default)]
pub struct AccountUse {
    records: HashMap<AccountName, Record>,
}

impl AccountUse {
    /// Records a statement of the account.
    pub fn on_use(&mut self, account: &AccountName, priority: Priority, now: Instant) {
        if !self.records.contains_key(account) && self.records.len() >= MAX_ACCOUNTS {
            self.forget_least_used(now);
        }
        let new = Record { weight: 0.0, updated: now, last_urgent: None };
        let record = self.records.entry(account.clone()).or_insert(new);
        let last_urgent = (priority == Priority::Order).then_some(now).or(record.last_urgent);
        *record = Record { weight: record.weight_at(now) + 1.0, updated: now, last_urgent };
    }

    /// Number of recent statements of the account. The older a statement is, the less it counts.
    pub fn weight(&self, account: &AccountName, now: Instant) -> f64 {
        self.records.get(account).map_or(0.0, |record| record.weight_at(now))
    }

    /// Whether the account has recently sent urgent statements.
    pub fn is_urgent(&self, account: &AccountName, now: Instant) -> bool {
        let last_urgent = self.records.get(account).and_then(|record| record.last_urgent);
        last_urgent.is_some_and(|last| now.saturating_duration_since(last) < URGENT_PERIOD)
    }

    fn forget_least_used(&mut self, now: Instant) {
        let weight = |record: &Record| record.weight_at(now);
        let least = self
            .records
            .iter()
            .min_by(|(_, left), (_, right)| weight(left).total_cmp(&weight(right)))
            .map(|(account, _)| account.clone());
        least.map(|account| self.records.remove(&account));
    }
}
