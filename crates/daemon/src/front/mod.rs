//! The front: client connections, their sessions and the routing of their statements.
//!
//! Each shard has one front. It accepts clients up to a limit, routes each event to the session
//! that it concerns, and removes sessions that have closed. When a link to another node breaks,
//! goes silent or ends with a leave message, the front ends or retries the exchanges that waited
//! for that node.

pub mod baseline;
pub mod counting;
pub mod current_position;
pub mod decision_log;
mod panics;
pub mod session;
pub mod target;

use std::collections::HashMap;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::{AccountName, GroupName, LeaseId, NodeName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::Position;
use kestrellock_peer::message::{Exchange, HeldLease, ToFront};
use kestrellock_protocol::facts_cache::FactsCache;
use slab::Slab;

use crate::context::{Identity, NodeContext};
use crate::event::{EventSource, Io, token};
use crate::metrics::ConnectionEvent;
use crate::net::connection::{Connection, ReadOutcome};

use self::current_position::{PositionQueries, QueryNumber};
use self::session::{Session, SessionFlow};
use self::target::Subscriptions;

/// Time after an exchange's deadline at which a gateway that has not answered counts as silent.
pub const GATEWAY_GRACE: Duration = Duration::from_millis(200);

/// Maximum number of clients per shard.
pub const MAX_CLIENTS: usize = 16 * 1024;
/// Maximum number of clients per shard that have not finished their login.
pub const MAX_PENDING_LOGINS: usize = 1024;
/// Maximum number of clients per shard beyond [`MAX_CLIENTS`] that are being refused. Further ones
/// are disconnected without a refusal.
const MAX_REJECTED_CLIENTS: usize = 1024;

/// The client-facing part of a node, for one shard: its client connections and their sessions.
pub struct Front {
    identity: Identity,
    shard: u16,
    sessions: Slab<Session>,
    leases: HashMap<LeaseId, usize>,
    next_serial: u64,
    subscriptions: Subscriptions,
    classes: FactsCache,
    position_queries: PositionQueries,
    /// Revision of the configuration that the credentials of all sessions were last checked
    /// against.
    credentials_checked_revision: Revision,
    /// The session that is being advanced. After a panic of the thread, the one that caused it.
    advancing: Option<usize>,
    /// Restarts of the node's threads at the last tick.
    seen_restarts: u64,
}

impl Front {
    /// Creates a front without clients.
    pub fn new(identity: Identity, shard: u16) -> Self {
        Self {
            identity,
            shard,
            sessions: Slab::new(),
            leases: HashMap::new(),
            next_serial: 0,
            subscriptions: Subscriptions::default(),
            classes: FactsCache::default(),
            position_queries: PositionQueries::default(),
            credentials_checked_revision: Revision::default(),
            advancing: None,
            seen_restarts: 0,
        }
    }

    /// Number of connected clients.
    pub fn clients(&self) -> usize {
        self.sessions.len()
    }

    /// Accepts a client connection, or refuses it if the shard is full.
    pub fn accept(&mut self, stream: TcpStream, io: &mut Io) {
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        if self.sessions.len() >= MAX_CLIENTS + MAX_REJECTED_CLIENTS {
            io.context.metrics.client_connections.count(ConnectionEvent::Refused);
            return;
        }
        let rejection = self.rejection_reason();
        let entry = self.sessions.vacant_entry();
        let stream = mio::net::TcpStream::from_std(stream);
        let registered = Connection::register(
            stream,
            token(EventSource::Client, entry.key()),
            io.registry,
            false,
        );
        let Ok(connection) = registered else { return };
        let key = entry.key();
        let protocol = io.context.protocol.client();
        entry.insert(Session::new(connection, protocol, rand::random(), io.now));
        io.context.metrics.client_connections.count(ConnectionEvent::Opened);
        if let Some(detail) = rejection {
            self.reject(key, detail, io);
        }
    }

    /// Refuses a client that has just connected.
    fn reject(&mut self, key: usize, detail: &str, io: &mut Io) {
        let refusal = Refusal::new(ResultCode::TooManyCallers, detail);
        if let SessionFlow::Close(_) = self.sessions[key].refuse_login(refusal, io) {
            self.close(key, io);
        }
    }

    /// The reason why no further client is accepted, if any.
    fn rejection_reason(&self) -> Option<&'static str> {
        if self.sessions.len() >= MAX_CLIENTS {
            return Some("the node has as many callers as it accepts");
        }
        if self.sessions.len() < MAX_PENDING_LOGINS {
            return None;
        }
        let pending_logins = self.sessions.iter().filter(|(_, session)| session.is_pending_login());
        (pending_logins.count() >= MAX_PENDING_LOGINS).then_some("too many callers are logging in")
    }

    /// Whether a client waits for an answer, or for the rest of one.
    pub fn has_unanswered(&self) -> bool {
        self.sessions.iter().any(|(_, session)| session.is_unfinished())
    }

    /// Counts and logs the requests that are still unanswered when the process ends.
    pub fn report_unanswered(&self, context: &NodeContext, now: Instant) {
        for (_, session) in &self.sessions {
            session.report_unfinished(context, now);
        }
    }

    /// Handles readiness of a client connection.
    pub fn on_ready(&mut self, key: usize, io: &mut Io) {
        self.read_and_advance(key, io);
        while self.can_read_more(key) {
            self.read_and_advance(key, io);
        }
    }

    fn read_and_advance(&mut self, key: usize, io: &mut Io) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let limit = session.input_limit();
        let outcome = session.connection.fill_up_to(limit);
        session.more_to_read = outcome == ReadOutcome::Full;
        // A client may send a cancel request and close without waiting, so process its input.
        if !outcome.is_closed() || !session.is_logged_in() {
            self.advance_once(key, io);
        }
        // The end of the client's stream counts as its departure: the node cannot tell a client
        // that still reads from one that has gone, and a request that its client has abandoned must
        // not run.
        if outcome.is_closed() && self.sessions.contains(key) {
            self.close(key, io);
        }
    }

    /// Whether reading had stopped at the limit and there is room again; no event announces that.
    fn can_read_more(&self, key: usize) -> bool {
        self.sessions.get(key).is_some_and(|session| {
            session.more_to_read && session.connection.input.len() < session.input_limit()
        })
    }

    /// Handles a gateway's message.
    pub fn on_message(&mut self, message: ToFront, io: &mut Io) {
        let (lease, sequence, event) = match message {
            ToFront::Lease { lease, sequence, event } => (lease, sequence, event),
            ToFront::Resent { lease, sequence, event } => {
                if !self.has_missed(&lease, sequence) {
                    return;
                }
                (lease, sequence, event)
            }
            ToFront::CurrentPosition { group, number, position } => {
                return self.on_current_position(&group, QueryNumber(number), position, io);
            }
            ToFront::Statuses { .. } => return,
        };
        // A lease that has ended has no entry: late answers are dropped.
        let Some(&key) = self.leases.get(&lease) else { return };
        let Some(session) = self.sessions.get_mut(key) else { return };
        session.on_lease_event(sequence, event, io);
        self.advance(key, io);
    }

    /// Whether the event of a lease with this number has not been received.
    fn has_missed(&self, lease: &LeaseId, sequence: u32) -> bool {
        let session = self.leases.get(lease).and_then(|key| self.sessions.get(*key));
        session.is_some_and(|session| session.has_missed(sequence))
    }

    /// Cancels the running request of the session with this key, if it belongs to this shard.
    pub fn on_cancel(&mut self, key: CancelKey, io: &mut Io) {
        self.sessions.iter().for_each(|(_, session)| session.cancel(key, io));
    }

    fn on_current_position(
        &mut self,
        group: &GroupName,
        number: QueryNumber,
        position: Position,
        io: &mut Io,
    ) {
        if !self.position_queries.on_answer(group, number, io) {
            return;
        }
        let awaits = |(_, session): &(usize, &mut Session)| session.awaits_position(group, number);
        let sessions = self.sessions.iter_mut().filter(awaits);
        let answered: Vec<usize> = sessions
            .map(|(key, session)| {
                session.on_current_position(position, io);
                key
            })
            .collect();
        for key in answered {
            self.advance(key, io);
        }
    }

    /// An exchange could not be sent to the node of its gateway.
    pub fn on_undelivered(&mut self, exchange: &Exchange, io: &mut Io) {
        let Some(&key) = self.leases.get(&exchange.lease) else { return };
        let Some(session) = self.sessions.get_mut(key) else { return };
        session.on_undelivered(io);
        self.advance(key, io);
    }

    /// The link to `node` closed: exchanges in progress at its gateways will not be answered.
    pub fn on_peer_lost(&mut self, node: &NodeName, io: &mut Io) {
        for key in self.waiting_for(node) {
            self.sessions[key].on_gateway_lost(io);
            self.advance(key, io);
        }
    }

    /// `node` does not respond: exchanges that may run twice are retried elsewhere, the others wait
    /// for their answers.
    pub fn on_peer_silent(&mut self, node: &NodeName, io: &mut Io) {
        for key in self.waiting_for(node) {
            if self.sessions[key].is_safe_to_retry() {
                self.sessions[key].on_silent_gateway(io);
                self.advance(key, io);
            }
        }
    }

    /// `node` has left the cluster without running the exchanges that it has not answered.
    pub fn on_peer_left(&mut self, node: &NodeName, io: &mut Io) {
        io.context.routing_overrides.avoid(node, io.now);
        for key in self.waiting_for(node) {
            self.sessions[key].on_undelivered(io);
            self.advance(key, io);
        }
    }

    /// The leases that sessions have at gateways of `node`.
    pub fn held_leases(&self, node: &NodeName, now: Instant) -> Vec<HeldLease> {
        let held = |(_, session): (usize, &Session)| session.held_lease(node, now);
        self.sessions.iter().filter_map(held).collect()
    }

    /// Sessions with an exchange in progress at a gateway of `node`.
    fn waiting_for(&self, node: &NodeName) -> Vec<usize> {
        let waiting = self.sessions.iter().filter(|(_, session)| session.waits_for(node));
        waiting.map(|(key, _)| key).collect()
    }

    /// Retries statements that wait for an instance and ends those whose deadline has passed.
    pub fn on_tick(&mut self, io: &mut Io) {
        self.recover_from_panics(io);
        self.check_credentials(io);
        let closes_sessions = io.context.closes_sessions(io.now);
        if closes_sessions {
            self.read_pending_input();
        }
        let due: Vec<usize> = self
            .sessions
            .iter()
            .filter(|(_, session)| closes_sessions || session.needs_tick(io.now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.advance(key, io);
        }
        self.subscriptions.renew(io);
        self.position_queries.on_tick(io);
    }

    /// Resumes operations of these accounts that wait for tokens.
    pub fn on_quota_answers(&mut self, accounts: &[AccountName], io: &mut Io) {
        let waits = |(_, session): &(usize, &Session)| session.waits_for_token(accounts);
        let waiting: Vec<usize> = self.sessions.iter().filter(waits).map(|(key, _)| key).collect();
        for key in waiting {
            if self.sessions.contains(key) {
                self.advance(key, io);
            }
        }
    }

    /// Checks the credentials of all sessions after a configuration change.
    fn check_credentials(&mut self, io: &Io) {
        let revision = io.context.catalog.load().revision;
        if revision != self.credentials_checked_revision {
            self.credentials_checked_revision = revision;
            self.sessions.iter_mut().for_each(|(_, session)| session.check_credential(io));
        }
    }

    /// Whether any session soon acts on the passage of time: it holds a request, is logging in or
    /// is closing.
    pub fn is_waiting(&self) -> bool {
        self.sessions.iter().any(|(_, session)| session.needs_frequent_ticks())
    }

    /// Reads input that has arrived since the last event, so that a planned stop or an isolation
    /// does not close a session whose next statement has already reached this node. A closed
    /// connection is handled at its next readiness event.
    fn read_pending_input(&mut self) {
        for (_, session) in &mut self.sessions {
            let _ = session.connection.fill();
        }
    }

    /// Lets a session perform every step that its input and its lease allow.
    fn advance(&mut self, key: usize, io: &mut Io) {
        self.advance_once(key, io);
        if self.can_read_more(key) {
            self.on_ready(key, io);
        }
    }

    fn advance_once(&mut self, key: usize, io: &mut Io) {
        self.close_panicked(io);
        let Some(session) = self.sessions.get_mut(key) else { return };
        self.advancing = Some(key);
        let serial = self.next_serial;
        let new_lease = || LeaseId {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            shard: self.shard,
            serial,
        };
        let flow = session.advance(
            new_lease,
            &mut self.subscriptions,
            &mut self.position_queries,
            &mut self.classes,
            io,
        );
        self.advancing = None;
        self.next_serial += 1;
        for ended in session.ended_leases.drain(..) {
            self.leases.remove(&ended);
        }
        if let Some(lease) = session.lease_id() {
            self.leases.entry(lease.clone()).or_insert(key);
        }
        if let SessionFlow::Close(reason) = flow {
            session.count_if_unanswered(reason, io);
            self.close(key, io);
        }
    }

    fn close(&mut self, key: usize, io: &mut Io) {
        let mut session = self.sessions.remove(key);
        io.context.metrics.client_connections.count(ConnectionEvent::Closed);
        session.abandon(io);
        for ended in session.ended_leases.drain(..) {
            self.leases.remove(&ended);
        }
        session.connection.deregister(io.registry);
    }
}
