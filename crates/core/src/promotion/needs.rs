//! Which primaries are to be replaced now, by what all nodes say.
//!
//! Groups whose primary is there, does not leave and is suspected by nobody need nothing, whatever the time:
//! they are looked at when the catalog changes, the others at each look.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::{CoordinationView, NodeVotes, Reason};
use crate::catalog::{Elector, Group, IndexedCatalog, Instance};
use crate::ids::{GroupName, InstanceName, NodeName};
use crate::routing::Role;
use crate::suspicion::Votes;

/// Time without a primary, where one was seen before, after which one is promoted.
const MISSING_FOR: Duration = Duration::from_millis(300);
/// The same where none was ever seen: instances may still be entering themselves.
const NEVER_SEEN_FOR: Duration = Duration::from_secs(2);
/// Time after an attempt that was called off before the next one.
const PAUSE: Duration = Duration::from_secs(1);

/// A primary that is to be replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// Why.
    pub reason: Reason,
    /// The primary, if one is known.
    pub former: Option<InstanceName>,
    /// Whether the reason still holds; an attempt that was left unfinished is finished in any case.
    pub wanted: bool,
    /// Whether an attempt has been begun: replicas may be stopped.
    pub begun: bool,
    /// Whether a promotion may have been sent by whoever began it.
    pub promoting: bool,
    /// Whether the last primary is one of the instances that are told, as a replica by now.
    pub last_primary_follows: bool,
}

impl Need {
    /// Whether it calls for somebody to act, rather than for whoever acts to go on.
    pub fn calls_for_action(&self) -> bool {
        self.wanted || self.promoting || self.reason == Reason::Unfinished
    }
}

/// What is remembered of one group.
#[derive(Clone, Debug, Default)]
struct History {
    /// The primary that was last told.
    primary: Option<InstanceName>,
    missing_since: Option<Instant>,
    third_since: Option<Instant>,
    paused_until: Option<Instant>,
}

impl History {
    /// The last primary, if it is not there any more: it may still run. One that is told as a replica
    /// has stepped down.
    fn vanished(&self, group: &Group) -> Option<InstanceName> {
        self.primary.clone().filter(|primary| group.instance(primary).is_none())
    }
}

/// Judges all groups.
#[derive(Clone, Debug, Default)]
pub struct NeedsJudge {
    groups: HashMap<GroupName, History>,
    /// Groups of the catalog that need something, or may once time has passed.
    unsettled: BTreeSet<GroupName>,
    judged: u64,
}

/// What needs are judged by.
#[derive(Clone, Copy, Debug)]
pub struct NeedsEvidence<'a> {
    /// The configuration.
    pub catalog: &'a IndexedCatalog,
    /// What the store says.
    pub view: &'a CoordinationView,
    /// This node and what it suspects, which the store may not say yet.
    pub own: (&'a NodeName, &'a NodeVotes),
    /// Nodes that live.
    pub live: &'a [NodeName],
    /// Nodes that the machine list names; none before it was read. A node that knows of few others,
    /// because it has just started or is cut off, must not take itself for most of them.
    pub listed: &'a [NodeName],
    /// The time.
    pub now: Instant,
}

impl NeedsJudge {
    /// Takes in a catalog that has come into force. To be called before the judgement goes by it.
    pub fn follow(&mut self, catalog: &IndexedCatalog) {
        let led = catalog.groups.iter().filter(|(_, group)| group.elector == Elector::Proxy);
        self.unsettled.clear();
        for (name, group) in led {
            let history = self.groups.entry(name.clone()).or_default();
            match group.leader(None).filter(|primary| !is_to_go(primary, group, catalog)) {
                Some(primary) if history.third_since.is_none() => {
                    history.primary = Some(primary.name.clone());
                    history.missing_since = None;
                }
                _ => drop(self.unsettled.insert(name.clone())),
            }
        }
        self.groups.retain(|name, _| catalog.groups.contains_key(name));
    }

    /// Needs by group.
    pub fn judge(&mut self, evidence: &NeedsEvidence) -> BTreeMap<GroupName, Need> {
        let mut needs = BTreeMap::new();
        for name in self.in_question(evidence) {
            let Some(group) = evidence.catalog.groups.get(&name) else { continue };
            if group.elector != Elector::Proxy {
                continue;
            }
            self.judged += 1;
            let history = self.groups.entry(name.clone()).or_default();
            let need = need_of(&name, group, history, evidence);
            if history.third_since.is_some() {
                self.unsettled.insert(name.clone());
            }
            needs.extend(need.map(|need| (name, need)));
        }
        needs
    }

