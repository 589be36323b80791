//! The front: callers' connections, their sessions and where their statements go.

pub mod baseline;
pub mod counting;
pub mod current_position;
pub mod decisions;
pub mod session;
pub mod target;

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::{AccountName, GroupName, LeaseId, NodeName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::Position;
use kestrellock_peer::message::{Exchange, HeldLease, ToFront};
use kestrellock_protocol::caller::{CallerProtocol, Severity};
use kestrellock_protocol::classes::Classes;
use slab::Slab;

use crate::context::Identity;
use crate::event::{EventSource, Io, token};
use crate::metrics::ConnectionEvent;
use crate::net::connection::{Connection, ReadOutcome};

use self::current_position::{CurrentPositions, QuestionNumber};
use self::session::{Session, SessionEnd};
use self::target::Subscriptions;

/// Time a gateway gets beyond an exchange's deadline before it counts as silent.
pub const GATEWAY_GRACE: Duration = Duration::from_millis(200);

/// Callers that one shard accepts.
pub const MAX_CALLERS: usize = 16 * 1024;
/// Callers of one shard that may be logging in at once.
pub const MAX_HALF_OPEN: usize = 1024;

/// Tells a caller that it is not accepted, as far as its connection takes that at once.
fn turn_away(mut stream: TcpStream, caller: &dyn CallerProtocol, detail: &str) {
    let refusal = Refusal::new(ResultCode::TooManyCallers, detail);
    let mut message = BytesMut::new();
    caller.put_refusal(&refusal, Severity::Session, &mut message);
    // Nothing is lost if it cannot be told: the connection closes either way.
    let _ = stream.write(&message);
}

/// Callers of one shard.
pub struct Front {
    identity: Identity,
    shard: u16,
    sessions: Slab<Session>,
    leases: HashMap<LeaseId, usize>,
    next_serial: u64,
    subscriptions: Subscriptions,
    classes: Classes,
    positions: CurrentPositions,
    /// Revision of the configuration by which the credentials of all sessions were looked at.
    credentials_checked: Revision,
}

impl Front {
    /// A front without callers.
    pub fn new(identity: Identity, shard: u16) -> Self {
        Self {
            identity,
            shard,
            sessions: Slab::new(),
            leases: HashMap::new(),
            next_serial: 0,
            subscriptions: Subscriptions::default(),
            classes: Classes::default(),
            positions: CurrentPositions::default(),
            credentials_checked: Revision::default(),
        }
    }

    /// Number of connected callers.
    pub fn callers(&self) -> usize {
        self.sessions.len()
    }

    /// Takes over a caller's connection.
    pub fn accept(&mut self, stream: TcpStream, io: &mut Io) {
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        if let Some(detail) = self.full() {
            return turn_away(stream, io.context.protocol.caller().as_ref(), detail);
        }
        let entry = self.sessions.vacant_entry();
        let stream = mio::net::TcpStream::from_std(stream);
        let registered = Connection::register(
            stream,
            token(EventSource::Client, entry.key()),
            io.registry,
            false,
        );
        if let Ok(connection) = registered {
            entry.insert(Session::new(connection, io.context.protocol.caller(), io.now));
            io.context.metrics.client_connections.count(ConnectionEvent::Opened);
        }
    }

    /// Why no further caller is accepted, if so.
    fn full(&self) -> Option<&'static str> {
        if self.sessions.len() >= MAX_CALLERS {
            return Some("the node has as many callers as it accepts");
        }
        if self.sessions.len() < MAX_HALF_OPEN {
            return None;
        }
        let half_open = self.sessions.iter().filter(|(_, session)| !session.is_logged_in());
        (half_open.count() >= MAX_HALF_OPEN).then_some("too many callers are logging in")
    }

    /// Handles readiness of a caller's connection.
    pub fn on_ready(&mut self, key: usize, io: &mut Io) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let limit = session.input_limit();
        let outcome = session.connection.fill_up_to(limit);
        session.more_to_read = outcome == ReadOutcome::Full;
        // A caller that only cancels something may close without waiting.
        if !outcome.is_over() || !session.is_logged_in() {
            self.advance(key, io);
        }
        if outcome.is_over() && self.sessions.contains(key) {
            self.close(key, io);
        }
    }

    /// Handles a gateway's message.
    pub fn on_message(&mut self, message: ToFront, io: &mut Io) {
        let (lease, sequence, event) = match message {
            ToFront::Lease { lease, sequence, event } => (lease, sequence, event),
            ToFront::Again { lease, sequence, event } => {
                if !self.has_missed(&lease, sequence) {
                    return;
                }
                (lease, sequence, event)
            }
            ToFront::CurrentPosition { group, number, position } => {
                return self.on_current_position(&group, QuestionNumber(number), position, io);
            }
            ToFront::Statuses { .. } => return,
        };
        // A lease that has ended has no entry: its late answers stop here.
        let Some(&key) = self.leases.get(&lease) else { return };
        let Some(session) = self.sessions.get_mut(key) else { return };
        session.on_lease_event(sequence, event, io);
        self.advance(key, io);
    }

    /// Whether the message of a lease with this number has not been received.
    fn has_missed(&self, lease: &LeaseId, sequence: u32) -> bool {
        let session = self.leases.get(lease).and_then(|key| self.sessions.get(*key));
        session.is_some_and(|session| session.has_missed(sequence))
    }

    /// Cancels what the session with this key runs, if it is one of this shard's.
    pub fn on_cancel(&mut self, key: CancelKey, io: &mut Io) {
        self.sessions.iter().for_each(|(_, session)| session.cancel(key, io));
    }

    fn on_current_position(
        &mut self,
        group: &GroupName,
        number: QuestionNumber,
        position: Position,
        io: &mut Io,
    ) {
        if !self.positions.on_answer(group, number, io) {
            return;
        }
        let awaits = |(_, session): &(usize, &mut Session)| session.awaits(group, number);
        let sessions = self.sessions.iter_mut().filter(awaits);
        let informed: Vec<usize> = sessions
            .map(|(key, session)| {
                session.on_current_position(position);
                key
            })
            .collect();
        for key in informed {
            self.advance(key, io);
        }
    }

    /// An exchange could not be handed to the node that owns its instance.
    pub fn on_unsent(&mut self, exchange: &Exchange, io: &mut Io) {
        let Some(&key) = self.leases.get(&exchange.lease) else { return };
        let Some(session) = self.sessions.get_mut(key) else { return };
        session.on_unsent(io);
        self.advance(key, io);
    }

    /// The connection to `node` closed: whatever its gateways had under way will not be answered.
    pub fn on_peer_lost(&mut self, node: &NodeName, io: &mut Io) {
        for key in self.waiting_for(node) {
            self.sessions[key].on_gateway_lost(io);
            self.advance(key, io);
        }
    }

    /// `node` is silent: what may run twice goes elsewhere, the rest waits for its answer.
    pub fn on_peer_silent(&mut self, node: &NodeName, io: &mut Io) {
        for key in self.waiting_for(node) {
            if self.sessions[key].may_run_twice() {
                self.sessions[key].on_silent_gateway(io);
                self.advance(key, io);
            }
        }
    }

    /// `node` has ended without running what it has not answered.
    pub fn on_goodbye(&mut self, node: &NodeName, io: &mut Io) {
        io.context.routing_overrides.avoid(node, io.now);
        for key in self.waiting_for(node) {
            self.sessions[key].on_unsent(io);
            self.advance(key, io);
        }
    }

    /// The leases that sessions have at gateways of `node`.
    pub fn held_leases(&self, node: &NodeName, now: Instant) -> Vec<HeldLease> {
        let held = |(_, session): (usize, &Session)| session.held_lease(node, now);
        self.sessions.iter().filter_map(held).collect()
    }

    /// Sessions with an exchange under way at a gateway of `node`.
    fn waiting_for(&self, node: &NodeName) -> Vec<usize> {
        let waiting = self.sessions.iter().filter(|(_, session)| session.waits_for(node));
        waiting.map(|(key, _)| key).collect()
    }

    /// Retries statements that wait for an instance, and ends those whose time is up.
    pub fn on_tick(&mut self, io: &mut Io) {
        self.check_credentials(io);
        let leaving = io.context.is_leaving();
        if leaving {
            self.take_in_late_input();
        }
        let due: Vec<usize> = self
            .sessions
            .iter()
            .filter(|(_, session)| leaving || session.needs_tick(io.now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.advance(key, io);
        }
        self.subscriptions.renew(io);
        self.positions.on_tick(io);
    }

    /// Lets operations of accounts go on that waited for tokens.
    pub fn on_quotas(&mut self, accounts: &[AccountName], io: &mut Io) {
        let waits = |(_, session): &(usize, &Session)| session.waits_for_token(accounts);
        let waiting: Vec<usize> = self.sessions.iter().filter(waits).map(|(key, _)| key).collect();
        for key in waiting {
            if self.sessions.contains(key) {
                self.advance(key, io);
            }
        }
    }

    /// Looks at all sessions' credentials once the configuration has changed.
    fn check_credentials(&mut self, io: &Io) {
        let revision = io.context.catalog.load().revision;
        if revision != self.credentials_checked {
            self.credentials_checked = revision;
            self.sessions.iter_mut().for_each(|(_, session)| session.check_credential(io));
        }
    }

    /// Whether a session waits for time to pass: it holds a request, logs in or parts.
    pub fn is_waiting(&self) -> bool {
        self.sessions.iter().any(|(_, session)| session.waits_for_time())
    }

    /// Reads what has arrived since the last event, so that a caller is not sent away after its
    /// statement has reached this node. A connection that turns out closed shows as readable.
    fn take_in_late_input(&mut self) {
        for (_, session) in &mut self.sessions {
            let _ = session.connection.fill();
        }
    }

    /// Lets a session do whatever its input and its lease allow now.
    fn advance(&mut self, key: usize, io: &mut Io) {
        let session = &mut self.sessions[key];
        let serial = self.next_serial;
        let new_lease = || LeaseId {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            shard: self.shard,
            serial,
        };
        let end = session.advance(
            new_lease,
            &mut self.subscriptions,
            &mut self.positions,
            &mut self.classes,
            io,
        );
        self.next_serial += 1;
        for ended in session.ended_leases.drain(..) {
            self.leases.remove(&ended);
        }
        if let Some(lease) = session.lease_id() {
            self.leases.entry(lease.clone()).or_insert(key);
        }
        if end == SessionEnd::Close {
            return self.close(key, io);
        }
        // Reading stopped at the limit, and there is room again.
        let session = &self.sessions[key];
        if session.more_to_read && session.connection.input.len() < session.input_limit() {
            self.on_ready(key, io);
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
