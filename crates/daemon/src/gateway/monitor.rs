//! Watches the instances of one group by asking each for its position, and tells subscribers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::confirmation::ProbeNumber;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::Position;
use kestrellock_core::routing::{InstanceStatus, Role};
use kestrellock_peer::message::{SUBSCRIPTION_LIFETIME, ToFront};

use super::server::ProbeAnswer;
use crate::shard::{Io, Outgoing};

/// Time between probes of an instance while nothing waits for them.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between probes by a gateway that owns no instance of the group.
const STANDBY_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A probe unanswered for this long means that the instance is silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two probes of an instance that has not reached a waiting commit yet.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Time between attempts to open a probe connection.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// What to do about one instance's probe now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Nothing,
    /// Open a probe connection.
    Connect,
    /// Ask over this connection.
    Ask(usize),
}

#[derive(Debug)]
enum Probe {
    Closed { since: Instant },
    Busy { key: usize, since: Instant },
    Idle { key: usize },
}

#[derive(Debug)]
struct Watched {
    probe: Probe,
    next_probe: Instant,
    asked: Instant,
    last_probe: ProbeNumber,
    caught_up: Instant,
    status: Option<InstanceStatus>,
}

impl Watched {
    fn is_due(&self, wanted: Option<ProbeNumber>, now: Instant) -> bool {
        let urgent = wanted
            .is_some_and(|wanted| wanted > self.last_probe || now >= self.asked + RETRY_INTERVAL);
        urgent || now >= self.next_probe
    }
}

/// The instances of one group and who wants to know of them.
#[derive(Debug)]
pub struct Monitor {
    group: GroupName,
    instances: HashMap<InstanceName, Watched>,
    subscribers: HashMap<NodeName, Instant>,
    primary: Option<Position>,
    started: Instant,
    standby: bool,
}

impl Monitor {
    /// Knows nothing yet.
    pub fn new(group: GroupName, now: Instant) -> Self {
        let (instances, subscribers) = (HashMap::new(), HashMap::new());
        Self { group, instances, subscribers, primary: None, started: now, standby: false }
    }

    /// Whether the gateway only stands by: it keeps probe connections and probes rarely.
    pub fn set_standby(&mut self, standby: bool) {
        if self.standby && !standby {
            self.instances.values_mut().for_each(|watched| watched.next_probe = self.started);
        }
        self.standby = standby;
    }

    /// Whether any front asked for statuses lately.
    pub fn has_subscribers(&self, now: Instant) -> bool {
        self.subscribers.values().any(|until| *until > now)
    }

    fn watched(&mut self, instance: &InstanceName) -> &mut Watched {
        let started = self.started;
        self.instances.entry(instance.clone()).or_insert_with(|| Watched {
            probe: Probe::Closed { since: started - RECONNECT_INTERVAL },
            next_probe: started,
            asked: started,
            last_probe: ProbeNumber::default(),
            caught_up: started,
            status: None,
        })
    }

    /// A node's front wants statuses: sends those known now, and later ones.
    pub fn subscribe(&mut self, node: NodeName, io: &mut Io) {
        self.subscribers.insert(node.clone(), io.now + SUBSCRIPTION_LIFETIME);
        let statuses: Vec<InstanceStatus> =
            self.instances.values().filter_map(|watched| watched.status.clone()).collect();
        self.send(node, statuses, io);
    }

    fn send(&self, node: NodeName, statuses: Vec<InstanceStatus>, io: &mut Io) {
        let message = ToFront::Statuses { group: self.group.clone(), statuses };
        io.outbox.push_back(Outgoing::Front { node, shard: None, message });
    }

    /// What to do about an instance's probe. Commits that wait count only answers to probes from
    /// `wanted` on: one is sent at once, and again while they wait.
    pub fn next_step(
        &mut self,
        instance: &InstanceName,
        wanted: Option<ProbeNumber>,
        now: Instant,
    ) -> Step {
        let interval = if self.standby { STANDBY_PROBE_INTERVAL } else { PROBE_INTERVAL };
        let watched = self.watched(instance);
        match watched.probe {
            Probe::Closed { since } if now >= since + RECONNECT_INTERVAL => Step::Connect,
            Probe::Idle { key } if watched.is_due(wanted, now) => {
                watched.probe = Probe::Busy { key, since: now };
                watched.next_probe = now + interval;
                watched.asked = now;
                Step::Ask(key)
            }
            _ => Step::Nothing,
        }
    }

    /// A probe with this number is being sent.
    pub fn on_asked(&mut self, instance: &InstanceName, number: ProbeNumber) {
        self.watched(instance).last_probe = number;
    }

    /// A probe connection is being opened.
    pub fn on_probe_connecting(&mut self, instance: &InstanceName, key: usize) {
        let watched = self.watched(instance);
        let since = watched.next_probe;
        watched.probe = Probe::Busy { key, since };
    }

    /// A probe connection can be asked.
    pub fn on_probe_ready(&mut self, key: usize, instance: &InstanceName) {
        self.watched(instance).probe = Probe::Idle { key };
    }

    /// Probe connections that have been silent for too long.
    pub fn overdue(&self, now: Instant) -> Vec<usize> {
        let late = |watched: &Watched| match watched.probe {
            Probe::Busy { key, since } if now > since + PROBE_TIMEOUT => Some(key),
            _ => None,
        };
        self.instances.values().filter_map(late).collect()
    }

    /// A probe connection was lost: the instance counts as unreachable until it answers again.
    pub fn on_probe_lost(&mut self, instance: &InstanceName, io: &mut Io) {
        let watched = self.watched(instance);
        watched.probe = Probe::Closed { since: io.now };
        watched.next_probe = io.now;
        if let Some(status) = &mut watched.status {
            status.reachable = false;
            let status = status.clone();
            self.publish(status, io);
        }
    }

    /// Takes in what an instance said; `queue_wait` is known where its pool is.
    pub fn on_report(
        &mut self,
        instance: &InstanceName,
        answer: &ProbeAnswer,
        queue_wait: Option<Duration>,
        io: &mut Io,
    ) {
        let report = answer.report;
        let newest_primary = self.primary.is_none_or(|known| report.applied.term >= known.term);
        if report.role == Role::Primary && newest_primary {
            self.primary = Some(report.applied);
        }
        let caught_up = self.primary.is_none_or(|primary| report.applied.satisfies(&primary));
        let watched = self.watched(instance);
        if caught_up {
            watched.caught_up = answer.asked;
        }
        let status = InstanceStatus {
            instance: instance.clone(),
            role: report.role,
            applied: report.applied,
            flushed: report.flushed,
            reachable: true,
            queue_wait,
            lag: io.now.duration_since(watched.caught_up),
            unconfirmed_for: None,
        };
        watched.status = Some(status.clone());
        self.publish(status, io);
    }

    fn publish(&mut self, status: InstanceStatus, io: &mut Io) {
        self.subscribers.retain(|_, until| *until > io.now);
        let nodes: Vec<NodeName> = self.subscribers.keys().cloned().collect();
        for node in nodes {
            self.send(node, vec![status.clone()], io);
        }
    }
}
