//! The end of a process's promotion calls: what it confirms to a later coordinator, and how that
//! coordinator detects the end of the process.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{
    OwnCalls, PROMOTION_SETTLE_TIME, ProbeResult, ProcessProbes, PromotionCaller,
};

const PROCESS: u64 = 4;
const FENCE: u64 = 21;

fn group() -> GroupName {
    GroupName::new("orders")
}

fn node() -> NodeName {
    NodeName::new("node")
}

fn caller() -> PromotionCaller {
    PromotionCaller { node: node(), process: PROCESS, fence: FENCE }
}

fn instance() -> InstanceName {
    InstanceName::new("i-1")
}

fn begin(calls: &mut OwnCalls, fence: u64, now: Instant) -> bool {
    calls.begin(&group(), &instance(), fence, now)
}

/// A process that has run for long.
fn running_process(now: Instant) -> OwnCalls {
    OwnCalls::new(PROCESS, now - 10 * PROMOTION_SETTLE_TIME)
}

/// Guards against a confirmation while a call may still arrive.
#[test]
fn an_open_call_has_not_ended() {
    let now = Instant::now();
    let mut calls = running_process(now);
    assert!(begin(&mut calls, FENCE, now));
    assert!(!calls.confirm_ended(&group(), &caller(), now));
    calls.end(&group(), false, now);
    assert!(calls.confirm_ended(&group(), &caller(), now), "it was refused");
}

/// Guards against a later promotion beside one that has arrived and is taking effect: the platform
/// answers before the promotion takes effect, or the answer is lost.
#[test]
fn a_call_that_may_take_effect_ends_once_it_can_have_done_so() {
    let now = Instant::now();
    let mut calls = running_process(now);
    assert!(begin(&mut calls, FENCE, now));
    calls.end(&group(), true, now);
    let almost = now + PROMOTION_SETTLE_TIME - Duration::from_millis(1);
    assert!(!calls.confirm_ended(&group(), &caller(), almost));
    assert!(calls.confirm_ended(&group(), &caller(), now + PROMOTION_SETTLE_TIME));
}

/// Guards against a process that confirms the end of its calls and then begins another one, because
/// it was suspended or believes that its lease is valid.
#[test]
fn no_call_begins_with_a_fencing_token_that_was_queried() {
    let now = Instant::now();
    let mut calls = running_process(now);
    assert!(calls.confirm_ended(&group(), &caller(), now));
    assert!(!begin(&mut calls, FENCE, now));
    assert!(!begin(&mut calls, FENCE - 1, now));
    assert!(begin(&mut calls, FENCE + 1, now), "it has become the coordinator again");
}

/// Guards against a query that closes the calls of other groups.
#[test]
fn a_query_concerns_one_group() {
    let now = Instant::now();
    let mut calls = running_process(now);
    assert!(calls.confirm_ended(&group(), &caller(), now));
    assert!(calls.begin(&GroupName::new("tickets"), &instance(), FENCE, now));
}

/// Guards against two promotions of a group at once: the earlier one may arrive after the later one.
#[test]
fn a_second_call_of_a_group_does_not_begin_while_one_is_open() {
    let now = Instant::now();
    let mut calls = running_process(now);
    assert!(begin(&mut calls, FENCE, now));
    assert!(!begin(&mut calls, FENCE, now));
    calls.end(&group(), true, now);
    assert!(begin(&mut calls, FENCE, now), "it names the same instance");
}

/// Guards against two instances that become primary one after the other: the first promotion was
/// given up after it had arrived, and takes effect after the replicas were checked for the second.
#[test]
fn a_call_for_another_instance_begins_once_the_last_one_can_have_taken_effect() {
    let now = Instant::now();
    let mut calls = running_process(now);
    assert!(begin(&mut calls, FENCE, now));
    calls.end(&group(), true, now);
    let other = InstanceName::new("i-2");
    assert!(!calls.begin(&group(), &other, FENCE, now));
    assert!(calls.begin(&group(), &other, FENCE, now + PROMOTION_SETTLE_TIME));
}

/// Guards against a process that answers for an earlier one of its node as soon as it starts: a call
/// that arrived just before the end of that process may be taking effect.
#[test]
fn calls_of_an_earlier_process_end_once_they_can_have_taken_effect() {
    let now = Instant::now();
    let mut calls = OwnCalls::new(PROCESS + 1, now);
    assert!(!calls.confirm_ended(&group(), &caller(), now));
    assert!(calls.confirm_ended(&group(), &caller(), now + PROMOTION_SETTLE_TIME));
    assert!(begin(&mut calls, 1, now), "it concerns the earlier process only");
}

/// Guards against a process that is taken for ended because its node refused one connection, or was
/// silent.
#[test]
fn a_process_has_ended_once_its_node_refuses_connections_for_longer_than_a_call_lasts() {
    let start = Instant::now();
    let mut probes = ProcessProbes::default();
    let after = |ms| start + Duration::from_millis(ms);
    let mut refused = |ms| probes.on_result(&node(), ProbeResult::Refused, after(ms));
    assert!((0..2_250).step_by(250).all(|ms| !refused(ms)));
    assert!(!probes.on_result(&node(), ProbeResult::Inconclusive, after(2_250)));
    let mut refused = |ms| probes.on_result(&node(), ProbeResult::Refused, after(ms));
    assert!((2_500..5_000).step_by(250).all(|ms| !refused(ms)), "the period begins anew");
    assert!(refused(5_000));
    assert!(!refused(60_000), "nothing was probed in between");
}

/// Guards against a connection to the node at each step of the coordinator.
#[test]
fn probes_of_a_node_are_spaced() {
    let start = Instant::now();
    let mut probes = ProcessProbes::default();
    let due = (0..1_000).filter(|ms| probes.is_due(&node(), start + Duration::from_millis(*ms)));
    assert_eq!(due.count(), 4);
}
