//! Numbered result codes, which clients get when the proxy itself answers. Each code states whether
//! the statement took effect, so that a client does not repeat a statement that may have run.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceName;

/// Whether the statement took effect, as far as the proxy can guarantee it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Execution {
    /// It took effect.
    Ran,
    /// It did not take effect and never will.
    NotRun,
    /// It may have taken effect, or may still do so.
    InDoubt,
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $state:literal, $execution:ident;)*) => {
        /// A numbered result. Messages begin with the number as `KLnnnn`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ResultCode { $($(#[$doc])* $name,)* }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)*];

            /// The number. It is never reused.
            pub fn number(self) -> u16 { match self { $(Self::$name => $number,)* } }

            /// The SQLSTATE that a PostgreSQL client gets.
            pub fn sqlstate(self) -> &'static str { match self { $(Self::$name => $state,)* } }

            /// Whether the statement took effect.
            pub fn execution(self) -> Execution {
                match self { $(Self::$name => Execution::$execution,)* }
            }
        }
    };
}

/// Codes of transient conditions, which end within about the time that a primary replacement takes.
const TRANSIENT_CODES: RangeInclusive<u16> = 1501..=1599;
/// Retry hint for transient conditions: about half of the time that a primary replacement takes.
pub const DEFAULT_RETRY_HINT: Duration = Duration::from_millis(250);

result_codes! {
    /// The first message is not a PostgreSQL 3.x startup message.
    ProtocolViolation = 1001, "08P01", NotRun;
    /// A message is larger than the node accepts.
    MessageTooLarge = 1002, "54000", NotRun;
    /// The node has reached its limit of client connections.
    TooManyCallers = 1003, "53300", NotRun;
    /// The startup did not finish in time.
    StartupTimeout = 1004, "08P01", NotRun;
    /// The login is unknown or its proof is wrong.
    LoginRefused = 1101, "28P01", NotRun;
    /// The tenant may not use that database.
    DatabaseNotAllowed = 1102, "3D000", NotRun;
    /// The session token is malformed or belongs to another group.
    SessionTokenRefused = 1103, "22023", NotRun;
    /// The client presented no credential, or one that belongs to no account.
    CredentialUnknown = 1104, "28000", NotRun;
    /// The session's credential no longer belongs to any account.
    CredentialRevoked = 1105, "28000", NotRun;
    /// The node cannot confirm that the credential is still valid; another node may.
    CredentialUnconfirmed = 1106, "57P03", NotRun;
    /// The statement uses a feature that shared connections do not support.
    NotSupported = 1201, "0A000", NotRun;
    /// The client refers to a prepared statement that it has not prepared.
    UnknownStatement = 1202, "26000", NotRun;
    /// The session has reached its limit of prepared statements.
    TooManyStatements = 1203, "54000", NotRun;
    /// The node has not received a configuration yet.
    NoConfiguration = 1301, "57P03", NotRun;
    /// No primary is known and none appeared before the deadline.
    NoPrimary = 1302, "57P03", NotRun;
    /// No instance satisfied the session bound and the staleness limit before the deadline.
    NoFreshInstance = 1303, "57P03", NotRun;
    /// The wait in the instance's queue would exceed the deadline; retry later.
    Overloaded = 1401, "53400", NotRun;
    /// The tenant's capacity is used up; retry later.
    TenantOverCapacity = 1402, "53400", NotRun;
    /// The deadline passed before the statement was sent to an instance.
    DeadlineBeforeSend = 1403, "57014", NotRun;
    /// The node is stopping and accepts no new work.
    Stopping = 1404, "57P01", NotRun;
    /// The account has reached its quota; retry later.
    QuotaUsedUp = 1405, "53400", NotRun;
    /// No allocator answered in time whether the account's quota allows the operation; retry later.
    QuotaUnanswered = 1406, "53400", NotRun;
    /// The connection to the instance was lost before the statement was sent.
    NotSent = 1501, "08006", NotRun;
    /// The instance refused the statement because it is not, or no longer, the primary.
    NotPrimary = 1502, "25006", NotRun;
    /// The transaction was lost before its commit was sent.
    TransactionLost = 1503, "40001", NotRun;
    /// The gateway no longer owns the instance; try another.
    NotOwner = 1504, "08006", NotRun;
    /// The instance refused another connection.
    BackendConnectionRefused = 1505, "53300", NotRun;
    /// The read did not finish; reads change nothing.
    ReadInterrupted = 1506, "08006", NotRun;
    /// The instance cannot accept another statement now.
    BackendBusy = 1507, "53300", NotRun;
    /// Another instance answers at the instance's address.
    WrongInstance = 1508, "08006", NotRun;
    /// The connection was lost after a write had been sent.
    ConnectionLostInDoubt = 1601, "08007", InDoubt;
    /// A majority did not confirm the commit before the deadline.
    UnconfirmedInDoubt = 1602, "08007", InDoubt;
    /// The gateway that processed the write stopped answering.
    GatewaySilentInDoubt = 1603, "08007", InDoubt;
    /// The gateway that processed the write crashed, or the link to it broke.
    GatewayLostInDoubt = 1604, "08007", InDoubt;
    /// The primary was replaced before the commit was confirmed.
    SupersededInDoubt = 1605, "08007", InDoubt;
    /// The node stopped before the write was answered.
    StoppedInDoubt = 1606, "08007", InDoubt;
    /// The request key was used with another statement.
    RequestKeyReused = 1701, "23505", NotRun;
    /// The request key has a recorded outcome; the statement did not run again.
    AlreadyRan = 1702, "23505", Ran;
    /// The request key was abandoned: it never ran and never will.
    Abandoned = 1703, "40001", NotRun;
    /// The request key is empty, too long, or set inside a transaction.
    RequestKeyInvalid = 1704, "22023", NotRun;
    /// The statement cannot run under a request key; send it as a single simple query.
    RequestKeyUnsupported = 1705, "0A000", NotRun;
    /// The settings file cannot be read.
    SettingsUnreadable = 2001, "F0000", NotRun;
    /// The settings file is not TOML, or a value has the wrong type.
    SettingsMalformed = 2002, "F0000", NotRun;
    /// A settings field is unknown.
    SettingsUnknownField = 2003, "F0000", NotRun;
    /// A settings field is missing.
    SettingsMissingField = 2004, "F0000", NotRun;
    /// The value of a settings field is out of range.
    SettingsInvalidValue = 2005, "F0000", NotRun;
    /// Two settings fields contradict each other.
    SettingsContradiction = 2006, "F0000", NotRun;
    /// A secret's file or environment variable cannot be read, or is empty.
    SecretUnavailable = 2007, "F0000", NotRun;
    /// The admin token is missing or wrong.
    AdminTokenRefused = 2101, "28000", NotRun;
    /// The admin request is malformed or names an unknown page.
    AdminRequestRefused = 2102, "08P01", NotRun;
    /// A value of the configuration is malformed or out of range; nothing changed.
    ConfigurationInvalid = 3001, "22023", NotRun;
    /// The configuration changed since it was read; nothing changed.
    ConfigurationConflict = 3002, "40001", NotRun;
    /// The store did not accept the change; nothing changed.
    StoreUnavailable = 3003, "57P03", NotRun;
    /// The store's answer was lost, and reading back did not show whether the change was made.
    StoreInDoubt = 3004, "08007", InDoubt;
    /// The configuration has no such entry.
    NoSuchEntry = 3005, "42704", NotRun;
    /// The change was made, but is not active on some live nodes yet.
    NotInForceEverywhere = 3006, "01000", Ran;
    /// An entry of the store cannot be read. It is ignored; the other entries apply.
    EntryUnreadable = 3007, "22023", NotRun;
    /// An entry or an instance of the configuration cannot be used. It is left out; the other
    /// entries apply.
    EntryLeftOut = 3008, "22023", NotRun;
    /// The store was restored from an older copy.
    StoreCameBack = 3009, "01000", Ran;
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "KL{:04}", self.number())
    }
}

