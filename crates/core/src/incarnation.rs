//! Which start of an instance's process an entry speaks of.
//!
//! An instance may start again under its name. The new process holds nothing of what the one before held,
//! and knows nothing of what that one was told, so whatever is remembered of an instance ends with its
//! incarnation. Two are compared for equality alone: the clock that numbers them may be set back between
//! two starts. Which entry is the newer one the store's revisions tell.

use serde::{Deserialize, Serialize};

/// The start of an instance's process, in milliseconds since 1970 by the clock of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceIncarnation(pub u64);

/// Whether an instance has started again between two entries. Instances of platforms that tell no starts
/// always are the same one.
pub fn has_restarted(
    before: Option<InstanceIncarnation>,
    now: Option<InstanceIncarnation>,
) -> bool {
    before.is_some() && now.is_some() && before != now
}
