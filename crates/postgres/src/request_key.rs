//! At most once: a caller's request key, recorded in the transaction that it protects.
//!
//! The key is a row with a unique key in the tenant's own database. Whichever commits first under
//! a key wins for good: the statement, or the row that says it was abandoned. So a keyed statement
//! may go out again after doubt, on any node and across a failover, and runs at most once.
//!
//! A single statement goes out behind `BEGIN` and its record. A second exchange adds the command
//! tag to the record and commits, so a repeat is told what the statement did.

use bytes::{Bytes, BytesMut};
use kestrellock_core::ids::TenantName;
use kestrellock_core::outcome::{Execution, Refusal, ResultCode};
use kestrellock_peer::message::TransactionState;

use kestrellock_protocol::request_key::RequestKey;

use crate::extended;
use crate::frames::{self, HEADER_BYTES};

/// Name of the setting and of the start-up option.
pub const REQUEST_KEY_PARAMETER: &str = "kestrellock.request_id";
const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS kestrellock_requests (key TEXT PRIMARY KEY, \
     digest TEXT NOT NULL, outcome TEXT NOT NULL, \
     recorded_at TIMESTAMPTZ NOT NULL DEFAULT now())";
const UNDEFINED_TABLE: &[u8] = b"42P01";
const UNIQUE_VIOLATION: &[u8] = b"23505";
const READ_ONLY_TRANSACTION: &[u8] = b"25006";
const RAN: &str = "ran";
/// What stands in front of the command tag in the record of a statement.
const RAN_WITH_TAG: &str = "ran: ";
/// What a record of a transaction answers: it can only be seen once that has committed.
const COMMIT_TAG: &str = "COMMIT";
/// Replies in front of a single statement's own: `BEGIN` and the record.
const REPLIES_IN_FRONT: usize = 2;
const READY_AND_IDLE: &[u8] = b"Z\0\0\0\x05I";
const ABANDONED: &str = "abandoned";
/// What stands for the text of a transaction, which is not known at its beginning.
const TRANSACTION: &str = "transaction";
/// Attempts at creating the table, and at running after a record that vanished.
const MAX_ATTEMPTS: u32 = 3;

/// The value that `sql` sets the request key to, if it is `SET kestrellock.request_id`; empty to
/// take it back.
pub fn request_key_setting(sql: &str) -> Option<String> {
    let text = sql.trim().trim_end_matches(';').trim_end();
    let rest = strip_word(text, "SET")?;
    let rest = strip_word(rest, "SESSION").unwrap_or(rest);
    let head = rest.get(..REQUEST_KEY_PARAMETER.len())?;
    if !head.eq_ignore_ascii_case(REQUEST_KEY_PARAMETER) {
        return None;
    }
    let rest = rest[REQUEST_KEY_PARAMETER.len()..].trim_start();
    let value = rest.strip_prefix('=').or_else(|| strip_word(rest, "TO"))?.trim();
    let quoted = value.strip_prefix('\'').and_then(|value| value.strip_suffix('\''));
    Some(quoted.unwrap_or(value).replace("''", "'"))
}

fn strip_word<'a>(text: &'a str, word: &str) -> Option<&'a str> {
    let head = text.get(..word.len())?;
    let rest = &text[word.len()..];
    let ends = rest.starts_with(char::is_whitespace);
    (head.eq_ignore_ascii_case(word) && ends).then(|| rest.trim_start())
}

/// What a keyed request is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One statement, a transaction of its own.
    Statement,
    /// The beginning of a transaction that will hold the key.
    Begin,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Runs the statement together with its record.
    Run,
    /// Adds the command tag to the record, and commits.
    Commit,
    /// Creates the table of records.
    Create,
    /// Reads the record that was there first.
    LookUp,
    /// Records that the request is abandoned, unless it has run.
    Abandon,
}

/// What to do after an answer or a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass this answer on.
    Answer(Bytes),
    /// Roll the open transaction back and pass this answer on.
    RollBack(Bytes),
    /// The instance is read-only: look for the primary.
    FindPrimary,
    /// Send [`KeyedRequest::messages`] on the same lease.
    Continue,
    /// Tell the caller this.
    Refuse(Refusal),
    /// Send [`KeyedRequest::messages`] on a new lease.
    Retry,
}

/// One request under a key, from its first attempt to its outcome.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    stored_key: String,
    digest: String,
    sql: String,
    scope: Scope,
    phase: Phase,
    /// Phase to go on with once the table exists.
    after_create: Phase,
    attempts: u32,
    doubt: Option<Refusal>,
    /// The statement's answer, held until its commit.
    held: Bytes,
}

