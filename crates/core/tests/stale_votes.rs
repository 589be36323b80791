//! When a node publishes its votes again, because the store shows others.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::promotion::{NodeVotes, STALE_VOTES_DELAY, StaleVotes, Vote};
use kestrellock_core::suspicion::{Cause, MINORITY_SUSPICION_DURATION};

fn vote_against(instance: &str) -> NodeVotes {
    let vote = Vote { instance: InstanceName::new(instance), cause: Cause::Silent };
    NodeVotes::from([(GroupName::new("orders"), vote)])
}

/// Guards against a needless replacement: a vote that the store executed after its withdrawal, or
/// that an earlier process of the node has left, counted until the node's votes changed.
#[test]
fn votes_that_the_store_shows_after_their_withdrawal_are_withdrawn_again() {
    assert!(STALE_VOTES_DELAY < MINORITY_SUSPICION_DURATION, "the stale vote would be enough");
    let (none, left) = (NodeVotes::new(), vote_against("a"));
    let mut stale = StaleVotes::default();
    let start = Instant::now();
    assert!(!stale.must_publish_again(&none, Some(&left), start));
    assert!(stale.must_publish_again(&none, Some(&left), start + STALE_VOTES_DELAY));
    // That call may fail as well.
    let just_after = start + STALE_VOTES_DELAY + Duration::from_millis(20);
    assert!(!stale.must_publish_again(&none, Some(&left), just_after));
    assert!(stale.must_publish_again(&none, Some(&left), start + 2 * STALE_VOTES_DELAY));
    assert!(!stale.must_publish_again(&none, None, start + 4 * STALE_VOTES_DELAY));
}

/// Guards against the loss of a vote: a removal that the store executed late removed the votes that
/// the node has published since.
#[test]
fn votes_that_the_store_has_lost_are_published_again() {
    let votes = vote_against("a");
    for in_store in [None, Some(vote_against("b"))] {
        let mut stale = StaleVotes::default();
        let start = Instant::now();
        assert!(!stale.must_publish_again(&votes, in_store.as_ref(), start));
        let due = start + STALE_VOTES_DELAY;
        assert!(stale.must_publish_again(&votes, in_store.as_ref(), due));
    }
}

/// Guards against needless calls: a mirror shows each change of the votes late.
#[test]
fn no_votes_are_published_again_while_the_mirror_follows_each_change_in_time() {
    let (none, votes) = (NodeVotes::new(), vote_against("a"));
    let mut stale = StaleVotes::default();
    let mut now = Instant::now();
    let lag = STALE_VOTES_DELAY - Duration::from_millis(1);
    for _ in 0..3 {
        for (published, previous) in [(&votes, &none), (&none, &votes)] {
            stale.restart_delay();
            assert!(!stale.must_publish_again(published, Some(previous), now));
            now += lag;
            assert!(!stale.must_publish_again(published, Some(previous), now));
            assert!(!stale.must_publish_again(published, Some(published), now));
            assert!(!stale.must_publish_again(&none, None, now));
        }
    }
}
