//! Decides which primaries have to be replaced now, from the catalog, the votes of all nodes and
//! the recorded intents.
//!
//! A group whose primary is present, is not leaving and is not suspected needs no replacement,
//! however much time passes. Such groups are evaluated only when the catalog changes, all others at
//! each step.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::known_callers::KnownCallers;
use super::{CoordinationView, Intent, NodeVotes, PromotionCaller, Reason};
use crate::catalog::{Elector, Group, IndexedCatalog, Instance};
use crate::ids::{GroupName, InstanceName, NodeName};
use crate::routing::Role;
use crate::suspicion::Votes;

/// How long a group has to be without a primary, after one was seen, before a replica is promoted.
const MISSING_DELAY: Duration = Duration::from_millis(300);
/// The same if no primary was ever seen: instances may still be registering themselves.
const NEVER_SEEN_DELAY: Duration = Duration::from_secs(2);
/// Delay between a cancelled attempt and the next one.
const CANCELLATION_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long a planned replacement requires the log position of a primary that runs. A primary that
/// leaves gets no requests after the platform's drain time, which has to suffice for the replacement
/// as well.
const OLD_PRIMARY_WAIT: Duration = Duration::from_secs(3);

/// A primary that has to be replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// Why the primary has to be replaced.
    pub reason: Reason,
    /// The primary to be replaced, if it is known.
    pub old_primary: Option<InstanceName>,
    /// Whether there is still a reason for a replacement. An unfinished attempt is completed in any
    /// case.
    pub is_current: bool,
    /// Whether an attempt was started earlier, so that replicas may be stopped.
    pub has_begun: bool,
    /// Whether the coordinator of the earlier attempt may have sent a promotion.
    pub may_have_promoted: bool,
    /// Whether the earlier coordinator waited for the old primary's log.
    pub awaits_log: bool,
    /// Whether the last primary is still reported by the platform and is a replica now.
    pub last_primary_is_replica: bool,
    /// Until when a planned replacement requires the old primary's log position. `None` if the
    /// replacement is not planned, or if enough nodes suspect the primary and no earlier coordinator
    /// may have had it step down.
    pub old_primary_required_until: Option<Instant>,
    /// Processes whose promotions of this group may not have ended.
    pub callers: Vec<PromotionCaller>,
    /// When this node first knew all of `callers`.
    pub callers_known_since: Option<Instant>,
}

impl Need {
    /// Whether a node has to become the coordinator for this need. Otherwise it only concerns a
    /// coordinator that already runs an attempt on the group.
    pub fn needs_coordinator(&self) -> bool {
        self.is_current || self.may_have_promoted || self.reason == Reason::Unfinished
    }
}

/// What the evaluator remembers of one group.
#[derive(Clone, Debug, Default)]
struct History {
    /// The last known primary.
    primary: Option<InstanceName>,
    missing_since: Option<Instant>,
    /// Since when the last known primary has needed a planned replacement.
    leaving_since: Option<Instant>,
    at_least_third_since: Option<Instant>,
    retry_not_before: Option<Instant>,
}

impl History {
    /// The last primary, if the group no longer lists it: it may still run. A last primary that is
    /// listed as a replica has stepped down. A node that has seen no primary since it started takes
    /// the one that was promoted last.
    fn vanished(&self, group: &Group) -> Option<InstanceName> {
        let last = self.primary.as_ref().or(group.promoted.as_ref());
        last.filter(|primary| group.instance(primary).is_none()).cloned()
    }
}

/// Evaluates which groups need a replacement of their primary.
#[derive(Clone, Debug, Default)]
pub struct NeedsEvaluator {
    groups: HashMap<GroupName, History>,
    known_callers: KnownCallers,
    /// Groups of the catalog that need a replacement, or may need one once time has passed.
    unsettled: BTreeSet<GroupName>,
    evaluation_count: u64,
}

/// The input of [`NeedsEvaluator::evaluate`].
#[derive(Clone, Copy, Debug)]
pub struct NeedsInput<'a> {
    /// This node's active catalog, which lists the groups and their instances. It must have been
    /// passed to [`NeedsEvaluator::apply_catalog`].
    pub catalog: &'a IndexedCatalog,
    /// This node's copy of the coordination data in the store.
    pub view: &'a CoordinationView,
    /// This node and its votes, which the store may not show yet.
    pub own: (&'a NodeName, &'a NodeVotes),
    /// The live nodes.
    pub live: &'a [NodeName],
    /// The nodes in the machine list; empty until the list was read. A node that knows few other
    /// nodes, because it has just started or is isolated, must not consider itself the majority.
    pub listed: &'a [NodeName],
    /// The current time.
    pub now: Instant,
}

