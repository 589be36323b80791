//! Routing and confirmation policies of a node: the standard one, and baselines for comparison.
//!
//! Only the lab can select a baseline; a settings file cannot.

/// A policy for routing and confirmation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The policy of the product.
    #[default]
    Standard,
    /// Every statement goes to the primary.
    PrimaryOnly,
    /// A session stays on the primary for a time after a write.
    StickyPrimary,
    /// Reads go to the instances in turn, regardless of what they have applied. Unsafe: a read may
    /// miss the session's own writes.
    RoundRobin,
    /// A commit is acknowledged as soon as its primary answers, without confirmation by replicas.
    /// Unsafe.
    NoConfirmation,
    /// A write whose connection was lost is sent again. Unsafe.
    ResendOnError,
}
