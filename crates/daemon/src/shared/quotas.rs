//! Quotas of accounts, shared by the shards of a node. The decisions are made in `core::quota`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::{AccountName, NodeName};
use kestrellock_core::promotion::Electorate;
use kestrellock_core::quota::{Outgoing, QuotaMessage, Quotas, Take, Ticket, View};

use crate::context::NodeContext;
use crate::shared::live::LiveNode;

/// Longest time between two refreshes of the nodes while no list changes. Time alone changes which
/// nodes were live recently.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Quotas of a node.
#[derive(Debug, Default)]
pub struct SharedQuotas {
    state: Mutex<State>,
    /// Whether [`Self::take_updates`] has something to return.
    has_updates: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    quotas: Quotas,
    nodes: Nodes,
}

/// The nodes that quotas depend on, collected again when a list changes.
#[derive(Debug, Default)]
struct Nodes {
    live_list: Arc<Vec<LiveNode>>,
    listed_list: Arc<Vec<LiveNode>>,
    refreshed: Option<Instant>,
    electorate: Electorate,
    working: Vec<NodeName>,
    counted: usize,
}

impl Nodes {
    fn refresh(&mut self, context: &NodeContext, now: Instant) {
        let (live, listed) = (context.live.load(), context.listed_nodes.load());
        let is_same =
            Arc::ptr_eq(&live, &self.live_list) && Arc::ptr_eq(&listed, &self.listed_list);
        if is_same && self.refreshed.is_some_and(|at| now < at + REFRESH_INTERVAL) {
            return;
        }
        let names = |nodes: &[LiveNode]| -> Vec<NodeName> {
            nodes.iter().map(|node| node.candidate.node.clone()).collect()
        };
        let (live_names, working) = (names(&live), live.iter().filter(|node| node.accepts_work));
        self.working = working.map(|node| node.candidate.node.clone()).collect();
        self.counted =
            self.electorate.counted(&names(&listed), &live_names, now).len().max(live_names.len());
        (self.live_list, self.listed_list) = (live, listed);
        self.refreshed = Some(now);
    }
}

impl SharedQuotas {
    /// Takes a token for an operation of an account. `ticket` identifies the operation while it
    /// waits.
    pub fn take(
        &self,
        account: &AccountName,
        ticket: &mut Ticket,
        context: &NodeContext,
        now: Instant,
    ) -> Take {
        self.with(context, now, |quotas, view| quotas.take(account, ticket, view))
    }

    /// Returns the token of an operation that has not run.
    pub fn return_token(&self, account: &AccountName) {
        self.lock().quotas.give_back(account);
    }

    /// Handles a message from another node.
    pub fn on_message(
        &self,
        from: &NodeName,
        message: QuotaMessage,
        context: &NodeContext,
        now: Instant,
    ) {
        self.with(context, now, |quotas, view| quotas.on_message(from, message, view));
    }

    /// Records that a connection to a node broke, or that a message could not be sent to it.
    pub fn on_unreachable(&self, node: &NodeName, now: Instant) {
        self.lock().quotas.on_unreachable(node, now);
    }

    /// Handles a timer tick.
    pub fn on_tick(&self, context: &NodeContext, now: Instant) {
        if context.catalog.load().accounts.is_empty() {
            return;
        }
        self.with(context, now, |quotas, view| quotas.on_tick(view));
    }

    /// Takes the messages to send, and the accounts whose waiting operations can continue, since
    /// the last call.
    pub fn take_updates(&self) -> (Vec<Outgoing>, Vec<AccountName>) {
        if !self.has_updates.swap(false, Ordering::AcqRel) {
            return (Vec::new(), Vec::new());
        }
        let mut state = self.lock();
        (state.quotas.take_outgoing(), state.quotas.take_answered())
    }

    fn with<T>(
        &self,
        context: &NodeContext,
        now: Instant,
        work: impl FnOnce(&mut Quotas, &View) -> T,
    ) -> T {
        let catalog: Arc<IndexedCatalog> = context.catalog.load();
        let mut state = self.lock();
        let State { quotas, nodes } = &mut *state;
        nodes.refresh(context, now);
        let account = |name: &AccountName| catalog.accounts.get(name);
        let view = View {
            now,
            own: &context.identity.node,
            live: &nodes.working,
            counted: nodes.counted,
            account: &account,
        };
        let outcome = work(quotas, &view);
        if quotas.has_news() {
            self.has_updates.store(true, Ordering::Release);
        }
        outcome
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a thread panicked while it held the quota lock")
    }
}
