//! Stand-in for a database group as the users' platform runs it.
//!
//! The instances speak the platform's line protocol, replicate, and publish their entries in the
//! store. They never elect a primary themselves: a coordinator replaces a primary by stopping the
//! replicas and having one of them promoted through the [`PromotionService`].

mod links;
mod promotions;
mod replication;
mod request_faults;
mod session;
mod state;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use kestrellock_core::routing::Role;
use kestrellock_platform::standin::entries::InstanceEntry;
use kestrellock_platform::standin::lines::InstanceError;

use super::listener::{Callers, RestartableListener};
use super::store::StoreWriter;
use crate::check::statements::record::GroupStatements;

pub use promotions::{CompletedPromotion, PromotionRequest, PromotionService};
use request_faults::RequestFaults;
pub use request_faults::{DELAY, RequestFaultShares};
pub use state::{Commit, ExecutedStatement};
use state::{Instance, State};

/// Options of a group.
#[derive(Clone, Debug)]
pub struct InstanceOptions {
    /// Name of the group.
    pub group: String,
    /// Zone of each instance; the first instance starts as primary.
    pub zones: Vec<String>,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub synchronous: usize,
    /// Delay between receiving a commit and applying it at a replica.
    pub lag: Duration,
    /// Maximum number of connections of an instance.
    pub connections: usize,
    /// Number of statements that an instance executes concurrently, according to its entry.
    pub slots: u32,
}

/// State shared by the threads of a group.
pub(crate) struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    stopping: AtomicBool,
    store: StoreWriter,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the group's lock panicked")
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Writes the entry of an instance to the store, unless it cannot reach the store.
    fn publish_entry(&self, state: &State, name: &str) {
        if state.links.is_isolated(name) {
            return;
        }
        let Some(instance) = state.instances.get(name) else { return };
        let entry = InstanceEntry {
            name,
            group: &state.options.group,
            address: instance.address,
            zone: &instance.zone,
            slots: state.options.slots,
            leaving: instance.leaving,
            role: instance.role,
            incarnation: Some(instance.incarnation),
        };
        self.store.put(&InstanceEntry::key(name), &entry.value());
    }
}

/// A running group.
pub struct InstanceGroup {
    shared: Arc<Shared>,
}

impl InstanceGroup {
    /// Writes the entries of all running instances to the store again, as they do after a store
    /// restore.
    pub fn republish_entries(&self) {
        let state = self.shared.state();
        let running = state.instances.iter().filter(|(_, instance)| instance.running);
        running.for_each(|(name, _)| self.shared.publish_entry(&state, name));
    }

    /// Starts the instances and writes their entries to the store.
    pub fn start(options: InstanceOptions, store: StoreWriter) -> io::Result<Self> {
        Self::start_behind(options, store, |_, address| Ok(address))
    }

