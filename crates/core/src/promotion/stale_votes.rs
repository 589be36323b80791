//! Detects that the store has other votes of this node than the node published last.
//!
//! A write that was given up, or that belongs to an earlier process of the node, may take effect
//! after a later one. The votes that it leaves would count until the node's votes change: where few
//! nodes vote, one of them is enough for a needless replacement.

use std::time::{Duration, Instant};

use super::NodeVotes;

/// Time for which the store must have shown other votes. The mirror may show a change of the store
/// up to half a second late.
pub const STALE_VOTES_DELAY: Duration = Duration::from_millis(700);

/// Since when the store shows other votes of this node than those that it published last.
#[derive(Clone, Debug, Default)]
pub struct StaleVotes {
    different_since: Option<Instant>,
}

impl StaleVotes {
    /// Whether the votes that were `published` last have to be published again: the mirror has
    /// shown others `in_store` for [`STALE_VOTES_DELAY`].
    pub fn must_publish_again(
        &mut self,
        published: &NodeVotes,
        in_store: Option<&NodeVotes>,
        now: Instant,
    ) -> bool {
        let is_same = in_store.map_or(published.is_empty(), |in_store| in_store == published);
        if is_same {
            self.different_since = None;
            return false;
        }
        let since = *self.different_since.get_or_insert(now);
        let is_due = now >= since + STALE_VOTES_DELAY;
        if is_due {
            self.different_since = Some(now);
        }
        is_due
    }

    /// Starts the delay again: the node has just published votes, or the mirror does not follow the
    /// store.
    pub fn restart_delay(&mut self) {
        self.different_since = None;
    }
}
