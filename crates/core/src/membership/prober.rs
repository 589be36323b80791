//! Chooses the members to probe and tracks the probes in progress.

use std::collections::BTreeMap;
use std::time::Duration;

use super::random::{RandomSource, below, shuffle};
use super::table::Table;
use super::timing::Timing;
use crate::ids::NodeName;

/// Most probes in progress at once.
const MAX_PROBES: usize = 4;
/// Most pings on behalf of other members that wait for an ack.
const MAX_RELAYS: usize = 64;

/// A probe in progress.
#[derive(Clone, Debug)]
struct Probe {
    node: NodeName,
    number: u32,
    indirect_at: Duration,
    deadline: Duration,
    indirect_requested: bool,
}

/// A ping sent on behalf of another member.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Member that requested the ping.
    pub requester: NodeName,
    /// Number of the ack that the requester expects.
    pub number: u32,
    expires: Duration,
}

/// An action requested by the prober.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Ping this member with this number.
    Ping(NodeName, u32),
    /// Ask other members to ping this member.
    ProbeIndirectly(NodeName, u32),
    /// This member answered neither the direct nor the indirect probe.
    Failed(NodeName),
}

/// Probes every live member in turn, in an order that is reshuffled for each round.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    round: Vec<NodeName>,
    urgent: Vec<NodeName>,
    probes: Vec<Probe>,
    next_probe: Duration,
    next_number: u32,
    relays: BTreeMap<u32, Relay>,
}

impl Prober {
    /// Creates a prober whose first probe is at a random time within the first interval.
    pub fn new(now: Duration, timing: &Timing, random: &mut dyn RandomSource) -> Self {
        let interval = timing.probe_interval.as_micros() as usize;
        let offset = Duration::from_micros(below(random, interval) as u64);
        Self { next_probe: now + offset, ..Self::default() }
    }

    /// The next ping number; numbers repeat only after 2^32 pings.
    pub fn number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Schedules a probe of `node` before all others, because it may have failed.
    pub fn hint(&mut self, node: &NodeName) {
        if !self.urgent.contains(node) {
            self.urgent.push(node.clone());
        }
    }

    /// Drops all probes and relays in progress. This process was suspended, so missing acks do not
    /// show that a member failed.
    pub fn on_resume(&mut self, now: Duration) {
        self.probes.clear();
        self.next_probe = now;
        self.relays.clear();
    }

    /// The actions due now.
    pub fn step(
        &mut self,
        now: Duration,
        timing: &Timing,
        table: &Table,
        random: &mut dyn RandomSource,
    ) -> Vec<ProbeStep> {
        self.relays.retain(|_, relay| relay.expires > now);
        let mut steps = Vec::new();
        self.advance_probes(now, &mut steps);
        if now >= self.next_probe {
            self.next_probe = now + timing.probe_interval;
            let next = self.next_in_round(table, random);
            steps.extend(next.and_then(|node| self.start_probe(node, now, timing)));
        }
        while let Some(node) = self.urgent.pop() {
            if table.is_live(&node) {
                steps.extend(self.start_probe(node, now, timing));
            }
        }
        steps
    }

    fn advance_probes(&mut self, now: Duration, steps: &mut Vec<ProbeStep>) {
        self.probes.retain_mut(|probe| {
            let expired = now >= probe.deadline;
            if expired {
                steps.push(ProbeStep::Failed(probe.node.clone()));
            } else if now >= probe.indirect_at && !probe.indirect_requested {
                probe.indirect_requested = true;
                steps.push(ProbeStep::ProbeIndirectly(probe.node.clone(), probe.number));
            }
            !expired
        });
    }

    fn start_probe(&mut self, node: NodeName, now: Duration, timing: &Timing) -> Option<ProbeStep> {
        let is_probed = self.probes.iter().any(|probe| probe.node == node);
        if is_probed || self.probes.len() >= MAX_PROBES {
            return None;
        }
        let number = self.number();
        self.probes.push(Probe {
            node: node.clone(),
            number,
            indirect_at: now + timing.probe_timeout,
            deadline: now + timing.probe_interval,
            indirect_requested: false,
        });
        Some(ProbeStep::Ping(node, number))
    }

    fn next_in_round(&mut self, table: &Table, random: &mut dyn RandomSource) -> Option<NodeName> {
        if self.round.is_empty() {
            self.round = table.live().to_vec();
            shuffle(&mut self.round, random);
        }
        while let Some(node) = self.round.pop() {
            if table.is_live(&node) {
                return Some(node);
            }
        }
        None
    }

    /// Registers a ping on behalf of `requester` and returns its number; `None` when too many are
    /// in progress.
    pub fn relay(
        &mut self,
        requester: NodeName,
        number: u32,
        now: Duration,
        timing: &Timing,
    ) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let own_number = self.number();
        let expires = now + timing.probe_interval;
        self.relays.insert(own_number, Relay { requester, number, expires });
        Some(own_number)
    }

    /// Handles an ack; returns the relay to which it belongs if it is for another member.
    pub fn on_ack(&mut self, number: u32) -> Option<Relay> {
        let count = self.probes.len();
        self.probes.retain(|probe| probe.number != number);
        if self.probes.len() < count {
            return None;
        }
        self.relays.remove(&number)
    }
}
