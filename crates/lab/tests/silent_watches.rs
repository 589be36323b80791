//! A store whose watches report no changes for a while. An empty answer of a watch is no evidence
//! that nothing has changed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::promotion::{Intent, PromotionCaller, Reason, ReplacementId, Successor};
use kestrellock_lab::standin::store::faults::WatchSilence;
use kestrellock_lab::standin::store::{Dialect, PlatformStore};
use kestrellock_net::source::SourceAddress;
use kestrellock_platform::coordination::StoreCoordination;
use kestrellock_platform::keys::{Freshness, KeyStore, Mirror, Scope};
use kestrellock_platform::nodes::{NodeList, RegisteredNodes};
use kestrellock_store::coordination::{Coordination, CoordinatorLease, RecordOutcome};
use kestrellock_store::machines::{Machine, MachineList, MachineState};
use kestrellock_store::store::{ConfigStore, StoreError, WatchEvent};

const EMPTY_ANSWERS: [WatchSilence; 2] =
    [WatchSilence::EmptyAtOldRevision, WatchSilence::EmptyAtCurrentRevision];

/// Time after which a second empty answer confirms the first one.
const CONFIRMATION_DELAY: Duration = Duration::from_secs(2);
const WATCHED_KEY: &str = "watched/key";

struct Client {
    nodes: NodeList,
    mirror: Arc<Mirror>,
    coordination: StoreCoordination,
}

impl Client {
    fn start(store: &PlatformStore) -> Self {
        let mirror = Arc::new(Mirror::new(KeyStore::new(&store.endpoint(), SourceAddress::ANY)));
        mirror.advance().expect("an answer");
        mirror.set_scope(Scope::OwnKeys);
        let store = KeyStore::new(&store.endpoint(), SourceAddress::ANY);
        let registered = Arc::<RegisteredNodes>::default();
        let nodes = NodeList::new(store.clone(), mirror.clone(), registered.clone());
        let coordination = StoreCoordination::new(store, mirror.clone(), registered);
        Self { nodes, mirror, coordination }
    }

    fn register(&self) -> Result<(), StoreError> {
        self.nodes.register(&Machine {
            node: NodeName::new("joining"),
            zone: ZoneName::new("zone"),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            state: MachineState::Live,
            link_mbps: 0,
        })
    }

    fn lists_itself(&self) -> bool {
        let machines = self.nodes.machines().expect("a list");
        machines.iter().any(|machine| machine.node == NodeName::new("joining"))
    }

    fn shows_replacement(&self) -> bool {
        self.coordination.view().intents.contains_key(&group())
    }

    fn acquire(&self) -> CoordinatorLease {
        let lease = self.coordination.acquire(&NodeName::new("one"));
        lease.expect("an answer").expect("the lease is free")
    }
}

fn group() -> GroupName {
    GroupName::new("orders")
}

fn intent_of(lease: &CoordinatorLease) -> Intent {
    Intent {
        holder: NodeName::new("one"),
        id: ReplacementId { fence: lease.fence, attempt: 1 },
        reason: Reason::Suspected,
        former: None,
        called_off: false,
        promoting: false,
        awaits_log: false,
        callers: Vec::new(),
    }
}

fn record(client: &Client, lease: &CoordinatorLease, group: &GroupName) -> Intent {
    let intent = intent_of(lease);
    let outcome = client.coordination.record_intent(lease, group, &intent);
    assert_eq!(outcome.expect("an answer"), RecordOutcome::Recorded);
    intent
}

/// Runs a check of a mirror that is older than the group's replacement.
fn check_before_and_after_the_watch(store: &PlatformStore, reader: &Client) {
    let groups = BTreeSet::from([group()]);
    let check = reader.coordination.check_view(&groups).expect("an answer");
    assert_eq!(check.confirmed, BTreeSet::new());
    assert_eq!(check.calls, 1);
    store.put("others/key", b"1");
    store.forget_history();
    reader.mirror.advance().expect("an answer");
    let check = reader.coordination.check_view(&groups).expect("an answer");
    assert_eq!((check.confirmed, check.view_revision), (groups, reader.mirror.view().revision));
}

/// A replacement was recorded while watches were silent, and a check confirmed that there was none.
#[test]
fn check_does_not_confirm_a_mirror_without_a_recorded_replacement() {
    for silence in [EMPTY_ANSWERS.as_slice(), &[WatchSilence::NoAnswer]].concat() {
        let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
        let coordinator = Client::start(&store);
        let lease = coordinator.acquire();
        let reader = Client::start(&store);
        store.silence_watches(silence);
        record(&coordinator, &lease, &group());
        check_before_and_after_the_watch(&store, &reader);
    }
}

