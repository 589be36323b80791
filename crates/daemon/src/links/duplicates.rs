//! Two connections between the same two processes: which of them stays.
//!
//! Both ends decide by themselves, in whatever order the two connections come to stand for each, and must come to
//! the same end: a node sends on the one that it keeps, and reads nothing on the other.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;

/// Names a connection to both of its ends: what the opener's introduction drew at random.
pub type LinkId = [u8; 16];

/// What both ends know of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkInfo {
    /// The connection.
    pub id: LinkId,
    /// The node that opened it.
    pub opener: NodeName,
    /// The connection that the opener has retired, because the other node was not heard on it.
    pub replaces: Option<LinkId>,
    /// When it was begun, by this end's clock.
    pub opened_at: Instant,
}

/// Which of two connections stays, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateResolution {
    /// The newer one: the other is out of use at its opener's end.
    NewerReplaces,
    /// The older one, which its opener opened in place of the newer one.
    OlderReplaces,
    /// The newer one: its opener opened it without knowing of the other any more, which it gave up before that
    /// stood for it, or which broke unseen by this end.
    NewerSupersedes,
    /// They crossed, and the newer one stays.
    CrossedNewerStays,
    /// They crossed, and the older one stays.
    CrossedOlderStays,
}

impl DuplicateResolution {
    /// Whether the newer one stays.
    pub fn keeps_newer(self) -> bool {
        matches!(self, Self::NewerReplaces | Self::NewerSupersedes | Self::CrossedNewerStays)
    }

    /// Whether a node was not heard on the one that goes.
    pub fn replaces_silent(self) -> bool {
        matches!(self, Self::NewerReplaces | Self::OlderReplaces)
    }
}

impl LinkInfo {
    /// What becomes of this connection, which has come to stand after `older` did at this end, and of that one.
    ///
    /// One that was opened to replace the other stays. Of two that were begun at about the same moment the one
    /// stays that the node of lesser name opened. Otherwise the opener of the newer one knows no other any more.
    /// `handshake` is the longest time in which a connection comes to stand.
    pub fn resolve_duplicate(&self, older: &Self, max_handshake: Duration) -> DuplicateResolution {
        if self.replaces == Some(older.id) {
            return DuplicateResolution::NewerReplaces;
        }
        if older.replaces == Some(self.id) {
            return DuplicateResolution::OlderReplaces;
        }
        let apart = self.opened_at.max(older.opened_at) - self.opened_at.min(older.opened_at);
        // Each end sees the other's beginning by the time that it took to arrive.
        if apart >= max_handshake * 2 || self.opener == older.opener {
            return DuplicateResolution::NewerSupersedes;
        }
        match self.opener < older.opener {
            true => DuplicateResolution::CrossedNewerStays,
            false => DuplicateResolution::CrossedOlderStays,
        }
    }
}
