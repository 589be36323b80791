//! The positions that a session's reads must have reached, one for each group in which the session
//! has written.
//!
//! A change of the configuration may move a session's database to another group and back. Positions
//! of different groups cannot be compared, so each group keeps its own. What a session has been
//! promised about a group must not be dropped while the session uses another one.

use crate::ids::GroupName;
use crate::position::Position;

/// Maximum number of groups whose positions one session keeps. A database rarely moves between more
/// than two.
pub const MAX_GROUPS: usize = 8;

/// What a read of the session must have reached in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The session has written nothing in the group.
    None,
    /// All acknowledged writes of the session in the group are covered by this position.
    Position(Position),
    /// The session may have written in the group; its position was dropped for those of other
    /// groups. A read must cover every commit that was acknowledged before it.
    Unknown,
}

impl Bound {
    /// The position, if there is one.
    pub fn position(self) -> Option<Position> {
        match self {
            Self::Position(position) => Some(position),
            Self::None | Self::Unknown => None,
        }
    }
}

/// The session's positions, at most [`MAX_GROUPS`] of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupBounds {
    /// The position that was raised last stands at the end.
    positions: Vec<(GroupName, Position)>,
    /// Whether a position was dropped.
    has_dropped: bool,
}

impl GroupBounds {
    /// What a read must have reached in `group`.
    pub fn bound(&self, group: &GroupName) -> Bound {
        let known = self.positions.iter().find(|(name, _)| name == group);
        match known {
            Some((_, position)) => Bound::Position(*position),
            None if self.has_dropped => Bound::Unknown,
            None => Bound::None,
        }
    }

    /// Joins `position` into the one of `group`. Returns the joined position, and whether the oldest
    /// position of another group had to be dropped.
    pub fn raise(&mut self, group: &GroupName, position: Position) -> (Position, bool) {
        let known = self.positions.iter().position(|(name, _)| name == group);
        let joined = match known.map(|index| self.positions.remove(index)) {
            Some((_, known)) => known.join(position),
            None => position,
        };
        self.positions.push((group.clone(), joined));
        let drops = self.positions.len() > MAX_GROUPS;
        if drops {
            self.positions.remove(0);
            self.has_dropped = true;
        }
        (joined, drops)
    }

    /// Number of groups whose positions are kept.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no position is kept.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
