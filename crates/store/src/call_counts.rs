//! Numbers of calls to the store by their result.

use crate::store::StoreError;

/// Numbers of calls by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Answered.
    pub answered: u64,
    /// Not sent, because the store was unreachable.
    pub unreachable: u64,
    /// Sent but not answered.
    pub unanswered: u64,
    /// Refused by the store's rate limit.
    pub rate_limited: u64,
    /// Answered in violation of the protocol.
    pub protocol: u64,
}

impl CallCounts {
    /// Counts a call with this result.
    pub fn count<A>(&mut self, result: &Result<A, StoreError>) {
        *match result {
            Ok(_) => &mut self.answered,
            Err(StoreError::Unreachable(_)) => &mut self.unreachable,
            Err(StoreError::Unanswered(_)) => &mut self.unanswered,
            Err(StoreError::RateLimited { .. }) => &mut self.rate_limited,
            Err(StoreError::Protocol(_)) => &mut self.protocol,
        } += 1;
    }
}
