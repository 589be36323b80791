//! The running replacements that a node knows of, from the store and from notifications of the
//! coordinator.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{
    Intent, KnownReplacements, Reason, ReplacementId, StoreEraTracker,
};
use kestrellock_core::store_era::StoreEra;

fn group() -> GroupName {
    GroupName::new("orders")
}

fn intent(attempt: u32, reason: Reason) -> Intent {
    Intent {
        holder: NodeName::new("holder"),
        id: ReplacementId { fence: 7, attempt },
        reason,
        former: Some(InstanceName::new("old")),
        called_off: false,
        promoting: false,
        awaits_log: false,
        callers: Vec::new(),
    }
}

fn in_store(intent: Intent) -> BTreeMap<GroupName, Intent> {
    BTreeMap::from([(group(), intent)])
}

/// A copy of the store arrives that was requested at the same time.
fn receive_copy(
    known: &mut KnownReplacements,
    intents: &BTreeMap<GroupName, Intent>,
    now: Instant,
) {
    known.update_from_store(intents, Some(now), now);
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a node that cannot reach the store and continues to use the old primary.
#[test]
fn replacement_counts_as_running_after_a_notification() {
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    known.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    assert_eq!(known.intents(), in_store(intent(1, Reason::Suspected)));
}

/// Guards against a group that stays without a primary on a node after the coordinator crashed.
#[test]
fn replacement_expires_without_notifications_of_the_coordinator() {
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    known.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    assert!(!known.expire(now + ms(900)));
    assert!(known.expire(now + ms(1_000)));
    assert!(known.intents().is_empty());
}

/// Guards against a node that cannot reach the store and returns to the old primary after the
/// coordinator has crashed, although another instance may have been promoted.
#[test]
fn replacement_that_may_have_promoted_expires_only_after_a_new_copy_of_the_store() {
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    let promoting = Intent { promoting: true, ..intent(1, Reason::Suspected) };
    receive_copy(&mut known, &BTreeMap::new(), now);
    known.on_notification(&group(), promoting.clone(), Duration::ZERO, now + ms(10));
    assert!(!known.expire(now + ms(60_000)));
    assert_eq!(known.intents(), in_store(promoting));
    assert!(!known.accepts_commit(&group(), &InstanceName::new("old"), now + ms(60_000)));
    receive_copy(&mut known, &BTreeMap::new(), now + ms(60_001));
    assert!(known.expire(now + ms(60_001)));
    assert!(known.intents().is_empty());
}

/// Guards against a group that stays without a primary after a replacement that was cancelled when
/// a promotion might have been sent.
#[test]
fn replacement_that_may_have_promoted_ends_with_the_notification_of_its_end() {
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    let promoting = Intent { promoting: true, ..intent(1, Reason::Suspected) };
    known.on_notification(&group(), promoting, Duration::ZERO, now);
    known.on_finished(&group(), ReplacementId { fence: 7, attempt: 1 });
    assert!(known.intents().is_empty());
}

/// Guards against delayed requests after a notification that arrives once the replacement has
/// finished.
#[test]
fn notification_of_a_finished_replacement_is_ignored() {
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    known.on_finished(&group(), ReplacementId { fence: 7, attempt: 1 });
    known.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    assert!(known.intents().is_empty());
    receive_copy(&mut known, &in_store(intent(2, Reason::Suspected)), now);
    receive_copy(&mut known, &BTreeMap::new(), now);
    known.on_notification(&group(), intent(2, Reason::Suspected), Duration::ZERO, now);
    assert!(known.intents().is_empty(), "the store has shown that it has finished");
    known.on_notification(&group(), intent(3, Reason::Suspected), Duration::ZERO, now);
    assert_eq!(known.intents(), in_store(intent(3, Reason::Suspected)));
}

/// Guards against a stale copy of the store, which does not show a running replacement yet.
#[test]
fn stale_copy_of_the_store_does_not_finish_a_notified_replacement() {
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    receive_copy(&mut known, &in_store(intent(1, Reason::Suspected)), now);
    known.on_notification(&group(), intent(2, Reason::Suspected), Duration::ZERO, now);
    receive_copy(&mut known, &BTreeMap::new(), now);
    assert_eq!(known.intents(), in_store(intent(2, Reason::Suspected)));
}

/// Guards against commits that an old primary acknowledges through a replica that is no longer
/// stopped.
#[test]
fn accepts_commits_of_the_old_primary_only_until_another_instance_may_be_chosen() {
    let (old, other) = (InstanceName::new("old"), InstanceName::new("other"));
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    assert!(known.accepts_commit(&group(), &old, now));
    known.on_notification(&group(), intent(1, Reason::Suspected), ms(10), now);
    assert!(known.accepts_commit(&group(), &old, now + ms(40)));
    assert!(!known.accepts_commit(&group(), &old, now + ms(41)));
    assert!(
        known.accepts_commit(&group(), &other, now + ms(300)),
        "commits of the successor are accepted"
    );
}

/// Guards against commits with unknown outcome if the coordinator learns late that its intent is
/// recorded, and begins only then.
#[test]
fn grace_period_begins_when_the_coordinator_begins() {
    let old = InstanceName::new("old");
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    receive_copy(&mut known, &in_store(intent(1, Reason::Suspected)), now);
    known.on_notification(&group(), intent(1, Reason::Suspected), ms(5), now + ms(205));
    assert!(known.accepts_commit(&group(), &old, now + ms(250)));
    known.on_notification(&group(), intent(1, Reason::Suspected), ms(60), now + ms(300));
    assert!(!known.accepts_commit(&group(), &old, now + ms(251)), "a slow message changes nothing");
}

/// Guards against commits with unknown outcome while a planned replacement gives open work time to
/// finish.
#[test]
fn accepts_commits_while_a_planned_replacement_drains() {
    let old = InstanceName::new("old");
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    receive_copy(&mut known, &in_store(intent(1, Reason::Leaving)), now);
    assert!(known.accepts_commit(&group(), &old, now + ms(150)));
    assert!(!known.accepts_commit(&group(), &old, now + ms(151)));
    let cancelled = Intent { called_off: true, ..intent(1, Reason::Leaving) };
    receive_copy(&mut known, &in_store(cancelled), now + ms(200));
    assert!(known.accepts_commit(&group(), &old, now + ms(300)), "no instance will be promoted");
}

/// Guards against an owner that cannot reach the store and acknowledges commits of the old primary
/// after the coordinator has fallen silent: it may have promoted an instance after its last
/// notification.
#[test]
fn commits_need_confirmation_after_a_replacement_whose_end_is_not_known() {
    let (old, other) = (InstanceName::new("old"), InstanceName::new("other"));
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    receive_copy(&mut known, &BTreeMap::new(), now);
    known.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now + ms(10));
    assert!(known.expire(now + ms(1_010)));
    assert!(known.accepts_commit(&group(), &old, now + ms(1_010)), "writes continue");
    assert!(known.needs_confirmation(&group(), &old));
    assert!(!known.expire(now + ms(60_000)));
    assert!(known.needs_confirmation(&group(), &old), "time is no evidence");
    assert!(!known.needs_confirmation(&group(), &other));
    assert!(!known.needs_confirmation(&GroupName::new("invoices"), &old));
}

