//! Times that an attempt takes.

use std::time::Duration;

use crate::primary_evidence::{EVIDENCE_LIFETIME, MIN_PROMOTION_TIME, UNLISTED_EVIDENCE_LIFETIME};

/// Times that an attempt takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// What a planned replacement gives to what is under way.
    pub drain_time: Duration,
    /// How long evidence of the old primary lasts once the replicas have been stopped.
    pub evidence_lifetime: Duration,
    /// The same for nodes that are not known yet, and so cannot be asked to give it up.
    pub unlisted_evidence_lifetime: Duration,
    /// Least time that the platform takes to promote.
    pub min_promotion_time: Duration,
    /// Time between two commands of a kind to one instance.
    pub retry_interval: Duration,
    /// Time between two questions to a store that does not answer.
    pub store_retry_interval: Duration,
    /// Time for which a successor is waited for before the promotion is sent again.
    pub announcement_timeout: Duration,
    /// Time after which a replacement that cannot stop enough replicas is called off if the old
    /// primary leaves as planned, or answers: it works, but for those that have been stopped.
    pub stopping_timeout: Duration,
    /// Time after which the old primary is no longer told to step down: it does so by itself once
    /// it can reach its successor.
    pub demotion_timeout: Duration,
    /// Time after which nodes are told that an attempt was called off whose replicas have not all
    /// been released.
    pub cancellation_notice_delay: Duration,
    /// Time after which replicas of an attempt that was called off are no longer released.
    pub release_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            drain_time: Duration::from_millis(100),
            evidence_lifetime: EVIDENCE_LIFETIME,
            unlisted_evidence_lifetime: UNLISTED_EVIDENCE_LIFETIME,
            min_promotion_time: MIN_PROMOTION_TIME,
            retry_interval: Duration::from_millis(50),
            store_retry_interval: Duration::from_millis(100),
            announcement_timeout: Duration::from_millis(1_500),
            stopping_timeout: Duration::from_millis(300),
            demotion_timeout: Duration::from_millis(1_500),
            cancellation_notice_delay: Duration::from_millis(150),
            release_timeout: Duration::from_millis(10_000),
        }
    }
}
