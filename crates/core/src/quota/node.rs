//! The quota state of one node. This module decides whether an operation of the node's own clients
//! gets a token, chooses the allocator to request tokens from, and handles the messages of other
//! nodes. The buckets that this node holds as an allocator are in `allocation`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::allocation::{AllocatorEntry, AllocatorState};
use super::limits::Limits;
use super::reachability::{Reachability, UNREACHABLE_MISSES};
use super::token_cache::TokenCache;
use super::{
    ANSWER_TIMEOUT, BYPASS_PERIOD, Grant, Outgoing, QuotaMessage, Take, Ticket, allocators,
};
use crate::catalog::{Account, Quota};
use crate::ids::{AccountName, NodeName};

/// Number of candidates per account: the allocator and two nodes that can replace it.
pub(super) const ALLOCATOR_CANDIDATES: usize = 3;
/// Token caches and buckets that are unused for this long are dropped. A bucket that is created
/// again starts with fewer tokens than the dropped one held.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a front retries when the allocator is unreachable or does not know the account.
pub(super) const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Smallest fraction of the recently live nodes that a node must reach to grant the full rate.
const MAJORITY: f64 = 0.5;

/// The inputs of quota decisions.
pub struct View<'a> {
    /// Current time.
    pub now: Instant,
    /// Name of this node.
    pub own: &'a NodeName,
    /// Live nodes that accept work, including this one.
    pub live: &'a [NodeName],
    /// Number of nodes that are live or were live recently.
    pub recent_nodes: usize,
    /// Looks up an account in the active configuration.
    pub account: &'a dyn Fn(&AccountName) -> Option<&'a Account>,
}

impl View<'_> {
    pub(super) fn quota(&self, account: &AccountName) -> Option<Quota> {
        (self.account)(account)?.quota
    }
}

/// Quota state of one node.
#[derive(Debug, Default)]
pub struct Quotas {
    token_caches: HashMap<AccountName, TokenCache>,
    pub(super) allocator_entries: HashMap<AccountName, AllocatorEntry>,
    pub(super) limits: Limits,
    pub(super) reachability: Reachability,
    /// Probes that check whether an allocator answers, by request number, with the time they were
    /// sent.
    pub(super) probes: HashMap<u32, (NodeName, Instant)>,
    next_number: u32,
    pub(super) outgoing: Vec<Outgoing>,
    /// Accounts whose waiting operations can proceed.
    answered: Vec<AccountName>,
    next_cleanup: Option<Instant>,
}

impl Quotas {
    /// Whether there are messages to send or operations that can proceed.
    pub fn has_pending_output(&self) -> bool {
        !self.outgoing.is_empty() || !self.answered.is_empty()
    }

    /// Takes the messages to send since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the accounts whose waiting operations should call [`Self::take`] again, since the last
    /// call.
    pub fn take_answered(&mut self) -> Vec<AccountName> {
        std::mem::take(&mut self.answered)
    }

    /// Takes a token for an operation of an account. The caller keeps one `ticket` per operation
    /// while the operation waits.
    pub fn take(&mut self, account: &AccountName, ticket: &mut Ticket, view: &View) -> Take {
        if view.quota(account).is_none() {
            return Take::Taken;
        }
        let now = view.now;
        let cache =
            self.token_caches.entry(account.clone()).or_insert_with(|| TokenCache::new(now));
        if let Some(late) = cache.take_timed_out(now) {
            self.reachability.record_misses(late, 1, now);
        }
        let outcome = cache.take(ticket, now);
        if outcome != Take::Pending || !cache.needs_request(now) {
            return outcome;
        }
        self.request_tokens(account, view);
        // If this node is the allocator, the request was answered synchronously.
        self.token_caches.get_mut(account).map_or(outcome, |cache| cache.take(ticket, now))
    }

    /// Returns the token of an operation that did not run.
    pub fn give_back(&mut self, account: &AccountName) {
        if let Some(cache) = self.token_caches.get_mut(account) {
            cache.give_back();
        }
    }

    /// Sends a request for tokens to the account's allocator.
    fn request_tokens(&mut self, account: &AccountName, view: &View) {
        let number = self.next_request_number();
        let Some(allocator) = self.allocator(account, view) else { return };
        let Some(cache) = self.token_caches.get_mut(account) else { return };
        let count = cache.start_request(number, allocator.clone(), view.now);
        let unused = cache.take_unused();
        if allocator == *view.own {
            return self.on_ask(view.own, number, account, count, unused, view);
        }
        let message = QuotaMessage::Ask { number, account: account.clone(), count, unused };
        self.outgoing.push(Outgoing { to: allocator, message });
    }

    /// The node to request tokens from: the one that the last answer referred to, otherwise the
    /// first candidate that is not bypassed.
    fn allocator(&self, account: &AccountName, view: &View) -> Option<NodeName> {
        let referral = self.token_caches.get(account).and_then(|cache| cache.referral(view.now));
        if let Some(referral) =
            referral.filter(|node| !self.reachability.is_unreachable(node, view.now))
        {
            return Some(referral.clone());
        }
        let order = allocators(account, view.live, ALLOCATOR_CANDIDATES);
        let reachable = order.iter().find(|node| !self.reachability.is_bypassed(node, view.now));
        reachable.or(order.first()).map(|node| (*node).clone())
    }