/// Guards against commits that need confirmation for ever: a newer copy of the store shows how the
/// replacement ended.
#[test]
fn commits_need_no_confirmation_after_a_new_copy_of_the_store() {
    let old = InstanceName::new("old");
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    known.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    known.expire(now + ms(1_000));
    receive_copy(&mut known, &BTreeMap::new(), now + ms(5_000));
    assert!(!known.needs_confirmation(&group(), &old));
    known.on_notification(&group(), intent(2, Reason::Suspected), Duration::ZERO, now + ms(6_000));
    receive_copy(&mut known, &BTreeMap::new(), now + ms(6_100));
    assert!(known.expire(now + ms(7_000)));
    assert!(!known.needs_confirmation(&group(), &old), "the store was newer at the expiry");
}

/// Guards against commits that need confirmation after the end of the replacement was notified, and
/// against the end of an earlier replacement that is taken for it.
#[test]
fn commits_need_no_confirmation_after_the_notification_of_the_end() {
    let old = InstanceName::new("old");
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    known.on_notification(&group(), intent(2, Reason::Suspected), Duration::ZERO, now);
    known.expire(now + ms(1_000));
    known.on_finished(&group(), ReplacementId { fence: 7, attempt: 1 });
    assert!(known.needs_confirmation(&group(), &old));
    known.on_finished(&group(), ReplacementId { fence: 7, attempt: 2 });
    assert!(!known.needs_confirmation(&group(), &old));
}

/// Guards against commits that need confirmation after a replacement that was called off: it
/// promotes no instance.
#[test]
fn commits_need_no_confirmation_after_a_cancelled_replacement() {
    let old = InstanceName::new("old");
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    let cancelled = Intent { called_off: true, ..intent(1, Reason::Leaving) };
    known.on_notification(&group(), cancelled, Duration::ZERO, now);
    assert!(known.expire(now + ms(1_000)));
    assert!(!known.needs_confirmation(&group(), &old));
}

/// Guards against a commit of the old primary that is acknowledged without confirmation because a
/// copy of the store shows a later replacement, which this node learns of only now.
#[test]
fn commits_need_confirmation_while_the_store_shows_a_later_replacement() {
    let old = InstanceName::new("old");
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    known.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    known.expire(now + ms(1_000));
    receive_copy(&mut known, &in_store(intent(2, Reason::Unfinished)), now + ms(5_000));
    assert!(known.needs_confirmation(&group(), &old));
    receive_copy(&mut known, &BTreeMap::new(), now + ms(6_000));
    assert!(!known.needs_confirmation(&group(), &old));
}

