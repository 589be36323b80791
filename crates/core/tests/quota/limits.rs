//! A node that is its own allocator: changed limits, returned tokens and retry hints.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Account, Operations, Quota};
use kestrellock_core::ids::{AccountName, NodeName};
use kestrellock_core::quota::{Quotas, Take, Ticket, View};

struct SingleNode {
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

impl SingleNode {
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

    /// Number of operations that get a token within `time`, with one attempt per millisecond.
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
fn lowered_limit_applies_after_a_window_and_raised_limit_at_once() {
    let mut node = SingleNode::new(100.0, 10.0);
    node.taken_in(Duration::from_secs(10));
    node.account.quota = Some(quota(10.0, 10.0));
    let soon = node.taken_in(Duration::from_secs(4));
    assert!((380..=420).contains(&soon), "{soon} of 400 under the old limit");
    node.taken_in(Duration::from_secs(2));
    let later = node.taken_in(Duration::from_secs(5));
    assert!((45..=60).contains(&later), "{later} of 50 under the new limit");
    node.account.quota = Some(quota(100.0, 10.0));
    let raised = node.taken_in(Duration::from_secs(4));
    assert!((380..=420).contains(&raised), "{raised} of 400 after the limit was raised");
}

#[test]
fn returned_tokens_are_granted_again() {
    let mut node = SingleNode::new(0.0, 5.0);
    let mut ran = 0;
    // The bucket starts with a burst and the extra tokens. Every second operation does not run.
    for number in 0..200 {
        node.now += Duration::from_millis(100);
        if node.take() == Take::Taken {
            match number % 2 {
                0 => node.quotas.give_back(&node.name),
                _ => ran += 1,
            }
        }
    }
    let all = {
        let mut node = SingleNode::new(0.0, 5.0);
        node.taken_in(Duration::from_secs(1))
    };
    assert!(ran + 1 >= all, "{ran} ran of {all} allowed");
}

#[test]
fn retry_hints_grow_while_requests_exceed_the_limit() {
    let mut node = SingleNode::new(10.0, 1.0);
    let mut hints = Vec::new();
    for _ in 0..400 {
        node.now += Duration::from_millis(5);
        if let Take::Refused(wait) = node.take() {
            hints.push(wait);
        }
    }
    let first = hints.first().expect("the account is refused");
    let last = hints.last().expect("the account is refused");
    assert!(last > first, "{first:?} at first, {last:?} at last");
    assert!(*last <= Duration::from_secs(5), "{last:?}");
}

#[test]
fn account_without_quota_sends_no_requests() {
    let mut node = SingleNode::new(1.0, 1.0);
    node.account.quota = None;
    assert_eq!(node.taken_in(Duration::from_secs(1)), 1_000);
    assert!(!node.quotas.has_pending_output());
}
