//! Quotas of accounts, shared by the shards of a node: decisions are in `core::quota`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::{AccountName, NodeName};
use kestrellock_core::promotion::Electorate;
use kestrellock_core::quota::{Outgoing, QuotaMessage, Quotas, Take, Ticket, View};

use crate::context::NodeContext;
use crate::shared::live::LiveNode;

/// Longest time for which the nodes that lived a short time ago are taken for the same although no list
/// has changed.
const REFRESH: Duration = Duration::from_millis(500);

/// Quotas of a node.
#[derive(Debug, Default)]
pub struct SharedQuotas {
    state: Mutex<State>,
    /// Whether there is something for [`Self::take_outgoing`] or [`Self::take_answered`].
    has_news: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    quotas: Quotas,
    nodes: Nodes,
}

/// The nodes that quotas depend on, gathered anew when a list changes.
#[derive(Debug, Default)]
struct Nodes {
    live_list: Arc<Vec<LiveNode>>,
    listed_list: Arc<Vec<LiveNode>>,
    gathered: Option<Instant>,
    electorate: Electorate,
    working: Vec<NodeName>,
    counted: usize,
}

impl Nodes {
    fn follow(&mut self, context: &NodeContext, now: Instant) {
        let (live, listed) = (context.live.load(), context.listed_nodes.load());
        let is_same =
            Arc::ptr_eq(&live, &self.live_list) && Arc::ptr_eq(&listed, &self.listed_list);
        if is_same && self.gathered.is_some_and(|at| now < at + REFRESH) {
            return;
        }
        let names = |nodes: &[LiveNode]| -> Vec<NodeName> {
            nodes.iter().map(|node| node.candidate.node.clone()).collect()
        };
        let (alive, working) = (names(&live), live.iter().filter(|node| node.accepts_work));
        self.working = working.map(|node| node.candidate.node.clone()).collect();
        self.counted =
            self.electorate.eligible(&names(&listed), &alive, now).len().max(alive.len());
        (self.live_list, self.listed_list) = (live, listed);
        self.gathered = Some(now);
    }
}

impl SharedQuotas {
    /// An operation of an account needs a token; `ticket` is its own for as long as it waits.
    pub fn take(
        &self,
        account: &AccountName,
        ticket: &mut Ticket,
        context: &NodeContext,
        now: Instant,
    ) -> Take {
        self.with(context, now, |quotas, view| quotas.take(account, ticket, view))
    }

    /// An operation of an account that had a token has not run.
    pub fn give_back(&self, account: &AccountName) {
        self.lock().quotas.give_back(account);
    }

    /// Takes in a message of another node.
    pub fn on_message(
        &self,
        from: &NodeName,
        message: QuotaMessage,
        context: &NodeContext,
        now: Instant,
    ) {
        self.with(context, now, |quotas, view| quotas.on_message(from, message, view));
    }

    /// A connection to a node broke, or a message could not be sent to it.
    pub fn on_unreachable(&self, node: &NodeName, now: Instant) {
        self.lock().quotas.on_unreachable(node, now);
    }

    /// Time passes.
    pub fn on_tick(&self, context: &NodeContext, now: Instant) {
        if context.catalog.load().accounts.is_empty() {
            return;
        }
        self.with(context, now, |quotas, view| quotas.on_tick(view));
    }

    /// Messages to send and accounts whose waiting operations can go on, since the last call.
    pub fn take_news(&self) -> (Vec<Outgoing>, Vec<AccountName>) {
        if !self.has_news.swap(false, Ordering::AcqRel) {
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
        nodes.follow(context, now);
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
            self.has_news.store(true, Ordering::Release);
        }
        outcome
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the quotas' lock panicked")
    }
}
