//! Watches the instances of one group by asking each for its position, and tells subscribers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::confirmation::ProbeNumber;
use kestrellock_core::failover::{Pace, PaceTracker, TermReport, confirmed_at, may_take_writes};
use kestrellock_core::freshness::{Freshness, Observation};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_core::routing::{InstanceStatus, Role};
use kestrellock_peer::message::{SUBSCRIPTION_LIFETIME, ToFront};
use kestrellock_protocol::backend::Report;

use super::server::ProbeAnswer;
use crate::event::{Io, Outgoing};

/// Time between probes by a gateway that owns no instance of the group.
const STANDBY_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two probes of an instance that has not reached a waiting commit yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Lag of an instance of which it is not known.
const UNKNOWN_LAG: Duration = Duration::from_secs(u32::MAX as u64);

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
    /// No attempt yet if `since` is `None`.
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
struct Watched {
    probe: Probe,
    asked: Instant,
    last_probe: ProbeNumber,
    status: Option<InstanceStatus>,
    /// When the question was asked that `status` answers.
    reported: Option<Instant>,
}

impl Watched {
    fn is_due(&self, wanted: Option<ProbeNumber>, interval: Duration, now: Instant) -> bool {
        let urgent = wanted
            .is_some_and(|wanted| wanted > self.last_probe || now >= self.asked + RETRY_INTERVAL);
        urgent || self.reported.is_none() || now >= self.asked + interval
    }
}

/// The instances of one group and who wants to know of them.
#[derive(Debug)]
pub struct Monitor {
    group: GroupName,
    instances: HashMap<InstanceName, Watched>,
    subscribers: HashMap<NodeName, Instant>,
    started: Instant,
    standby: bool,
    watch: PaceTracker,
    highest_term: Term,
    freshness: Freshness,
}

impl Monitor {
    /// Knows nothing yet.
    pub fn new(group: GroupName, now: Instant) -> Self {
        let (instances, subscribers) = (HashMap::new(), HashMap::new());
        Self {
            group,
            instances,
            subscribers,
            started: now,
            standby: false,
            watch: PaceTracker::default(),
            highest_term: Term::default(),
            freshness: Freshness::default(),
        }
    }

    /// Whether the gateway only stands by: it keeps probe connections and probes rarely.
    pub fn set_standby(&mut self, standby: bool) {
        if self.standby && !standby {
            self.instances.values_mut().for_each(|watched| watched.asked = self.started);
        }
        self.standby = standby;
    }

    /// What an instance last said of itself.
    pub fn status(&self, instance: &InstanceName) -> Option<&InstanceStatus> {
        self.instances.get(instance)?.status.as_ref()
    }

    /// Whether any front asked for statuses lately.
    pub fn has_subscribers(&self, now: Instant) -> bool {
        self.subscribers.values().any(|until| *until > now)
    }

    fn watched(&mut self, instance: &InstanceName) -> &mut Watched {
        let started = self.started;
        self.instances.entry(instance.clone()).or_insert_with(|| Watched {
            probe: Probe::Closed { since: None },
            asked: started,
            last_probe: ProbeNumber::default(),
            status: None,
            reported: None,
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
        let pace = self.watch.pace(now);
        let idle = self.standby && pace == Pace::Idle;
        let interval = if idle { STANDBY_PROBE_INTERVAL } else { pace.probe_interval() };
        let watched = self.watched(instance);
        match watched.probe {
            Probe::Closed { since }
                if since.is_none_or(|since| now >= since + pace.reconnect_interval()) =>
            {
                Step::Connect
            }
            Probe::Idle { key } if watched.is_due(wanted, interval, now) => {
                watched.probe = Probe::Busy { key, since: now };
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
    pub fn on_probe_connecting(&mut self, instance: &InstanceName, key: usize, now: Instant) {
        self.watched(instance).probe = Probe::Busy { key, since: now };
    }

    /// A probe connection can be asked.
    pub fn on_probe_ready(&mut self, key: usize, instance: &InstanceName) {
        self.watched(instance).probe = Probe::Idle { key };
    }

    /// Probe connections that have been silent for too long.
    pub fn overdue(&self, now: Instant) -> Vec<usize> {
        let timeout = self.watch.pace(now).probe_timeout();
        let late = |watched: &Watched| match watched.probe {
            Probe::Busy { key, since } if now > since + timeout => Some(key),
            _ => None,
        };
        self.instances.values().filter_map(late).collect()
    }

    /// A statement for the group arrived.
    pub fn on_statement(&mut self, now: Instant) {
        self.watch.on_statement(now);
    }

    /// A connection to an instance was lost. If it led, its successor is searched for.
    pub fn on_connection_lost(&mut self, instance: &InstanceName, now: Instant) {
        let status = self.instances.get(instance).and_then(|watched| watched.status.as_ref());
        if status.is_some_and(|status| status.role == Role::Primary) {
            self.watch.on_primary_lost(now);
        }
    }

    /// Whether the group's primary is being searched for.
    pub fn is_searching(&self, now: Instant) -> bool {
        self.watch.pace(now) == Pace::Searching
    }

    /// A probe connection was lost. Fronts are told that the instance is out of reach by its owner
    /// alone: others may only be cut off from it themselves.
    pub fn on_probe_lost(&mut self, instance: &InstanceName, owned: bool, io: &mut Io) {
        self.on_connection_lost(instance, io.now);
        let watched = self.watched(instance);
        watched.probe = Probe::Closed { since: Some(io.now) };
        watched.reported = None;
        if let Some(status) = &mut watched.status {
            status.reachable = false;
            let status = status.clone();
            if owned {
                self.publish(status, io);
            }
        }
    }

    /// Since when a majority has been known to follow `term`.
    fn confirmed_at(&self, term: Term, majority: usize) -> Option<Instant> {
        let sightings = self.instances.values().filter_map(|watched| {
            Some(TermReport {
                term: watched.status.as_ref()?.flushed.term,
                asked: watched.reported?,
            })
        });
        confirmed_at(term, sightings, majority)
    }

    /// Whether an instance may be given a write now.
    pub fn may_take_writes(&self, instance: &InstanceName, majority: usize, now: Instant) -> bool {
        let watched = self.instances.get(instance);
        let Some(status) = watched.and_then(|watched| watched.status.as_ref()) else {
            return false;
        };
        let term = status.applied.term;
        let confirmed = self.confirmed_at(term, majority);
        let pace = self.watch.pace(now);
        status.role == Role::Primary
            && may_take_writes(term, self.highest_term, confirmed, pace, now)
    }

    /// Instances that call themselves primary under a term that is over.
    pub fn outdated_primaries(&self) -> Vec<InstanceName> {
        let outdated = |status: &&InstanceStatus| {
            status.role == Role::Primary && status.applied.term < self.highest_term
        };
        let statuses = self.instances.values().filter_map(|watched| watched.status.as_ref());
        statuses.filter(outdated).map(|status| status.instance.clone()).collect()
    }

    /// Takes in what an instance said; `queue_wait` is known where its pool is. Returns whether
    /// it showed a higher term than any before.
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
        let watched = self.watched(instance);
        watched.reported = Some(answer.asked);
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
        watched.status = Some(status.clone());
        let unconfirmed_for = self.unconfirmed_for(&status, majority, io.now);
        self.publish(InstanceStatus { unconfirmed_for, ..status }, io);
        if leads && self.may_take_writes(instance, majority, io.now) {
            self.watch.on_primary_found();
        }
        replaces
    }

    /// How far the instance's data trails, now that it has answered.
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
