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
pub struct LinkClaim {
    /// The connection.
    pub id: LinkId,
    /// The node that opened it.
    pub opener: NodeName,
    /// The connection that the opener has retired, because the other node was not heard on it.
    pub replaces: Option<LinkId>,
    /// When it was begun, by this end's clock.
    pub begun: Instant,
}

/// Which of two connections stays, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The newer one: the other is out of use at its opener's end.
    NewerReplaces,
    /// The older one, which its opener opened in place of the newer one.
    OlderReplaces,
    /// The newer one: its opener opened it without knowing of the other any more, which it gave up before that
    /// stood for it, or which broke unseen by this end.
    NewerSupersedes,
    /// They crossed, and the newer one stays.
    CrossedForNewer,
    /// They crossed, and the older one stays.
    CrossedForOlder,
}

impl Settled {
    /// Whether the newer one stays.
    pub fn keeps_newer(self) -> bool {
        matches!(self, Self::NewerReplaces | Self::NewerSupersedes | Self::CrossedForNewer)
    }

    /// Whether a node was not heard on the one that goes.
    pub fn was_silent(self) -> bool {
        matches!(self, Self::NewerReplaces | Self::OlderReplaces)
    }
}

impl LinkClaim {
    /// What becomes of this connection, which has come to stand after `older` did at this end, and of that one.
    ///
    /// One that was opened to replace the other stays. Of two that were begun at about the same moment the one
    /// stays that the node of lesser name opened. Otherwise the opener of the newer one knows no other any more.
    /// `handshake` is the longest time in which a connection comes to stand.
    pub fn settle(&self, older: &Self, handshake: Duration) -> Settled {
        if self.replaces == Some(older.id) {
            return Settled::NewerReplaces;
        }
        if older.replaces == Some(self.id) {
            return Settled::OlderReplaces;
        }
        let apart = self.begun.max(older.begun) - self.begun.min(older.begun);
        // Each end sees the other's beginning by the time that it took to arrive.
        if apart >= handshake * 2 || self.opener == older.opener {
            return Settled::NewerSupersedes;
        }
        match self.opener < older.opener {
            true => Settled::CrossedForNewer,
            false => Settled::CrossedForOlder,
        }
    }
}
