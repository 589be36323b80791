//! Monitors the instances of one group: probes each for its position, and publishes the statuses to
//! subscribed fronts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::confirmation::ProbeNumber;
use kestrellock_core::failover::{Pace, Sighting, Watch, confirmed_at, may_take_writes};
use kestrellock_core::freshness::{Freshness, Observation};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_core::routing::{InstanceStatus, Role};
use kestrellock_peer::message::{SUBSCRIPTION_LIFETIME, ToFront};
use kestrellock_protocol::backend::Report;

use super::server::ProbeAnswer;
use crate::event::{Io, Outgoing};

/// Interval between probes by a gateway that owns no instance of the group.
const STANDBY_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between probes of an instance while a commit waits for it to catch up.
const COMMIT_PROBE_INTERVAL: Duration = Duration::from_millis(1);

/// Lag that is reported for an instance whose lag is unknown.
const UNKNOWN_LAG: Duration = Duration::from_secs(u32::MAX as u64);

/// The next step of probing one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Nothing.
    Nothing,
    /// Open a probe connection.
    Connect,
    /// Send a probe over this connection.
    Query(usize),
}

#[derive(Debug)]
enum Probe {
    /// No open connection; `since` is `None` before the first attempt to connect.
    Closed {
        since: Option<Instant>,
    },
    Busy {
        key: usize,
        since: Instant,
    },
    Idle {
        key: usize,
    },
}

#[derive(Debug)]
struct MonitoredInstance {
    probe: Probe,
    asked: Instant,
    last_probe: ProbeNumber,
    status: Option<InstanceStatus>,
    /// When the probe was sent that `status` answers.
    reported: Option<Instant>,
}

impl MonitoredInstance {
    fn is_due(&self, wanted: Option<ProbeNumber>, interval: Duration, now: Instant) -> bool {
        let urgent = wanted.is_some_and(|wanted| {
            wanted > self.last_probe || now >= self.asked + COMMIT_PROBE_INTERVAL
        });
        urgent || self.reported.is_none() || now >= self.asked + interval
    }
}

/// The instances of one group and the nodes that subscribe to their statuses.
#[derive(Debug)]
pub struct Monitor {
    group: GroupName,
    instances: HashMap<InstanceName, MonitoredInstance>,
    subscribers: HashMap<NodeName, Instant>,
    started: Instant,
    is_standby: bool,
    watch: Watch,
    highest_term: Term,
    freshness: Freshness,
}

impl Monitor {
    /// A monitor that has not probed any instance.
    pub fn new(group: GroupName, now: Instant) -> Self {
        let (instances, subscribers) = (HashMap::new(), HashMap::new());
        Self {
            group,
            instances,
            subscribers,
            started: now,
            is_standby: false,
            watch: Watch::default(),
            highest_term: Term::default(),
            freshness: Freshness::default(),
        }
    }

    /// Sets whether the gateway is a standby: it keeps its probe connections, but probes rarely.
    pub fn set_standby(&mut self, standby: bool) {
        if self.is_standby && !standby {
            self.instances.values_mut().for_each(|monitored| monitored.asked = self.started);
        }
        self.is_standby = standby;
    }

    /// The last reported status of an instance.
    pub fn status(&self, instance: &InstanceName) -> Option<&InstanceStatus> {
        self.instances.get(instance)?.status.as_ref()
    }

    /// Whether any front has a live subscription.
    pub fn has_subscribers(&self, now: Instant) -> bool {
        self.subscribers.values().any(|until| *until > now)
    }

    fn monitored(&mut self, instance: &InstanceName) -> &mut MonitoredInstance {
        let started = self.started;
        self.instances.entry(instance.clone()).or_insert_with(|| MonitoredInstance {
            probe: Probe::Closed { since: None },
            asked: started,
            last_probe: ProbeNumber::default(),
            status: None,
            reported: None,
        })
    }

