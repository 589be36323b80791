//! The allocator side of quotas: grants tokens from this node's buckets, refers fronts to another
//! allocator, and runs the handover of an account between allocators.

use std::time::{Duration, Instant};

use super::node::{ALLOCATOR_CANDIDATES, Quotas, UNREACHABLE_RETRY_DELAY, View};
use super::{Bucket, Grant, Outgoing, QuotaMessage, allocators};
use crate::catalog::Quota;
use crate::ids::{AccountName, NodeName};

/// After a handover the previous allocator refers fronts to the new one for this long. By then all
/// nodes know the new allocator from the list of live nodes.
const REFERRAL_PERIOD: Duration = Duration::from_secs(6);

/// A request for tokens that waits for the end of a handover.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    from: NodeName,
    number: u32,
    count: u32,
}

/// This node's role for an account that it allocates, or allocated until a handover.
#[derive(Debug)]
pub(super) enum AllocatorState {
    /// Asked the nodes that may have allocated before for their remaining tokens.
    AwaitingHandover {
        since: Instant,
        /// Nodes that were asked and have not answered yet.
        unanswered: Vec<NodeName>,
        remaining: Option<f64>,
        waiting: Vec<WaitingRequest>,
    },
    /// Grants tokens, or did so earlier and no other node has requested the handover.
    Active(Bucket),
    /// The account was handed over to another node.
    HandedOver { to: NodeName, at: Instant },
}

/// The state of one account and the time of its last use.
#[derive(Debug)]
pub(super) struct AllocatorEntry {
    pub state: AllocatorState,
    /// Time of the last request for this account.
    pub last_used: Instant,
}

impl Quotas {
    /// Handles a front's request for tokens.
    pub(super) fn on_ask(
        &mut self,
        from: &NodeName,
        number: u32,
        account: &AccountName,
        count: u32,
        unused: u32,
        view: &View,
    ) {
        let Some(quota) = view.quota(account) else {
            // This node's configuration is older or newer than the front's, so the front has to
            // retry.
            let no_tokens = Grant { count: 0, retry_after: UNREACHABLE_RETRY_DELAY };
            return self.answer(from, number, account, no_tokens, None, view);
        };
        let quota = self.limits.effective_limit(account, quota, view.now);
        let other = self.successor(account, view).or_else(|| self.other_allocator(account, view));
        if other.is_some() {
            let no_tokens = Grant { count: 0, retry_after: Duration::ZERO };
            return self.answer(from, number, account, no_tokens, other, view);
        }
        if !self.allocator_entries.contains_key(account) {
            let state = self.start_allocating(account, &quota, view);
            self.allocator_entries
                .insert(account.clone(), AllocatorEntry { state, last_used: view.now });
        }
        let share = self.share(view);
        let Some(entry) = self.allocator_entries.get_mut(account) else { return };
        entry.last_used = view.now;
        let grant = match &mut entry.state {
            AllocatorState::AwaitingHandover { waiting, .. } => {
                return waiting.push(WaitingRequest { from: from.clone(), number, count });
            }
            AllocatorState::Active(bucket) => {
                bucket.refund(unused);
                bucket.grant(&quota, share, count, view.now)
            }
            AllocatorState::HandedOver { .. } => return,
        };
        self.answer(from, number, account, grant, None, view);
    }

    /// Returns the allocator of the account if it is another node: the first candidate in
    /// rendezvous order that is reachable. Also probes that node, since a front may send its
    /// request here because it cannot reach the other node itself.
    fn other_allocator(&mut self, account: &AccountName, view: &View) -> Option<NodeName> {
        let order = allocators(account, view.live, ALLOCATOR_CANDIDATES);
        let first =
            order.into_iter().find(|node| !self.reachability.is_unreachable(node, view.now))?;
        if first == view.own {
            return None;
        }
        let first = first.clone();
        self.probe(&first, account, view.now);
        Some(first)
    }

    /// Checks that a node answers before this node refers more fronts to it. The probe is a request
    /// for zero tokens.
    fn probe(&mut self, node: &NodeName, account: &AccountName, now: Instant) {
        if self.probes.values().any(|(known, _)| known == node) {
            return;
        }
        let number = self.next_request_number();
        self.probes.insert(number, (node.clone(), now));
        let (account, count, unused) = (account.clone(), 0, 0);
        let message = QuotaMessage::Ask { number, account, count, unused };
        self.outgoing.push(Outgoing { to: node.clone(), message });
    }

    /// Returns the node that this node recently handed the account over to, if that node is
    /// reachable.
    fn successor(&mut self, account: &AccountName, view: &View) -> Option<NodeName> {
        let entry = self.allocator_entries.get(account)?;
        let AllocatorState::HandedOver { to, at } = &entry.state else { return None };
        // The successor may have joined only now and be missing from the list of live nodes.
        let is_recent = view.now < *at + REFERRAL_PERIOD;
        let successor = to.clone();
        if is_recent && !self.reachability.is_unreachable(&successor, view.now) {
            self.probe(&successor, account, view.now);
            return Some(successor);
        }
        self.allocator_entries.remove(account);
        None
    }

