//! When a primary may take writes, and how closely a group is watched.

use std::time::{Duration, Instant};

use kestrellock_core::failover::{
    ACTIVE_DURATION, Pace, PaceTracker, SEARCH_TIMEOUT, TermReport, confirmed_at, may_take_writes,
};
use kestrellock_core::position::Term;

#[test]
fn a_primary_takes_writes_while_a_majority_has_lately_followed_it() {
    let now = Instant::now() + Duration::from_secs(60);
    let ago = |milliseconds| now - Duration::from_millis(milliseconds);
    let late = Pace::Active.confirmation_limit().as_millis() as u64 + 1;
    // Terms and ages of the last reports of three instances, the first one's term in question.
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
        let sightings = reports.map(|(term, age)| TermReport { term: Term(term), asked: ago(age) });
        let confirmed = confirmed_at(term, sightings, 2);
        let found = may_take_writes(term, Term(highest), confirmed, Pace::Active, now);
        assert_eq!(found, expected, "{reports:?}");
    }
}

#[test]
fn a_group_is_watched_closely_while_it_is_used_and_more_so_while_its_primary_is_lost() {
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
    // Losing it again during a search does not make the search endless.
    assert_eq!(watch.pace(start + SEARCH_TIMEOUT + millisecond), Pace::Idle);
    watch.on_primary_found();
    watch.on_primary_lost(start + SEARCH_TIMEOUT);
    assert_eq!(watch.pace(start + SEARCH_TIMEOUT + millisecond), Pace::Searching);
}

#[test]
fn silence_is_three_missed_probes_and_short_of_the_time_writes_are_held() {
    for pace in [Pace::Idle, Pace::Active] {
        assert_eq!(pace.probe_timeout(), 3 * pace.probe_interval());
        assert!(pace.confirmation_limit() > pace.probe_timeout());
    }
}
