//! The key calls with which the users' platform serves its store.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use kestrellock_platform::standin::keys::{
    self, CONDITION_FAILED, ChangeCall, ERA_HEADER, HISTORY_GONE, KeyCall, NOT_FOUND, RATE_LIMITED,
    StoredEvent, StoredItem,
};

use super::contents::{Contents, Entry, Event, KeyRange};
use super::faults::{SilentWatches, WatchSilence};
use super::{Reply, Shared, WATCH_CHECK_INTERVAL};

/// Maximum number of items in one page of a range response.
const PAGE_ITEMS: usize = 50;
/// A page ends with the item that reaches this size, as on the platform. Without that limit the
/// nodes' reads of many large values hold the store's lock for longer than a call may take.
const PAGE_BYTES: usize = 1024 * 1024;
const BAD_REQUEST: u16 = 400;

/// HTTP status and body of a response.
type CallResponse = (u16, String);

fn success(body: String) -> CallResponse {
    (200, body)
}

fn failure(status: u16) -> CallResponse {
    (status, "{}".to_owned())
}

impl Shared {
    /// The response to a call above the rate limit.
    pub(super) fn rate_limited_reply(&self) -> Reply {
        reply(failure(RATE_LIMITED), &self.contents())
    }

    /// Executes a call.
    pub(super) fn handle_key_call(&self, call: Option<KeyCall>) -> Reply {
        let Some(call) = call else { return reply(failure(BAD_REQUEST), &self.contents()) };
        if let KeyCall::Watch { prefix, after, wait } = &call {
            return self.wait_for_changes(prefix, *after, *wait);
        }
        if let KeyCall::Range { prefix, after, may_be_stale: true } = &call {
            let stale_contents = self.faults().stale_contents.clone();
            if let Some(contents) = stale_contents {
                return reply(range(&contents, prefix, after.as_deref()), &contents);
            }
        }
        let mut contents = self.contents();
        let response = execute(&mut contents, &call, Instant::now());
        let is_success = response.0 == 200;
        let reply = reply(response, &contents);
        drop(contents);
        self.changed.notify_all();
        match call.is_change() && is_success && self.faults().loses_response() {
            true => Reply::Reset,
            false => reply,
        }
    }

    fn wait_for_changes(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let epoch = self.watch_epoch.load(Ordering::Acquire);
        let end = Instant::now() + wait;
        let range = range_of(prefix);
        loop {
            let silent_watches = self.faults().silent_watches;
            let contents = self.contents();
            let is_over = Instant::now() >= end;
            let response = match silent_watches {
                Some(silent) => silent_watch_response(silent, &contents, is_over),
                None => watch_response(&contents, &range, after, is_over),
            };
            if let Some(response) = response {
                return reply(response, &contents);
            }
            let waited = self.changed.wait_timeout(contents, WATCH_CHECK_INTERVAL);
            drop(waited.expect("a holder of the contents lock panicked"));
            if self.watch_epoch.load(Ordering::Acquire) != epoch {
                return Reply::Reset;
            }
        }
    }
}

/// The response to a watch call, or `None` while it waits.
fn watch_response(
    contents: &Contents,
    range: &KeyRange,
    after: u64,
    is_over: bool,
) -> Option<CallResponse> {
    if after + 1 < contents.compacted || after > contents.revision {
        return Some(failure(HISTORY_GONE));
    }
    let events = contents.events(range, after + 1);
    let is_due = is_over || !events.is_empty();
    is_due.then(|| success(watch_answer(&events, contents.revision)))
}

/// The response to a watch call while watches do not report changes, or `None` while it waits.
fn silent_watch_response(
    silent: SilentWatches,
    contents: &Contents,
    is_over: bool,
) -> Option<CallResponse> {
    let at_revision = match silent.silence {
        WatchSilence::NoAnswer => None,
        WatchSilence::EmptyAtOldRevision => Some(silent.since),
        WatchSilence::EmptyAtCurrentRevision => Some(contents.revision),
    };
    let at_revision = at_revision.filter(|_| is_over)?;
    Some(success(watch_answer(&[], at_revision)))
}