/// A successor was recorded while watches were silent, and a check confirmed the one before it.
#[test]
fn check_does_not_confirm_a_mirror_without_the_end_of_a_replacement() {
    for silence in EMPTY_ANSWERS {
        let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
        let coordinator = Client::start(&store);
        let lease = coordinator.acquire();
        let intent = record(&coordinator, &lease, &group());
        let reader = Client::start(&store);
        store.silence_watches(silence);
        let successor = Successor { instance: InstanceName::new("i-2"), term: None };
        let coordination = &coordinator.coordination;
        let finished =
            coordination.finish_replacement(&lease, &group(), intent.id, Some(&successor), &[]);
        assert!(finished.expect("an answer"));
        check_before_and_after_the_watch(&store, &reader);
        assert_eq!(reader.coordination.view().promoted.get(&group()), Some(&successor));
    }
}

/// A change of one group kept the check from confirming the others.
#[test]
fn check_of_several_groups_confirms_those_whose_records_the_mirror_has() {
    // With more intents than one call reads, each group is read by a separate call.
    for (other_groups, calls) in [(0, 1), (200, 3)] {
        let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
        let coordinator = Client::start(&store);
        let lease = coordinator.acquire();
        for number in 0..other_groups {
            let key = format!("kestrellock/promotion/1/intents/other-{number}");
            store.put(&key, b"null");
        }
        coordinator.mirror.catch_up().expect("an answer");
        let names = ["orders", "orders-2", "payments"];
        let groups: BTreeSet<GroupName> = names.map(GroupName::new).into();
        record(&coordinator, &lease, &GroupName::new("payments"));
        let reader = Client::start(&store);
        store.silence_watches(WatchSilence::EmptyAtCurrentRevision);
        record(&coordinator, &lease, &GroupName::new("orders-2"));
        let check = reader.coordination.check_view(&groups).expect("an answer");
        assert_eq!(check.confirmed, ["orders", "payments"].map(GroupName::new).into());
        assert_eq!((check.calls, check.read_revision), (calls, store.position()));
    }
}

/// How watches report changes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SilenceEnd {
    /// The store reports the changes of the silence.
    Reported,
    /// The store cuts its watches.
    Cut,
    /// The store drops its history and cuts its watches.
    HistoryDropped,
}

fn end_silence(store: &PlatformStore, end: SilenceEnd) {
    store.put("others/key", b"1");
    match end {
        SilenceEnd::Reported => store.end_watch_silence(),
        SilenceEnd::Cut => {
            store.end_watch_silence();
            store.break_watches();
        }
        SilenceEnd::HistoryDropped => store.forget_history(),
    }
}

/// An empty answer with a later revision than a change that it lacks hid that change for good from a
/// node that follows all keys.
#[test]
fn mirror_of_all_keys_shows_a_replacement_that_an_empty_answer_has_hidden() {
    for silence in EMPTY_ANSWERS {
        for end in [SilenceEnd::Reported, SilenceEnd::Cut, SilenceEnd::HistoryDropped] {
            let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
            let coordinator = Client::start(&store);
            let lease = coordinator.acquire();
            let reader = Client::start(&store);
            reader.mirror.set_scope(Scope::Everything);
            reader.mirror.advance().expect("the remaining keys");
            store.silence_watches(silence);
            record(&coordinator, &lease, &group());
            assert!(reader.mirror.advance().expect("an empty answer").is_none());
            end_silence(&store, end);
            reader.mirror.advance().expect("an answer");
            assert!(reader.shows_replacement(), "{silence:?}, {end:?}");
        }
    }
}

/// The same for a node that follows the product's own keys, with a watch call that waits.
#[test]
fn mirror_of_own_keys_shows_a_replacement_that_an_empty_answer_has_hidden() {
    for silence in EMPTY_ANSWERS {
        for end in [SilenceEnd::Reported, SilenceEnd::Cut, SilenceEnd::HistoryDropped] {
            let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
            let coordinator = Client::start(&store);
            let lease = coordinator.acquire();
            let reader = Client::start(&store);
            store.silence_watches(silence);
            record(&coordinator, &lease, &group());
            reader.mirror.catch_up().expect("an empty answer");
            let watches = store.counters().watches;
            thread::scope(|scope| {
                let watch = scope.spawn(|| reader.mirror.advance());
                while store.counters().watches == watches {
                    thread::sleep(Duration::from_millis(1));
                }
                // The store counts a call just before the call begins to wait.
                thread::sleep(Duration::from_millis(50));
                end_silence(&store, end);
                drop(watch.join().expect("it ends"));
            });
            reader.mirror.advance().expect("an answer");
            assert!(reader.shows_replacement(), "{silence:?}, {end:?}");
        }
    }
}

/// A change that was reported after an empty answer hid an earlier one for good from a node that
/// follows the product's own keys.
#[test]
fn mirror_of_own_keys_shows_a_hidden_replacement_when_a_later_change_is_reported() {
    for silence in EMPTY_ANSWERS {
        let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
        let coordinator = Client::start(&store);
        let lease = coordinator.acquire();
        let reader = Client::start(&store);
        store.silence_watches(silence);
        record(&coordinator, &lease, &group());
        reader.mirror.catch_up().expect("an empty answer");
        store.end_watch_silence();
        record(&coordinator, &lease, &GroupName::new("payments"));
        reader.mirror.advance().expect("an answer");
        let view = reader.coordination.view();
        assert!(view.intents.contains_key(&GroupName::new("payments")), "{silence:?}");
        assert!(reader.shows_replacement(), "{silence:?}");
    }
}

