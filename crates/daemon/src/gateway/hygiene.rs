//! What callers have left on a back-end connection, and how it is put right between them.

/// Drops everything that a caller may have left behind, prepared statements among it.
pub const RESET: &str = "DISCARD ALL";
const RESET_SETTINGS: &str = "RESET ALL";

/// State of one connection beyond its transaction.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Hygiene {
    /// Statements whose settings are in force.
    settings: String,
    tainted: bool,
}

impl Hygiene {
    /// What must run before a caller with these settings may use the connection, if anything.
    pub fn preparation(&self, wanted: &str) -> Option<String> {
        match (self.settings.as_str(), wanted) {
            (current, wanted) if current == wanted => None,
            ("", wanted) => Some(wanted.to_owned()),
            (_, "") => Some(RESET_SETTINGS.to_owned()),
            (_, wanted) => Some(format!("{RESET_SETTINGS}; {wanted}")),
        }
    }

    /// The preparation succeeded.
    pub fn on_prepared(&mut self, settings: &str) {
        settings.clone_into(&mut self.settings);
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