    pub(super) fn next_request_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Fraction of the rate that this node's side may use: all of it while at least [`MAJORITY`] of
    /// the recently live nodes are reachable, otherwise the fraction that is.
    pub(super) fn share(&self, view: &View) -> f64 {
        let reached = view
            .live
            .iter()
            .filter(|node| !self.reachability.is_unreachable(node, view.now))
            .count();
        let fraction = reached as f64 / view.recent_nodes.max(1) as f64;
        if fraction >= MAJORITY { 1.0 } else { fraction }
    }

    /// Records that a connection to a node broke or that a message could not be sent to it.
    pub fn on_unreachable(&mut self, node: &NodeName, now: Instant) {
        self.reachability.record_misses(node.clone(), UNREACHABLE_MISSES, now);
    }

    /// Handles a message from another node.
    pub fn on_message(&mut self, from: &NodeName, message: QuotaMessage, view: &View) {
        self.reachability.on_answer(from);
        match message {
            QuotaMessage::Ask { number, account, count, unused } => {
                self.on_ask(from, number, &account, count, unused, view);
            }
            QuotaMessage::Grant { number, account, count, retry_ms, referral } => {
                if self.probes.remove(&number).is_some() {
                    return;
                }
                let retry = Duration::from_millis(retry_ms.into());
                self.on_grant(
                    number,
                    &account,
                    Grant { count, retry_after: retry },
                    referral,
                    view,
                );
            }
            QuotaMessage::TakeOver { account } => self.on_take_over(from, account, view),
            QuotaMessage::Left { account, tokens, referral } => {
                self.on_left(from, &account, tokens, referral, view);
            }
        }
    }

    fn on_grant(
        &mut self,
        number: u32,
        account: &AccountName,
        grant: Grant,
        referral: Option<NodeName>,
        view: &View,
    ) {
        let now = view.now;
        let reachable =
            referral.clone().filter(|node| !self.reachability.is_unreachable(node, now));
        let Some(cache) = self.token_caches.get_mut(account) else { return };
        let was_pending = match reachable {
            None if referral.is_some() => cache.on_grant(number, 0, UNREACHABLE_RETRY_DELAY, now),
            Some(node) => cache.on_referral(number, node, now + BYPASS_PERIOD),
            None => cache.on_grant(number, grant.count, grant.retry_after, now),
        };
        if was_pending {
            self.answered.push(account.clone());
        }
    }

    pub(super) fn answer(
        &mut self,
        to: &NodeName,
        number: u32,
        account: &AccountName,
        grant: Grant,
        referral: Option<NodeName>,
        view: &View,
    ) {
        if to == view.own {
            return self.on_grant(number, account, grant, referral, view);
        }
        let retry_ms = grant.retry_after.as_millis().min(u32::MAX.into()) as u32;
        let (account, count) = (account.clone(), grant.count);
        let message = QuotaMessage::Grant { number, account, count, retry_ms, referral };
        self.outgoing.push(Outgoing { to: to.clone(), message });
    }

    /// Handles timeouts: probes and handovers that were not answered in time end without an answer.
    pub fn on_tick(&mut self, view: &View) {
        let now = view.now;
        let late = |at: Instant| now >= at + ANSWER_TIMEOUT;
        let timed_out: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| late(probe.1))
            .map(|(number, _)| *number)
            .collect();
        for number in timed_out {
            if let Some((node, _)) = self.probes.remove(&number) {
                self.reachability.record_misses(node, 1, now);
            }
        }
        let overdue = self.allocator_entries.iter().filter(|(_, entry)| match &entry.state {
            AllocatorState::AwaitingHandover { since, .. } => late(*since),
            _ => false,
        });
        let overdue: Vec<AccountName> = overdue.map(|(account, _)| account.clone()).collect();
        for account in overdue {
            self.finish_handover(&account, view);
        }
        self.cleanup(view);
    }

    fn cleanup(&mut self, view: &View) {
        let now = view.now;
        if self.next_cleanup.is_some_and(|next| now < next) {
            return;
        }
        self.next_cleanup = Some(now + CLEANUP_INTERVAL);
        self.token_caches.retain(|_, cache| now < cache.last_used + IDLE_RETENTION);
        self.limits.retain(|account| view.quota(account).is_some());
        self.allocator_entries.retain(|account, entry| {
            let is_first = || allocators(account, view.live, 1).first() == Some(&view.own);
            // If this node stopped being the allocator without a handover, its bucket would be full
            // again by the time it becomes the allocator once more.
            let may_be_stale = matches!(entry.state, AllocatorState::Active(_))
                && now >= entry.last_used + BYPASS_PERIOD;
            now < entry.last_used + IDLE_RETENTION && (!may_be_stale || is_first())
        });
    }
}
