//! Decides whether this node suspects a primary: by its own exchanges and, if these are not recent, by
//! a direct status query. Without the query, votes of other nodes alone would replace a primary that
//! this node has not used lately.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::Cause;

use super::Watcher;

/// A primary whose last response is more recent than this is not suspected because of other nodes'
/// votes.
const RECENT_RESPONSE_AGE: Duration = Duration::from_millis(100);

impl Watcher<'_> {
    /// Why this node suspects the primary of a group, if it does.
    pub(super) fn suspect(
        &mut self,
        group: &GroupName,
        primary: &InstanceName,
        now: Instant,
    ) -> Option<Cause> {
        let mut signs = self.context.statuses.signs(group, primary);
        if signs.is_outdated && !self.reports_outdated_term(group, primary) {
            // The known term may be from before this instance was promoted again, so query it
            // first.
            signs.is_outdated = false;
            self.query_status(group, primary);
        }
        if let Some(cause) = self.judge.suspect(&signs, now) {
            return Some(cause);
        }
        let is_recent = signs.last_answer.is_some_and(|at| now < at + RECENT_RESPONSE_AGE);
        if !is_recent && self.is_suspected_elsewhere(group, primary) {
            self.query_status(group, primary);
        }
        if is_recent {
            return None;
        }
        self.status_queries.assessment_of(group, primary)?.cause
    }

    /// Whether a recent status query showed that the primary leads a lower term than the newest
    /// known one.
    fn reports_outdated_term(&self, group: &GroupName, primary: &InstanceName) -> bool {
        let assessment = self.status_queries.assessment_of(group, primary);
        assessment.is_some_and(|assessment| assessment.cause == Some(Cause::Outdated))
    }

    fn is_suspected_elsewhere(&self, group: &GroupName, primary: &InstanceName) -> bool {
        let own = &self.context.identity.node;
        let others = self.view_with_votes.votes.iter().filter(|(node, _)| *node != own);
        let mut votes = others.filter_map(|(_, votes)| votes.get(group));
        votes.any(|vote| vote.instance == *primary)
    }

    /// Sends a status query to a primary.
    fn query_status(&mut self, group: &GroupName, primary: &InstanceName) {
        let Some(target) = self.logs.target(group, primary) else { return };
        let highest = self.context.statuses.highest_led_term(group);
        self.status_queries.query(target, highest, self.services);
    }

    /// Sends status queries to the other instances of a group that report the role of primary. A
    /// node that cannot reach the store may use one of them as the primary; an instance that leads
    /// a lower term than the newest known one is ordered to step down.
    pub(super) fn query_other_primaries(
        &mut self,
        name: &GroupName,
        group: &Group,
        primary: &InstanceName,
    ) {
        let reports_primary = |instance: &&Instance| instance.announced_role == Some(Role::Primary);
        let others = group
            .instances
            .iter()
            .filter(reports_primary)
            .filter(|instance| instance.name != *primary);
        let others: Vec<InstanceName> = others.map(|instance| instance.name.clone()).collect();
        for other in others {
            self.query_status(name, &other);
        }
    }
}
