//! Tracks the state that a client's statements leave on a server connection.
//!
//! Clients share server connections, so state must not outlive a client's use of a connection.
//! Settings are replayed on the next connection that the client uses. A connection that may have
//! other state is reset before another client gets it. Statements whose state can be neither
//! replayed nor removed are refused.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::classify::TextFacts;

/// A feature that shared connections do not support.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum Unsupported {
    /// `LISTEN` or `UNLISTEN`.
    #[error("LISTEN needs a connection of its own")]
    Listen,
    /// `COPY` from or to the client.
    #[error("COPY is not supported; use INSERT or SELECT")]
    Copy,
    /// `PREPARE`, `EXECUTE` or `DEALLOCATE` as SQL.
    #[error("PREPARE as SQL is not supported; use the extended query protocol")]
    SqlPrepare,
    /// A cursor that outlives its transaction.
    #[error("a cursor WITH HOLD needs a connection of its own")]
    HoldableCursor,
    /// A temporary object that outlives its transaction.
    #[error("temporary objects are not supported, except tables with ON COMMIT DROP")]
    TemporaryObject,
    /// An advisory lock that outlives its transaction.
    #[error("session advisory locks are not supported; use pg_advisory_xact_lock")]
    AdvisoryLock,
    /// Changing to another identity than the one that logged in.
    #[error("role and session authorization cannot be changed")]
    Authorization,
    /// Characteristics for the session's later transactions.
    #[error("SET SESSION CHARACTERISTICS is not supported; give the modes at BEGIN")]
    SessionCharacteristics,
    /// `set_config` for the session.
    #[error("set_config is supported for the transaction only; use SET")]
    SetConfig,
    /// A setting that would weaken the proxy's durability guarantee.
    #[error("durability cannot be changed")]
    Durability,
    /// `SET` after a savepoint, which a rollback to the savepoint would undo.
    #[error("SET after SAVEPOINT is not supported; use SET LOCAL")]
    SetAfterSavepoint,
    /// The last value of a sequence, outside the transaction that fetched it.
    #[error("currval and lastval need a transaction; use RETURNING")]
    SequenceValue,
}

/// The effect of a statement on its connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Changes a setting of the session.
    Set {
        /// Name in lower case.
        name: String,
        /// The statement that changes it.
        statement: String,
    },
    /// Resets a setting to its default.
    Reset {
        /// Name in lower case.
        name: String,
    },
    /// Resets all settings to their defaults.
    ResetAll,
    /// Drops all state of the session.
    Discard,
    /// May leave unknown state on the connection.
    Taint,
    /// Sets a savepoint.
    Savepoint,
    /// Supported only inside an explicit transaction.
    OnlyInTransaction(Unsupported),
    /// Not supported.
    Refuse(Unsupported),
}

impl Effect {
    /// Whether the connection must be reset before another client uses it.
    pub fn taints(&self) -> bool {
        !matches!(self, Self::Savepoint | Self::OnlyInTransaction(_))
    }
}

/// A setting that a session has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionSetting {
    /// Name in lower case.
    pub name: String,
    /// The statement that changes it.
    pub statement: String,
}

/// What a connection that has one session's settings needs for another session. The cheapest comes
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SettingsDifference {
    /// Nothing.
    None,
    /// Some settings must be changed.
    Change,
    /// Some settings must be removed, which only a reset of the connection does. It drops prepared
    /// statements as well.
    Reset,
}

impl SettingsDifference {
    /// The difference between the settings of a connection and those that a session needs.
    pub fn between(present: &[SessionSetting], wanted: &[SessionSetting]) -> Self {
        let is_wanted = |name: &String| wanted.iter().any(|setting| setting.name == *name);
        if present == wanted {
            Self::None
        } else if present.iter().all(|setting| is_wanted(&setting.name)) {
            Self::Change
        } else {
            Self::Reset
        }
    }
}

type Settings = BTreeMap<String, String>;

/// Settings of a client's session, inside and outside the open transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionState {
    current: Settings,
    /// The settings that a rollback restores, if they differ.
    committed: Option<Settings>,
    has_savepoint: bool,
}

/// How an exchange ended, as far as session state depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeEnd {
    /// The instance reported an error.
    pub failed: bool,
    /// A transaction is open afterwards.
    pub in_transaction: bool,
    /// The transaction that ended was rolled back.
    pub rolled_back: bool,
}

impl SessionState {
    /// Creates a session with the settings from the client's startup message.
    pub fn with_settings(settings: impl IntoIterator<Item = (String, String)>) -> Self {
        Self { current: settings.into_iter().collect(), ..Self::default() }
    }

    /// Whether a text is supported, given whether an explicit transaction is open.
    pub fn check(&self, facts: &TextFacts, in_transaction: bool) -> Result<(), Unsupported> {
        let in_transaction = in_transaction || facts.begins;
        for effect in &facts.effects {
            match effect {
                Effect::Refuse(reason) => return Err(*reason),
                Effect::OnlyInTransaction(reason) if !in_transaction => return Err(*reason),
                Effect::Set { .. } | Effect::Reset { .. } | Effect::ResetAll
                    if self.has_savepoint =>
                {
                    return Err(Unsupported::SetAfterSavepoint);
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Whether [`Self::on_exchange_end`] must be called after the next exchange.
    pub fn needs_exchange_end(&self, effects: &[Effect]) -> bool {
        !effects.is_empty() || self.committed.is_some() || self.has_savepoint
    }

    /// Records the end of an exchange.
    pub fn on_exchange_end(&mut self, effects: &[Effect], end: ExchangeEnd) {
        if !end.failed {
            for effect in effects {
                self.apply(effect);
            }
        }
        if end.in_transaction {
            return;
        }
        self.has_savepoint = false;
        let committed = self.committed.take();
        if let Some(committed) = committed
            && (end.failed || end.rolled_back)
        {
            self.current = committed;
        }
    }

    fn apply(&mut self, effect: &Effect) {
        match effect {
            Effect::Set { name, statement } => {
                self.snapshot_committed();
                self.current.insert(name.clone(), statement.clone());
            }
            Effect::Reset { name } => {
                self.snapshot_committed();
                self.current.remove(name);
            }
            Effect::ResetAll => {
                self.snapshot_committed();
                self.current.clear();
            }
            Effect::Discard => *self = Self::default(),
            Effect::Savepoint => self.has_savepoint = true,
            Effect::Taint | Effect::OnlyInTransaction(_) | Effect::Refuse(_) => {}
        }
    }

    fn snapshot_committed(&mut self) {
        if self.committed.is_none() {
            self.committed = Some(self.current.clone());
        }
    }

    /// The settings to apply to a connection in its initial state, ordered by name.
    pub fn settings(&self) -> Vec<SessionSetting> {
        let settings = self.current.iter();
        let setting = |(name, statement): (&String, &String)| SessionSetting {
            name: name.clone(),
            statement: statement.clone(),
        };
        settings.map(setting).collect()
    }
}
