//! Requests to open a connection of an account before its first statement arrives.

use std::time::{Duration, Instant};

use crate::ids::AccountName;

/// How long a request is kept if no connection can be opened for it. A client sends its first
/// statement within this time, or is unlikely to need the connection soon.
pub const REQUEST_LIFETIME: Duration = Duration::from_millis(500);
/// Most requests kept for one instance, which bounds the memory that logins can use.
pub const MAX_REQUESTS: usize = 64;

/// Accounts whose clients have logged in and that may need a connection to one instance, in the
/// order of their requests.
#[derive(Debug, Default)]
pub struct AdvanceRequests {
    requests: Vec<(AccountName, Instant)>,
}

impl AdvanceRequests {
    /// Records a request. A further request of the same account only renews it.
    pub fn add(&mut self, account: AccountName, now: Instant) {
        self.remove_expired(now);
        self.remove(&account);
        if self.requests.len() < MAX_REQUESTS {
            self.requests.push((account, now));
        }
    }

    /// Takes the first account for which a connection may be opened in advance. Requests of
    /// accounts that `has_connection` are dropped: an idle connection, or one that is being opened,
    /// serves the first statement as well.
    pub fn take_next(
        &mut self,
        now: Instant,
        has_connection: impl Fn(&AccountName) -> bool,
    ) -> Option<AccountName> {
        self.remove_expired(now);
        self.requests.retain(|(account, _)| !has_connection(account));
        (!self.requests.is_empty()).then(|| self.requests.remove(0).0)
    }

    /// Whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn remove(&mut self, account: &AccountName) {
        self.requests.retain(|(known, _)| known != account);
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_recent = |since: Instant| now.saturating_duration_since(since) < REQUEST_LIFETIME;
        self.requests.retain(|(_, since)| is_recent(*since));
    }
}
