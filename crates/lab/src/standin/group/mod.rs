//! Stand-in for a database group that elects its own primary.
//!
//! Each instance listens on loopback, speaks the PostgreSQL v3 protocol and executes SQL on tables
//! in memory. The instances replicate one log and elect a new primary when a majority has lost
//! contact with the previous one (see [`replication`]). Tests and benchmarks inject faults through
//! [`DatabaseGroup`]: killed, paused or isolated instances, replication lag, lost commit responses
//! and reset connections.

pub mod analysis;
pub mod arrivals;
pub mod connections;
pub mod ddl;
pub mod dml;
pub mod evaluate;
pub mod events;
pub mod functions;
pub mod instance;
pub mod lag;
pub mod locks;
pub mod options;
pub mod overlay;
pub mod replication;
pub mod rows;
pub mod select;
pub mod service;
pub mod state;
pub mod tables;
pub mod transaction;
pub mod values;
pub mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use self::events::{EventLog, GroupEvent, Signal};
use self::instance::{Instance, InstanceConfig, LostResponse};
use self::lag::{Lag, LagSource};
use self::options::GroupOptions;
use self::replication::Replicator;
use self::service::ServiceQueue;
use self::tables::{Change, Row};
use super::listener::RestartableListener;

/// Interval at which the `wait_for_*` methods check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A committed transaction in the log of a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedRecord {
    /// Term in which it was written.
    pub term: u32,
    /// Log offset just after it.
    pub end: u64,
    /// Changes that it made.
    pub changes: Vec<Change>,
}

/// A running database group.
pub struct DatabaseGroup {
    /// All instances; the first one starts as primary.
    pub instances: Vec<Arc<Instance>>,
    /// Address at which clients reach each instance: its relay if the group is on a network.
    pub addresses: Vec<SocketAddr>,
    listeners: Vec<RestartableListener>,
    events: Arc<EventLog>,
    stopping: Arc<AtomicBool>,
    replicator: Option<JoinHandle<()>>,
}

impl DatabaseGroup {
    /// Starts the instances on ports chosen by the operating system.
    pub fn start(options: GroupOptions) -> std::io::Result<Self> {
        let stopping = Arc::new(AtomicBool::new(false));
        let events = Arc::new(EventLog::default());
        let signal = Arc::new(Signal::default());
        let mut instances = Vec::new();
        let mut addresses = Vec::new();
        let mut listeners = Vec::new();
        for (index, zone) in options.zones.iter().enumerate() {
            let seed = options.seed.wrapping_add(index as u64);
            let instance = Arc::new(Instance::new(InstanceConfig {
                index,
                zone: zone.clone(),
                service: ServiceQueue::new(options.slots, options.service_times, seed),
                connection_limit: options.connections,
                connection_setup: options.connection_setup,
                lag: LagSource::new(options.replica_lag, seed),
                events: events.clone(),
                signal: signal.clone(),
            }));
            let listener = RestartableListener::bind()?;
            let address = listener.address();
            let network = options.network.clone();
            wire::listen(listener.clone(), instance.clone(), network.clone());
            addresses.push(match &network {
                Some(network) => network.expose_tcp(zone, address)?,
                None => address,
            });
            listeners.push(listener);
            instances.push(instance);
        }
        let replicator = Replicator::new(&instances, options, events.clone(), signal);
        let stop = stopping.clone();
        let replicator = Some(thread::spawn(move || replicator.run(&stop)));
        Ok(Self { instances, addresses, listeners, events, stopping, replicator })
    }

    /// Kills an instance. Its log survives.
    pub fn kill(&self, index: usize) {
        self.listeners[index].close();
        self.instances[index].kill();
    }

    /// Restarts a killed instance as a replica with the log it had. Once it follows a primary of a
    /// newer term, it drops the records that this primary does not have.
    pub fn restart(&self, index: usize) {
        self.instances[index].restart();
        self.listeners[index].reopen();
    }

    /// Pauses an instance's process wherever it is. Its connections stay open.
    pub fn pause(&self, index: usize) {
        self.instances[index].set_paused(true);
    }

    /// Resumes a paused instance.
    pub fn resume(&self, index: usize) {
        self.instances[index].set_paused(false);
    }

