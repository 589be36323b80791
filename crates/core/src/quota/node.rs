//! What one node does about quotas: tokens for its own callers here, the buckets that it keeps for all in
//! `granting`.

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

/// Nodes that may grant for an account: the first one, and two in its place.
pub(super) const ALLOCATOR_CANDIDATES: usize = 3;
/// Purses and buckets that were not used for so long are dropped; a bucket begins with less than it had.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// When to ask again where the one that grants cannot be reached, or does not know the account.
pub(super) const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Least part of the nodes with which a node grants in full.
const MAJORITY: f64 = 0.5;

/// What decisions on quotas depend on.
pub struct View<'a> {
    /// The time.
    pub now: Instant,
    /// This node.
    pub own: &'a NodeName,
    /// Live nodes that take work, this one among them.
    pub live: &'a [NodeName],
    /// Nodes that live or did a short time ago.
    pub recent_nodes: usize,
    /// Finds an account of the configuration in force.
    pub account: &'a dyn Fn(&AccountName) -> Option<&'a Account>,
}

impl View<'_> {
    pub(super) fn quota(&self, account: &AccountName) -> Option<Quota> {
        (self.account)(account)?.quota
    }
}

/// Quotas of one node.
#[derive(Debug, Default)]
pub struct Quotas {
    token_caches: HashMap<AccountName, TokenCache>,
    pub(super) kept: HashMap<AccountName, AllocatorEntry>,
    pub(super) limits: Limits,
    pub(super) reachability: Reachability,
    /// Questions whether a granter answers, by number, and when they were sent.
    pub(super) probes: HashMap<u32, (NodeName, Instant)>,
    next_number: u32,
    pub(super) outgoing: Vec<Outgoing>,
    /// Accounts whose waiting operations can go on.
    answered: Vec<AccountName>,
    next_cleanup: Option<Instant>,
}

impl Quotas {
    /// Whether there are messages to send, or operations that can go on.
    pub fn has_pending_output(&self) -> bool {
        !self.outgoing.is_empty() || !self.answered.is_empty()
    }

    /// Messages to send, since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Accounts whose waiting operations are to ask again, since the last call.
    pub fn take_answered(&mut self) -> Vec<AccountName> {
        std::mem::take(&mut self.answered)
    }

    /// An operation of an account needs a token. `ticket` is the operation's own, for as long as it waits.
    pub fn take(&mut self, account: &AccountName, ticket: &mut Ticket, view: &View) -> Take {
        if view.quota(account).is_none() {
            return Take::Taken;
        }
        let now = view.now;
        let purse =
            self.token_caches.entry(account.clone()).or_insert_with(|| TokenCache::new(now));
        if let Some(late) = purse.give_up(now) {
            self.reachability.miss(late, 1, now);
        }
        let outcome = purse.take(ticket, now);
        if outcome != Take::Pending || !purse.is_due(now) {
            return outcome;
        }
        self.ask(account, view);
        // A granter on this node has answered already.
        self.token_caches.get_mut(account).map_or(outcome, |purse| purse.take(ticket, now))
    }

    /// An operation of an account that had a token has not run.
    pub fn give_back(&mut self, account: &AccountName) {
        if let Some(purse) = self.token_caches.get_mut(account) {
            purse.give_back();
        }
    }

    /// Asks for tokens.
    fn ask(&mut self, account: &AccountName, view: &View) {
        let number = self.next_request_number();
        let Some(granter) = self.allocator(account, view) else { return };
        let Some(purse) = self.token_caches.get_mut(account) else { return };
        let count = purse.ask(number, granter.clone(), view.now);
        let unused = purse.take_unused();
        if granter == *view.own {
            return self.on_ask(view.own, number, account, count, unused, view);
        }
        let message = QuotaMessage::Ask { number, account: account.clone(), count, unused };
        self.outgoing.push(Outgoing { to: granter, message });
    }

    /// The node to ask: the one that was named, else the first one that can be reached.
    fn allocator(&self, account: &AccountName, view: &View) -> Option<NodeName> {
        let named = self.token_caches.get(account).and_then(|purse| purse.elsewhere(view.now));
        if let Some(named) = named.filter(|node| !self.reachability.is_unreachable(node, view.now))
        {
            return Some(named.clone());
        }
        let order = allocators(account, view.live, ALLOCATOR_CANDIDATES);
        let reachable = order.iter().find(|node| !self.reachability.is_bypassed(node, view.now));
        reachable.or(order.first()).map(|node| (*node).clone())
    }

