//! A store whose watches report no changes for a while. An empty answer of a watch is no evidence
//! that nothing has changed.

use std::collections::BTreeSet;
use std::sync::Arc;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{Intent, Reason, ReplacementId, Successor};
use kestrellock_lab::standin::store::faults::WatchSilence;
use kestrellock_lab::standin::store::{Dialect, PlatformStore};
use kestrellock_platform::coordination::StoreCoordination;
use kestrellock_platform::keys::{KeyStore, Mirror, Scope};
use kestrellock_store::coordination::{Coordination, CoordinatorLease, RecordOutcome};

const EMPTY_ANSWERS: [WatchSilence; 2] =
    [WatchSilence::EmptyAtOldRevision, WatchSilence::EmptyAtCurrentRevision];

struct Client {
    mirror: Arc<Mirror>,
    coordination: StoreCoordination,
}

impl Client {
    fn start(store: &PlatformStore) -> Self {
        let mirror = Arc::new(Mirror::new(KeyStore::new(&store.endpoint())));
        mirror.advance().expect("an answer");
        mirror.set_scope(Scope::OwnKeys);
        let store = KeyStore::new(&store.endpoint());
        let coordination = StoreCoordination::new(store, mirror.clone(), Default::default());
        Self { mirror, coordination }
    }

    fn acquire(&self) -> CoordinatorLease {
        let lease = self.coordination.acquire(&NodeName::new("one"));
        lease.expect("an answer").expect("the lease is free")
    }
}

fn group() -> GroupName {
    GroupName::new("orders")
}

fn record(client: &Client, lease: &CoordinatorLease, group: &GroupName) -> Intent {
    let intent = Intent {
        holder: NodeName::new("one"),
        id: ReplacementId { fence: lease.fence, attempt: 1 },
        reason: Reason::Suspected,
        former: None,
        called_off: false,
        promoting: false,
        awaits_log: false,
        callers: Vec::new(),
    };
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
    // With more intents than one call reads, each group is read by a call of its own.
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