/// A result that the proxy itself returns instead of an instance's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The result code.
    pub code: ResultCode,
    /// Detail in plain words, without secrets.
    pub detail: String,
    /// Delay after which to retry, where waiting helps.
    pub retry_after: Option<Duration>,
    /// The instance that could not run the request, if one was chosen.
    pub instance: Option<InstanceName>,
}

impl Refusal {
    /// Creates a refusal without a retry hint.
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), retry_after: None, instance: None }
    }

    /// Adds [`DEFAULT_RETRY_HINT`] if the refusal has no hint and its cause is transient: a lost
    /// instance or connection, or a primary that is being replaced.
    pub fn with_default_retry_hint(self) -> Self {
        let passes = TRANSIENT_CODES.contains(&self.code.number());
        match self.retry_after {
            None if passes && self.code.execution() == Execution::NotRun => {
                self.retry_after(DEFAULT_RETRY_HINT)
            }
            _ => self,
        }
    }

    /// Sets the retry hint.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets the instance that could not run the request.
    pub fn at(mut self, instance: &InstanceName) -> Self {
        self.instance = Some(instance.clone());
        self
    }

    /// The message text for the client, which begins with the number.
    pub fn message(&self) -> String {
        let execution = match self.code.execution() {
            Execution::Ran => "ran",
            Execution::NotRun => "not run",
            Execution::InDoubt => "in doubt",
        };
        format!("KL{} {execution}: {}", self.code.number(), self.detail)
    }
}