impl KeyedRequest {
    /// A request about to run.
    pub fn new(tenant: &TenantName, key: &RequestKey, sql: &str, scope: Scope) -> Self {
        let text = if scope == Scope::Begin { TRANSACTION } else { sql.trim() };
        Self {
            stored_key: format!("{tenant}:{}", key.as_str()),
            digest: format!("{:032x}", xxhash_rust::xxh3::xxh3_128(text.as_bytes())),
            sql: sql.to_owned(),
            scope,
            phase: Phase::Run,
            after_create: Phase::Run,
            attempts: 0,
            doubt: None,
            held: Bytes::new(),
        }
    }

    /// Settles a transaction whose commit is in doubt.
    pub fn resolve(tenant: &TenantName, key: &RequestKey, doubt: Refusal) -> Self {
        let phase = Phase::Abandon;
        let doubt = Some(doubt);
        Self { phase, doubt, ..Self::new(tenant, key, "", Scope::Begin) }
    }

    fn record(&self, outcome: &str) -> String {
        let key = self.stored_key.replace('\'', "''");
        let digest = &self.digest;
        format!(
            "INSERT INTO kestrellock_requests (key, digest, outcome) \
             VALUES ('{key}', '{digest}', '{outcome}')"
        )
    }

    fn commit(&self) -> String {
        let key = self.stored_key.replace('\'', "''");
        let tag = last_tag(&self.held).replace('\'', "''");
        format!(
            "UPDATE kestrellock_requests SET outcome = '{RAN_WITH_TAG}{tag}' WHERE key = '{key}'; COMMIT"
        )
    }

    /// Whether [`KeyedRequest::messages`] may commit something.
    pub fn may_commit(&self) -> bool {
        self.phase != Phase::Run
    }

    /// Whether parts of the answer must wait for its end.
    pub fn must_buffer_answer(&self) -> bool {
        self.scope == Scope::Statement
    }

    /// The messages to send now.
    pub fn messages(&self) -> Bytes {
        let text = match (self.phase, self.scope) {
            (Phase::Run, Scope::Statement) => {
                format!("BEGIN; {}; {}", self.record(RAN), self.sql)
            }
            (Phase::Commit, _) => self.commit(),
            (Phase::Run, Scope::Begin) => {
                let begin = self.sql.trim().trim_end_matches(';');
                format!("{begin}; {}", self.record(RAN))
            }
            (Phase::Create, _) => CREATE_TABLE.to_owned(),
            (Phase::LookUp, _) => {
                let key = self.stored_key.replace('\'', "''");
                format!("SELECT digest, outcome FROM kestrellock_requests WHERE key = '{key}'")
            }
            (Phase::Abandon, _) => self.record(ABANDONED),
        };
        let mut output = BytesMut::new();
        extended::put_message(b'Q', &[text.as_bytes(), &[0]], &mut output);
        output.freeze()
    }

    /// Takes in the confirmed answer to [`KeyedRequest::messages`].
    pub fn on_answer(&mut self, answer: &Bytes, transaction: TransactionState) -> Step {
        match self.phase {
            Phase::Run => self.on_run(answer, transaction),
            Phase::Commit => self.on_commit(answer),
            Phase::Create => self.go_on(self.after_create),
            Phase::LookUp => self.on_record(answer),
            Phase::Abandon => self.on_abandoned(answer),
        }
    }

    fn on_run(&mut self, answer: &Bytes, transaction: TransactionState) -> Step {
        let Some(record) = nth_reply(answer, 1) else { return Step::Answer(answer.clone()) };
        if record.tag == b'C' {
            return self.on_recorded(answer, &record, transaction);
        }
        match record.sqlstate(answer) {
            Some(UNDEFINED_TABLE) => self.create(Phase::Run, answer),
            Some(UNIQUE_VIOLATION) => self.go_on(Phase::LookUp),
            Some(READ_ONLY_TRANSACTION) if transaction != TransactionState::Idle => {
                Step::FindPrimary
            }
            _ if self.doubt.is_some() => self.unsettled(),
            _ if transaction == TransactionState::Idle => Step::Answer(answer.clone()),
            _ if self.scope == Scope::Statement => Step::RollBack(own_answer(answer)),
            _ => Step::Refuse(Refusal::new(
                ResultCode::RequestKeyUnsupported,
                "the request key could not be recorded",
            )),
        }
    }