fn reply((status, body): CallResponse, contents: &Contents) -> Reply {
    Reply::Json { status, headers: vec![(ERA_HEADER, contents.era.to_string())], body }
}

/// The range of all keys with this prefix.
fn range_of(prefix: &str) -> KeyRange {
    let start = prefix.as_bytes().to_vec();
    let mut end = start.clone();
    match end.last_mut() {
        Some(last) => *last += 1,
        None => end.push(0),
    }
    KeyRange { start, end: Some(end) }
}

fn execute(contents: &mut Contents, call: &KeyCall, now: Instant) -> CallResponse {
    match call {
        KeyCall::Item { key } => match contents.get(key.as_bytes()) {
            Some(entry) => {
                success(keys::encode_item_answer(&stored_item(key, entry), contents.revision))
            }
            None => failure(NOT_FOUND),
        },
        KeyCall::Range { prefix, after, .. } => range(contents, prefix, after.as_deref()),
        KeyCall::Watch { .. } => failure(BAD_REQUEST),
        KeyCall::Change(change) => execute_change(contents, change),
        KeyCall::Grant(lifetime) => match contents.grant(0, *lifetime, now) {
            Some(number) => success(keys::encode_lease_answer(number, *lifetime)),
            None => failure(BAD_REQUEST),
        },
        KeyCall::Renew(number) => match contents.keep_alive(*number, now) {
            Some(lifetime) => success(keys::encode_lease_answer(*number, lifetime)),
            None => failure(NOT_FOUND),
        },
        KeyCall::End(number) => match contents.revoke(*number) {
            true => success("{}".to_owned()),
            false => failure(NOT_FOUND),
        },
    }
}

fn range(contents: &Contents, prefix: &str, after: Option<&str>) -> CallResponse {
    let after = after.map(str::as_bytes);
    let (found, has_more) = contents.page(&range_of(prefix), after, PAGE_ITEMS, PAGE_BYTES);
    let named: Vec<(String, Entry)> = found
        .into_iter()
        .map(|(key, entry)| (String::from_utf8_lossy(&key).into_owned(), entry))
        .collect();
    let items: Vec<StoredItem> = named.iter().map(|(key, entry)| stored_item(key, entry)).collect();
    success(keys::encode_range_answer(&items, has_more, contents.revision))
}

fn execute_change(contents: &mut Contents, change: &ChangeCall) -> CallResponse {
    let is_unchanged = |(key, revision): &(String, u64)| {
        contents.get(key.as_bytes()).map_or(0, |entry| entry.modified) == *revision
    };
    if !change.expected.iter().all(is_unchanged) {
        return failure(CONDITION_FAILED);
    }
    let has_lost_lease = |(_, _, lease): &(String, Vec<u8>, u64)| {
        *lease != 0 && contents.remaining_time(*lease, Instant::now()).is_none()
    };
    if change.puts.iter().any(has_lost_lease) {
        return failure(NOT_FOUND);
    }
    let revision = contents.revision + 1;
    for (key, value, lease) in &change.puts {
        contents.put(key.as_bytes().to_vec(), value.clone(), *lease, revision);
    }
    for key in &change.removes {
        contents.delete(&KeyRange { start: key.as_bytes().to_vec(), end: None }, revision);
    }
    success(keys::encode_change_answer(contents.revision))
}

fn stored_item<'a>(key: &'a str, entry: &'a Entry) -> StoredItem<'a> {
    StoredItem {
        key,
        value: &entry.value,
        modified: entry.modified,
        created: entry.created,
        lease: entry.lease,
    }
}

fn watch_answer(events: &[Event], revision: u64) -> String {
    let named: Vec<(String, &Event)> = events
        .iter()
        .map(|event| (String::from_utf8_lossy(&event.key).into_owned(), event))
        .collect();
    let stored_events: Vec<StoredEvent> = named
        .iter()
        .map(|(key, event)| match &event.entry {
            Some(entry) => StoredEvent::Written(stored_item(key, entry)),
            None => StoredEvent::Gone { key, revision: event.revision },
        })
        .collect();
    keys::encode_watch_answer(&stored_events, revision)
}
