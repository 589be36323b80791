//! At-most-once execution: a client's request key is recorded in the transaction that it protects.
//!
//! Without a key, a request whose outcome is unknown cannot be retried, because it might run twice.
//! The record of a key is a row with a unique key in a table of the tenant's own database. The first
//! row that commits under a key decides the outcome permanently: either the statement ran, or the
//! request was abandoned. The proxy can therefore send a keyed statement again when its outcome is
//! in doubt, on any node and across a failover, and the statement still runs at most once.
//!
//! A single statement is sent after `BEGIN` and the insert of its record. A second exchange adds the
//! command tag to the record and commits, so that a repeated request is answered with what the
//! statement did.

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
const OUTCOME_RAN: &str = "ran";
/// Prefix of the command tag in the record of a statement.
const OUTCOME_RAN_PREFIX: &str = "ran: ";
/// Command tag that is reported for a repeated transaction. The record of a transaction is only
/// visible after the transaction has committed.
const COMMIT_TAG: &str = "COMMIT";
/// Number of replies before those of a single statement: `BEGIN` and the insert of the record.
const PRECEDING_REPLIES: usize = 2;
const READY_AND_IDLE: &[u8] = b"Z\0\0\0\x05I";
const OUTCOME_ABANDONED: &str = "abandoned";
/// Text that the digest of a transaction is computed from, since the statements of the transaction
/// are not known when it begins.
const TRANSACTION_TEXT: &str = "transaction";
/// Maximum number of attempts to create the table, or to run again after the record that caused
/// the conflict has disappeared.
const MAX_ATTEMPTS: u32 = 3;

/// The value that `sql` sets the request key to, if it is `SET kestrellock.request_id`. An empty
/// value clears the key.
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

/// What a request key protects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One statement, a transaction of its own.
    Statement,
    /// A transaction of several statements; the request is its `BEGIN`.
    Begin,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Runs the statement together with its record.
    Run,
    /// Adds the command tag to the record, and commits.
    Commit,
    /// Creates the table of records.
    CreateTable,
    /// Reads the existing record of the key.
    ReadRecord,
    /// Records that the request is abandoned, unless it has run.
    Abandon,
}

/// The next step after an answer or a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Forward this answer to the client.
    Answer(Bytes),
    /// Roll back the open transaction and forward this answer to the client.
    RollBack(Bytes),
    /// The instance is read-only: retry on the primary.
    FindPrimary,
    /// Send [`KeyedRequest::messages`] on the same server lease.
    Continue,
    /// Refuse the request with this.
    Refuse(Refusal),
    /// Send [`KeyedRequest::messages`] on a new server lease.
    Retry,
}

/// A request with a key, from its first attempt to its outcome.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    stored_key: String,
    digest: String,
    sql: String,
    scope: Scope,
    phase: Phase,
    /// Phase to continue with once the table exists.
    after_create: Phase,
    attempts: u32,
    /// Refusal of the first attempt whose outcome is in doubt.
    doubt: Option<Refusal>,
    /// The statement's answer, kept until its commit succeeds.
    buffered_answer: Bytes,
}

impl KeyedRequest {
    /// Creates a request that has not been sent yet.
    pub fn new(tenant: &TenantName, key: &RequestKey, sql: &str, scope: Scope) -> Self {
        let text = if scope == Scope::Begin { TRANSACTION_TEXT } else { sql.trim() };
        Self {
            stored_key: format!("{tenant}:{}", key.as_str()),
            digest: format!("{:032x}", xxhash_rust::xxh3::xxh3_128(text.as_bytes())),
            sql: sql.to_owned(),
            scope,
            phase: Phase::Run,
            after_create: Phase::Run,
            attempts: 0,
            doubt: None,
            buffered_answer: Bytes::new(),
        }
    }

    /// Creates the request that determines whether a transaction committed, after its commit was
    /// refused with `doubt`. The transaction is abandoned unless it has committed.
    pub fn resolve(tenant: &TenantName, key: &RequestKey, doubt: Refusal) -> Self {
        let phase = Phase::Abandon;
        let doubt = Some(doubt);
        Self { phase, doubt, ..Self::new(tenant, key, "", Scope::Begin) }
    }

    fn insert_record_sql(&self, outcome: &str) -> String {
        let key = self.stored_key.replace('\'', "''");
        let digest = &self.digest;
        format!(
            "INSERT INTO kestrellock_requests (key, digest, outcome) \
             VALUES ('{key}', '{digest}', '{outcome}')"
        )
    }