/// Guards against a watch that reads the records again and again after the store has dropped its
/// history.
#[test]
fn quiet_watch_of_own_keys_costs_one_read_after_a_compaction() {
    let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
    let reader = Client::start(&store);
    let quiet_calls = |calls: u64| {
        let before = store.counters().requests;
        for _ in 0..calls {
            store.put("others/key", b"1");
            reader.mirror.catch_up().expect("an answer");
        }
        store.counters().requests - before
    };
    assert_eq!(quiet_calls(4), 4, "an empty answer costs no further call");
    store.compact();
    let before = store.counters().requests;
    reader.mirror.advance().expect("the history is dropped, and the records are read");
    assert_eq!(store.counters().requests - before, 2);
    assert_eq!(quiet_calls(4), 4);
}

/// A node listed itself on an empty answer, before its mirror showed a replacement whose coordinator
/// did not wait for this node.
#[test]
fn node_does_not_list_itself_on_an_empty_answer() {
    for silence in [EMPTY_ANSWERS.as_slice(), &[WatchSilence::NoAnswer]].concat() {
        let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
        let coordinator = Client::start(&store);
        let lease = coordinator.acquire();
        let joining = Client::start(&store);
        store.silence_watches(silence);
        record(&coordinator, &lease, &group());
        joining.register().expect("an answer");
        assert!(joining.lists_itself(), "{silence:?}");
        assert!(joining.shows_replacement(), "{silence:?}");
    }
}

/// A node listed itself on a read of the nodes' entries, after its read of the replacement records
/// had failed.
#[test]
fn node_does_not_list_itself_while_its_mirror_lacks_earlier_replacements() {
    let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
    let coordinator = Client::start(&store);
    let lease = coordinator.acquire();
    let joining = Client::start(&store);
    record(&coordinator, &lease, &group());
    // The first call is the registration, the second one is rejected.
    store.set_rate_limit(Some(1));
    assert!(joining.register().is_err());
    store.set_rate_limit(None);
    for freshness in [Freshness::MayBeStale, Freshness::Newest] {
        joining.mirror.read_nodes(freshness).expect("an answer");
        assert!(!joining.lists_itself() || joining.shows_replacement());
    }
    joining.register().expect("an answer");
    assert!(joining.lists_itself() && joining.shows_replacement());
}

/// A coordinator whose mirror lacked the end of the last replacement took an empty answer for the
/// store's word that no promotion was left open, and did not wait for it.
#[test]
fn record_does_not_forget_open_callers_on_an_empty_answer() {
    for silence in EMPTY_ANSWERS {
        let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
        let first = Client::start(&store);
        let lease = first.acquire();
        let next = Client::start(&store);
        let intent = record(&first, &lease, &group());
        let callers = [PromotionCaller { node: intent.holder, process: 1, fence: lease.fence }];
        let successor = Successor { instance: InstanceName::new("i-2"), term: None };
        let coordination = &first.coordination;
        let finished = coordination.finish_replacement(
            &lease,
            &group(),
            intent.id,
            Some(&successor),
            &callers,
        );
        assert!(finished.expect("an answer"));
        coordination.release(&lease).expect("an answer");
        store.silence_watches(silence);
        let lease = next.acquire();
        let own = intent_of(&lease);
        let record = || next.coordination.record_intent(&lease, &group(), &own);
        // A record without an outcome is tried again.
        for outcome in [(); 2].map(|()| record()) {
            assert!(matches!(outcome, Ok(RecordOutcome::EarlierPromotion)), "{outcome:?}");
        }
    }
}

/// A watch that continued from the revision of an empty answer never reported the change that the
/// answer lacked.
#[test]
fn watch_reports_a_change_that_an_empty_answer_has_hidden() {
    let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
    let client = KeyStore::new(&store.endpoint(), SourceAddress::ANY);
    let from = store.position() + 1;
    store.silence_watches(WatchSilence::EmptyAtCurrentRevision);
    store.put(WATCHED_KEY, b"1");
    let mut watch = client.watch(WATCHED_KEY, from).expect("it opens");
    store.end_watch_silence();
    let mut events = (0..4).map(|_| watch.next(Duration::from_secs(4)).expect("an event"));
    assert!(events.any(|event| event == WatchEvent::Changed(store.position())));
}

/// Guards against a caution that never ends on an idle store: a node took a copy for the same as
/// before if no change had been made, although it had been requested later.
#[test]
fn coordination_view_names_the_time_of_a_later_answer_without_changes() {
    let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
    let reader = Client::start(&store);
    let before = reader.coordination.view();
    reader.mirror.catch_up().expect("an empty answer");
    thread::sleep(CONFIRMATION_DELAY);
    reader.mirror.catch_up().expect("an answer that confirms the first one");
    let after = reader.coordination.view();
    assert_eq!(after.revision, before.revision);
    assert!(after.requested_at > before.requested_at);
}
