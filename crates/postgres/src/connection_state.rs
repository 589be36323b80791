//! What callers have left on a back-end connection, and how it is put right between them.

use kestrellock_core::session_state::SessionSetting;

/// Drops everything that a caller may have left behind, prepared statements among it.
pub const RESET: &str = "DISCARD ALL";
const RESET_SETTINGS: &str = "RESET ALL";

/// State of one connection beyond its transaction.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ConnectionState {
    /// Settings in force.
    settings: Vec<SessionSetting>,
    tainted: bool,
}

impl ConnectionState {
    /// What must run before a caller with these settings may use the connection, if anything.
    pub fn preparation(&self, wanted: &[SessionSetting]) -> Option<String> {
        if self.settings == wanted {
            return None;
        }
        let statements = wanted.iter().map(|setting| setting.statement.as_str());
        let reset = (!self.settings.is_empty()).then_some(RESET_SETTINGS);
        let all: Vec<&str> = reset.into_iter().chain(statements).collect();
        Some(all.join("; "))
    }

    /// The preparation succeeded.
    pub fn on_prepared(&mut self, settings: &[SessionSetting]) {
        self.settings = settings.to_vec();
    }

    /// The caller runs something after which nothing is certain.
    pub fn taint(&mut self) {
        self.tainted = true;
    }

    /// Whether the connection must be reset before another caller uses it.
    pub fn is_tainted(&self) -> bool {
        self.tainted
    }

    /// [`RESET`] succeeded.
    pub fn on_reset(&mut self) {
        *self = Self::default();
    }
}
