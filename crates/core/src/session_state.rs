//! What a caller's statements leave behind on a connection, and what becomes of it.
//!
//! Callers share connections, so state must not outlive the caller's use of one. Settings are
//! replayed on the next connection; what may be left behind is removed before another caller gets
//! the connection; what can neither be replayed nor removed is refused.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::classify::TextFacts;

/// Something that a shared connection cannot offer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum Unsupported {
    /// `LISTEN` or `UNLISTEN`.
    #[error("LISTEN needs a connection of its own")]
    Listen,
    /// `COPY` from or to the caller.
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
    /// Another identity than the one that logged in.
    #[error("role and session authorization cannot be changed")]
    Authorization,
    /// Characteristics of the session's later transactions.
    #[error("SET SESSION CHARACTERISTICS is not supported; give the modes at BEGIN")]
    SessionCharacteristics,
    /// `set_config` for the session.
    #[error("set_config is supported for the transaction only; use SET")]
    SetConfig,
    /// A setting that would weaken what the proxy promises.
    #[error("durability cannot be changed")]
    Durability,
    /// `SET` behind a savepoint, which a rollback to it would undo.
    #[error("SET after SAVEPOINT is not supported; use SET LOCAL")]
    SetAfterSavepoint,
    /// The last value of a sequence outside the transaction that drew it.
    #[error("currval and lastval need a transaction; use RETURNING")]
    SequenceValue,
}

/// Something that a statement does to its connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// A setting of the session.
    Set {
        /// Its name in lower case.
        name: String,
        /// The statement that makes it.
        statement: String,
    },
    /// A setting goes back to its default.
    Reset {
        /// Its name in lower case.
        name: String,
    },
    /// Every setting goes back to its default.
    ResetAll,
    /// Everything of the session is dropped.
    Discard,
    /// It may leave something unknown behind.
    Taint,
    /// A savepoint.
    Savepoint,
    /// Only inside an explicit transaction.
    OnlyInTransaction(Unsupported),
    /// Not at all.
    Refuse(Unsupported),
}

impl Effect {
    /// Whether the connection must be reset before another caller uses it.
    pub fn taints(&self) -> bool {
        !matches!(self, Self::Savepoint | Self::OnlyInTransaction(_))
    }
}

/// A setting that a session has made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionSetting {
    /// Its name in lower case.
    pub name: String,
    /// The statement that makes it.
    pub statement: String,
}

type Settings = BTreeMap<String, String>;

/// What a caller's session has set, inside and outside the open transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionState {
    current: Settings,
    /// What a rollback goes back to, while it differs.
    committed: Option<Settings>,
    has_savepoint: bool,
}

/// How an exchange ended, as far as the session's state is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeEnd {
    /// The back end reported an error.
    pub failed: bool,
    /// A transaction is open afterwards.
    pub in_transaction: bool,
    /// The transaction that ended was rolled back.
    pub rolled_back: bool,
}

impl SessionState {
    /// Settings that a caller brings along at start-up.
    pub fn with_settings(settings: impl IntoIterator<Item = (String, String)>) -> Self {
        Self { current: settings.into_iter().collect(), ..Self::default() }
    }

    /// Whether a text may run, given whether an explicit transaction is open.
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

    /// Whether [`Self::on_end`] must be told how the next exchange ends.
    pub fn needs_exchange_end(&self, effects: &[Effect]) -> bool {
        !effects.is_empty() || self.committed.is_some() || self.has_savepoint
    }

    /// Takes in the end of an exchange.
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
                self.keep_committed();
                self.current.insert(name.clone(), statement.clone());
            }
            Effect::Reset { name } => {
                self.keep_committed();
                self.current.remove(name);
            }
            Effect::ResetAll => {
                self.keep_committed();
                self.current.clear();
            }
            Effect::Discard => *self = Self::default(),
            Effect::Savepoint => self.has_savepoint = true,
            Effect::Taint | Effect::OnlyInTransaction(_) | Effect::Refuse(_) => {}
        }
    }

    fn keep_committed(&mut self) {
        if self.committed.is_none() {
            self.committed = Some(self.current.clone());
        }
    }

    /// The settings to put in force on a connection without any, by name.
    pub fn settings(&self) -> Vec<SessionSetting> {
        let settings = self.current.iter();
        let setting = |(name, statement): (&String, &String)| SessionSetting {
            name: name.clone(),
            statement: statement.clone(),
        };
        settings.map(setting).collect()
    }
}
