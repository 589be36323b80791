//! Transactions of other fronts that this owner has rolled back while they were idle. Their fronts
//! learn of it with the client's next statement.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::ids::LeaseId;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::{Exchange, LeaseEvent};

use super::{Gateway, notify_front};
use crate::event::Io;

/// How long to remember that a transaction was rolled back; longer than platforms allow
/// transactions to be idle.
const RETENTION: Duration = Duration::from_secs(600);

/// A transaction that was rolled back while it was idle.
#[derive(Debug)]
struct EndedTransaction {
    ended_at: Instant,
    /// Sequence number of the next event for its front.
    sequence: u32,
    /// Why it was rolled back.
    reason: &'static str,
}

/// Leases whose transactions were rolled back while idle.
#[derive(Debug, Default)]
pub struct EndedTransactions(HashMap<LeaseId, EndedTransaction>);

impl EndedTransactions {
    /// Records a transaction that was rolled back for `reason`. `sequence` is the number of the next
    /// event for its front.
    pub fn record(&mut self, lease: LeaseId, sequence: u32, reason: &'static str, now: Instant) {
        self.0.retain(|_, ended| now < ended.ended_at + RETENTION);
        self.0.insert(lease, EndedTransaction { ended_at: now, sequence, reason });
    }

    /// Removes the record of a transaction whose client abandons it.
    pub fn forget(&mut self, lease: &LeaseId) {
        self.0.remove(lease);
    }
}

impl Gateway {
    /// Refuses an exchange whose transaction was rolled back while it was idle. Returns whether it
    /// was.
    pub(super) fn refuse_of_ended_transaction(&mut self, exchange: &Exchange, io: &mut Io) -> bool {
        let Some(ended) = self.ended_transactions.0.remove(&exchange.lease) else { return false };
        let refusal = Refusal::new(ResultCode::TransactionLost, ended.reason);
        notify_front(&exchange.lease, ended.sequence, LeaseEvent::Refused(refusal), io);
        true
    }
}