    /// The groups that may need something.
    fn in_question(&self, evidence: &NeedsEvidence) -> BTreeSet<GroupName> {
        let others = evidence.view.votes.values();
        let voted = others.chain([evidence.own.1]).flat_map(|votes| votes.keys());
        let replaced = evidence.view.intents.keys();
        self.unsettled.iter().chain(voted).chain(replaced).cloned().collect()
    }

    /// How many judgements of single groups have been made so far.
    pub fn judged(&self) -> u64 {
        self.judged
    }

    /// An attempt was called off: the next one waits a while.
    pub fn on_called_off(&mut self, group: &GroupName, now: Instant) {
        self.groups.entry(group.clone()).or_default().paused_until = Some(now + PAUSE);
    }
}

/// Whether a primary is to be replaced as planned: it is leaving, or its zone is drained and an instance
/// elsewhere can lead.
fn is_to_go(primary: &Instance, group: &Group, catalog: &IndexedCatalog) -> bool {
    let may_lead = |instance: &Instance| catalog.accepts_work(instance);
    primary.leaving || (!may_lead(primary) && group.instances.iter().any(may_lead))
}

fn need_of(
    name: &GroupName,
    group: &Group,
    history: &mut History,
    evidence: &NeedsEvidence,
) -> Option<Need> {
    let now = evidence.now;
    let current = current_need(name, group, history, evidence);
    let is_paused = history.paused_until.is_some_and(|until| now < until);
    match (evidence.view.intents.get(name), current) {
        // Whoever began this is gone, or it is this node: what was begun is brought to an end.
        (Some(intent), current) => Some(Need {
            reason: current.as_ref().map_or(Reason::Unfinished, |need| need.reason),
            former: intent.former.clone(),
            wanted: current.is_some(),
            begun: true,
            promoting: intent.promoting,
            last_primary_follows: last_primary_follows(group, history),
        }),
        (None, Some(_)) if is_paused => None,
        (None, current) => current,
    }
}

fn current_need(
    name: &GroupName,
    group: &Group,
    history: &mut History,
    evidence: &NeedsEvidence,
) -> Option<Need> {
    let now = evidence.now;
    let last_primary_follows = last_primary_follows(group, history);
    let need = |reason, former| {
        let (wanted, begun, promoting) = (true, false, false);
        Some(Need { reason, former, wanted, begun, promoting, last_primary_follows })
    };
    let intent = evidence.view.intents.get(name);
    let former = intent.and_then(|intent| intent.former.as_ref());
    let Some(primary) = group.leader(former) else {
        let since = *history.missing_since.get_or_insert(now);
        let limit = if history.primary.is_some() { MISSING_FOR } else { NEVER_SEEN_FOR };
        let missing = !group.instances.is_empty() && now >= since + limit;
        return if missing { need(Reason::Missing, history.vanished(group)) } else { None };
    };
    history.primary = Some(primary.name.clone());
    history.missing_since = None;
    if is_to_go(primary, group, evidence.catalog) {
        return need(Reason::Leaving, Some(primary.name.clone()));
    }
    let votes = votes_against(name, group, &primary.name, history, evidence);
    match votes.suffice(now) {
        true => need(Reason::Suspected, Some(primary.name.clone())),
        false => None,
    }
}

/// Whether the instance that led last, as far as this node knows, is told as a replica: it has stepped down, and
/// holds what it has answered.
fn last_primary_follows(group: &Group, history: &History) -> bool {
    let last = history.primary.as_ref().or(group.promoted.as_ref());
    let told = last.and_then(|last| group.instance(last));
    told.is_some_and(|told| told.announced_role == Some(Role::Replica))
}

fn votes_against(
    name: &GroupName,
    group: &Group,
    primary: &InstanceName,
    history: &mut History,
    evidence: &NeedsEvidence,
) -> Votes {
    let (own, own_votes) = evidence.own;
    let against = |votes: &NodeVotes| votes.get(name).is_some_and(|vote| vote.instance == *primary);
    // Few nodes vote, and many live: the votes are gone through.
    let others = evidence.view.votes.iter().filter(|(node, votes)| *node != own && against(votes));
    let suspecting = others.filter(|(node, _)| evidence.live.contains(*node)).count()
        + usize::from(against(own_votes));
    // Only owners send the primary anything, so only they can suspect it.
    let nodes = evidence.live.len().max(evidence.listed.len());
    let voters = group.owner_count(nodes);
    if evidence.listed.is_empty() {
        return Votes::default();
    }
    history.third_since = match Votes::is_third(suspecting, voters) {
        true => history.third_since.or(Some(evidence.now)),
        false => None,
    };
    Votes { suspecting, voters, third_since: history.third_since }
}