    /// Isolates an instance from the other instances and, on a network, from clients in other
    /// zones. An isolated primary still considers itself primary.
    pub fn isolate(&self, index: usize) {
        self.instances[index].set_isolated(true);
    }

    /// Undoes [`Self::isolate`].
    pub fn rejoin(&self, index: usize) {
        self.instances[index].set_isolated(false);
    }

    /// Sets a fixed lag between receiving and applying a record; [`Duration::MAX`] stops the
    /// application of records.
    pub fn set_lag(&self, index: usize, lag: Duration) {
        self.instances[index].set_lag(Lag::Fixed(lag), 0);
    }

    /// Draws the lag of each record uniformly between two bounds.
    pub fn set_lag_distribution(
        &self,
        index: usize,
        shortest: Duration,
        longest: Duration,
        seed: u64,
    ) {
        self.instances[index].set_lag(Lag::Uniform { shortest, longest }, seed);
    }

    /// Stops or resumes the flow of log records to a replica. The replica stays in contact with the
    /// primary, so that it does not start an election.
    pub fn set_receiving(&self, index: usize, receiving: bool) {
        self.instances[index].set_receiving(receiving);
    }

    /// Lets the next commit take effect without a response; its connection stays open.
    pub fn hang_after_commit(&self, index: usize) {
        self.instances[index].lose_next_response(LostResponse::Silent);
    }

    /// Lets the next commit take effect, but resets its connection instead of responding.
    pub fn reset_after_commit(&self, index: usize) {
        self.instances[index].lose_next_response(LostResponse::Reset);
    }

    /// Resets every client connection of an instance.
    pub fn reset_connections(&self, index: usize) {
        self.instances[index].connections.reset_all();
    }

    /// Index of the running primary with the highest term, if there is one.
    pub fn primary(&self) -> Option<usize> {
        self.instances
            .iter()
            .filter(|instance| instance.is_running() && instance.is_primary())
            .max_by_key(|instance| instance.state().term)
            .map(|instance| instance.index)
    }

    /// Waits up to `limit` for a running primary at `term` or above. Returns its index.
    pub fn wait_for_term(&self, term: u32, limit: Duration) -> Option<usize> {
        let end = Instant::now() + limit;
        loop {
            let primary = self.primary();
            let at_term = primary.filter(|index| self.instances[*index].state().term >= term);
            if at_term.is_some() || Instant::now() > end {
                return at_term;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits up to `limit` until every running replica has applied the primary's log.
    /// Returns whether they have.
    pub fn wait_for_replicas(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            if let Some(primary) = self.primary() {
                let (term, offset) = {
                    let state = self.instances[primary].state();
                    (state.term, state.flushed())
                };
                let mut running = self.instances.iter().filter(|instance| instance.is_running());
                let behind = running.any(|instance| {
                    let state = instance.state();
                    state.term != term || state.applied_offset() < offset
                });
                if !behind {
                    return true;
                }
            }
            if Instant::now() > end {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Starts to record the statements that reach each instance.
    pub fn record_arrivals(&self) {
        self.instances.iter().for_each(|instance| instance.arrivals.record());
    }

    /// All events so far.
    pub fn events(&self) -> Vec<GroupEvent> {
        self.events.all()
    }

    /// Rows of a table at the current primary in insertion order. `None` if there is no primary or
    /// no such table.
    pub fn final_rows(&self, table: &str) -> Option<Vec<Row>> {
        let state = self.instances[self.primary()?].state();
        let table = state.tables.tables.get(table)?;
        Some(table.rows.values().cloned().collect())
    }

    /// The log of the current primary. `None` if there is no primary.
    pub fn committed_log(&self) -> Option<Vec<CommittedRecord>> {
        let state = self.instances[self.primary()?].state();
        let records = state.log.iter().map(|entry| CommittedRecord {
            term: entry.record.term,
            end: entry.record.end,
            changes: entry.record.changes.clone(),
        });
        Some(records.collect())
    }
}

impl Drop for DatabaseGroup {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        for (instance, listener) in self.instances.iter().zip(&self.listeners) {
            listener.stop();
            instance.kill();
        }
        if let Some(replicator) = self.replicator.take() {
            // The panic hook has already reported a panic of this thread.
            let _ = replicator.join();
        }
    }
}
