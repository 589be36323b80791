//! Checks the platform's rules on promotions by what its clients, its instances and its promotion
//! service have seen.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Instant;

use super::writers::AcknowledgedWrite;
use crate::check::statements::violation::StatementViolation;
use crate::standin::instances::{CompletedPromotion, PromotionRequest};

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A promotion request arrived after one with a higher fencing token (ONE).
    LowerFence {
        /// The late request.
        late: PromotionRequest,
        /// The highest fencing token that had arrived before.
        highest: u64,
    },
    /// Two coordinators sent promotion requests with the same fencing token (ONE).
    SharedFence {
        /// The later request.
        later: PromotionRequest,
        /// Coordinator of the earlier request.
        earlier_coordinator: String,
    },
    /// The log of an instance lacked commits when it was promoted that had been acknowledged
    /// before (LOST).
    LostCommits {
        /// The promoted instance.
        instance: String,
        /// Number of acknowledged commits that its log lacked.
        lost: usize,
        /// Number of commits that had been acknowledged.
        acknowledged: usize,
    },
    /// An instance ran or committed what it should not have (UNASKED, PINNED, STALE).
    Statement(StatementViolation),
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LowerFence { late, highest } => write!(
                formatter,
                "ONE: {} sent fence {} for {} and it arrived after fence {highest}",
                late.coordinator, late.fence, late.instance
            ),
            Self::SharedFence { later, earlier_coordinator } => write!(
                formatter,
                "ONE: {} and {earlier_coordinator} sent fence {}",
                later.coordinator, later.fence
            ),
            Self::LostCommits { instance, lost, acknowledged } => write!(
                formatter,
                "LOST: {instance} was promoted without {lost} of {acknowledged} acknowledged commits"
            ),
            Self::Statement(violation) => violation.fmt(formatter),
        }
    }
}

/// Checks the promotion requests, in the order of their arrival.
pub fn check_fences(arrivals: &[(Instant, PromotionRequest)]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut highest = BTreeMap::<&str, &PromotionRequest>::new();
    for (_, request) in arrivals {
        let earlier = highest.get(request.group.as_str());
        match earlier {
            Some(earlier) if request.fence < earlier.fence => violations
                .push(Violation::LowerFence { late: request.clone(), highest: earlier.fence }),
            Some(earlier)
                if request.fence == earlier.fence && request.coordinator != earlier.coordinator =>
            {
                let earlier_coordinator = earlier.coordinator.clone();
                violations
                    .push(Violation::SharedFence { later: request.clone(), earlier_coordinator });
            }
            _ => {
                highest.insert(&request.group, request);
            }
        }
    }
    violations
}

/// Checks that each promoted instance had all commits that had been acknowledged before its
/// promotion took effect.
pub fn check_logs(
    promotions: &[CompletedPromotion],
    acknowledged: &[AcknowledgedWrite],
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for promotion in promotions {
        let held: BTreeSet<&str> = promotion.statements.iter().map(String::as_str).collect();
        let expected = acknowledged.iter().filter(|write| write.acknowledged <= promotion.at);
        let lost = expected.clone().filter(|write| !held.contains(write.id.as_str())).count();
        if lost > 0 {
            let instance = promotion.instance.clone();
            violations.push(Violation::LostCommits {
                instance,
                lost,
                acknowledged: expected.count(),
            });
        }
    }
    violations
}
