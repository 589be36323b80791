//! Replacement checks by other nodes, shared by the threads of a node: what this node knows of
//! replacements when others ask it, the answers to its own checks, and whether checks fail now.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::{CheckFailures, CoordinationView, OwnAttempts, PeerAnswer};

use crate::shared::live::Shared;

/// A copy of the replacement state in the store.
#[derive(Debug, Default)]
pub struct StoreCopy {
    /// The copy.
    pub view: Arc<CoordinationView>,
    /// When it was requested, if it shows every replacement that was running then.
    pub requested_at: Option<Instant>,
}

/// State of the replacement checks by other nodes.
#[derive(Debug, Default)]
pub struct ReplacementChecks {
    /// The copy of the store that this process uses.
    pub copy: Shared<StoreCopy>,
    attempts: Mutex<OwnAttempts>,
    /// Answers that have not been processed yet.
    answers: Mutex<Vec<PeerAnswer>>,
    failures: Mutex<CheckFailures>,
}

impl ReplacementChecks {
    /// The attempts of this process.
    pub fn attempts(&self) -> MutexGuard<'_, OwnAttempts> {
        lock(&self.attempts)
    }

    /// Whether this process may run an attempt on the group, or has run one of which `copy` may
    /// show nothing. A process without a usable copy of the store does not know the attempts of its
    /// predecessor.
    pub fn may_have_attempt(&self, group: &GroupName, copy: &StoreCopy) -> bool {
        let attempts = self.attempts();
        copy.requested_at.is_none_or(|requested| attempts.may_be_unknown_to_copy(group, requested))
    }

    /// Adds the answer of another node to a check of this node.
    pub fn add_answer(&self, answer: PeerAnswer) {
        lock(&self.answers).push(answer);
    }

    /// Takes the answers that have arrived.
    pub fn take_answers(&self) -> Vec<PeerAnswer> {
        std::mem::take(&mut *lock(&self.answers))
    }

    /// A check has succeeded: the store answered it, or other nodes confirmed a group.
    pub fn on_success(&self) {
        lock(&self.failures).on_success();
    }

    /// Other nodes have confirmed no group of a check that the store did not answer.
    pub fn on_failure(&self, now: Instant) {
        lock(&self.failures).on_failure(now);
    }

    /// Whether the last check has failed, by the store and by other nodes.
    pub fn fail(&self, now: Instant) -> bool {
        lock(&self.failures).are_recent(now)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
