//! Queries gateways for the current positions of groups, with one query in progress per group.
//!
//! A session that connects while a query is in progress cannot use its answer, which may be older
//! than the session. It waits for the next query, which it shares with all other sessions that
//! connected in the meantime.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::routing::Role;
use kestrellock_peer::message::{GatewayCall, ToGateway};

use crate::event::{Io, Outgoing};

/// Time after which an unanswered query is sent again, to another gateway.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of a query within its group and shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryNumber(pub u64);

/// The latest query for the position of one group.
#[derive(Debug)]
struct GroupQuery {
    number: QueryNumber,
    sent_at: Instant,
    attempts: usize,
    is_pending: bool,
    /// Highest query number that a session waits for.
    latest_needed: QueryNumber,
}

/// Position queries of one front.
#[derive(Debug, Default)]
pub struct PositionQueries {
    groups: HashMap<GroupName, GroupQuery>,
}

impl PositionQueries {
    /// Requests a group's position as of now. Returns the number of the query whose answer will be
    /// recent enough.
    pub fn request(&mut self, group: &GroupName, io: &mut Io) -> QueryNumber {
        let query = self.groups.entry(group.clone()).or_insert_with(|| GroupQuery {
            number: QueryNumber::default(),
            sent_at: io.now,
            attempts: 0,
            is_pending: false,
            latest_needed: QueryNumber::default(),
        });
        query.latest_needed = QueryNumber(query.number.0 + 1);
        if !query.is_pending {
            start_query(group, query, io);
        }
        query.latest_needed
    }

    /// Handles the answer to a query. Returns false if the answer is outdated.
    pub fn on_answer(&mut self, group: &GroupName, number: QueryNumber, io: &mut Io) -> bool {
        let Some(query) = self.groups.get_mut(group) else { return false };
        if !query.is_pending || query.number != number {
            return false;
        }
        query.is_pending = false;
        if query.latest_needed > query.number {
            start_query(group, query, io);
        }
        true
    }

    /// Sends unanswered queries again.
    pub fn on_tick(&mut self, io: &mut Io) {
        for (group, query) in &mut self.groups {
            if query.is_pending && io.now.duration_since(query.sent_at) >= RETRY_INTERVAL {
                query.sent_at = io.now;
                query.attempts += 1;
                send_query(group, query, io);
            }
        }
    }
}

fn start_query(group: &GroupName, query: &mut GroupQuery, io: &mut Io) {
    query.number = query.latest_needed;
    query.sent_at = io.now;
    query.attempts = 0;
    query.is_pending = true;
    send_query(group, query, io);
}

fn send_query(group: &GroupName, query: &GroupQuery, io: &mut Io) {
    let Some(node) = gateway_for(group, query.attempts, io) else { return };
    let message = ToGateway {
        from: io.context.identity.node.clone(),
        group: group.clone(),
        call: GatewayCall::CurrentPosition { shard: io.shard, number: query.number.0 },
    };
    io.outbox.push_back(Outgoing::Gateway { node, message });
}

/// The gateway of the primary for the first attempt, then the other instances' gateways in turn.
fn gateway_for(group: &GroupName, attempts: usize, io: &Io) -> Option<NodeName> {
    let catalog = io.context.catalog.load();
    let instances = &catalog.groups.get(group)?.instances;
    let group_statuses = io.context.statuses.group(group);
    let statuses = group_statuses.read().expect("a thread panicked while it held the status lock");
    let primary = instances.iter().position(|instance| {
        let status = statuses.instances.get(&instance.name);
        status.is_some_and(|entry| entry.status.reachable && entry.status.role == Role::Primary)
    });
    let index = (primary.unwrap_or_default() + attempts) % instances.len();
    io.context.gateway_of(&instances[index].name, io.now)
}
