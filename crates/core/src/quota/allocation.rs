//! The buckets that a node keeps for all: it grants, refers to the node that does, takes a bucket over and
//! hands it over.

use std::time::{Duration, Instant};

use super::node::{ALLOCATOR_CANDIDATES, Quotas, UNREACHABLE_RETRY_DELAY, View};
use super::{Bucket, Grant, Outgoing, QuotaMessage, allocators};
use crate::catalog::Quota;
use crate::ids::{AccountName, NodeName};

/// Time for which a node that has handed an account over refers to its successor: until all nodes know it.
const REFERRAL_PERIOD: Duration = Duration::from_secs(6);

/// A question that waits until a bucket is taken over.
#[derive(Debug)]
pub(super) struct Waiting {
    from: NodeName,
    number: u32,
    count: u32,
}

/// What a node is for an account that it grants for.
#[derive(Debug)]
pub(super) enum AllocatorState {
    /// It has asked those that may have granted before.
    AwaitingHandover {
        since: Instant,
        /// Nodes that were asked and have not answered.
        asked: Vec<NodeName>,
        left: Option<f64>,
        waiting: Vec<Waiting>,
    },
    /// It grants, or did and has not been asked to hand over.
    Active(Bucket),
    /// It has handed the account over.
    HandedOver { to: NodeName, at: Instant },
}

/// The same, and when that was last of use.
#[derive(Debug)]
pub(super) struct AllocatorEntry {
    pub keeping: AllocatorState,
    /// When it was last asked.
    pub used: Instant,
}

