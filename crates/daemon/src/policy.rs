//! Which decisions a node takes: the product's, or a baseline's to compare it with.
//!
//! Only the lab chooses a baseline; no settings file can.

/// A set of decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The product's.
    #[default]
    Standard,
    /// Every statement goes to the primary.
    PrimaryOnly,
    /// A session stays on the primary for a time after a write.
    StickyPrimary,
    /// Reads go to the instances in turn, whatever they have applied. Unsafe.
    RoundRobin,
    /// A commit is acknowledged as soon as its primary answers. Unsafe.
    NoConfirmation,
    /// A write whose connection was lost is sent again. Unsafe.
    ResendOnError,
}