impl NeedsEvaluator {
    /// Processes a newly activated catalog. Has to be called before [`Self::evaluate`] uses that
    /// catalog.
    pub fn apply_catalog(&mut self, catalog: &IndexedCatalog) {
        let proxy_elected =
            catalog.groups.iter().filter(|(_, group)| group.elector == Elector::Proxy);
        self.unsettled.clear();
        for (name, group) in proxy_elected {
            let history = self.groups.entry(name.clone()).or_default();
            match group
                .leader(None)
                .filter(|primary| !needs_planned_replacement(primary, group, catalog))
            {
                Some(primary) if history.at_least_third_since.is_none() => {
                    history.primary = Some(primary.name.clone());
                    history.missing_since = None;
                    history.leaving_since = None;
                }
                _ => drop(self.unsettled.insert(name.clone())),
            }
        }
        self.groups.retain(|name, _| catalog.groups.contains_key(name));
    }

    /// The groups whose primaries have to be replaced now.
    pub fn evaluate(&mut self, input: &NeedsInput) -> BTreeMap<GroupName, Need> {
        let mut needs = BTreeMap::new();
        self.known_callers.update(input.view, input.now);
        for name in self.groups_to_evaluate(input) {
            let Some(group) = input.catalog.groups.get(&name) else { continue };
            if group.elector != Elector::Proxy {
                continue;
            }
            self.evaluation_count += 1;
            let history = self.groups.entry(name.clone()).or_default();
            let need = need_of(&name, group, history, input);
            if history.at_least_third_since.is_some() {
                self.unsettled.insert(name.clone());
            }
            let Some(need) = need else { continue };
            let callers_known_since = self.known_callers.known_since(&name, &need.callers);
            needs.insert(name, Need { callers_known_since, ..need });
        }
        needs
    }

    /// The groups that may need a replacement.
    fn groups_to_evaluate(&self, input: &NeedsInput) -> BTreeSet<GroupName> {
        let others = input.view.votes.values();
        let voted = others.chain([input.own.1]).flat_map(|votes| votes.keys());
        let replaced = input.view.intents.keys();
        self.unsettled.iter().chain(voted).chain(replaced).cloned().collect()
    }

    /// How often single groups have been evaluated so far.
    pub fn evaluation_count(&self) -> u64 {
        self.evaluation_count
    }

    /// An attempt was cancelled: the next one is delayed.
    pub fn on_cancelled(&mut self, group: &GroupName, now: Instant) {
        self.groups.entry(group.clone()).or_default().retry_not_before =
            Some(now + CANCELLATION_RETRY_DELAY);
    }
}

/// Whether a primary needs a planned replacement: it is leaving, or its zone is drained and an
/// instance in another zone can be primary.
fn needs_planned_replacement(primary: &Instance, group: &Group, catalog: &IndexedCatalog) -> bool {
    let may_lead = |instance: &Instance| catalog.accepts_work(instance);
    primary.leaving || (!may_lead(primary) && group.instances.iter().any(may_lead))
}

fn need_of(
    name: &GroupName,
    group: &Group,
    history: &mut History,
    input: &NeedsInput,
) -> Option<Need> {
    let now = input.now;
    let current = current_need(name, group, history, input);
    let is_delayed = history.retry_not_before.is_some_and(|until| now < until);
    match (input.view.intents.get(name), current) {
        // This node, or a coordinator that has failed, started the attempt: it has to be completed.
        (Some(intent), current) => Some(Need {
            reason: current.as_ref().map_or(Reason::Unfinished, |need| need.reason),
            old_primary: intent.former.clone(),
            is_current: current.is_some(),
            has_begun: true,
            may_have_promoted: intent.promoting,
            awaits_log: intent.awaits_log,
            last_primary_is_replica: last_primary_is_replica(group, history),
            old_primary_required_until: current
                .and_then(|need| need.old_primary_required_until)
                .or_else(|| may_have_stepped_down(intent).then_some(now)),
            callers: all_callers(intent, open_callers(name, input.view)),
            callers_known_since: None,
        }),
        (None, Some(_)) if is_delayed => None,
        (None, current) => current,
    }
}