impl Quotas {
    /// A front wants tokens.
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
            // This node's configuration is older, or newer: the front asks again.
            let nothing = Grant { count: 0, retry_after: UNREACHABLE_RETRY_DELAY };
            return self.answer(from, number, account, nothing, None, view);
        };
        let quota = self.limits.effective_limit(account, quota, view.now);
        let other = self.successor(account, view).or_else(|| self.other_granter(account, view));
        if other.is_some() {
            let nothing = Grant { count: 0, retry_after: Duration::ZERO };
            return self.answer(from, number, account, nothing, other, view);
        }
        if !self.kept.contains_key(account) {
            let keeping = self.start_allocating(account, &quota, view);
            self.kept.insert(account.clone(), AllocatorEntry { keeping, used: view.now });
        }
        let share = self.share(view);
        let Some(kept) = self.kept.get_mut(account) else { return };
        kept.used = view.now;
        let grant = match &mut kept.keeping {
            AllocatorState::AwaitingHandover { waiting, .. } => {
                return waiting.push(Waiting { from: from.clone(), number, count });
            }
            AllocatorState::Active(bucket) => {
                bucket.take_back(unused);
                bucket.grant(&quota, share, count, view.now)
            }
            AllocatorState::HandedOver { .. } => return,
        };
        self.answer(from, number, account, grant, None, view);
    }

    /// The node that grants for the account, if that is not this one: the first that can be reached. It is
    /// asked whether it answers, since fronts may ask here because they do not reach it.
    fn other_granter(&mut self, account: &AccountName, view: &View) -> Option<NodeName> {
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

    /// Asks a node that this one refers to whether it answers.
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

    /// The node that this one has handed the account over to a short time ago, if that can be reached.
    fn successor(&mut self, account: &AccountName, view: &View) -> Option<NodeName> {
        let kept = self.kept.get(account)?;
        let AllocatorState::HandedOver { to, at } = &kept.keeping else { return None };
        // It may not stand among the live nodes yet: it has just come.
        let stands = view.now < *at + REFERRAL_PERIOD;
        let successor = to.clone();
        if stands && !self.reachability.is_unreachable(&successor, view.now) {
            self.probe(&successor, account, view.now);
            return Some(successor);
        }
        self.kept.remove(account);
        None
    }

    /// Asks whoever may have granted before.
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
            asked: others,
            left: None,
            waiting: Vec::new(),
        }
    }

    /// Another node grants from now on.
    pub(super) fn on_take_over(&mut self, from: &NodeName, account: AccountName, view: &View) {
        let share = self.share(view);
        let comes_first = allocators(&account, [view.own, from], 1).first() == Some(&view.own);
        let quota = view.quota(&account);
        let (tokens, elsewhere) = match (self.kept.get_mut(&account), quota) {
            // The other node has not heard of this one, which comes before it.
            (
                Some(AllocatorEntry {
                    keeping: AllocatorState::Active(_) | AllocatorState::AwaitingHandover { .. },
                    ..
                }),
                _,
            ) if comes_first => (None, Some(view.own.clone())),
            (Some(AllocatorEntry { keeping: AllocatorState::Active(bucket), .. }), Some(quota)) => {
                (Some(bucket.left(&quota, share, view.now)), None)
            }
            (Some(AllocatorEntry { keeping: AllocatorState::HandedOver { to, at }, .. }), _)
                if to != from && view.now < *at + REFERRAL_PERIOD =>
            {
                (None, Some(to.clone()))
            }
            _ => (None, None),
        };
        if !comes_first {
            self.hand_over(&account, from, view);
        }
        let message = QuotaMessage::Left { account, tokens, elsewhere };
        self.outgoing.push(Outgoing { to: from.clone(), message });
    }

    /// Refers to another node from now on, also whoever waits.
    fn hand_over(&mut self, account: &AccountName, to: &NodeName, view: &View) {
        let keeping = AllocatorState::HandedOver { to: to.clone(), at: view.now };
        let before = self.kept.insert(account.clone(), AllocatorEntry { keeping, used: view.now });
        let Some(AllocatorEntry {
            keeping: AllocatorState::AwaitingHandover { waiting, .. }, ..
        }) = before
        else {
            return;
        };
        for Waiting { from: front, number, .. } in waiting {
            let nothing = Grant { count: 0, retry_after: Duration::ZERO };
            self.answer(&front, number, account, nothing, Some(to.clone()), view);
        }
    }

    /// What is left at a node that may have granted before, and who may have granted besides.
    pub(super) fn on_left(
        &mut self,
        from: &NodeName,
        account: &AccountName,
        tokens: Option<f64>,
        elsewhere: Option<NodeName>,
        view: &View,
    ) {
        let Some(kept) = self.kept.get_mut(account) else { return };
        let AllocatorState::AwaitingHandover { asked, left, .. } = &mut kept.keeping else {
            return;
        };
        if !asked.contains(from) {
            return;
        }
        if elsewhere.as_ref() == Some(from) {
            return self.hand_over(account, from, view);
        }
        asked.retain(|node| node != from);
        // Several may have granted at once: the one that has least was asked most.
        *left = match (*left, tokens) {
            (Some(known), Some(tokens)) => Some(known.min(tokens)),
            (known, tokens) => known.or(tokens),
        };
        if let Some(other) = elsewhere.filter(|other| other != view.own && !asked.contains(other)) {
            asked.push(other.clone());
            let message = QuotaMessage::TakeOver { account: account.clone() };
            self.outgoing.push(Outgoing { to: other, message });
        }
        if asked.is_empty() {
            self.finish_handover(account, view);
        }
    }

    pub(super) fn finish_handover(&mut self, account: &AccountName, view: &View) {
        let Some(quota) = view.quota(account) else { return };
        let (left, all_answered) = match self.kept.get(account).map(|kept| &kept.keeping) {
            Some(AllocatorState::AwaitingHandover { left, asked, .. }) => (*left, asked.is_empty()),
            _ => return,
        };
        let is_first = allocators(account, view.live, 1).first() == Some(&view.own);
        let bucket = match left {
            Some(tokens) => Bucket::with(tokens, &quota, view.now),
            None if all_answered && is_first => {
                Bucket::sole_allocator(&quota, self.share(view), view.now)
            }
            None => Bucket::unknown_history(&quota, self.share(view), view.now),
        };
        let Some(kept) = self.kept.get_mut(account) else { return };
        let before = std::mem::replace(&mut kept.keeping, AllocatorState::Active(bucket));
        let AllocatorState::AwaitingHandover { waiting, .. } = before else { return };
        for Waiting { from, number, count } in waiting {
            self.on_ask(&from, number, account, count, 0, view);
        }
    }
}