    /// The record stands in the open transaction; the rest is the statement's own answer.
    fn on_recorded(&mut self, answer: &Bytes, record: &Reply, state: TransactionState) -> Step {
        if self.scope == Scope::Begin {
            return Step::Answer(without(answer, record));
        }
        let own = own_answer(answer);
        if nth_reply(answer, usize::MAX).is_some() {
            return self.on_failed(own);
        }
        if state == TransactionState::Idle {
            // The statement ended the transaction itself.
            return Step::Answer(own);
        }
        self.held = own;
        self.phase = Phase::Commit;
        Step::Continue
    }

    fn on_commit(&mut self, answer: &Bytes) -> Step {
        if nth_reply(answer, usize::MAX).is_some() {
            return self.on_failed(own_answer(answer));
        }
        Step::Answer(self.held.clone())
    }

    /// The statement failed. If an earlier attempt may still be on its way, nothing may run under
    /// the key after the caller has been told of the failure.
    fn on_failed(&mut self, answer: Bytes) -> Step {
        match self.doubt {
            Some(_) => self.go_on(Phase::Abandon),
            None => Step::RollBack(answer),
        }
    }

    fn create(&mut self, then: Phase, answer: &Bytes) -> Step {
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            let refused = Step::RollBack(own_answer(answer));
            return self.doubt.clone().map_or(refused, Step::Refuse);
        }
        self.after_create = then;
        self.go_on(Phase::Create)
    }

    fn go_on(&mut self, phase: Phase) -> Step {
        self.phase = phase;
        Step::Retry
    }

    fn on_record(&mut self, answer: &Bytes) -> Step {
        let Some(columns) = first_row(answer) else {
            // The one that was there first has rolled back, or its record has expired.
            self.attempts += 1;
            let again = self.attempts <= MAX_ATTEMPTS;
            let unsettled =
                || Refusal::new(ResultCode::RequestKeyUnsupported, "the record cannot be read");
            return match (again, self.doubt.clone()) {
                (true, Some(_)) if self.scope == Scope::Begin => self.go_on(Phase::Abandon),
                (true, _) => self.go_on(Phase::Run),
                (false, doubt) => Step::Refuse(doubt.unwrap_or_else(unsettled)),
            };
        };
        let is_own = columns.first().is_some_and(|digest| *digest == self.digest);
        let outcome = columns.get(1).map(String::as_str);
        Step::Refuse(match outcome {
            Some(ABANDONED) => {
                Refusal::new(ResultCode::Abandoned, "the request was abandoned and never ran")
            }
            _ if !is_own => {
                Refusal::new(ResultCode::RequestKeyReused, "the key belongs to another request")
            }
            Some(RAN) if self.scope == Scope::Begin => {
                Refusal::new(ResultCode::AlreadyRan, COMMIT_TAG)
            }
            outcome => Refusal::new(ResultCode::AlreadyRan, tag_of_record(outcome)),
        })
    }

    fn on_abandoned(&mut self, answer: &Bytes) -> Step {
        let Some(reply) = nth_reply(answer, 0) else { return self.unsettled() };
        match reply.sqlstate(answer) {
            None => Step::Refuse(Refusal::new(
                ResultCode::Abandoned,
                "the transaction did not commit and never will",
            )),
            Some(UNIQUE_VIOLATION) => self.go_on(Phase::LookUp),
            Some(UNDEFINED_TABLE) => self.create(Phase::Abandon, answer),
            Some(_) => self.unsettled(),
        }
    }

    fn unsettled(&self) -> Step {
        let fallback = Refusal::new(ResultCode::UnconfirmedInDoubt, "the outcome is not known");
        Step::Refuse(self.doubt.clone().unwrap_or(fallback))
    }

    /// Takes in a refusal; `time_left` says whether anything may still be sent.
    pub fn on_refused(&mut self, refusal: Refusal, time_left: bool) -> Step {
        let in_doubt = refusal.code.execution() == Execution::InDoubt;
        let runs = matches!(self.phase, Phase::Run | Phase::Commit);
        // Only what may hold the key can leave it in doubt.
        if in_doubt && runs && self.doubt.is_none() {
            self.doubt = Some(refusal.clone());
        }
        // A statement whose transaction was lost before its commit has not run.
        let lost = refusal.code == ResultCode::TransactionLost && self.scope == Scope::Statement;
        if runs {
            self.phase = Phase::Run;
        }
        if (in_doubt || (lost && runs)) && time_left {
            // The unique key makes every step repeatable.
            return Step::Retry;
        }
        match &self.doubt {
            Some(doubt) => Step::Refuse(doubt.clone()),
            // Reading a record or creating the table leaves nothing in doubt.
            None if in_doubt => Step::Refuse(Refusal::new(
                ResultCode::DeadlineBeforeSend,
                "the request's record could not be read in time",
            )),
            None => Step::Refuse(refusal),
        }
    }
}