    /// Subscribes a node's front: sends the statuses known now, and later ones as they arrive.
    pub fn subscribe(&mut self, node: NodeName, io: &mut Io) {
        self.subscribers.insert(node.clone(), io.now + SUBSCRIPTION_LIFETIME);
        let statuses: Vec<InstanceStatus> =
            self.instances.values().filter_map(|monitored| monitored.status.clone()).collect();
        self.send(node, statuses, io);
    }

    fn send(&self, node: NodeName, statuses: Vec<InstanceStatus>, io: &mut Io) {
        let message = ToFront::Statuses { group: self.group.clone(), statuses };
        io.outbox.push_back(Outgoing::Front { node, shard: None, message });
    }

    /// The next step of probing an instance. Waiting commits count only answers to probes from
    /// `wanted` on: such a probe is sent at once, and repeated while they wait.
    pub fn next_step(
        &mut self,
        instance: &InstanceName,
        wanted: Option<ProbeNumber>,
        now: Instant,
    ) -> ProbeStep {
        let pace = self.watch.pace(now);
        let idle = self.is_standby && pace == Pace::Idle;
        let interval = if idle { STANDBY_PROBE_INTERVAL } else { pace.probe_interval() };
        let monitored = self.monitored(instance);
        match monitored.probe {
            Probe::Closed { since }
                if since.is_none_or(|since| now >= since + pace.reconnect_interval()) =>
            {
                ProbeStep::Connect
            }
            Probe::Idle { key } if monitored.is_due(wanted, interval, now) => {
                monitored.probe = Probe::Busy { key, since: now };
                monitored.asked = now;
                ProbeStep::Query(key)
            }
            _ => ProbeStep::Nothing,
        }
    }

    /// Records the number of a probe that is being sent.
    pub fn on_probe_sent(&mut self, instance: &InstanceName, number: ProbeNumber) {
        self.monitored(instance).last_probe = number;
    }

    /// Records that a probe connection is being opened.
    pub fn on_probe_connecting(&mut self, instance: &InstanceName, key: usize, now: Instant) {
        self.monitored(instance).probe = Probe::Busy { key, since: now };
    }

    /// Records that a probe connection is idle.
    pub fn on_probe_ready(&mut self, key: usize, instance: &InstanceName) {
        self.monitored(instance).probe = Probe::Idle { key };
    }

    /// Probe connections that have not answered in time.
    pub fn overdue(&self, now: Instant) -> Vec<usize> {
        let timeout = self.watch.pace(now).probe_timeout();
        let late = |monitored: &MonitoredInstance| match monitored.probe {
            Probe::Busy { key, since } if now > since + timeout => Some(key),
            _ => None,
        };
        self.instances.values().filter_map(late).collect()
    }

    /// Handles the arrival of a statement for the group: it is probed more often for a while.
    pub fn on_statement(&mut self, now: Instant) {
        self.watch.on_statement(now);
    }

    /// Handles the loss of a connection to an instance. If it was the primary, the search for the
    /// next primary begins.
    pub fn on_connection_lost(&mut self, instance: &InstanceName, now: Instant) {
        let status = self.instances.get(instance).and_then(|monitored| monitored.status.as_ref());
        if status.is_some_and(|status| status.role == Role::Primary) {
            self.watch.on_primary_lost(now);
        }
    }

    /// Whether the gateway searches for the group's primary.
    pub fn is_searching(&self, now: Instant) -> bool {
        self.watch.pace(now) == Pace::Searching
    }

    /// Handles the loss of a probe connection. Only the owner of the instance tells fronts that it
    /// is unreachable: any other node may just be cut off from it itself.
    pub fn on_probe_lost(&mut self, instance: &InstanceName, owned: bool, io: &mut Io) {
        self.on_connection_lost(instance, io.now);
        let monitored = self.monitored(instance);
        monitored.probe = Probe::Closed { since: Some(io.now) };
        monitored.reported = None;
        if let Some(status) = &mut monitored.status {
            status.reachable = false;
            let status = status.clone();
            if owned {
                self.publish(status, io);
            }
        }
    }

