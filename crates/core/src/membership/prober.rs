//! Whom to probe next, and what became of the probes under way.

use std::collections::BTreeMap;
use std::time::Duration;

use super::random::{RandomSource, below, shuffle};
use super::table::Table;
use super::timing::Timing;
use crate::ids::NodeName;

/// Most probes under way at once.
const MAX_PROBES: usize = 4;
/// Most pings on behalf of others that wait for an answer.
const MAX_RELAYS: usize = 64;

/// A probe under way.
#[derive(Clone, Debug)]
struct Probe {
    node: NodeName,
    number: u32,
    indirect_at: Duration,
    ends: Duration,
    indirect_requested: bool,
}

/// A ping made on behalf of another member.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Who asked.
    pub requester: NodeName,
    /// The requester's number.
    pub number: u32,
    expires: Duration,
}

/// What the prober wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Ping this member with this number.
    Ping(NodeName, u32),
    /// Ask others to ping it.
    ProbeIndirectly(NodeName, u32),
    /// It did not answer at all.
    Failed(NodeName),
}

/// Probes every live member in turn, in an order shuffled anew each round.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    round: Vec<NodeName>,
    urgent: Vec<NodeName>,
    current: Vec<Probe>,
    next_probe: Duration,
    next_number: u32,
    relays: BTreeMap<u32, Relay>,
}

impl Prober {
    /// Probes begin at a random time within the first interval.
    pub fn new(now: Duration, timing: &Timing, random: &mut dyn RandomSource) -> Self {
        let interval = timing.probe_interval.as_micros() as usize;
        let offset = Duration::from_micros(below(random, interval) as u64);
        Self { next_probe: now + offset, ..Self::default() }
    }

    /// A number not used lately.
    pub fn number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Probes `node` before any other: something hints that it is gone.
    pub fn hint(&mut self, node: &NodeName) {
        if !self.urgent.contains(node) {
            self.urgent.push(node.clone());
        }
    }

    /// Drops what was under way: this process did not run, so silence proves nothing.
    pub fn on_resume(&mut self, now: Duration) {
        self.current.clear();
        self.next_probe = now;
        self.relays.clear();
    }

    /// The steps due now.
    pub fn step(
        &mut self,
        now: Duration,
        timing: &Timing,
        table: &Table,
        random: &mut dyn RandomSource,
    ) -> Vec<ProbeStep> {
        self.relays.retain(|_, relay| relay.expires > now);
        let mut steps = Vec::new();
        self.follow_up(now, &mut steps);
        if now >= self.next_probe {
            self.next_probe = now + timing.probe_interval;
            let next = self.next_in_round(table, random);
            steps.extend(next.and_then(|node| self.begin(node, now, timing)));
        }
        while let Some(node) = self.urgent.pop() {
            if table.is_live(&node) {
                steps.extend(self.begin(node, now, timing));
            }
        }
        steps
    }

    fn follow_up(&mut self, now: Duration, steps: &mut Vec<ProbeStep>) {
        self.current.retain_mut(|probe| {
            let ended = now >= probe.ends;
            if ended {
                steps.push(ProbeStep::Failed(probe.node.clone()));
            } else if now >= probe.indirect_at && !probe.indirect_requested {
                probe.indirect_requested = true;
                steps.push(ProbeStep::ProbeIndirectly(probe.node.clone(), probe.number));
            }
            !ended
        });
    }

    fn begin(&mut self, node: NodeName, now: Duration, timing: &Timing) -> Option<ProbeStep> {
        let under_way = self.current.iter().any(|probe| probe.node == node);
        if under_way || self.current.len() >= MAX_PROBES {
            return None;
        }
        let number = self.number();
        self.current.push(Probe {
            node: node.clone(),
            number,
            indirect_at: now + timing.probe_timeout,
            ends: now + timing.probe_interval,
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

    /// Notes a ping on behalf of `requester`; `None` when too many are under way.
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

    /// Takes in an answer; returns the relay it belongs to, if it is for another member.
    pub fn on_ack(&mut self, number: u32) -> Option<Relay> {
        let under_way = self.current.len();
        self.current.retain(|probe| probe.number != number);
        if self.current.len() < under_way {
            return None;
        }
        self.relays.remove(&number)
    }
}