/// Guards against writes at an old primary: a copy of the store that had been requested before the
/// replacement was notified arrived after it, and was taken for the store's word that the replacement
/// had ended.
#[test]
fn copy_that_was_requested_before_a_notification_does_not_end_its_replacement() {
    let (old, start) = (InstanceName::new("old"), Instant::now());
    let none = BTreeMap::new();
    let requested_at = Some(start);
    let notified = |promoting| {
        let mut known = KnownReplacements::default();
        let intent = Intent { promoting, ..intent(1, Reason::Suspected) };
        known.on_notification(&group(), intent, Duration::ZERO, start + ms(10));
        known
    };
    let mut promoting = notified(true);
    promoting.update_from_store(&none, requested_at, start + ms(500));
    assert!(!promoting.expire(start + ms(2_000)), "the copy may be older than the intent");
    promoting.update_from_store(&none, Some(start + ms(1_500)), start + ms(2_100));
    assert!(promoting.expire(start + ms(2_100)));
    assert!(!promoting.needs_confirmation(&group(), &old), "the store shows no replacement");
    // The older copy arrives before the notifications expire, or after it.
    for arrival in [start + ms(500), start + ms(3_000)] {
        let mut known = notified(false);
        known.expire(arrival);
        known.update_from_store(&none, requested_at, arrival);
        known.expire(start + ms(4_000));
        assert!(known.needs_confirmation(&group(), &old), "another instance may be promoted");
        known.update_from_store(&none, None, start + ms(4_500));
        assert!(known.needs_confirmation(&group(), &old), "the copy is no evidence");
        known.update_from_store(&none, Some(start + ms(5_000)), start + ms(5_500));
        assert!(!known.needs_confirmation(&group(), &old));
    }
}

/// Guards against writes at an old primary: the store was restored from a copy that lacked the
/// replacement, and its next answer was taken for its word that the replacement had ended.
#[test]
fn restored_store_does_not_end_a_replacement_that_it_may_have_lost() {
    let (old, start) = (InstanceName::new("old"), Instant::now());
    let (mut known, mut era) = (KnownReplacements::default(), StoreEraTracker::default());
    let copy_arrives = |known: &mut KnownReplacements, era: &StoreEraTracker, at: Instant| {
        known.update_from_store(&BTreeMap::new(), era.replacements_known_at(Some(at)), at);
    };
    era.observe(StoreEra(1), start);
    copy_arrives(&mut known, &era, start);
    known.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, start + ms(10));
    known.expire(start + ms(1_100));
    era.observe(StoreEra(2), start + ms(1_200));
    for at in [1_200, 5_000] {
        copy_arrives(&mut known, &era, start + ms(at));
        assert!(known.needs_confirmation(&group(), &old), "the store may have lost the intent");
    }
    copy_arrives(&mut known, &era, start + ms(8_000));
    assert!(!known.needs_confirmation(&group(), &old), "the replacement has ended");
}

/// Guards against a node that denies a replacement to another one because it is cancelled, not in
/// the store yet, or silent.
#[test]
fn a_replacement_is_known_until_its_end_is() {
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    assert!(!known.knows_replacement(&group()));
    let cancelled = Intent { called_off: true, ..intent(1, Reason::Leaving) };
    receive_copy(&mut known, &in_store(cancelled), now);
    assert!(known.knows_replacement(&group()), "in the store");
    receive_copy(&mut known, &BTreeMap::new(), now + ms(1));
    assert!(!known.knows_replacement(&group()));
    known.on_notification(&group(), intent(2, Reason::Suspected), Duration::ZERO, now + ms(2));
    assert!(known.knows_replacement(&group()), "notified");
    assert!(known.expire(now + ms(2_000)));
    assert!(known.knows_replacement(&group()), "silent");
    receive_copy(&mut known, &BTreeMap::new(), now + ms(2_001));
    assert!(!known.knows_replacement(&group()));
}

/// Guards against stale reads: a node that has reported that it revoked its evidence hears no more
/// of the replacement, gathers new evidence, and the coordinator does not wait for that.
#[test]
fn a_replacement_is_unresolved_from_the_last_notification_until_its_end_is_known() {
    let (mut known, now) = (KnownReplacements::default(), Instant::now());
    known.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    assert!(!known.is_unresolved(&group()), "the evidence is revoked");
    assert!(known.expire(now + ms(1_000)));
    assert!(known.is_unresolved(&group()));
    receive_copy(&mut known, &BTreeMap::new(), now + ms(1_100));
    assert!(!known.is_unresolved(&group()));
}
