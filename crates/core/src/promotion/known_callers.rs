//! Since when this node has known of the processes whose promotions may not have ended.
//!
//! The limit of the wait for such a process counts from then. A machine that was lost while it had
//! a promotion open would otherwise delay every later replacement of the group by the whole limit,
//! however long ago it was lost.

use std::collections::HashMap;
use std::time::Instant;

use super::{CoordinationView, PromotionCaller};
use crate::ids::GroupName;

/// The callers of all groups, and when this node first saw each of them.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownCallers {
    groups: HashMap<GroupName, HashMap<PromotionCaller, Instant>>,
}

impl KnownCallers {
    /// Processes what the store shows at `now`.
    pub fn update(&mut self, view: &CoordinationView, now: Instant) {
        if self.groups.is_empty() && view.intents.is_empty() && view.open_callers.is_empty() {
            return;
        }
        let mut shown: HashMap<GroupName, HashMap<PromotionCaller, Instant>> = HashMap::new();
        for (group, caller) in callers_in(view) {
            let known = self.groups.get(&group).and_then(|callers| callers.get(&caller));
            let since = known.copied().unwrap_or(now);
            shown.entry(group).or_default().insert(caller, since);
        }
        self.groups = shown;
    }

    /// When this node first knew all of `callers`; `None` if there are none, or it does not know one
    /// of them.
    pub fn known_since(&self, group: &GroupName, callers: &[PromotionCaller]) -> Option<Instant> {
        let known = self.groups.get(group)?;
        let since: Option<Vec<Instant>> =
            callers.iter().map(|caller| known.get(caller).copied()).collect();
        since?.into_iter().max()
    }
}

fn callers_in(view: &CoordinationView) -> impl Iterator<Item = (GroupName, PromotionCaller)> {
    let of_intents =
        view.intents.iter().map(|(group, intent)| (group.clone(), intent.open_callers()));
    let left = view.open_callers.iter().map(|(group, callers)| (group.clone(), callers.clone()));
    of_intents
        .chain(left)
        .flat_map(|(group, callers)| callers.into_iter().map(move |caller| (group.clone(), caller)))
}
