//! When a primary may receive writes, and how often its group is probed.

use std::time::{Duration, Instant};

use kestrellock_core::failover::{
    ACTIVE_DURATION, Pace, PaceTracker, SEARCH_TIMEOUT, TermReport, confirmed_at, may_take_writes,
};
use kestrellock_core::position::Term;

#[test]
fn primary_receives_writes_while_a_majority_has_recently_followed_it() {
    let now = Instant::now() + Duration::from_secs(60);
    let ago = |milliseconds| now - Duration::from_millis(milliseconds);
    let late = Pace::Active.confirmation_limit().as_millis() as u64 + 1;
    // Terms and ages in milliseconds of the last reports of three instances; the first is the
    // primary in question.
    type Reports = [(u32, u64); 3];
    let table: [(Reports, u32, bool); 7] = [
        ([(1, 5), (1, 5), (1, 5)], 1, true),
        ([(1, 5), (1, 5), (1, late)], 1, true),
        ([(1, 5), (1, late), (1, late)], 1, false),
        ([(1, late), (1, 5), (1, 5)], 1, true),
        ([(1, 5), (2, 5), (1, late)], 1, false),
        ([(1, 5), (1, 5), (2, 5)], 2, false),
        ([(2, 5), (2, 5), (1, 5)], 2, true),
    ];
    for (reports, highest, expected) in table {
        let term = Term(reports[0].0);
        let sightings =
            reports.map(|(term, age)| TermReport { term: Term(term), queried_at: ago(age) });
        let confirmed = confirmed_at(term, sightings, 2);
        let found = may_take_writes(term, Term(highest), confirmed, Pace::Active, now);
        assert_eq!(found, expected, "{reports:?}");
    }
}

#[test]
fn probe_pace_increases_with_statements_and_with_a_lost_primary() {
    let start = Instant::now();
    let millisecond = Duration::from_millis(1);
    let mut watch = PaceTracker::default();
    assert_eq!(watch.pace(start), Pace::Idle);
    watch.on_statement(start);
    assert_eq!(watch.pace(start + ACTIVE_DURATION), Pace::Active);
    assert_eq!(watch.pace(start + ACTIVE_DURATION + millisecond), Pace::Idle);
    watch.on_primary_lost(start);
    watch.on_primary_lost(start + SEARCH_TIMEOUT);
    assert_eq!(watch.pace(start + SEARCH_TIMEOUT), Pace::Searching);
    // Losing the primary again during a search does not extend the search.
    assert_eq!(watch.pace(start + SEARCH_TIMEOUT + millisecond), Pace::Idle);
    watch.on_primary_found();
    watch.on_primary_lost(start + SEARCH_TIMEOUT);
    assert_eq!(watch.pace(start + SEARCH_TIMEOUT + millisecond), Pace::Searching);
}

#[test]
fn probe_timeout_is_three_probes_and_below_the_confirmation_limit() {
    for pace in [Pace::Idle, Pace::Active] {
        assert_eq!(pace.probe_timeout(), 3 * pace.probe_interval());
        assert!(pace.confirmation_limit() > pace.probe_timeout());
    }
}
