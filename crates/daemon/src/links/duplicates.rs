//! Resolves duplicate connections between the same two processes: decides which of the two stays.
//!
//! Each end decides on its own, and the two connections may be established in a different order at
//! each end. Both must decide the same: a node sends only on the connection that it keeps and reads
//! nothing from the other, so with different decisions neither end would receive anything.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;

/// Identifies a connection at both of its ends: the random nonce in the opener's hello.
pub type LinkId = [u8; 16];

/// What both ends know about a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkInfo {
    /// Identifier of the connection.
    pub id: LinkId,
    /// The node that opened it.
    pub opener: NodeName,
    /// The connection that the opener has retired because the other node was silent on it.
    pub replaces: Option<LinkId>,
    /// When it was opened or accepted, by this end's clock.
    pub opened_at: Instant,
}

/// Which of two connections stays, and why. The newer one is the one established last at this end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateResolution {
    /// The newer one stays: its opener retired the older one and opened it as the replacement.
    NewerReplaces,
    /// The older one stays: its opener retired the newer one and opened it as the replacement.
    OlderReplaces,
    /// The newer one stays: its opener no longer has the older one. It closed that one before the
    /// handshake was complete at its end, or the connection broke without this end noticing.
    NewerSupersedes,
    /// Both nodes connected at the same time, and the newer one stays.
    CrossedNewerStays,
    /// Both nodes connected at the same time, and the older one stays.
    CrossedOlderStays,
}

impl DuplicateResolution {
    /// Whether the newer connection stays.
    pub fn keeps_newer(self) -> bool {
        matches!(self, Self::NewerReplaces | Self::NewerSupersedes | Self::CrossedNewerStays)
    }

    /// Whether the connection that goes was retired because a node was silent on it.
    pub fn replaces_silent(self) -> bool {
        matches!(self, Self::NewerReplaces | Self::OlderReplaces)
    }
}

impl LinkInfo {
    /// Decides between this connection and `older`, which was established before it at this end.
    ///
    /// A connection that was opened to replace the other one stays. If both nodes connected at
    /// about the same time, the connection stays that the node with the lesser name opened.
    /// Otherwise the newer one stays, because its opener no longer has the older one.
    /// `max_handshake` is the longest time that a handshake may take.
    pub fn resolve_duplicate(&self, older: &Self, max_handshake: Duration) -> DuplicateResolution {
        if self.replaces == Some(older.id) {
            return DuplicateResolution::NewerReplaces;
        }
        if older.replaces == Some(self.id) {
            return DuplicateResolution::OlderReplaces;
        }
        let apart = self.opened_at.max(older.opened_at) - self.opened_at.min(older.opened_at);
        // Each end sees the other end's connection later by the time that it took to arrive.
        if apart >= max_handshake * 2 || self.opener == older.opener {
            return DuplicateResolution::NewerSupersedes;
        }
        match self.opener < older.opener {
            true => DuplicateResolution::CrossedNewerStays,
            false => DuplicateResolution::CrossedOlderStays,
        }
    }
}
