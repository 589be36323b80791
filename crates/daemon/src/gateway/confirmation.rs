//! Commits whose answers wait until a majority of the group has confirmed them.

use std::collections::HashSet;
use std::time::Instant;

use bytes::Bytes;
use kestrellock_core::ids::{InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::Position;
use kestrellock_peer::message::{LeaseEvent, TransactionState};

use super::notify;
use super::server::ProbeAnswer;
use crate::shard::Io;

/// A commit that its primary has answered.
#[derive(Debug)]
pub struct Commit {
    /// Lease that waits.
    pub lease: LeaseId,
    /// Number of the message that will answer it.
    pub sequence: u32,
    /// Primary that ran it.
    pub instance: InstanceName,
    /// Position the primary had flushed after it; `None` if it did not say.
    pub position: Option<Position>,
    /// Latest time to answer.
    pub deadline: Instant,
    /// The answer held back.
    pub frames: Bytes,
}

#[derive(Debug)]
struct Waiting {
    commit: Commit,
    answered: Instant,
    confirmed_by: HashSet<InstanceName>,
}

/// Commits of one group that wait for confirmation.
#[derive(Debug, Default)]
pub struct Confirmations {
    waiting: Vec<Waiting>,
}

impl Confirmations {
    /// Whether any commit waits.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds a commit answered at `now`; its own primary counts as the first confirmation.
    pub fn wait_for(&mut self, commit: Commit, now: Instant) {
        let confirmed_by = HashSet::from([commit.instance.clone()]);
        self.waiting.push(Waiting { commit, answered: now, confirmed_by });
    }

    /// Drops a commit whose caller is gone.
    pub fn forget(&mut self, lease: &LeaseId) {
        self.waiting.retain(|waiting| waiting.commit.lease != *lease);
    }

    /// Counts a report that was asked for after a commit towards that commit, and answers those
    /// that a majority has confirmed.
    pub fn on_report(&mut self, instance: &InstanceName, answer: &ProbeAnswer, io: &mut Io) {
        let catalog = io.context.catalog.load();
        let Some((group, _)) = catalog.instance(instance) else { return };
        let majority = catalog.groups[group].majority();
        for waiting in &mut self.waiting {
            let Some(position) = waiting.commit.position else { continue };
            let flushed = answer.report.flushed;
            if answer.asked >= waiting.answered
                && flushed.term == position.term
                && flushed.offset >= position.offset
            {
                waiting.confirmed_by.insert(instance.clone());
            }
        }
        let (done, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.confirmed_by.len() >= majority);
        self.waiting = kept;
        for Waiting { commit, .. } in done {
            let transaction = TransactionState::Idle;
            let event =
                LeaseEvent::Done { frames: commit.frames, transaction, confirmed: commit.position };
            notify(&commit.lease, commit.sequence, event, io);
        }
    }

    /// Answers commits whose time is up: in doubt.
    pub fn expire(&mut self, io: &mut Io) {
        let (late, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.commit.deadline <= io.now);
        self.waiting = kept;
        for Waiting { commit, .. } in late {
            let refusal = Refusal::new(
                ResultCode::UnconfirmedInDoubt,
                "no majority confirmed the commit in time",
            );
            notify(&commit.lease, commit.sequence, LeaseEvent::Refused(refusal), io);
        }
    }
}
