//! The copy of the platform's store: which changes wake it, and what it shows when it goes back to
//! following everything.

use std::net::SocketAddr;
use std::sync::Arc;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{Intent, PromotionCaller, Reason, ReplacementId, Successor};
use kestrellock_core::routing::Role;
use kestrellock_lab::standin::store::{Dialect, PlatformStore};
use kestrellock_net::source::SourceAddress;
use kestrellock_platform::coordination::StoreCoordination;
use kestrellock_platform::keys::{Freshness, Item, KeyStore, Mirror, MirrorView, Scope};
use kestrellock_platform::standin::entries::{CONFIGURATION_KEY, InstanceEntry};
use kestrellock_store::coordination::{
    Coordination, CoordinationView, CoordinatorLease, RecordOutcome,
};

const NODE: &str = "kestrellock/nodes/one";
const OTHER_NODE: &str = "kestrellock/nodes/two";
const THIRD_NODE: &str = "kestrellock/nodes/three";
const VOTE: &str = "kestrellock/promotion/votes/one";

fn start() -> (PlatformStore, Mirror) {
    let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
    let mirror = Mirror::new(KeyStore::new(&store.endpoint(), SourceAddress::ANY));
    mirror.set_scope(Scope::Everything);
    (store, mirror)
}

fn advance(mirror: &Mirror) -> MirrorView {
    mirror.advance().expect("an answer").expect("a change")
}

fn names(view: &MirrorView) -> Vec<&str> {
    view.items.keys().map(String::as_str).collect()
}

/// A node that may replace primaries, with its copy of a store.
struct Holding {
    store: PlatformStore,
    mirror: Arc<Mirror>,
    coordination: StoreCoordination,
    hold: CoordinatorLease,
    group: GroupName,
}

impl Holding {
    fn start() -> Self {
        let (store, mirror) = start();
        store.put(NODE, b"1");
        advance(&mirror);
        let mirror = Arc::new(mirror);
        let coordination = coordination(&store, mirror.clone());
        let hold = coordination.acquire(&node()).expect("an answer").expect("nobody holds it");
        Self { store, mirror, coordination, hold, group: GroupName::new("orders") }
    }

    fn intent(&self, attempt: u32) -> Intent {
        Intent {
            holder: node(),
            id: ReplacementId { fence: self.hold.fence, attempt },
            reason: Reason::Suspected,
            former: None,
            called_off: false,
            promoting: false,
            awaits_log: false,
            callers: Vec::new(),
        }
    }

    fn record(&self, intent: &Intent) {
        let outcome = self.coordination.record_intent(&self.hold, &self.group, intent);
        assert_eq!(outcome.expect("an answer"), RecordOutcome::Recorded);
    }

    fn finish(&self, id: ReplacementId) {
        let finished = self.coordination.finish_replacement(&self.hold, &self.group, id, None, &[]);
        assert!(finished.expect("an answer"));
    }

    /// A client whose copy stays as it is: its calls expect what late ones expected.
    fn late(&self) -> StoreCoordination {
        let mirror =
            Arc::new(Mirror::new(KeyStore::new(&self.store.endpoint(), SourceAddress::ANY)));
        advance(&mirror);
        coordination(&self.store, mirror)
    }

    /// The record of the group's replacement.
    fn recorded(&self) -> Option<Intent> {
        self.mirror.catch_up().expect("an answer");
        self.coordination.view().intents.get(&self.group).cloned()
    }
}

fn node() -> NodeName {
    NodeName::new("one")
}

fn coordination(store: &PlatformStore, mirror: Arc<Mirror>) -> StoreCoordination {
    StoreCoordination::new(
        KeyStore::new(&store.endpoint(), SourceAddress::ANY),
        mirror,
        Default::default(),
    )
}

