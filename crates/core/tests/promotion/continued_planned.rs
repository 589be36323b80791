//! A coordinator continues a planned replacement of another coordinator that may have sent a
//! promotion, or may have had the old primary step down. The old primary may have acknowledged
//! commits through an instance that the store does not list.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{Attempt, Need, Phase, Reason, ReplacementId, Timing};
use kestrellock_core::routing::Role;

use crate::support::*;
use crate::unlisted_instances::{OldPrimary, run, run_from};

const LIMIT: Duration = Duration::from_secs(3);

/// An attempt that continues a planned one in which a promotion may have been sent. `reason` is what
/// the continuing coordinator finds; the old primary's log is required for `time`.
fn continued_attempt(reason: Reason, time: Duration) -> Attempt {
    let need = Need {
        has_begun: true,
        may_have_promoted: true,
        old_primary_required_until: Some(Instant::now() + time),
        ..need(reason)
    };
    let id = ReplacementId { fence: 9, attempt: 1 };
    let coordinator = NodeName::new("next");
    Attempt::new(coordinator, id, &need, members(&["a"]), Term(1), Timing::default())
}

/// Guards against the loss of commits that the old primary has acknowledged through an unlisted
/// instance: the continuing coordinator promoted a replica without the old primary's log.
#[test]
fn continued_attempt_compares_the_old_primarys_log() {
    for reason in [Reason::Leaving, Reason::Suspected, Reason::Missing, Reason::Unfinished] {
        for time in [LIMIT, Duration::ZERO] {
            for is_revoked in [true, false] {
                let mut attempt = continued_attempt(reason, time);
                let old_primary = OldPrimary { leading: Some(13), demoted: Some(13) };
                let (chosen, _) = run_from(&mut attempt, old_primary, Role::Primary, is_revoked);
                assert_eq!(chosen.as_deref(), Some(OLD_PRIMARY), "{reason:?}, {time:?}");
            }
        }
    }
}

/// Guards against the same loss if the earlier coordinator has had the old primary step down.
#[test]
fn continued_attempt_compares_the_log_of_an_old_primary_that_has_stepped_down() {
    for reason in [Reason::Leaving, Reason::Suspected, Reason::Missing, Reason::Unfinished] {
        let mut attempt = continued_attempt(reason, Duration::ZERO);
        let old_primary = OldPrimary { leading: Some(13), demoted: Some(13) };
        let (chosen, _) = run_from(&mut attempt, old_primary, Role::Replica, true);
        assert_eq!(chosen.as_deref(), Some(OLD_PRIMARY), "{reason:?}");
    }
}

#[test]
fn continued_attempt_promotes_a_replica_that_has_the_old_primarys_log() {
    let mut attempt = continued_attempt(Reason::Leaving, LIMIT);
    let old_primary = OldPrimary { leading: Some(10), demoted: Some(10) };
    let (chosen, time) = run(&mut attempt, old_primary);
    assert!(chosen.is_some_and(|chosen| chosen != OLD_PRIMARY));
    assert!(time < Duration::from_millis(500), "{time:?}");
    assert!(!attempt.lacks_old_primary_log());
}

/// An attempt that may have sent a promotion ends with a primary, and reports that nothing shows
/// which commits the old primary has.
#[test]
fn continued_attempt_goes_on_without_an_old_primary_that_does_not_answer() {
    for old_primary in [
        OldPrimary { leading: None, demoted: None },
        OldPrimary { leading: Some(13), demoted: None },
    ] {
        for (time, longest) in [(LIMIT, LIMIT + STEP * 2), (Duration::ZERO, LIMIT / 4)] {
            let mut attempt = continued_attempt(Reason::Leaving, time);
            let (chosen, took) = run(&mut attempt, old_primary);
            assert!(chosen.is_some_and(|chosen| chosen != OLD_PRIMARY));
            assert!(took <= longest, "{took:?}");
            assert!(matches!(attempt.phase(), Phase::Promoting { .. }));
            assert!(attempt.lacks_old_primary_log());
        }
    }
}
