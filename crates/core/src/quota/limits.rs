//! The limits that a granter goes by: those of the configuration, but that a lowered one holds on for a window.

use std::collections::HashMap;
use std::time::Instant;

use super::LOWERED_LIMIT_DELAY;
use crate::catalog::Quota;
use crate::ids::AccountName;

/// What was known of an account's limit.
#[derive(Clone, Copy, Debug)]
struct LimitHistory {
    /// The limit of the configuration.
    configured: Quota,
    /// The higher one before it, and when it was lowered.
    before: Option<(Quota, Instant)>,
}

/// Limits by account.
#[derive(Debug, Default)]
pub(super) struct Limits {
    known: HashMap<AccountName, LimitHistory>,
}

impl Limits {
    /// The limit to go by at `now`, where the configuration has `configured`.
    pub fn effective_limit(
        &mut self,
        account: &AccountName,
        configured: Quota,
        now: Instant,
    ) -> Quota {
        let Some(known) = self.known.get_mut(account) else {
            self.known.insert(account.clone(), LimitHistory { configured, before: None });
            return configured;
        };
        if known.configured != configured {
            let former = known.before.map_or(known.configured, |(former, _)| former);
            let is_lower =
                configured.per_second < former.per_second || configured.burst < former.burst;
            known.before = is_lower.then_some((former, now));
            known.configured = configured;
        }
        match known.before {
            Some((former, at)) if now < at + LOWERED_LIMIT_DELAY => Quota {
                per_second: former.per_second.max(configured.per_second),
                burst: former.burst.max(configured.burst),
            },
            _ => configured,
        }
    }

    /// Forgets accounts for which `keeps` does not hold.
    pub fn retain(&mut self, keeps: impl Fn(&AccountName) -> bool) {
        self.known.retain(|account, _| keeps(account));
    }
}