#[test]
fn a_copy_of_own_keys_is_not_woken_by_others() {
    let (store, mirror) = start();
    store.put(NODE, b"1");
    let first = advance(&mirror);
    assert_eq!(first.all_keys_revision, first.revision);
    mirror.set_scope(Scope::OwnKeys);
    store.put(CONFIGURATION_KEY, b"{}");
    store.put(OTHER_NODE, b"1");
    store.put(VOTE, b"{}");
    let view = advance(&mirror);
    assert_eq!(names(&view), [NODE, VOTE]);
    assert_eq!(
        view.all_keys_revision, first.all_keys_revision,
        "what it has not followed is not new"
    );
    let groups = [GroupName::new("orders")].into();
    let coordination = coordination(&store, Arc::new(mirror));
    let check = coordination.check_view(&groups).expect("an answer");
    assert_eq!((check.confirmed, check.view_revision), (groups, view.revision));
}

/// What happened: each node that started or stopped woke all others: 49 that were restarted one after the other
/// cost 985 nodes two calls a second.
#[test]
fn a_copy_of_own_keys_sleeps_while_nodes_come_and_go_and_reads_them_when_told() {
    let (store, mirror) = start();
    store.put(NODE, b"1");
    advance(&mirror);
    mirror.set_scope(Scope::OwnKeys);
    for number in 0..50 {
        store.put(&format!("{NODE}-{number}"), b"1");
    }
    store.put(VOTE, b"{}");
    let view = advance(&mirror);
    assert_eq!(names(&view), [NODE, VOTE], "the vote alone has woken it");
    let read = mirror.read_nodes(Freshness::Newest).expect("an answer");
    assert_eq!(read.items.len(), 52);
    assert!(read.nodes_revision > view.nodes_revision);
    assert_eq!(read.revision, view.revision, "it says nothing of replacements");
}

#[test]
fn a_copy_names_its_own_node_once_it_shows_what_was_recorded_before() {
    let (store, mirror) = start();
    advance(&mirror);
    mirror.set_scope(Scope::OwnKeys);
    store.put(VOTE, b"{}");
    store.put(NODE, b"1");
    let written = Item::written(NODE, b"1", store.position());
    mirror.insert_own_entry(written).expect("an answer");
    assert_eq!(names(&mirror.view()), [NODE, VOTE]);
    assert!(mirror.view().revision >= store.position());
}

#[test]
fn a_copy_that_follows_everything_again_misses_nothing_and_goes_back_nowhere() {
    let (store, mirror) = start();
    store.put(NODE, b"1");
    advance(&mirror);
    mirror.set_scope(Scope::OwnKeys);
    store.put(CONFIGURATION_KEY, b"{}");
    store.put(OTHER_NODE, b"1");
    mirror.read_nodes(Freshness::Newest).expect("an answer");
    store.remove(OTHER_NODE);
    mirror.read_nodes(Freshness::Newest).expect("an answer");
    store.put(THIRD_NODE, b"1");
    let before = mirror.read_nodes(Freshness::MayBeStale).expect("an answer");
    assert_eq!(names(&before), [NODE, THIRD_NODE]);
    mirror.set_scope(Scope::Everything);
    let view = advance(&mirror);
    assert_eq!(names(&view), [NODE, THIRD_NODE, CONFIGURATION_KEY]);
    assert_eq!(view.all_keys_revision, view.revision);
    assert!(view.revision >= before.revision);
}

/// What happened: each of 985 nodes read the entries of 3,000 instances at its start, though all but ten got
/// the configuration from their peers.
#[test]
fn a_copy_begins_with_own_keys_and_reads_the_rest_when_it_is_to_follow_everything() {
    let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
    store.put(NODE, b"1");
    store.put(CONFIGURATION_KEY, b"{}");
    let mirror = Mirror::new(KeyStore::new(&store.endpoint(), SourceAddress::ANY));
    let first = advance(&mirror);
    assert_eq!(names(&first), [NODE]);
    assert_eq!(first.all_keys_revision, 0, "the rest has not been read");
    mirror.set_scope(Scope::Everything);
    let whole = advance(&mirror);
    assert_eq!(names(&whole), [NODE, CONFIGURATION_KEY]);
    assert_eq!(whole.all_keys_revision, whole.revision);
}

