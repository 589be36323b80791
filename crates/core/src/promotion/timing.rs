//! Times that an attempt takes.

use std::time::Duration;

use crate::primary_evidence::{EVIDENCE_LIFE, QUICKEST_PROMOTION, UNLISTED_EVIDENCE_LIFE};

/// Times that an attempt takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// What a planned replacement gives to what is under way.
    pub drain: Duration,
    /// How long evidence of the old primary lasts once the replicas have been stopped.
    pub evidence_life: Duration,
    /// The same for nodes that are not known yet, and so cannot be asked to give it up.
    pub unlisted_evidence_life: Duration,
    /// Least time that the platform takes to promote.
    pub quickest_promotion: Duration,
    /// Time between two commands of a kind to one instance.
    pub retry: Duration,
    /// Time between two questions to a store that does not answer.
    pub store_retry: Duration,
    /// Time for which a successor is waited for before the promotion is sent again.
    pub announcement: Duration,
    /// Time after which a replacement that cannot stop enough replicas is called off if the old
    /// primary leaves as planned, or answers: it works, but for those that have been stopped.
    pub stopping: Duration,
    /// Time after which the old primary is no longer told to step down: it does so by itself once
    /// it can reach its successor.
    pub demotion: Duration,
    /// Time after which nodes are told that an attempt was called off whose replicas have not all
    /// been released.
    pub call_off: Duration,
    /// Time after which replicas of an attempt that was called off are no longer released.
    pub release: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            drain: Duration::from_millis(100),
            evidence_life: EVIDENCE_LIFE,
            unlisted_evidence_life: UNLISTED_EVIDENCE_LIFE,
            quickest_promotion: QUICKEST_PROMOTION,
            retry: Duration::from_millis(50),
            store_retry: Duration::from_millis(100),
            announcement: Duration::from_millis(1_500),
            stopping: Duration::from_millis(300),
            demotion: Duration::from_millis(1_500),
            call_off: Duration::from_millis(150),
            release: Duration::from_millis(10_000),
        }
    }
}