/// Whether the old primary may have stepped down for this planned replacement, with commits that the
/// replicas lack. A coordinator that continues the replacement then compares its log, if it answers,
/// for any reason that it finds: an old primary that has stepped down is missing, and one whose
/// replicas are stopped is suspected.
fn may_have_stepped_down(intent: &Intent) -> bool {
    intent.promoting && intent.reason == Reason::Leaving
}

fn current_need(
    name: &GroupName,
    group: &Group,
    history: &mut History,
    input: &NeedsInput,
) -> Option<Need> {
    let now = input.now;
    let last_primary_is_replica = last_primary_is_replica(group, history);
    let need = |reason, old_primary| {
        let (is_current, has_begun, may_have_promoted, awaits_log) = (true, false, false, false);
        Some(Need {
            reason,
            old_primary,
            is_current,
            has_begun,
            may_have_promoted,
            awaits_log,
            last_primary_is_replica,
            old_primary_required_until: None,
            callers: open_callers(name, input.view),
            callers_known_since: None,
        })
    };
    let intent = input.view.intents.get(name);
    let old_primary = intent.and_then(|intent| intent.former.as_ref());
    let Some(primary) = group.leader(old_primary) else {
        let since = *history.missing_since.get_or_insert(now);
        let limit = if history.primary.is_some() { MISSING_DELAY } else { NEVER_SEEN_DELAY };
        let is_missing = !group.instances.is_empty() && now >= since + limit;
        return if is_missing { need(Reason::Missing, history.vanished(group)) } else { None };
    };
    if history.primary.as_ref() != Some(&primary.name) {
        history.leaving_since = None;
    }
    history.primary = Some(primary.name.clone());
    history.missing_since = None;
    let votes = votes_against(name, group, &primary.name, history, input);
    if needs_planned_replacement(primary, group, input.catalog) {
        let since = *history.leaving_since.get_or_insert(now);
        let until = (!votes.are_sufficient(now)).then_some(since + OLD_PRIMARY_WAIT);
        let need = need(Reason::Leaving, Some(primary.name.clone()));
        return need.map(|need| Need { old_primary_required_until: until, ..need });
    }
    history.leaving_since = None;
    match votes.are_sufficient(now) {
        true => need(Reason::Suspected, Some(primary.name.clone())),
        false => None,
    }
}

/// The callers that the intent names and those that the group's last replacement has left. A
/// cancelled attempt names none in its intent.
fn all_callers(intent: &Intent, left: Vec<PromotionCaller>) -> Vec<PromotionCaller> {
    let mut callers = intent.open_callers();
    let others: Vec<_> = left.into_iter().filter(|caller| !callers.contains(caller)).collect();
    callers.extend(others);
    callers
}

/// Processes whose promotions may not have ended when the group's last replacement finished.
fn open_callers(group: &GroupName, view: &CoordinationView) -> Vec<PromotionCaller> {
    view.open_callers.get(group).cloned().unwrap_or_default()
}

/// Whether the platform reports the last primary that this node knows as a replica. It has then
/// stepped down, and has every commit that it acknowledged.
fn last_primary_is_replica(group: &Group, history: &History) -> bool {
    let last = history.primary.as_ref().or(group.promoted.as_ref());
    let instance = last.and_then(|last| group.instance(last));
    instance.is_some_and(|instance| instance.announced_role == Some(Role::Replica))
}

fn votes_against(
    name: &GroupName,
    group: &Group,
    primary: &InstanceName,
    history: &mut History,
    input: &NeedsInput,
) -> Votes {
    let (own, own_votes) = input.own;
    let against = |votes: &NodeVotes| votes.get(name).is_some_and(|vote| vote.instance == *primary);
    // Few nodes vote and many are live, so this iterates over the votes.
    let others = input.view.votes.iter().filter(|(node, votes)| *node != own && against(votes));
    let suspecting = others.filter(|(node, _)| input.live.contains(*node)).count()
        + usize::from(against(own_votes));
    // Only owners send exchanges to the primary, so only they can suspect it.
    let nodes = input.live.len().max(input.listed.len());
    let voters = group.owner_count(nodes);
    if input.listed.is_empty() {
        return Votes::default();
    }
    history.at_least_third_since = match Votes::reaches_third(suspecting, voters) {
        true => history.at_least_third_since.or(Some(input.now)),
        false => None,
    };
    Votes { suspecting, voters, at_least_third_since: history.at_least_third_since }
}