/// What happened: on 77 nodes copies of the store gathered changes for 308 ms; whoever had ended a replacement saw
/// its intent for longer than it passed over old needs, and began it again as one that was left unfinished.
#[test]
fn whoever_ends_a_replacement_does_not_see_its_intent_any_more() {
    let holding = Holding::start();
    let intent = holding.intent(1);
    holding.record(&intent);
    assert_eq!(holding.recorded(), Some(intent.clone()));
    holding.finish(intent.id);
    assert!(holding.coordination.view().intents.is_empty(), "it is over");
}

/// A change without an answer may be done seconds later. One that says that a promotion may be sent, done after
/// its replacement is over, would have the next holder promote an instance for no reason.
#[test]
fn a_record_that_is_done_late_does_not_bring_a_finished_replacement_back() {
    let holding = Holding::start();
    let intent = holding.intent(1);
    holding.record(&intent);
    let promoting = Intent { promoting: true, ..intent.clone() };
    holding.record(&promoting);
    // The answer of the first was lost: the second finds that it is done.
    holding.record(&promoting);
    let late = holding.late();
    holding.finish(intent.id);
    let done_late = late.record_intent(&holding.hold, &holding.group, &promoting);
    assert!(done_late.is_err(), "its condition does not hold");
    assert_eq!(holding.recorded(), None, "it stays over");
}

/// Nodes tell an old primary that comes back late by the term that its successor led, so that is kept, and what
/// nodes of an earlier version have written can be read.
#[test]
fn the_term_of_a_successor_is_kept_with_its_name() {
    let (store, mirror) = start();
    store.put("kestrellock/promotion/primaries/earlier", b"\"i-1\"");
    advance(&mirror);
    let coordination = coordination(&store, Arc::new(mirror));
    let hold = coordination.acquire(&node()).expect("an answer").expect("nobody holds it");
    let group = GroupName::new("orders");
    let successor = Successor { instance: InstanceName::new("i-2"), term: Some(Term(7)) };
    let id = ReplacementId { fence: hold.fence, attempt: 1 };
    assert!(
        coordination
            .finish_replacement(&hold, &group, id, Some(&successor), &[])
            .expect("an answer")
    );
    let promoted = coordination.view().promoted.clone();
    let earlier = Successor { instance: InstanceName::new("i-1"), term: None };
    assert_eq!(promoted, [(GroupName::new("earlier"), earlier), (group, successor)].into());
}

/// Guards against a next replacement that does not know of a promotion that may still arrive: the
/// attempt that recorded it has finished, and its intent is gone.
#[test]
fn callers_whose_promotions_have_not_ended_are_kept_beside_the_successor() {
    let (store, mirror) = start();
    advance(&mirror);
    let coordination = coordination(&store, Arc::new(mirror));
    let hold = coordination.acquire(&node()).expect("an answer").expect("nobody holds it");
    let group = GroupName::new("orders");
    let successor = Successor { instance: InstanceName::new("i-2"), term: Some(Term(7)) };
    let callers = [PromotionCaller { node: NodeName::new("node-1"), process: 3, fence: 7 }];
    let finish = |attempt, callers: &[PromotionCaller]| {
        let id = ReplacementId { fence: hold.fence, attempt };
        coordination
            .finish_replacement(&hold, &group, id, Some(&successor), callers)
            .expect("an answer")
    };
    assert!(finish(1, &callers));
    let view = coordination.view();
    assert_eq!(view.open_callers.get(&group).map(Vec::as_slice), Some(callers.as_slice()));
    assert_eq!(view.promoted.get(&group), Some(&successor));
    assert!(finish(2, &[]));
    assert!(coordination.view().open_callers.is_empty());
}

