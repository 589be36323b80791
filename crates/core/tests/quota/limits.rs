//! One node that grants to itself: limits that change, tokens that go back, and times to return.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Account, Operations, Quota};
use kestrellock_core::ids::{AccountName, NodeName};
use kestrellock_core::quota::{Quotas, Take, Ticket, View};

struct Single {
    quotas: Quotas,
    own: NodeName,
    name: AccountName,
    account: Account,
    now: Instant,
}

fn quota(per_second: f64, burst: f64) -> Quota {
    let operations = |count| Operations::new(count).expect("in range");
    Quota { per_second: operations(per_second), burst: operations(burst) }
}

impl Single {
    fn new(per_second: f64, burst: f64) -> Self {
        let account = Account { quota: Some(quota(per_second, burst)), ..Account::default() };
        Self {
            quotas: Quotas::default(),
            own: NodeName::new("only"),
            name: AccountName::new("atlas"),
            account,
            now: Instant::now(),
        }
    }

    fn take(&mut self) -> Take {
        let account = &self.account;
        let find = |_: &AccountName| Some(account);
        let live = [self.own.clone()];
        let view =
            View { now: self.now, own: &self.own, live: &live, recent_nodes: 1, account: &find };
        self.quotas.take(&self.name, &mut Ticket::default(), &view)
    }

    /// Operations that get a token in so much time, one asked each millisecond.
    fn taken_in(&mut self, time: Duration) -> usize {
        let steps = time.as_millis();
        let mut taken = 0;
        for _ in 0..steps {
            self.now += Duration::from_millis(1);
            taken += usize::from(self.take() == Take::Taken);
        }
        taken
    }
}

#[test]
fn a_limit_that_is_lowered_holds_on_for_a_window_and_one_that_is_raised_does_not() {
    let mut single = Single::new(100.0, 10.0);
    single.taken_in(Duration::from_secs(10));
    single.account.quota = Some(quota(10.0, 10.0));
    let soon = single.taken_in(Duration::from_secs(4));
    assert!((380..=420).contains(&soon), "{soon} of 400 by the old limit");
    single.taken_in(Duration::from_secs(2));
    let later = single.taken_in(Duration::from_secs(5));
    assert!((45..=60).contains(&later), "{later} of 50 by the new limit");
    single.account.quota = Some(quota(100.0, 10.0));
    let raised = single.taken_in(Duration::from_secs(4));
    assert!((380..=420).contains(&raised), "{raised} of 400 at once");
}

#[test]
fn a_token_that_was_given_back_is_granted_again() {
    let mut single = Single::new(0.0, 5.0);
    let mut ran = 0;
    // A burst and what a bucket holds beyond it; every second operation does not run.
    for number in 0..200 {
        single.now += Duration::from_millis(100);
        if single.take() == Take::Taken {
            match number % 2 {
                0 => single.quotas.give_back(&single.name),
                _ => ran += 1,
            }
        }
    }
    let all = {
        let mut single = Single::new(0.0, 5.0);
        single.taken_in(Duration::from_secs(1))
    };
    assert!(ran + 1 >= all, "{ran} ran of {all} that may");
}

#[test]
fn whoever_asks_beyond_the_limit_is_told_a_later_time_than_those_before() {
    let mut single = Single::new(10.0, 1.0);
    let mut told = Vec::new();
    for _ in 0..400 {
        single.now += Duration::from_millis(5);
        if let Take::Refused(wait) = single.take() {
            told.push(wait);
        }
    }
    let first = told.first().expect("it is refused");
    let last = told.last().expect("it is refused");
    assert!(last > first, "{first:?} at first, {last:?} at last");
    assert!(*last <= Duration::from_secs(5), "{last:?}");
}

#[test]
fn without_a_quota_nothing_is_asked() {
    let mut single = Single::new(1.0, 1.0);
    single.account.quota = None;
    assert_eq!(single.taken_in(Duration::from_secs(1)), 1_000);
    assert!(!single.quotas.has_pending_output());
}
