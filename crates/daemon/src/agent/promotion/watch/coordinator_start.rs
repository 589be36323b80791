//! Computes from all votes which groups need a replacement, and starts the coordinator thread for them
//! when it is this node's turn. The turns keep nodes that see the same need from trying to become the
//! coordinator at the same time.

use std::collections::BTreeMap;
use std::sync::PoisonError;
use std::thread;
use std::time::Instant;

use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::{Need, NeedsInput, Reason};
use kestrellock_core::store_access::Refusal;
use xxhash_rust::xxh3::xxh3_64;

use super::Watcher;
use crate::agent::promotion::coordinator::{self, LeaseAttempt};
use crate::agent::promotion::store_calls::{log_backoff_begin, log_backoff_end};
use crate::metrics::StorePurpose;

impl Watcher<'_> {
    /// The groups that need a replacement.
    pub(super) fn compute_needs(
        &mut self,
        catalog: &IndexedCatalog,
        now: Instant,
    ) -> BTreeMap<GroupName, Need> {
        let cancelled = {
            let mut coordinator_input =
                self.coordinator_input.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut coordinator_input.cancelled)
        };
        for group in cancelled {
            self.needs_judge.on_cancelled(&group, now);
        }
        self.electors.refresh(self.context, now);
        let own = (&self.context.identity.node, &self.votes);
        let (live, listed) = (self.electors.live(), self.electors.counted());
        let view = &self.view_with_votes;
        let evidence = NeedsInput { catalog, view, own, live, listed, now };
        self.needs_judge.evaluate(&evidence)
    }

    /// Passes the needs to the coordinator thread, and starts it if it is this node's turn.
    pub(super) fn start_coordinator_if_due(
        &mut self,
        needs: BTreeMap<GroupName, Need>,
        now: Instant,
    ) {
        let calls_for_action = |(group, need): &(&GroupName, &Need)| {
            need.needs_coordinator() && self.logs.known().knows_restarts(group, now)
        };
        let is_action_needed = needs.iter().any(|need| calls_for_action(&need));
        let position = match is_action_needed {
            true => self.turn_position(needs.iter().filter(calls_for_action)),
            false => 0,
        };
        if is_action_needed || self.coordinator_thread.is_some() {
            self.update_coordinator_input(needs, now);
        }
        if self.coordinator_thread.as_ref().is_some_and(thread::JoinHandle::is_finished) {
            self.coordinator_thread = None;
        }
        self.follow_lease_attempts(now);
        if !is_action_needed {
            self.turn.on_not_needed();
            return;
        }
        self.turn.on_needed(now);
        let may_start = self.coordinator_thread.is_none()
            && self.view.coordinator.is_none()
            && self.view.revision > 0
            && !self.era.earlier_lease_may_be_valid(now)
            && !self.context.is_stopping();
        if !may_start {
            return;
        }
        let availability = self.services.coordination.availability();
        if !self.turn.is_due(position, &availability, now) {
            return;
        }
        let (context, services, coordinator_input) =
            (self.context.clone(), self.services.clone(), self.coordinator_input.clone());
        let stop = self.stop.clone();
        let spawned = thread::Builder::new()
            .name("promotion-holder".to_owned())
            .spawn(move || coordinator::run(&context, &services, &coordinator_input, &stop));
        match spawned {
            Ok(thread) => self.coordinator_thread = Some(thread),
            Err(error) => log::error!("failed to start the coordinator thread: {error}"),
        }
    }

    /// Processes how the last attempt to become the coordinator ended, and that the store shows a
    /// coordinator.
    fn follow_lease_attempts(&mut self, now: Instant) {
        let attempt = {
            let mut input = self.coordinator_input.lock().unwrap_or_else(PoisonError::into_inner);
            input.lease_attempt.take()
        };
        match attempt {
            Some(LeaseAttempt::Refused(refusal)) => {
                self.turn.on_refused(refusal, rand::random(), now);
                if !std::mem::replace(&mut self.is_lease_refused, true) {
                    log_backoff_begin(StorePurpose::Lease, refusal);
                }
            }
            // The copy of the store shows the other coordinator soon. Without a delay the node
            // would try at each step until then.
            Some(LeaseAttempt::Preceded) => {
                self.turn.on_refused(Refusal::default(), rand::random(), now);
            }
            Some(LeaseAttempt::Acquired) | None => {}
        }
        let is_acquired = matches!(attempt, Some(LeaseAttempt::Acquired));
        if is_acquired || self.view.coordinator.is_some() {
            self.turn.on_coordinator_known();
            if std::mem::take(&mut self.is_lease_refused) {
                log_backoff_end(StorePurpose::Lease);
            }
        }
    }

    /// Passes the needs to the coordinator thread, with the instances of the groups that need a
    /// replacement and, if the thread runs, of those that it was given before. No other groups are
    /// included, because the thread copies its input at each step.
    fn update_coordinator_input(&self, needs: BTreeMap<GroupName, Need>, now: Instant) {
        let mut coordinator_input =
            self.coordinator_input.lock().unwrap_or_else(PoisonError::into_inner);
        let current_groups: Vec<GroupName> = match self.coordinator_thread {
            Some(_) => coordinator_input.known.groups().cloned().collect(),
            None => Vec::new(),
        };
        let known = self.logs.known();
        coordinator_input.known = known.subset(needs.keys().chain(&current_groups));
        coordinator_input.last_node_removal = self.electors.last_removal();
        coordinator_input.needs = needs;
        coordinator_input.incarnations_may_be_outdated = self.era.incarnations_may_be_stale(now);
    }

    /// Number of live nodes that are ahead of this one in the order of turns. Only the owners of a
    /// group know the votes that they have exchanged, so they take turns among themselves: in the
    /// order of all nodes, even the first of them could have a late turn.
    fn turn_position<'n>(&self, needs: impl Iterator<Item = (&'n GroupName, &'n Need)>) -> u32 {
        let live = self.context.live.load();
        let working = live.iter().filter(|node| node.accepts_work);
        let working: Vec<&NodeName> = working.map(|node| &node.candidate.node).collect();
        let ownerships = self.context.ownership_snapshot();
        let positions = needs.map(|(group, need)| {
            let is_owner = ownerships.is_owner(&self.context.identity.node, group);
            let is_known_to_owners =
                self.context.peer_votes.is_enabled() && need.reason == Reason::Suspected;
            if !is_owner || !is_known_to_owners {
                return self.position_among(working.iter().copied());
            }
            let owners = working.iter().filter(|node| ownerships.is_owner(node, group));
            self.position_among(owners.copied())
        });
        positions.min().unwrap_or_default()
    }

    fn position_among<'n>(&self, nodes: impl Iterator<Item = &'n NodeName>) -> u32 {
        let weight = |node: &NodeName| xxh3_64(node.as_str().as_bytes());
        let own = weight(&self.context.identity.node);
        nodes.filter(|node| weight(node) < own).count() as u32
    }
}