/// A holder whose copy does not follow the instances' entries asks the store which of them have started again.
#[test]
fn starts_are_read_from_the_store_and_not_from_the_copy() {
    let (store, mirror) = start();
    let coordination = coordination(&store, Arc::new(mirror));
    let entry = |name, born| InstanceEntry {
        name,
        group: "orders",
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z",
        slots: 1,
        leaving: false,
        role: Role::Replica,
        incarnation: born,
    };
    for (name, born) in [("i-1", Some(7)), ("i-10", Some(8)), ("i-2", None)] {
        store.put(&InstanceEntry::key(name), &entry(name, born).value());
    }
    store.put(&InstanceEntry::key("i-3"), b"no entry");
    let names = ["i-1", "i-2", "i-3", "i-4"].map(InstanceName::new);
    let starts = coordination.reported_incarnations(&names).expect("an answer");
    assert_eq!(starts, [(InstanceName::new("i-1"), InstanceIncarnation(7))].into());
}

/// A call that takes a replacement back may be done seconds later, when the next one has begun: nodes would go on
/// at a primary that is being replaced, and read there.
#[test]
fn an_end_that_is_done_late_does_not_end_the_next_replacement() {
    let holding = Holding::start();
    let first = holding.intent(1);
    holding.record(&first);
    let late = holding.late();
    holding.finish(first.id);
    let next = holding.intent(2);
    holding.record(&next);
    let done_late = late.finish_replacement(&holding.hold, &holding.group, first.id, None, &[]);
    assert!(done_late.expect("an answer"), "it had been done");
    assert_eq!(holding.recorded(), Some(next), "the next one goes on");
}

/// What a copy remembers: own keys that the store has lost, and that a replacement is over whose record it has again.
/// The next start of a node would begin it again otherwise, or take an old primary for the one promoted last.
#[test]
fn what_the_store_loses_of_replacements_is_remembered_and_written_back() {
    let holding = Holding::start();
    let intent = holding.intent(1);
    holding.record(&intent);
    let copy = holding.store.snapshot();
    let successor = Successor { instance: InstanceName::new("i-2"), term: Some(Term(7)) };
    let (hold, group) = (&holding.hold, &holding.group);
    assert!(
        holding
            .coordination
            .finish_replacement(hold, group, intent.id, Some(&successor), &[])
            .expect("an answer")
    );
    holding.store.restore(&copy);
    advance(&holding.mirror);
    let knows = |view: &CoordinationView| (view.intents.len(), view.promoted.get(group).cloned());
    assert_eq!(knows(&holding.coordination.view()), (0, Some(successor.clone())));
    let others = || {
        let mirror =
            Arc::new(Mirror::new(KeyStore::new(&holding.store.endpoint(), SourceAddress::ANY)));
        mirror.set_scope(Scope::Everything);
        advance(&mirror);
        coordination(&holding.store, mirror).view()
    };
    assert_eq!(knows(&others()), (1, None), "whoever starts now knows nothing of it");
    holding.coordination.write_back(group).expect("an answer");
    assert_eq!(knows(&others()), (0, Some(successor)));
}

/// A hold of the era before is over, whatever the store has under its numbers by now, and changes nothing.
#[test]
fn a_hold_of_an_earlier_era_is_over() {
    let holding = Holding::start();
    let copy = holding.store.snapshot();
    holding.store.restore(&copy);
    let (hold, group) = (&holding.hold, &holding.group);
    assert_eq!(holding.coordination.renew(hold).expect("an answer"), None);
    let recorded = holding.coordination.record_intent(hold, group, &holding.intent(1));
    assert_eq!(recorded.expect("an answer"), RecordOutcome::LeaseOver);
    advance(&holding.mirror);
    let next = holding.coordination.acquire(&node()).expect("an answer").expect("it is free");
    assert!(next.fence > hold.fence);
    holding.coordination.release(hold).expect("an answer");
    let next = holding.coordination.renew(&next).expect("an answer");
    assert!(next.is_some(), "the end of the earlier hold is not that of the next");
}