    fn commit_sql(&self) -> String {
        let key = self.stored_key.replace('\'', "''");
        let tag = last_tag(&self.buffered_answer).replace('\'', "''");
        format!(
            "UPDATE kestrellock_requests SET outcome = '{OUTCOME_RAN_PREFIX}{tag}' WHERE key = '{key}'; COMMIT"
        )
    }

    /// Whether [`KeyedRequest::messages`] may commit something.
    pub fn may_commit(&self) -> bool {
        self.phase != Phase::Run
    }

    /// Whether the answer must be buffered until it is complete. A single statement's answer is only
    /// forwarded once its commit has succeeded.
    pub fn must_buffer_answer(&self) -> bool {
        self.scope == Scope::Statement
    }

    /// The messages to send in the current phase.
    pub fn messages(&self) -> Bytes {
        let text = match (self.phase, self.scope) {
            (Phase::Run, Scope::Statement) => {
                format!("BEGIN; {}; {}", self.insert_record_sql(OUTCOME_RAN), self.sql)
            }
            (Phase::Commit, _) => self.commit_sql(),
            (Phase::Run, Scope::Begin) => {
                let begin = self.sql.trim().trim_end_matches(';');
                format!("{begin}; {}", self.insert_record_sql(OUTCOME_RAN))
            }
            (Phase::CreateTable, _) => CREATE_TABLE.to_owned(),
            (Phase::ReadRecord, _) => {
                let key = self.stored_key.replace('\'', "''");
                format!("SELECT digest, outcome FROM kestrellock_requests WHERE key = '{key}'")
            }
            (Phase::Abandon, _) => self.insert_record_sql(OUTCOME_ABANDONED),
        };
        let mut output = BytesMut::new();
        extended::put_message(b'Q', &[text.as_bytes(), &[0]], &mut output);
        output.freeze()
    }

    /// Processes the confirmed answer to [`KeyedRequest::messages`].
    pub fn on_answer(&mut self, answer: &Bytes, transaction: TransactionState) -> Step {
        match self.phase {
            Phase::Run => self.on_run(answer, transaction),
            Phase::Commit => self.on_commit(answer),
            Phase::CreateTable => self.retry_in(self.after_create),
            Phase::ReadRecord => self.on_record(answer),
            Phase::Abandon => self.on_abandoned(answer),
        }
    }

    fn on_run(&mut self, answer: &Bytes, transaction: TransactionState) -> Step {
        let Some(record) = nth_reply(answer, 1) else { return Step::Answer(answer.clone()) };
        if record.tag == b'C' {
            return self.on_recorded(answer, &record, transaction);
        }
        match record.sqlstate(answer) {
            Some(UNDEFINED_TABLE) => self.create_table(Phase::Run, answer),
            Some(UNIQUE_VIOLATION) => self.retry_in(Phase::ReadRecord),
            Some(READ_ONLY_TRANSACTION) if transaction != TransactionState::Idle => {
                Step::FindPrimary
            }
            _ if self.doubt.is_some() => self.unresolved(),
            _ if transaction == TransactionState::Idle => Step::Answer(answer.clone()),
            _ if self.scope == Scope::Statement => Step::RollBack(statement_answer(answer)),
            _ => Step::Refuse(Refusal::new(
                ResultCode::RequestKeyUnsupported,
                "the request key could not be recorded",
            )),
        }
    }

    /// Processes an answer in which the record was inserted: the replies after it are the
    /// statement's own.
    fn on_recorded(&mut self, answer: &Bytes, record: &Reply, state: TransactionState) -> Step {
        if self.scope == Scope::Begin {
            return Step::Answer(without_reply(answer, record));
        }
        let statement_part = statement_answer(answer);
        if nth_reply(answer, usize::MAX).is_some() {
            return self.on_failed(statement_part);
        }
        if state == TransactionState::Idle {
            // The statement itself ended the transaction.
            return Step::Answer(statement_part);
        }
        self.buffered_answer = statement_part;
        self.phase = Phase::Commit;
        Step::Continue
    }

    fn on_commit(&mut self, answer: &Bytes) -> Step {
        if nth_reply(answer, usize::MAX).is_some() {
            return self.on_failed(statement_answer(answer));
        }
        Step::Answer(self.buffered_answer.clone())
    }

    /// Processes a failed statement. If the outcome of an earlier attempt is in doubt, that attempt
    /// may still commit. The key is then recorded as abandoned first, so that nothing runs under it
    /// after the client has received the failure.
    fn on_failed(&mut self, answer: Bytes) -> Step {
        match self.doubt {
            Some(_) => self.retry_in(Phase::Abandon),
            None => Step::RollBack(answer),
        }
    }

