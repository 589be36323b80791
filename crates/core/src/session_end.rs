//! How a node ends a client's session so that every request gets an answer or a refusal.
//!
//! A client may send a request at any time before it learns that its session ends, so the node must
//! expect one until the client has closed the connection. The node therefore sends a notice, keeps
//! reading, and counts what it can no longer answer. In which way the notice refuses a request that
//! crosses it depends on the protocol.

use std::time::{Duration, Instant};

/// Time for a client to close its connection after a message that ends the session.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between a notice that ends the session and the end of the stream: some client libraries
/// that read both at once report only the end of the stream.
const END_OF_STREAM_DELAY: Duration = Duration::from_millis(50);
/// Time for a client to close its connection, or for a request that crosses the notice to arrive,
/// where the node can still refuse such a request. Longer than a round trip over a full link.
const CROSSING_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between the end of the stream and the close, after which a client that ignores both is
/// disconnected.
const LINGER: Duration = Duration::from_millis(100);
/// Longest wait for a client that reads nothing of its answers.
const OUTPUT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the first notice in which every crossing request is followed by a new notice. It
/// limits how long a client that ignores the notices can keep the session open.
const CROSSING_LIMIT: Duration = Duration::from_secs(10);
/// Input that the node reads and discards after a message that ends the session. A client that
/// sends more is disconnected, even if the message is lost.
const MAX_DISCARDED_BYTES: usize = 2 * 1024 * 1024;

/// What the message that announces the end of a session means to a client that has just sent a
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectNotice {
    /// It is the answer to the request and ends the session.
    IsAnswer,
    /// It is the first part of the answer, which the message that ends every answer completes. A
    /// client without a request in progress closes its connection.
    BeginsAnswer,
}

/// What the node does with a request that arrives after the notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrossingRequest {
    /// The notice has refused it; nothing is sent.
    Refused,
    /// The notice is completed to a refusal of the request, and a new notice follows.
    RefusedByNotice,
    /// The notice is completed to a refusal of the request. The stream ends behind it.
    RefusedLast,
    /// It gets no answer: the node has ended its stream.
    Unanswered,
}

/// How a session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndKind {
    /// The node asked the client to close, which the client does not expect.
    Notice(DisconnectNotice),
    /// The last message answers what the client sent; nothing is left to be done for it.
    LastAnswer,
}

/// The next step of an ending session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndStep {
    /// Nothing is due.
    Wait,
    /// The node ends its stream, and waits for the client to close.
    EndStream,
    /// The node closes the connection.
    Close,
}

/// A session that its node ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionEnd {
    kind: EndKind,
    began: Instant,
    /// When the kernel last took output.
    last_progress: Instant,
    /// When the last notice, and all that precedes it, had been taken by the kernel.
    sent: Option<Instant>,
    has_ended_stream: bool,
    /// The last request that the node answers has been refused.
    has_refused_last: bool,
    discarded_bytes: usize,
}

impl SessionEnd {
    /// A session whose notice was written at `now`.
    pub fn new(notice: DisconnectNotice, now: Instant) -> Self {
        Self::of_kind(EndKind::Notice(notice), now)
    }

    /// A session whose last answer was written at `now`. What the client sends afterwards is
    /// discarded.
    pub fn after_last_answer(now: Instant) -> Self {
        Self::of_kind(EndKind::LastAnswer, now)
    }

    fn of_kind(kind: EndKind, now: Instant) -> Self {
        Self {
            kind,
            began: now,
            last_progress: now,
            sent: None,
            has_ended_stream: false,
            has_refused_last: false,
            discarded_bytes: 0,
        }
    }

    /// Whether the messages so far have refused everything that the client still sends.
    pub fn discards_input(&self) -> bool {
        self.kind != EndKind::Notice(DisconnectNotice::BeginsAnswer)
    }

    /// Input has been discarded. Returns whether the node goes on reading.
    pub fn on_discarded(&mut self, bytes: usize) -> bool {
        self.discarded_bytes += bytes;
        self.discarded_bytes <= MAX_DISCARDED_BYTES
    }

    /// The kernel has taken output at `now`.
    pub fn on_output_taken(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// A whole request has arrived.
    pub fn on_request(&mut self, now: Instant) -> CrossingRequest {
        match self.kind {
            EndKind::LastAnswer | EndKind::Notice(DisconnectNotice::IsAnswer) => {
                CrossingRequest::Refused
            }
            EndKind::Notice(DisconnectNotice::BeginsAnswer)
                if self.has_ended_stream || self.has_refused_last =>
            {
                CrossingRequest::Unanswered
            }
            EndKind::Notice(DisconnectNotice::BeginsAnswer) => {
                self.sent = None;
                self.has_refused_last = now >= self.began + CROSSING_LIMIT;
                match self.has_refused_last {
                    true => CrossingRequest::RefusedLast,
                    false => CrossingRequest::RefusedByNotice,
                }
            }
        }
    }

    /// The next step at `now`. `is_flushed`: the kernel has taken all output.
    ///
    /// The stream ends before the connection is closed: closing a socket with unread input makes
    /// TCP send a reset, which can destroy a message on its way.
    pub fn step(&mut self, is_flushed: bool, now: Instant) -> EndStep {
        if !is_flushed {
            return match now < self.last_progress + OUTPUT_TIMEOUT {
                true => EndStep::Wait,
                false => EndStep::Close,
            };
        }
        let sent = *self.sent.get_or_insert(now);
        let (end_of_stream, close) = match self.kind {
            EndKind::LastAnswer => (Duration::ZERO, CLOSE_TIMEOUT),
            EndKind::Notice(_) if self.has_refused_last => (Duration::ZERO, CLOSE_TIMEOUT),
            EndKind::Notice(DisconnectNotice::IsAnswer) => (END_OF_STREAM_DELAY, CLOSE_TIMEOUT),
            EndKind::Notice(DisconnectNotice::BeginsAnswer) => {
                (CROSSING_TIMEOUT, CROSSING_TIMEOUT + LINGER)
            }
        };
        if now >= sent + close {
            return EndStep::Close;
        }
        if now >= sent + end_of_stream && !self.has_ended_stream {
            self.has_ended_stream = true;
            return EndStep::EndStream;
        }
        EndStep::Wait
    }
}