/// Guards against a coordinator that does not know of its predecessor's promotion: the first record
/// of an attempt, executed late, replaced the later one that says that promotions may have been sent.
#[test]
fn late_record_does_not_replace_one_that_says_that_promotions_may_have_been_sent() {
    let holding = Holding::start();
    let late_first = holding.late();
    let intent = holding.intent(1);
    holding.record(&intent);
    let late_second = holding.late();
    let promoting = Intent { promoting: true, ..intent.clone() };
    holding.record(&promoting);
    let awaits_log = Intent { awaits_log: true, ..intent.clone() };
    for (late, intent) in [(late_first, intent), (late_second, awaits_log)] {
        let executed_late = late.record_intent(&holding.hold, &holding.group, &intent);
        assert!(executed_late.is_err(), "{executed_late:?}");
        assert_eq!(holding.recorded(), Some(promoting.clone()));
    }
}

/// Guards against the same by the next coordinator, whose mirror lacks the last record of its
/// predecessor.
#[test]
fn next_coordinator_keeps_an_intent_that_its_mirror_does_not_show_yet() {
    let holding = Holding::start();
    holding.coordination.release(&holding.hold).expect("an answer");
    let next = holding.late();
    let former = holding.coordination.acquire(&node()).expect("an answer").expect("it is free");
    let promoting = Intent { promoting: true, ..holding.intent(1) };
    let recorded = holding.coordination.record_intent(&former, &holding.group, &promoting);
    assert_eq!(recorded.expect("an answer"), RecordOutcome::Recorded);
    holding.coordination.release(&former).expect("an answer");
    let lease = next.acquire(&NodeName::new("two")).expect("an answer").expect("it is free");
    assert!(next.view().intents.is_empty(), "its mirror shows the intent already");
    let id = ReplacementId { fence: lease.fence, attempt: 1 };
    let own = Intent { holder: NodeName::new("two"), id, ..holding.intent(1) };
    // The second attempt is made with a mirror that shows the intent.
    for _ in 0..2 {
        let outcome = next.record_intent(&lease, &holding.group, &own);
        assert_eq!(outcome.expect("an answer"), RecordOutcome::EarlierPromotion);
        assert_eq!(holding.recorded(), Some(promoting.clone()));
        assert_eq!(next.view().intents.get(&holding.group), Some(&promoting));
    }
}

/// Guards against a coordinator that does not know of a promotion of the coordinator before it: its
/// mirror shows the promoting intent of an earlier one, and its record replaced the later one.
#[test]
fn next_coordinator_keeps_a_promoting_intent_with_a_caller_that_its_mirror_does_not_show_yet() {
    let holding = Holding::start();
    let caller = |node, fence| PromotionCaller { node: NodeName::new(node), process: 1, fence };
    let first_caller = caller("one", holding.hold.fence);
    let first_callers = vec![first_caller.clone()];
    let first = Intent { promoting: true, callers: first_callers, ..holding.intent(1) };
    holding.record(&first);
    holding.coordination.release(&holding.hold).expect("an answer");
    let next = holding.late();
    let second_lease = holding.coordination.acquire(&NodeName::new("two"));
    let second_lease = second_lease.expect("an answer").expect("it is free");
    holding.mirror.catch_up().expect("an answer");
    let second_id = ReplacementId { fence: second_lease.fence, attempt: 1 };
    let second_callers = vec![first_caller, caller("two", second_lease.fence)];
    let second = Intent { id: second_id, callers: second_callers, ..first.clone() };
    let recorded = holding.coordination.record_intent(&second_lease, &holding.group, &second);
    assert_eq!(recorded.expect("an answer"), RecordOutcome::Recorded);
    holding.coordination.release(&second_lease).expect("an answer");
    let lease = next.acquire(&NodeName::new("three")).expect("an answer").expect("it is free");
    assert_eq!(next.view().intents.get(&holding.group), Some(&first));
    let id = ReplacementId { fence: lease.fence, attempt: 1 };
    let own = Intent { holder: NodeName::new("three"), id, ..first };
    // A record without an outcome is tried again.
    let outcomes = [(); 2].map(|()| next.record_intent(&lease, &holding.group, &own));
    assert_eq!(holding.recorded(), Some(second.clone()), "{outcomes:?}");
    let are_earlier =
        outcomes.iter().all(|outcome| matches!(outcome, Ok(RecordOutcome::EarlierPromotion)));
    assert!(are_earlier, "{outcomes:?}");
    assert_eq!(next.view().intents.get(&holding.group), Some(&second));
}

