//! The stand-in of the platform's store: watches that report no changes, and reads that are old.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use kestrellock_lab::standin::store::faults::WatchSilence;
use kestrellock_lab::standin::store::{Dialect, PlatformStore};
use kestrellock_net::source::SourceAddress;
use kestrellock_platform::keys::{Freshness, KeyStore};

const PREFIX: &str = "kestrellock/";
const KEY: &str = "kestrellock/one";
const OTHER_KEY: &str = "kestrellock/two";

fn start() -> (PlatformStore, KeyStore) {
    let store = PlatformStore::start_as(Dialect::Platform).expect("it starts");
    store.put(KEY, b"1");
    let client = KeyStore::new(&store.endpoint(), SourceAddress::ANY);
    (store, client)
}

/// Changes after `after` that a watch call without a wait time reports: their number, and the
/// position that the answer names. `None` if the store no longer has the history.
fn changes(client: &KeyStore, after: u64) -> Option<(usize, u64)> {
    let answer = client.changes(PREFIX, after, Duration::ZERO).expect("an answer");
    answer.map(|answer| (answer.events.len(), answer.at_rev))
}

#[test]
fn silent_watch_with_empty_answers_names_the_old_or_the_current_revision() {
    let (store, client) = start();
    let before = store.position();
    for (silence, named_after) in
        [(WatchSilence::EmptyAtOldRevision, 0), (WatchSilence::EmptyAtCurrentRevision, 1)]
    {
        let silent_from = store.position();
        store.silence_watches(silence);
        store.put(OTHER_KEY, b"2");
        assert_eq!(changes(&client, silent_from), Some((0, silent_from + named_after)));
        store.end_watch_silence();
        assert_eq!(changes(&client, silent_from), Some((1, silent_from + 1)));
    }
    store.silence_watches(WatchSilence::EmptyAtOldRevision);
    store.forget_history();
    assert_eq!(changes(&client, before), None, "the history is gone");
}

#[test]
fn silent_watch_without_answer_is_cut_when_the_history_is_dropped() {
    let (store, client) = start();
    let before = store.position();
    store.silence_watches(WatchSilence::NoAnswer);
    store.put(OTHER_KEY, b"2");
    store.put(OTHER_KEY, b"3");
    let (sender, results) = mpsc::channel();
    let caller = client.clone();
    let wait = Duration::from_secs(10);
    let watch = thread::spawn(move || sender.send(caller.changes(PREFIX, before, wait)));
    assert!(results.recv_timeout(Duration::from_millis(300)).is_err(), "it got an answer");
    let read = client.items(PREFIX, Freshness::Newest).expect("an answer");
    assert_eq!(read.at_rev, store.position(), "reads are answered meanwhile");
    store.forget_history();
    let result = results.recv_timeout(Duration::from_secs(5)).expect("the call ends");
    assert!(result.is_err(), "its connection is reset");
    watch.join().expect("it ends").expect("the result is taken");
    assert_eq!(changes(&client, before), None, "the history is gone");
}

#[test]
fn stale_read_shows_older_contents_and_others_the_current_ones() {
    let (store, client) = start();
    let before = store.position();
    store.set_stale_reads(Some(&store.snapshot()));
    store.put(OTHER_KEY, b"2");
    let stale = client.items(PREFIX, Freshness::MayBeStale).expect("an answer");
    assert_eq!((stale.items.len(), stale.at_rev), (1, before));
    let newest = client.items(PREFIX, Freshness::Newest).expect("an answer");
    assert_eq!((newest.items.len(), newest.at_rev), (2, store.position()));
    store.set_stale_reads(None);
    let answered = client.items(PREFIX, Freshness::MayBeStale).expect("an answer");
    assert_eq!(answered.at_rev, store.position());
}
