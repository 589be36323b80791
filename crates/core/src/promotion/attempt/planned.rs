//! A planned replacement has an old primary that runs, so its log is compared as well before an
//! instance is promoted. The instances that the store lists need not be all that receive commits: one
//! that joins receives them, and counts for their acknowledgement, before its entry is in the store.
//!
//! Two steps. While evidence expires the old primary is queried: if its log ends beyond those of the
//! stopped instances, the attempt is cancelled, and they receive the rest before the next one. Before
//! the promotion it steps down: the log with which it does so has every commit that was acknowledged.
//!
//! Neither is required if all nodes have reported that they have acknowledged no other commits, and
//! both only for a limited time: an old primary that leaves must get no requests for long. An attempt
//! that has begun within this time takes the second step even if the time has passed meanwhile, and
//! then waits for the answer no longer than for a replica's. So does one that continues an attempt in
//! which a promotion may have been sent: it cannot be cancelled, and the old primary may already have
//! stepped down with the longest log.

use std::time::Instant;

use super::log_evidence::order;
use super::{Attempt, Command};
use crate::ids::InstanceName;
use crate::promotion::{Phase, Reason};

impl Attempt {
    /// Decides whether the attempt requires the old primary's log now.
    pub(super) fn update_old_primary_requirement(&mut self, now: Instant) {
        self.requires_old_primary = self.sent_promotions == 0
            && self.old_primary_limit(now).is_some_and(|limit| now < limit);
    }

    /// Until when the attempt requires the old primary's log. An attempt that has begun in time has
    /// the old primary step down whenever it comes to that: evidence may expire later than the time
    /// ends, and the old primary may have acknowledged commits until then. Once the old primary has
    /// stepped down, there is time to stop it as well and to wait for evidence to expire.
    fn old_primary_limit(&self, now: Instant) -> Option<Instant> {
        let until = self.old_primary_required_until?;
        let has_begun_in_time =
            self.earlier_may_have_promoted || self.first_stops_at.unwrap_or(now) < until;
        if !has_begun_in_time {
            return Some(until);
        }
        let replica_since = self.old_primary_state.replica_since;
        let asked_at = self.step_down_requested_at.or(replica_since).unwrap_or(now);
        let limit = until.max(asked_at + self.timing.stopping_timeout);
        Some(match replica_since {
            Some(since) => {
                limit.max(since) + self.timing.evidence_lifetime + self.timing.stopping_timeout
            }
            None => limit,
        })
    }

    /// The stopped instances that still have their logs.
    fn stopped_with_logs(&self) -> Vec<&InstanceName> {
        self.stopped.keys().filter(|name| self.has_usable_log(name)).collect()
    }

    /// Whether the next promotion requires the old primary's log.
    fn is_old_primary_log_required(&self) -> bool {
        self.requires_old_primary
            && !self.old_primary_refuses_connections()
            && !self.reach_acknowledged_position(&self.stopped_with_logs())
    }

    /// Waits until no node has evidence of the old primary any more.
    pub(super) fn lapse(&mut self, since: Instant, now: Instant, commands: &mut Vec<Command>) {
        let lifetime = match self.evidence_revoked {
            true => self.timing.unlisted_evidence_lifetime,
            false => self.timing.evidence_lifetime,
        };
        let wait = lifetime.saturating_sub(self.timing.min_promotion_time);
        let has_lapsed = now >= since + wait || self.old_primary_refuses_connections();
        let lacks_log = !self.may_have_promoted()
            && self.old_primary_required_until.is_some_and(|until| now < until)
            && self.is_old_primary_log_required()
            && !self.have_reached_old_primary();
        if lacks_log && now >= since + self.timing.stopping_timeout {
            self.phase = Phase::Cancelling { until: now + self.timing.release_timeout };
        } else if lacks_log {
            self.query_old_primary(now, commands);
        } else if has_lapsed {
            self.phase = Phase::Checking;
        }
    }

    /// Whether one of the stopped instances has the log up to the position that the old primary has
    /// reported since they were stopped.
    fn have_reached_old_primary(&self) -> bool {
        let state = &self.old_primary_state;
        let has_answered = self.stopped_since.is_some_and(|stopped_since| {
            state.last_answered.is_some_and(|answered| answered >= stopped_since)
        });
        let highest = self.highest_position(&self.stopped_with_logs()).map(order);
        has_answered && highest >= state.received.map(order)
    }

    /// Has the old primary step down, if its log is required. Cancels an attempt that would promote
    /// an instance which leaves as well, as long as the old primary has not stepped down; returns
    /// whether the attempt goes on.
    pub(super) fn step_down_old_primary(
        &mut self,
        now: Instant,
        commands: &mut Vec<Command>,
    ) -> bool {
        if !self.is_old_primary_log_required() {
            return true;
        }
        let best = self.best_candidate();
        if best.is_some_and(|best| self.would_need_another_replacement(&best)) {
            self.phase = Phase::Cancelling { until: now + self.timing.release_timeout };
            return false;
        }
        // The recorded intent says that a promotion may be sent, so that a later coordinator ends
        // the replacement with a primary.
        self.step_down_requested_at.get_or_insert(now);
        self.demote_old_primary(now, commands);
        true
    }

    /// Whether the attempt waits for the old primary's answer that it is a replica.
    pub(super) fn awaits_step_down(&self) -> bool {
        self.is_old_primary_log_required() && !self.old_primary_state.is_replica
    }

    /// Whether the attempt has just stopped waiting for that answer.
    pub(super) fn gives_up_step_down(&mut self) -> bool {
        std::mem::take(&mut self.has_awaited_step_down) && !self.old_primary_state.is_replica
    }

    /// When the instances have to be queried that confirm that they are still stopped, in a check
    /// that began at `check_began`. Not long before the old primary stepped down, since that may
    /// take long.
    pub(super) fn earliest_confirmation(&self, check_began: Instant) -> Instant {
        let has_asked = self.step_down_requested_at.is_some();
        let since = self.old_primary_state.replica_since.filter(|_| has_asked);
        let earliest = since.and_then(|since| since.checked_sub(self.timing.retry_interval));
        earliest.unwrap_or(check_began)
    }

    /// Whether the old primary has stepped down with a log that ends beyond those of `usable`, which
    /// are not known to have every acknowledged commit. It is then one of the instances that are
    /// stopped and compared.
    pub(super) fn lack_commits_of_old_primary(&self, usable: &[&InstanceName]) -> bool {
        self.requires_old_primary
            && self.old_primary_state.is_replica
            && !self.old_primary_refuses_connections()
            && !self.include_log_of_old_primary(usable)
    }

    /// Whether one of `usable` has every commit of the old primary that has been acknowledged: that
    /// one has stepped down with no longer log, or all nodes have reported which commits they have
    /// acknowledged.
    fn include_log_of_old_primary(&self, usable: &[&InstanceName]) -> bool {
        let state = &self.old_primary_state;
        let has_reached = self.highest_position(usable).map(order) >= state.received.map(order);
        state.is_replica && has_reached || self.reach_acknowledged_position(usable)
    }

    /// Whether a planned attempt promotes an instance though nothing shows that it has every commit
    /// of the old primary: that one has not answered in time, or its log ends beyond.
    pub fn lacks_old_primary_log(&self) -> bool {
        let chosen: Vec<&InstanceName> = self.chosen.iter().collect();
        let is_planned =
            self.intent.reason == Reason::Leaving || self.old_primary_required_until.is_some();
        is_planned
            && self.sent_promotions == 1
            && !self.old_primary_refuses_connections()
            && !self.include_log_of_old_primary(&chosen)
    }
}