/// A `CommandComplete` or `ErrorResponse` in an answer.
#[derive(Clone, Copy, Debug)]
struct Reply {
    tag: u8,
    start: usize,
    end: usize,
}

impl Reply {
    fn sqlstate<'a>(&self, answer: &'a Bytes) -> Option<&'a [u8]> {
        if self.tag != b'E' {
            return None;
        }
        let body = &answer[self.start + HEADER_BYTES..self.end];
        let mut fields = body.split(|byte| *byte == 0).filter(|field| !field.is_empty());
        fields.find(|field| field[0] == b'C').map(|field| &field[1..])
    }
}

/// The `index`th reply of an answer, or the error that ended it before.
fn nth_reply(answer: &Bytes, index: usize) -> Option<Reply> {
    let mut start = 0;
    let mut completed = 0;
    while let Ok(Some((tag, length))) = frames::peek(answer.get(start..)?) {
        let end = start + length;
        if end > answer.len() {
            return None;
        }
        if tag == b'E' || (tag == b'C' && completed == index) {
            return Some(Reply { tag, start, end });
        }
        completed += usize::from(tag == b'C');
        start = end;
    }
    None
}

fn without(answer: &Bytes, reply: &Reply) -> Bytes {
    let mut rest = BytesMut::with_capacity(answer.len());
    rest.extend_from_slice(&answer[..reply.start]);
    rest.extend_from_slice(&answer[reply.end..]);
    rest.freeze()
}

/// An answer without the command tags in front of the statement's own, at whose end no transaction
/// is open.
fn own_answer(answer: &Bytes) -> Bytes {
    let mut rest = BytesMut::with_capacity(answer.len());
    let (mut start, mut completed) = (0, 0);
    while let Some((tag, message)) = message_at(answer, start) {
        let is_hidden = tag == b'C' && completed < REPLIES_IN_FRONT;
        completed += usize::from(tag == b'C');
        match tag {
            _ if is_hidden => {}
            b'Z' => rest.extend_from_slice(READY_AND_IDLE),
            _ => rest.extend_from_slice(message),
        }
        start += message.len();
    }
    rest.freeze()
}

/// The command tag in a record. One that was written before tags were recorded has none.
fn tag_of_record(outcome: Option<&str>) -> &str {
    let tag = outcome.and_then(|outcome| outcome.strip_prefix(RAN_WITH_TAG));
    tag.filter(|tag| !tag.is_empty()).unwrap_or("the request has run before")
}

/// The last command tag of an answer; empty if there is none.
fn last_tag(answer: &Bytes) -> String {
    let (mut start, mut last) = (0, String::new());
    while let Some((tag, message)) = message_at(answer, start) {
        if tag == b'C' {
            let body = &message[HEADER_BYTES..];
            let text = body.strip_suffix(&[0]).unwrap_or(body);
            last = String::from_utf8_lossy(text).into_owned();
        }
        start += message.len();
    }
    last
}

fn message_at(answer: &Bytes, start: usize) -> Option<(u8, &[u8])> {
    let (tag, length) = frames::peek(answer.get(start..)?).ok()??;
    Some((tag, answer.get(start..start + length)?))
}

/// The text columns of the first row of an answer.
fn first_row(answer: &Bytes) -> Option<Vec<String>> {
    let mut start = 0;
    while let Ok(Some((tag, length))) = frames::peek(answer.get(start..)?) {
        let body = answer.get(start + HEADER_BYTES..start + length)?;
        if tag == b'D' {
            return columns(body);
        }
        start += length;
    }
    None
}

fn columns(body: &[u8]) -> Option<Vec<String>> {
    let (count, mut rest) = body.split_first_chunk::<2>()?;
    let mut values = Vec::new();
    for _ in 0..u16::from_be_bytes(*count) {
        let (length, after) = rest.split_first_chunk::<4>()?;
        let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
        let (value, after) = after.split_at_checked(length)?;
        values.push(String::from_utf8_lossy(value).into_owned());
        rest = after;
    }
    Some(values)
}