    /// The latest time at which a majority is known to have followed `term`.
    fn confirmed_at(&self, term: Term, majority: usize) -> Option<Instant> {
        let sightings = self.instances.values().filter_map(|monitored| {
            Some(Sighting {
                term: monitored.status.as_ref()?.flushed.term,
                asked: monitored.reported?,
            })
        });
        confirmed_at(term, sightings, majority)
    }

    /// Whether writes may be sent to an instance now.
    pub fn may_take_writes(&self, instance: &InstanceName, majority: usize, now: Instant) -> bool {
        let monitored = self.instances.get(instance);
        let Some(status) = monitored.and_then(|monitored| monitored.status.as_ref()) else {
            return false;
        };
        let term = status.applied.term;
        let confirmed = self.confirmed_at(term, majority);
        let pace = self.watch.pace(now);
        status.role == Role::Primary
            && may_take_writes(term, self.highest_term, confirmed, pace, now)
    }

    /// Instances that report themselves as primary in a term that has been superseded.
    pub fn outdated_primaries(&self) -> Vec<InstanceName> {
        let outdated = |status: &&InstanceStatus| {
            status.role == Role::Primary && status.applied.term < self.highest_term
        };
        let statuses = self.instances.values().filter_map(|monitored| monitored.status.as_ref());
        statuses.filter(outdated).map(|status| status.instance.clone()).collect()
    }

    /// Processes an instance's answer to a probe. `queue_wait` is `None` if this gateway has no
    /// pool of the instance. Returns whether the answer supersedes an earlier term.
    pub fn on_report(
        &mut self,
        instance: &InstanceName,
        answer: &ProbeAnswer,
        queue_wait: Option<Duration>,
        majority: usize,
        io: &mut Io,
    ) -> bool {
        let report = answer.report;
        let term = report.flushed.term;
        let is_newer = term > self.highest_term;
        let replaces = is_newer && self.highest_term > Term::default();
        self.highest_term = self.highest_term.max(term);
        if replaces {
            self.watch.on_primary_lost(io.now);
        }
        let leads = report.role == Role::Primary && term >= self.highest_term;
        let lag = self.lag(instance, answer, majority, io.now);
        let monitored = self.monitored(instance);
        monitored.reported = Some(answer.asked);
        let status = InstanceStatus {
            instance: instance.clone(),
            role: report.role,
            applied: report.applied,
            flushed: report.flushed,
            reachable: true,
            queue_wait,
            lag,
            unconfirmed_for: None,
        };
        monitored.status = Some(status.clone());
        let unconfirmed_for = self.unconfirmed_for(&status, majority, io.now);
        self.publish(InstanceStatus { unconfirmed_for, ..status }, io);
        if leads && self.may_take_writes(instance, majority, io.now) {
            self.watch.on_primary_found();
        }
        replaces
    }

    /// The age of the instance's data, including its latest answer.
    fn lag(
        &mut self,
        instance: &InstanceName,
        answer: &ProbeAnswer,
        majority: usize,
        now: Instant,
    ) -> Duration {
        let moment = |at: Instant| at.saturating_duration_since(self.started);
        let (asked, now) = (moment(answer.asked), moment(now));
        let Report { role, applied, .. } = answer.report;
        self.freshness.on_observation(instance, Observation { role, applied, asked });
        self.freshness.age(instance, majority, now).unwrap_or(UNKNOWN_LAG)
    }

    fn unconfirmed_for(
        &self,
        status: &InstanceStatus,
        majority: usize,
        now: Instant,
    ) -> Option<Duration> {
        if status.role == Role::Replica {
            return None;
        }
        let since = self.confirmed_at(status.applied.term, majority).unwrap_or(self.started);
        Some(now.saturating_duration_since(since))
    }

    fn publish(&mut self, status: InstanceStatus, io: &mut Io) {
        self.subscribers.retain(|_, until| *until > io.now);
        let nodes: Vec<NodeName> = self.subscribers.keys().cloned().collect();
        for node in nodes {
            self.send(node, vec![status.clone()], io);
        }
    }
}