    /// Starts the instances and writes their entries to the store. `expose` returns the address at
    /// which others reach the instance with a number, which listens on the given address.
    pub fn start_behind(
        options: InstanceOptions,
        store: StoreWriter,
        expose: impl Fn(usize, SocketAddr) -> io::Result<SocketAddr>,
    ) -> io::Result<Self> {
        let mut listeners = Vec::new();
        let mut state = State::new(options);
        for number in 0..state.options.zones.len() {
            let listener = RestartableListener::bind()?;
            let address = expose(number, listener.address())?;
            let name = state.add(number, listener.clone(), address);
            listeners.push((name, listener));
        }
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            stopping: AtomicBool::new(false),
            store,
        });
        for (name, listener) in listeners {
            session::serve(&shared, &name, listener);
            shared.publish_entry(&shared.state(), &name);
        }
        let replicating = shared.clone();
        thread::spawn(move || replication::run(&replicating));
        Ok(Self { shared })
    }

    /// The addresses from which connections to each instance were opened so far.
    pub fn callers(&self) -> Vec<Callers> {
        self.shared.state().instances.values().map(|instance| instance.listener.callers()).collect()
    }

    /// Name of the group.
    pub fn name(&self) -> String {
        self.shared.state().options.group.clone()
    }

    /// Names of the instances.
    pub fn instances(&self) -> Vec<String> {
        self.shared.state().instances.keys().cloned().collect()
    }

    /// The running primary with the highest term.
    pub fn primary(&self) -> Option<String> {
        let state = self.shared.state();
        let is_primary = |instance: &&Instance| instance.running && instance.role == Role::Primary;
        let primary =
            state.instances.values().filter(is_primary).max_by_key(|instance| instance.term);
        primary.map(|instance| instance.name.clone())
    }

    /// Address on which an instance listens.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.shared.state().instances.get(name).map(|instance| instance.address)
    }

    /// Kills an instance: its connections close, and nothing listens on its address.
    pub fn kill(&self, name: &str) {
        self.shared.state().kill(name);
        self.shared.changed.notify_all();
    }

    /// Closes all connections of an instance. Answers that are not sent yet are lost.
    pub fn close_connections(&self, name: &str) {
        if let Some(instance) = self.shared.state().instances.get_mut(name) {
            instance.close_connections();
        }
    }

    /// Restarts a killed instance with its log. It becomes a replica if another instance is
    /// primary.
    pub fn restart(&self, name: &str) {
        let mut state = self.shared.state();
        state.restart(name);
        self.shared.publish_entry(&state, name);
    }

    /// Restarts a killed instance under the same name with an empty log, as a new incarnation.
    pub fn restart_empty(&self, name: &str) {
        let mut state = self.shared.state();
        state.restart_empty(name);
        self.shared.publish_entry(&state, name);
    }

    /// Restarts a killed instance with its address and log under the name `new_name`. The entry
    /// under the old name stays in the store, as after a crash.
    pub fn restart_as(&self, name: &str, new_name: &str) {
        let Some(listener) =
            self.shared.state().instances.get(name).map(|instance| instance.listener.clone())
        else {
            return;
        };
        let listener = listener.transfer();
        self.shared.state().rename(name, new_name, listener.clone());
        session::serve(&self.shared, new_name, listener);
        self.restart(new_name);
    }

    /// Starts another replica in `zone` with an empty log and writes its entry to the store. No relay
    /// is in front of it. Returns its name.
    pub fn join(&self, zone: &str) -> io::Result<String> {
        let listener = RestartableListener::bind()?;
        let name = {
            let mut state = self.shared.state();
            let number = state.options.zones.len();
            state.options.zones.push(zone.to_owned());
            state.add(number, listener.clone(), listener.address())
        };
        session::serve(&self.shared, &name, listener);
        self.shared.publish_entry(&self.shared.state(), &name);
        Ok(name)
    }

    /// Marks an instance as leaving in its entry. It continues to serve.
    pub fn leave(&self, name: &str) {
        let mut state = self.shared.state();
        if let Some(instance) = state.instances.get_mut(name) {
            instance.leaving = true;
        }
        self.shared.publish_entry(&state, name);
    }

    /// Blocks or unblocks replication to a replica.
    pub fn set_replication_blocked(&self, name: &str, blocked: bool) {
        if let Some(instance) = self.shared.state().instances.get_mut(name) {
            instance.replication_blocked = blocked;
        }
    }

    /// Separates an instance from the other instances and the store until the next call, which may name
    /// none.
    pub fn set_isolated(&self, name: Option<&str>) {
        let mut state = self.shared.state();
        let earlier = std::mem::replace(&mut state.links.isolated, name.map(str::to_owned));
        if let Some(earlier) = earlier {
            self.shared.publish_entry(&state, &earlier);
        }
    }

    /// Makes an old primary a replica without the delay after which it becomes one by itself.
    pub fn step_down(&self, name: &str) {
        let mut state = self.shared.state();
        if let Some(instance) = state.instances.get_mut(name) {
            instance.role = Role::Replica;
        }
        self.shared.publish_entry(&state, name);
    }

    /// Separates two instances from each other, or connects them again. Each still reaches the other
    /// instances, and a promotion releases both.
    pub fn set_separated(&self, name: &str, other: &str, is_separated: bool) {
        self.shared.state().links.set_separated(name, other, is_separated);
    }

    /// Blocks or unblocks the reads of an instance.
    pub fn set_reads_blocked(&self, name: &str, blocked: bool) {
        if let Some(instance) = self.shared.state().instances.get_mut(name) {
            instance.reads_blocked = blocked;
        }
        self.shared.changed.notify_all();
    }

    /// Sets the error with which the instances answer each `BEGIN`; `None` if they begin transactions.
    pub fn set_begin_error(&self, error: Option<InstanceError>) {
        self.shared.state().begin_error = error;
    }

    /// Has an instance answer these parts of its requests with faults that are drawn from `seed`;
    /// `None` ends them.
    pub fn set_request_faults(&self, name: &str, shares: Option<RequestFaultShares>, seed: u64) {
        let faults = &mut self.shared.state().request_faults;
        match shares {
            Some(shares) => faults.insert(name.to_owned(), RequestFaults::new(shares, seed)),
            None => faults.remove(name),
        };
    }

    /// The log of an instance.
    pub fn log(&self, name: &str) -> Vec<Commit> {
        let state = self.shared.state();
        state.instances.get(name).map(|instance| instance.log.clone()).unwrap_or_default()
    }

    /// Whether a replica is stopped.
    pub fn is_stopped(&self, name: &str) -> bool {
        self.shared.state().instances.get(name).is_some_and(|instance| instance.min_term.0 > 0)
    }

    /// All executed reads and writes with their statement ids, in order of execution.
    pub fn executed_statements(&self) -> Vec<ExecutedStatement> {
        self.shared.state().executed_statements.clone()
    }

    /// All received statements and all commits, for the check of statements.
    pub fn statements(&self) -> GroupStatements {
        self.shared.state().statements.clone()
    }

    /// Tells the check of statements the addresses of all nodes.
    pub fn set_node_addresses(&self, addresses: Vec<IpAddr>) {
        self.shared.state().statements.node_addresses = Some(addresses);
    }

    /// Number of status queries that the proxy has sent.
    pub fn status_queries(&self) -> u64 {
        self.shared.state().status_queries
    }

    /// The group's shared state, for the promotion service.
    pub(crate) fn shared(&self) -> Arc<Shared> {
        self.shared.clone()
    }
}

impl Drop for InstanceGroup {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        let mut state = self.shared.state();
        let names: Vec<String> = state.instances.keys().cloned().collect();
        for name in names {
            state.kill(&name);
            if let Some(instance) = state.instances.get(&name) {
                instance.listener.stop();
            }
        }
        self.shared.changed.notify_all();
    }
}
