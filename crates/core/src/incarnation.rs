//! Identifies the process of an instance that an entry in the store describes.
//!
//! An instance may restart under the same name. The new process has neither the state of the
//! previous one nor anything that was sent to it, so everything that a node remembers about an
//! instance is valid for one incarnation only. Incarnations are compared only for equality, because
//! the clock that numbers them may be set back between two starts. The store's revisions show which
//! entry is newer.

use serde::{Deserialize, Serialize};

/// Start time of an instance's process, in milliseconds since 1970 by the clock of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceIncarnation(pub u64);

/// Whether an instance has restarted between two entries. Where the platform reports no
/// incarnations, an instance counts as never restarted.
pub fn has_restarted(
    previous: Option<InstanceIncarnation>,
    current: Option<InstanceIncarnation>,
) -> bool {
    previous.is_some() && current.is_some() && previous != current
}
