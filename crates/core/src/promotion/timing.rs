//! Durations that control an attempt: how long it waits for open work, for evidence to expire, and
//! for instances to answer.

use std::time::Duration;

use crate::primary_evidence::{EVIDENCE_LIFETIME, MIN_PROMOTION_TIME, UNLISTED_EVIDENCE_LIFETIME};

/// Durations that control an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time that a planned replacement gives open work to finish.
    pub drain_time: Duration,
    /// How long evidence of the old primary can remain valid after the replicas have been stopped.
    pub evidence_lifetime: Duration,
    /// The same for nodes that are not known yet and so cannot be asked to revoke it.
    pub unlisted_evidence_lifetime: Duration,
    /// Shortest time that the platform takes to promote an instance.
    pub min_promotion_time: Duration,
    /// Interval between two commands of the same kind to one instance.
    pub retry_interval: Duration,
    /// Interval between two requests to a store that does not answer.
    pub store_retry_interval: Duration,
    /// How long to wait for a successor before the promotion is sent again.
    pub announcement_timeout: Duration,
    /// How long an attempt waits for evidence that the promotion calls of earlier coordinators have
    /// ended. Longer than partitions and suspensions of a process usually last, since a call that
    /// arrives after that loses commits; bounded, since the machine of a caller may be gone for
    /// good.
    pub open_call_timeout: Duration,
    /// Time after which an attempt that cannot stop enough replicas is cancelled, if the
    /// replacement is planned or the old primary answers: the old primary then works, apart from
    /// the stopped replicas.
    pub stopping_timeout: Duration,
    /// Time that a crashed old primary is given to return if no node knows the history of its group
    /// and nothing shows that the other instances lack commits.
    pub primary_return_timeout: Duration,
    /// Time after which demoting the old primary is no longer retried: it steps down by itself once
    /// it can reach its successor.
    pub demotion_timeout: Duration,
    /// Time after which the store records that an attempt is cancelled, if not all of its stopped
    /// replicas have been released by then.
    pub cancellation_notice_delay: Duration,
    /// Time after which a cancelled attempt no longer tries to release its replicas.
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
            open_call_timeout: Duration::from_secs(30),
            stopping_timeout: Duration::from_millis(300),
            primary_return_timeout: Duration::from_secs(10),
            demotion_timeout: Duration::from_millis(1_500),
            cancellation_notice_delay: Duration::from_millis(150),
            release_timeout: Duration::from_millis(10_000),
        }
    }
}
