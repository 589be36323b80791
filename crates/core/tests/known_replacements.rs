//! Replacements as a node has heard of them: from the store, and from whoever carries them out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{Intent, KnownReplacements, Reason, ReplacementId};

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
    }
}

fn shown(intent: Intent) -> BTreeMap<GroupName, Intent> {
    BTreeMap::from([(group(), intent)])
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a node out of reach of the store that goes on at the old primary.
#[test]
fn a_replacement_that_its_holder_tells_of_is_under_way() {
    let (mut heard, now) = (KnownReplacements::default(), Instant::now());
    heard.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    assert_eq!(heard.intents(), shown(intent(1, Reason::Suspected)));
}

/// Guards against a group that stays without a primary at a node whose holder died without a word.
#[test]
fn a_replacement_whose_holder_is_gone_is_forgotten() {
    let (mut heard, now) = (KnownReplacements::default(), Instant::now());
    heard.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    assert!(!heard.expire(now + ms(900)));
    assert!(heard.expire(now + ms(1_000)));
    assert!(heard.intents().is_empty());
}

/// Guards against work held back because a message arrives after the end that it was sent before.
#[test]
fn what_is_told_of_a_replacement_that_is_over_counts_no_more() {
    let (mut heard, now) = (KnownReplacements::default(), Instant::now());
    heard.on_finished(&group(), ReplacementId { fence: 7, attempt: 1 });
    heard.on_notification(&group(), intent(1, Reason::Suspected), Duration::ZERO, now);
    assert!(heard.intents().is_empty());
    heard.update_from_store(&shown(intent(2, Reason::Suspected)), now);
    heard.update_from_store(&BTreeMap::new(), now);
    heard.on_notification(&group(), intent(2, Reason::Suspected), Duration::ZERO, now);
    assert!(heard.intents().is_empty(), "the store has shown that it is over");
    heard.on_notification(&group(), intent(3, Reason::Suspected), Duration::ZERO, now);
    assert_eq!(heard.intents(), shown(intent(3, Reason::Suspected)));
}

/// Guards against a copy of the store that is behind, by which a replacement told of would seem to be none.
#[test]
fn a_store_that_does_not_show_it_yet_ends_no_replacement() {
    let (mut heard, now) = (KnownReplacements::default(), Instant::now());
    heard.update_from_store(&shown(intent(1, Reason::Suspected)), now);
    heard.on_notification(&group(), intent(2, Reason::Suspected), Duration::ZERO, now);
    heard.update_from_store(&BTreeMap::new(), now);
    assert_eq!(heard.intents(), shown(intent(2, Reason::Suspected)));
}

/// Guards against commits that an old primary answers through a replica that has forgotten its stop.
#[test]
fn an_old_primarys_answer_counts_only_while_nobody_can_have_been_chosen() {
    let (old, other) = (InstanceName::new("old"), InstanceName::new("other"));
    let (mut heard, now) = (KnownReplacements::default(), Instant::now());
    assert!(heard.accepts_commit(&group(), &old, now));
    heard.on_notification(&group(), intent(1, Reason::Suspected), ms(10), now);
    assert!(heard.accepts_commit(&group(), &old, now + ms(40)));
    assert!(!heard.accepts_commit(&group(), &old, now + ms(41)));
    assert!(heard.accepts_commit(&group(), &other, now + ms(300)), "the successor's count");
}

/// Guards against outcomes in doubt where the holder hears late that its intent is recorded, and begins only then.
#[test]
fn answers_count_from_when_the_holder_begins() {
    let old = InstanceName::new("old");
    let (mut heard, now) = (KnownReplacements::default(), Instant::now());
    heard.update_from_store(&shown(intent(1, Reason::Suspected)), now);
    heard.on_notification(&group(), intent(1, Reason::Suspected), ms(5), now + ms(205));
    assert!(heard.accepts_commit(&group(), &old, now + ms(250)));
    heard.on_notification(&group(), intent(1, Reason::Suspected), ms(60), now + ms(300));
    assert!(!heard.accepts_commit(&group(), &old, now + ms(251)), "a slow message changes nothing");
}

/// Guards against outcomes in doubt where a planned replacement lets what is under way end.
#[test]
fn while_a_planned_replacement_drains_answers_count() {
    let old = InstanceName::new("old");
    let (mut heard, now) = (KnownReplacements::default(), Instant::now());
    heard.update_from_store(&shown(intent(1, Reason::Leaving)), now);
    assert!(heard.accepts_commit(&group(), &old, now + ms(150)));
    assert!(!heard.accepts_commit(&group(), &old, now + ms(151)));
    let called_off = Intent { called_off: true, ..intent(1, Reason::Leaving) };
    heard.update_from_store(&shown(called_off), now + ms(200));
    assert!(heard.accepts_commit(&group(), &old, now + ms(300)), "nobody is promoted any more");
}
