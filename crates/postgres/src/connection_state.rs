//! Session state that clients leave on a shared server connection, and the statements that adjust
//! or reset it before another client uses the connection.

use kestrellock_core::session_state::SessionSetting;

/// Discards all session state that a client may have left, including prepared statements.
pub const RESET: &str = "DISCARD ALL";
const RESET_SETTINGS: &str = "RESET ALL";

/// Session state of one server connection that outlives a transaction.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ConnectionState {
    /// Settings that the instance has confirmed.
    settings: Vec<SessionSetting>,
    /// Whether the connection may have other settings than these, because a preparation failed.
    is_uncertain: bool,
    tainted: bool,
}

impl ConnectionState {
    /// SQL that must run before a client with these settings may use the connection, if any.
    pub fn preparation(&self, wanted: &[SessionSetting]) -> Option<String> {
        if self.settings == wanted && !self.is_uncertain {
            return None;
        }
        let statements = wanted.iter().map(|setting| setting.statement.as_str());
        let resets = self.is_uncertain || !self.settings.is_empty();
        let reset = resets.then_some(RESET_SETTINGS);
        let all: Vec<&str> = reset.into_iter().chain(statements).collect();
        Some(all.join("; "))
    }

    /// Records that the preparation succeeded.
    pub fn on_prepared(&mut self, settings: &[SessionSetting]) {
        self.settings = settings.to_vec();
        self.is_uncertain = false;
    }

    /// Records that the preparation failed.
    pub fn on_preparation_failed(&mut self) {
        self.is_uncertain = true;
    }

    /// Records that a client runs a statement that may change session state in unknown ways.
    pub fn taint(&mut self) {
        self.tainted = true;
    }

    /// Whether the connection must be reset before another client uses it.
    pub fn is_tainted(&self) -> bool {
        self.tainted
    }

    /// Records that [`RESET`] succeeded.
    pub fn on_reset(&mut self) {
        *self = Self::default();
    }
}