    fn create_table(&mut self, next_phase: Phase, answer: &Bytes) -> Step {
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            let refused = Step::RollBack(statement_answer(answer));
            return self.doubt.clone().map_or(refused, Step::Refuse);
        }
        self.after_create = next_phase;
        self.retry_in(Phase::CreateTable)
    }

    fn retry_in(&mut self, phase: Phase) -> Step {
        self.phase = phase;
        Step::Retry
    }

    fn on_record(&mut self, answer: &Bytes) -> Step {
        let Some(columns) = first_row(answer) else {
            // The transaction that held the key has rolled back, or its record has expired.
            self.attempts += 1;
            let again = self.attempts <= MAX_ATTEMPTS;
            let unresolved =
                || Refusal::new(ResultCode::RequestKeyUnsupported, "the record cannot be read");
            return match (again, self.doubt.clone()) {
                (true, Some(_)) if self.scope == Scope::Begin => self.retry_in(Phase::Abandon),
                (true, _) => self.retry_in(Phase::Run),
                (false, doubt) => Step::Refuse(doubt.unwrap_or_else(unresolved)),
            };
        };
        let is_own = columns.first().is_some_and(|digest| *digest == self.digest);
        let outcome = columns.get(1).map(String::as_str);
        Step::Refuse(match outcome {
            Some(OUTCOME_ABANDONED) => {
                Refusal::new(ResultCode::Abandoned, "the request was abandoned and never ran")
            }
            _ if !is_own => {
                Refusal::new(ResultCode::RequestKeyReused, "the key belongs to another request")
            }
            Some(OUTCOME_RAN) if self.scope == Scope::Begin => {
                Refusal::new(ResultCode::AlreadyRan, COMMIT_TAG)
            }
            outcome => Refusal::new(ResultCode::AlreadyRan, recorded_tag(outcome)),
        })
    }

    fn on_abandoned(&mut self, answer: &Bytes) -> Step {
        let Some(reply) = nth_reply(answer, 0) else { return self.unresolved() };
        match reply.sqlstate(answer) {
            None => Step::Refuse(Refusal::new(
                ResultCode::Abandoned,
                "the transaction did not commit and never will",
            )),
            Some(UNIQUE_VIOLATION) => self.retry_in(Phase::ReadRecord),
            Some(UNDEFINED_TABLE) => self.create_table(Phase::Abandon, answer),
            Some(_) => self.unresolved(),
        }
    }

    fn unresolved(&self) -> Step {
        let fallback = Refusal::new(ResultCode::UnconfirmedInDoubt, "the outcome is not known");
        Step::Refuse(self.doubt.clone().unwrap_or(fallback))
    }

    /// Processes a refusal. `time_left` says whether there is time to send another attempt.
    pub fn on_refused(&mut self, refusal: Refusal, time_left: bool) -> Step {
        let in_doubt = refusal.code.execution() == Execution::InDoubt;
        let runs = matches!(self.phase, Phase::Run | Phase::Commit);
        // Only an exchange that may insert or commit the record leaves the request in doubt.
        if in_doubt && runs && self.doubt.is_none() {
            self.doubt = Some(refusal.clone());
        }
        // A statement whose transaction was lost before its commit has not run.
        let lost = refusal.code == ResultCode::TransactionLost && self.scope == Scope::Statement;
        if runs {
            self.phase = Phase::Run;
        }
        if (in_doubt || (lost && runs)) && time_left {
            // The unique key makes it safe to repeat any phase.
            return Step::Retry;
        }
        match &self.doubt {
            Some(doubt) => Step::Refuse(doubt.clone()),
            // Reading the record or creating the table runs no part of the request.
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

/// The reply of an answer at `index`, counted from zero, or the error that ended the answer before
/// it.
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

fn without_reply(answer: &Bytes, reply: &Reply) -> Bytes {
    let mut rest = BytesMut::with_capacity(answer.len());
    rest.extend_from_slice(&answer[..reply.start]);
    rest.extend_from_slice(&answer[reply.end..]);
    rest.freeze()
}

/// The statement's part of an answer: drops the command tags of `BEGIN` and the record, and reports
/// at the end that no transaction is open.
fn statement_answer(answer: &Bytes) -> Bytes {
    let mut rest = BytesMut::with_capacity(answer.len());
    let (mut start, mut completed) = (0, 0);
    while let Some((tag, message)) = message_at(answer, start) {
        let is_hidden = tag == b'C' && completed < PRECEDING_REPLIES;
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

/// The command tag in a record. Records that older versions wrote have none.
fn recorded_tag(outcome: Option<&str>) -> &str {
    let tag = outcome.and_then(|outcome| outcome.strip_prefix(OUTCOME_RAN_PREFIX));
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
