//! The store as the users' platform serves it.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use kestrellock_platform::standin::keys::{
    self, CONDITION_FAILED, ChangeCall, ERA_HEADER, HISTORY_GONE, KeyCall, NOT_FOUND, RATE_LIMITED,
    StoredEvent, StoredItem,
};

use super::contents::{Contents, Entry, Event, KeyRange};
use super::{Reply, Shared, WATCH_CHECK_INTERVAL};

/// Items of one page.
const PAGE: usize = 50;
const MALFORMED: u16 = 400;

/// Status and body.
type Answer = (u16, String);

fn success(body: String) -> Answer {
    (200, body)
}

fn failure(status: u16) -> Answer {
    (status, "{}".to_owned())
}

impl Shared {
    /// The refusal of a call beyond the rate.
    pub(super) fn beyond_rate(&self) -> Reply {
        reply(failure(RATE_LIMITED), &self.contents())
    }

    /// Carries a call out.
    pub(super) fn handle_key_call(&self, call: Option<KeyCall>) -> Reply {
        let Some(call) = call else { return reply(failure(MALFORMED), &self.contents()) };
        if let KeyCall::Watch { prefix, after, wait } = &call {
            return self.wait_for_changes(prefix, *after, *wait);
        }
        let mut contents = self.contents();
        let answer = carry_out(&mut contents, &call, Instant::now());
        let is_done = answer.0 == 200;
        let reply = reply(answer, &contents);
        drop(contents);
        self.changed.notify_all();
        match call.is_change() && is_done && self.faults().loses_answer() {
            true => Reply::Reset,
            false => reply,
        }
    }

    fn wait_for_changes(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let epoch = self.watch_epoch.load(Ordering::Acquire);
        let end = Instant::now() + wait;
        let range = range_of(prefix);
        loop {
            let contents = self.contents();
            if after + 1 < contents.compacted || after > contents.revision {
                return reply(failure(HISTORY_GONE), &contents);
            }
            let events = contents.events(&range, after + 1);
            if !events.is_empty() || Instant::now() >= end {
                let answer = success(watch_answer(&events, contents.revision));
                return reply(answer, &contents);
            }
            let waited = self.changed.wait_timeout(contents, WATCH_CHECK_INTERVAL);
            drop(waited.expect("a holder of the contents lock panicked"));
            if self.watch_epoch.load(Ordering::Acquire) != epoch {
                return Reply::Reset;
            }
        }
    }
}

fn reply((status, body): Answer, contents: &Contents) -> Reply {
    Reply::Json { status, headers: vec![(ERA_HEADER, contents.era.to_string())], body }
}

/// The keys that begin with `prefix`.
fn range_of(prefix: &str) -> KeyRange {
    let start = prefix.as_bytes().to_vec();
    let mut end = start.clone();
    match end.last_mut() {
        Some(last) => *last += 1,
        None => end.push(0),
    }
    KeyRange { start, end: Some(end) }
}

fn carry_out(contents: &mut Contents, call: &KeyCall, now: Instant) -> Answer {
    match call {
        KeyCall::Item { key } => match contents.get(key.as_bytes()) {
            Some(entry) => success(keys::encode_item_answer(&held(key, entry), contents.revision)),
            None => failure(NOT_FOUND),
        },
        KeyCall::Range { prefix, after } => range(contents, prefix, after.as_deref()),
        KeyCall::Watch { .. } => failure(MALFORMED),
        KeyCall::Change(change) => carry_out_change(contents, change),
        KeyCall::Grant(life) => match contents.grant(0, *life, now) {
            Some(number) => success(keys::encode_lease_answer(number, *life)),
            None => failure(MALFORMED),
        },
        KeyCall::Renew(number) => match contents.keep_alive(*number, now) {
            Some(life) => success(keys::encode_lease_answer(*number, life)),
            None => failure(NOT_FOUND),
        },
        KeyCall::End(number) => match contents.revoke(*number) {
            true => success("{}".to_owned()),
            false => failure(NOT_FOUND),
        },
    }
}

fn range(contents: &Contents, prefix: &str, after: Option<&str>) -> Answer {
    let found = contents.range(&range_of(prefix), None);
    let found: Vec<(String, Entry)> = found
        .into_iter()
        .map(|(key, entry)| (String::from_utf8_lossy(&key).into_owned(), entry))
        .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
        .collect();
    let items: Vec<StoredItem> =
        found.iter().take(PAGE).map(|(key, entry)| held(key, entry)).collect();
    success(keys::encode_range_answer(&items, found.len() > PAGE, contents.revision))
}

fn carry_out_change(contents: &mut Contents, change: &ChangeCall) -> Answer {
    let holds = |(key, revision): &(String, u64)| {
        contents.get(key.as_bytes()).map_or(0, |entry| entry.modified) == *revision
    };
    if !change.expected.iter().all(holds) {
        return failure(CONDITION_FAILED);
    }
    let is_gone = |(_, _, lease): &(String, Vec<u8>, u64)| {
        *lease != 0 && contents.time_left(*lease, Instant::now()).is_none()
    };
    if change.puts.iter().any(is_gone) {
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

fn held<'a>(key: &'a str, entry: &'a Entry) -> StoredItem<'a> {
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
    let told: Vec<StoredEvent> = named
        .iter()
        .map(|(key, event)| match &event.entry {
            Some(entry) => StoredEvent::Written(held(key, entry)),
            None => StoredEvent::Gone { key, revision: event.revision },
        })
        .collect();
    keys::encode_watch_answer(&told, revision)
}