    /// Starts a handover from the other nodes that may have allocated this account.
    fn start_allocating(
        &mut self,
        account: &AccountName,
        quota: &Quota,
        view: &View,
    ) -> AllocatorState {
        let order = allocators(account, view.live, ALLOCATOR_CANDIDATES);
        let others: Vec<NodeName> = order
            .into_iter()
            .filter(|node| *node != view.own && !self.reachability.is_unreachable(node, view.now))
            .cloned()
            .collect();
        if others.is_empty() {
            return AllocatorState::Active(Bucket::unknown_history(
                quota,
                self.share(view),
                view.now,
            ));
        }
        for to in &others {
            let message = QuotaMessage::TakeOver { account: account.clone() };
            self.outgoing.push(Outgoing { to: to.clone(), message });
        }
        AllocatorState::AwaitingHandover {
            since: view.now,
            unanswered: others,
            remaining: None,
            waiting: Vec::new(),
        }
    }

    /// Handles a handover request: the sender allocates the account from now on.
    pub(super) fn on_take_over(&mut self, from: &NodeName, account: AccountName, view: &View) {
        let share = self.share(view);
        let has_precedence = allocators(&account, [view.own, from], 1).first() == Some(&view.own);
        let quota = view.quota(&account);
        let (tokens, referral) = match (self.allocator_entries.get_mut(&account), quota) {
            // The sender does not know about this node yet, which precedes it in the rendezvous
            // order.
            (
                Some(AllocatorEntry {
                    state: AllocatorState::Active(_) | AllocatorState::AwaitingHandover { .. },
                    ..
                }),
                _,
            ) if has_precedence => (None, Some(view.own.clone())),
            (Some(AllocatorEntry { state: AllocatorState::Active(bucket), .. }), Some(quota)) => {
                (Some(bucket.available(&quota, share, view.now)), None)
            }
            (Some(AllocatorEntry { state: AllocatorState::HandedOver { to, at }, .. }), _)
                if to != from && view.now < *at + REFERRAL_PERIOD =>
            {
                (None, Some(to.clone()))
            }
            _ => (None, None),
        };
        if !has_precedence {
            self.hand_over(&account, from, view);
        }
        let message = QuotaMessage::Left { account, tokens, referral };
        self.outgoing.push(Outgoing { to: from.clone(), message });
    }

    /// Refers fronts to another node from now on, including those whose requests wait for a
    /// handover.
    fn hand_over(&mut self, account: &AccountName, to: &NodeName, view: &View) {
        let state = AllocatorState::HandedOver { to: to.clone(), at: view.now };
        let previous = self
            .allocator_entries
            .insert(account.clone(), AllocatorEntry { state, last_used: view.now });
        let Some(AllocatorEntry {
            state: AllocatorState::AwaitingHandover { waiting, .. }, ..
        }) = previous
        else {
            return;
        };
        for WaitingRequest { from: front, number, .. } in waiting {
            let no_tokens = Grant { count: 0, retry_after: Duration::ZERO };
            self.answer(&front, number, account, no_tokens, Some(to.clone()), view);
        }
    }

    /// Handles the answer to a handover request: the tokens remaining at a node that may have
    /// allocated before, and another node that may have allocated as well.
    pub(super) fn on_left(
        &mut self,
        from: &NodeName,
        account: &AccountName,
        tokens: Option<f64>,
        referral: Option<NodeName>,
        view: &View,
    ) {
        let Some(entry) = self.allocator_entries.get_mut(account) else { return };
        let AllocatorState::AwaitingHandover { unanswered, remaining, .. } = &mut entry.state
        else {
            return;
        };
        if !unanswered.contains(from) {
            return;
        }
        if referral.as_ref() == Some(from) {
            return self.hand_over(account, from, view);
        }
        unanswered.retain(|node| node != from);
        // Several nodes may have granted at once. The lowest remainder belongs to the one that
        // granted most.
        *remaining = match (*remaining, tokens) {
            (Some(known), Some(tokens)) => Some(known.min(tokens)),
            (known, tokens) => known.or(tokens),
        };
        if let Some(other) =
            referral.filter(|other| other != view.own && !unanswered.contains(other))
        {
            unanswered.push(other.clone());
            let message = QuotaMessage::TakeOver { account: account.clone() };
            self.outgoing.push(Outgoing { to: other, message });
        }
        if unanswered.is_empty() {
            self.finish_handover(account, view);
        }
    }

    pub(super) fn finish_handover(&mut self, account: &AccountName, view: &View) {
        let Some(quota) = view.quota(account) else { return };
        let (remaining, all_answered) =
            match self.allocator_entries.get(account).map(|entry| &entry.state) {
                Some(AllocatorState::AwaitingHandover { remaining, unanswered, .. }) => {
                    (*remaining, unanswered.is_empty())
                }
                _ => return,
            };
        let is_first = allocators(account, view.live, 1).first() == Some(&view.own);
        let bucket = match remaining {
            Some(tokens) => Bucket::with_tokens(tokens, &quota, view.now),
            None if all_answered && is_first => {
                Bucket::sole_allocator(&quota, self.share(view), view.now)
            }
            None => Bucket::unknown_history(&quota, self.share(view), view.now),
        };
        let Some(entry) = self.allocator_entries.get_mut(account) else { return };
        let previous = std::mem::replace(&mut entry.state, AllocatorState::Active(bucket));
        let AllocatorState::AwaitingHandover { waiting, .. } = previous else { return };
        for WaitingRequest { from, number, count } in waiting {
            self.on_ask(&from, number, account, count, 0, view);
        }
    }
}