/// Guards against an attempt that begins again for no reason: it has recorded its intent, and knows
/// by the next record that the earlier callers have ended, but its mirror still shows their intent.
#[test]
fn coordinator_whose_mirror_lacks_its_own_intent_may_record_it_again() {
    let holding = Holding::start();
    let caller = PromotionCaller { node: node(), process: 1, fence: holding.hold.fence };
    let first = Intent { promoting: true, callers: vec![caller], ..holding.intent(1) };
    holding.record(&first);
    holding.coordination.release(&holding.hold).expect("an answer");
    let next = holding.late();
    let lease = next.acquire(&NodeName::new("two")).expect("an answer").expect("it is free");
    let id = ReplacementId { fence: lease.fence, attempt: 1 };
    let own = Intent { holder: NodeName::new("two"), id, ..first };
    let caller = PromotionCaller { node: NodeName::new("two"), process: 1, fence: lease.fence };
    let after_answers = Intent { callers: vec![caller], ..own.clone() };
    for intent in [own, after_answers] {
        let outcome = next.record_intent(&lease, &holding.group, &intent);
        assert_eq!(outcome.expect("an answer"), RecordOutcome::Recorded);
        assert_eq!(holding.recorded(), Some(intent));
    }
}

/// Guards against a replacement that does not wait for a promotion that the last one has left: the
/// mirror of its coordinator lacks the end of that one.
#[test]
fn next_coordinator_learns_of_callers_that_its_mirror_does_not_show_yet() {
    let holding = Holding::start();
    let (group, intent) = (&holding.group, holding.intent(1));
    let next = holding.late();
    holding.record(&intent);
    let successor = Successor { instance: InstanceName::new("i-2"), term: Some(Term(7)) };
    let callers = [PromotionCaller { node: node(), process: 1, fence: holding.hold.fence }];
    let finished = holding.coordination.finish_replacement(
        &holding.hold,
        group,
        intent.id,
        Some(&successor),
        &callers,
    );
    assert!(finished.expect("an answer"));
    holding.coordination.release(&holding.hold).expect("an answer");
    let lease = next.acquire(&NodeName::new("two")).expect("an answer").expect("it is free");
    assert!(next.view().open_callers.is_empty(), "its mirror shows the callers already");
    let id = ReplacementId { fence: lease.fence, attempt: 1 };
    let own = Intent { holder: NodeName::new("two"), id, ..intent };
    let outcome = next.record_intent(&lease, group, &own);
    assert_eq!(outcome.expect("an answer"), RecordOutcome::EarlierPromotion);
    assert_eq!(next.view().open_callers.get(group).map(Vec::as_slice), Some(callers.as_slice()));
}

/// Guards against callers that are forgotten when an attempt that waits for them finds a successor
/// and is then cancelled: its intent names none any more.
#[test]
fn record_of_a_successor_keeps_the_callers_of_the_last_replacement() {
    let holding = Holding::start();
    let group = &holding.group;
    let successor = Successor { instance: InstanceName::new("i-2"), term: Some(Term(7)) };
    let callers = [PromotionCaller { node: node(), process: 1, fence: 7 }];
    let first = holding.intent(1);
    holding.record(&first);
    let finished = holding.coordination.finish_replacement(
        &holding.hold,
        group,
        first.id,
        Some(&successor),
        &callers,
    );
    assert!(finished.expect("an answer"));
    let second = Intent { callers: callers.to_vec(), ..holding.intent(2) };
    holding.record(&second);
    let next = InstanceName::new("i-3");
    let recorded = holding.coordination.record_primary(&holding.hold, group, &next);
    assert!(recorded.expect("an answer"));
    holding.mirror.catch_up().expect("an answer");
    let view = holding.coordination.view();
    assert_eq!(view.promoted.get(group).map(|successor| &successor.instance), Some(&next));
    assert_eq!(view.open_callers.get(group).map(Vec::as_slice), Some(callers.as_slice()));
}