    pub(super) fn next_request_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Part of the rate that the nodes which this one reaches may use together.
    pub(super) fn share(&self, view: &View) -> f64 {
        let reached = view
            .live
            .iter()
            .filter(|node| !self.reachability.is_unreachable(node, view.now))
            .count();
        let seen = reached as f64 / view.recent_nodes.max(1) as f64;
        if seen >= MAJORITY { 1.0 } else { seen }
    }

    /// A connection to a node broke, or a message could not be sent to it.
    pub fn on_unreachable(&mut self, node: &NodeName, now: Instant) {
        self.reachability.miss(node.clone(), UNREACHABLE_MISSES, now);
    }

    /// Takes in a message of another node.
    pub fn on_message(&mut self, from: &NodeName, message: QuotaMessage, view: &View) {
        self.reachability.on_answer(from);
        match message {
            QuotaMessage::Ask { number, account, count, unused } => {
                self.on_ask(from, number, &account, count, unused, view);
            }
            QuotaMessage::Grant { number, account, count, retry_ms, elsewhere } => {
                if self.probes.remove(&number).is_some() {
                    return;
                }
                let retry = Duration::from_millis(retry_ms.into());
                self.on_grant(
                    number,
                    &account,
                    Grant { count, retry_after: retry },
                    elsewhere,
                    view,
                );
            }
            QuotaMessage::TakeOver { account } => self.on_take_over(from, account, view),
            QuotaMessage::Left { account, tokens, elsewhere } => {
                self.on_left(from, &account, tokens, elsewhere, view);
            }
        }
    }

    fn on_grant(
        &mut self,
        number: u32,
        account: &AccountName,
        grant: Grant,
        elsewhere: Option<NodeName>,
        view: &View,
    ) {
        let now = view.now;
        let reachable =
            elsewhere.clone().filter(|node| !self.reachability.is_unreachable(node, now));
        let Some(purse) = self.token_caches.get_mut(account) else { return };
        let was_open = match reachable {
            None if elsewhere.is_some() => purse.on_grant(number, 0, UNREACHABLE_RETRY_DELAY, now),
            Some(node) => purse.on_elsewhere(number, node, now + BYPASS_PERIOD),
            None => purse.on_grant(number, grant.count, grant.retry_after, now),
        };
        if was_open {
            self.answered.push(account.clone());
        }
    }

    pub(super) fn answer(
        &mut self,
        to: &NodeName,
        number: u32,
        account: &AccountName,
        grant: Grant,
        elsewhere: Option<NodeName>,
        view: &View,
    ) {
        if to == view.own {
            return self.on_grant(number, account, grant, elsewhere, view);
        }
        let retry_ms = grant.retry_after.as_millis().min(u32::MAX.into()) as u32;
        let (account, count) = (account.clone(), grant.count);
        let message = QuotaMessage::Grant { number, account, count, retry_ms, elsewhere };
        self.outgoing.push(Outgoing { to: to.clone(), message });
    }

    /// Time passes: what has waited too long for an answer goes on without it.
    pub fn on_tick(&mut self, view: &View) {
        let now = view.now;
        let late = |at: Instant| now >= at + ANSWER_TIMEOUT;
        let silent: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| late(probe.1))
            .map(|(number, _)| *number)
            .collect();
        for number in silent {
            if let Some((node, _)) = self.probes.remove(&number) {
                self.reachability.miss(node, 1, now);
            }
        }
        let overdue = self.kept.iter().filter(|(_, kept)| match &kept.keeping {
            AllocatorState::AwaitingHandover { since, .. } => late(*since),
            _ => false,
        });
        let overdue: Vec<AccountName> = overdue.map(|(account, _)| account.clone()).collect();
        for account in overdue {
            self.finish_handover(&account, view);
        }
        self.clean(view);
    }

    fn clean(&mut self, view: &View) {
        let now = view.now;
        if self.next_cleanup.is_some_and(|next| now < next) {
            return;
        }
        self.next_cleanup = Some(now + CLEANUP_INTERVAL);
        self.token_caches.retain(|_, purse| now < purse.used + IDLE_RETENTION);
        self.limits.retain(|account| view.quota(account).is_some());
        self.kept.retain(|account, kept| {
            let is_first = || allocators(account, view.live, 1).first() == Some(&view.own);
            // A bucket that another node has not taken over would be full when this one grants again.
            let forgotten = matches!(kept.keeping, AllocatorState::Active(_))
                && now >= kept.used + BYPASS_PERIOD;
            now < kept.used + IDLE_RETENTION && (!forgotten || is_first())
        });
    }
}
