//! The limits that an allocator applies: those of the configuration, except that a lowered limit
//! takes effect only after `LOWERED_LIMIT_DELAY`.

use std::collections::HashMap;
use std::time::Instant;

use super::LOWERED_LIMIT_DELAY;
use crate::catalog::Quota;
use crate::ids::AccountName;

/// The current and the previous limit of an account.
#[derive(Clone, Copy, Debug)]
struct LimitHistory {
    /// Limit in the configuration.
    configured: Quota,
    /// The higher limit that applied earlier, and when it was lowered.
    previous: Option<(Quota, Instant)>,
}

/// Limit histories by account.
#[derive(Debug, Default)]
pub(super) struct Limits {
    histories: HashMap<AccountName, LimitHistory>,
}

impl Limits {
    /// The limit that applies at `now`, given the limit in the configuration.
    pub fn effective_limit(
        &mut self,
        account: &AccountName,
        configured: Quota,
        now: Instant,
    ) -> Quota {
        let Some(history) = self.histories.get_mut(account) else {
            self.histories.insert(account.clone(), LimitHistory { configured, previous: None });
            return configured;
        };
        if history.configured != configured {
            let previous = history.previous.map_or(history.configured, |(previous, _)| previous);
            let is_lower =
                configured.per_second < previous.per_second || configured.burst < previous.burst;
            history.previous = is_lower.then_some((previous, now));
            history.configured = configured;
        }
        match history.previous {
            Some((previous, at)) if now < at + LOWERED_LIMIT_DELAY => Quota {
                per_second: previous.per_second.max(configured.per_second),
                burst: previous.burst.max(configured.burst),
            },
            _ => configured,
        }
    }

    /// Drops accounts for which `keeps` returns false.
    pub fn retain(&mut self, keeps: impl Fn(&AccountName) -> bool) {
        self.histories.retain(|account, _| keeps(account));
    }
}