/// Guards against a successor's record, executed after the end of its replacement, that replaces the
/// record with the successor's term: nodes tell an old primary by the term.
#[test]
fn late_record_of_a_successor_does_not_replace_the_record_of_the_end() {
    let holding = Holding::start();
    let intent = holding.intent(1);
    holding.record(&intent);
    let late = holding.late();
    let (hold, group) = (&holding.hold, &holding.group);
    let successor = Successor { instance: InstanceName::new("i-2"), term: Some(Term(7)) };
    let finished =
        holding.coordination.finish_replacement(hold, group, intent.id, Some(&successor), &[]);
    assert!(finished.expect("an answer"));
    let executed_late = late.record_primary(hold, group, &successor.instance);
    assert!(!executed_late.expect("an answer"), "its condition does not hold");
    holding.mirror.catch_up().expect("an answer");
    assert_eq!(holding.coordination.view().promoted.get(group), Some(&successor));
}

/// Guards against a replacement that begins again after its end: its first record, which expects
/// that the group has no intent, was executed late under the same lease.
#[test]
fn late_first_record_does_not_bring_a_finished_replacement_back() {
    let successor = Successor { instance: InstanceName::new("i-2"), term: Some(Term(7)) };
    // The second replacement is cancelled: its end leaves the successor's record as it is.
    for successor in [Some(&successor), None] {
        let holding = Holding::start();
        let late = holding.late();
        let (hold, group, intent) = (&holding.hold, &holding.group, holding.intent(1));
        holding.record(&intent);
        let finished =
            holding.coordination.finish_replacement(hold, group, intent.id, successor, &[]);
        assert!(finished.expect("an answer"));
        let executed_late = late.record_intent(hold, group, &intent);
        assert!(executed_late.is_err(), "{executed_late:?}");
        assert_eq!(holding.recorded(), None, "it stays finished");
    }
}

/// Guards against an end, executed after the next replacement's end under the same lease, that
/// replaces its successor and its open callers: the next coordinator would not wait for them.
#[test]
fn late_end_does_not_replace_the_successor_of_the_next_replacement() {
    let holding = Holding::start();
    let (hold, group) = (&holding.hold, &holding.group);
    let first = holding.intent(1);
    let successor = |name, term| Successor { instance: InstanceName::new(name), term: Some(term) };
    let first_successor = successor("i-2", Term(7));
    let finish = |coordination: &StoreCoordination, id, successor: &Successor, callers: &[_]| {
        coordination
            .finish_replacement(hold, group, id, Some(successor), callers)
            .expect("an answer")
    };
    holding.record(&first);
    let late_first_call = holding.late();
    assert!(finish(&holding.coordination, first.id, &first_successor, &[]));
    let late_second_call = holding.late();
    let next = holding.intent(2);
    holding.record(&next);
    let next_successor = successor("i-3", Term(9));
    let callers = [PromotionCaller { node: node(), process: 3, fence: hold.fence }];
    assert!(finish(&holding.coordination, next.id, &next_successor, &callers));
    for late in [late_first_call, late_second_call] {
        assert!(finish(&late, first.id, &first_successor, &[]), "it had been done");
        holding.mirror.catch_up().expect("an answer");
        let view = holding.coordination.view();
        assert_eq!(view.promoted.get(group), Some(&next_successor));
        assert_eq!(view.open_callers.get(group).map(Vec::as_slice), Some(callers.as_slice()));
    }
}
