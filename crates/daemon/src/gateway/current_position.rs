//! Pending requests from fronts for a group's current position.
//!
//! A request is answered by probes that were sent after it arrived.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Group;
use kestrellock_core::confirmation::{Evidence, ProbeNumber};
use kestrellock_core::current_position::CurrentPosition;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_peer::message::ToFront;

use super::server::ProbeAnswer;
use crate::event::{Io, Outgoing};

/// Time after which a request is dropped. A front that still waits repeats its request well before.
const REQUEST_LIFETIME: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct PendingRequest {
    node: NodeName,
    shard: u16,
    number: u64,
    until: Instant,
    query: CurrentPosition,
}

/// Pending requests for one group's current position.
#[derive(Debug, Default)]
pub struct CurrentPositions {
    pending: Vec<PendingRequest>,
}

impl CurrentPositions {
    /// Adds a request of a front, which only counts probes from `first_probe` on: these are sent
    /// after it arrived. A repeated request keeps its first probe and the answers received so far.
    pub fn add_request(
        &mut self,
        node: NodeName,
        shard: u16,
        number: u64,
        first_probe: ProbeNumber,
        now: Instant,
    ) {
        let until = now + REQUEST_LIFETIME;
        let same = |pending: &&mut PendingRequest| pending.node == node && pending.shard == shard;
        match self.pending.iter_mut().find(same) {
            Some(known) if known.number == number => known.until = until,
            Some(known) => {
                let query = CurrentPosition::new(first_probe);
                *known = PendingRequest { node, shard, number, until, query };
            }
            None => {
                let query = CurrentPosition::new(first_probe);
                self.pending.push(PendingRequest { node, shard, number, until, query });
            }
        }
    }

    /// Whether any request is pending.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The first probe that counts for the newest request.
    pub fn wanted_probe(&self) -> Option<ProbeNumber> {
        self.pending.iter().map(|pending| pending.query.first_probe()).max()
    }

    /// Processes an instance's answer to a probe, and answers the requests that it completes.
    pub fn on_report(
        &mut self,
        name: &GroupName,
        instance: &InstanceName,
        answer: &ProbeAnswer,
        group: &Group,
        io: &mut Io,
    ) {
        let report = answer.report;
        let evidence = Evidence { instance, probe: answer.number, flushed: report.flushed };
        self.pending.retain_mut(|pending| {
            let position = pending.query.on_evidence(evidence, report.role, group.majority());
            let Some(position) = position else { return true };
            let number = pending.number;
            let message = ToFront::CurrentPosition { group: name.clone(), number, position };
            let (node, shard) = (pending.node.clone(), Some(pending.shard));
            io.outbox.push_back(Outgoing::Front { node, shard, message });
            false
        });
    }

    /// Drops requests that are older than [`REQUEST_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        self.pending.retain(|pending| pending.until > now);
    }
}
