//! A watch: a thread reads the stream, so that its owner can wait for as long as it likes.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

use super::http::{Effect, Endpoints};
use super::wire::{WatchLine, WatchRequest, WatchResult, number};
use crate::store::{StoreError, Watch, WatchEvent};

const WATCH: &str = "/v3/watch";
/// A stream is replaced after this time, because one whose far end vanished looks like a quiet one.
const STREAM_LIFETIME: Duration = Duration::from_secs(5);
const PENDING_EVENTS: usize = 64;

/// An open watch.
pub struct EtcdWatch {
    events: Receiver<Result<WatchEvent, StoreError>>,
}

impl EtcdWatch {
    /// Opens a watch; the thread that reads it ends with the stream, at most
    /// [`STREAM_LIFETIME`] later.
    pub fn open(endpoints: &Endpoints, prefix: &str, from: u64) -> Result<Self, StoreError> {
        let request = WatchRequest::of_prefix(prefix, from);
        let response = endpoints.post(WATCH, &request, Effect::None, STREAM_LIFETIME)?;
        let (sender, events) = bounded(PENDING_EVENTS);
        let lines = BufReader::new(response.into_body().into_reader());
        thread::Builder::new()
            .name("store-watch".to_owned())
            .spawn(move || read_stream(lines, &sender))
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        Ok(Self { events })
    }
}

impl Watch for EtcdWatch {
    fn next(&mut self, limit: Duration) -> Result<WatchEvent, StoreError> {
        match self.events.recv_timeout(limit) {
            Ok(outcome) => outcome,
            Err(RecvTimeoutError::Timeout) => Ok(WatchEvent::TimedOut),
            Err(RecvTimeoutError::Disconnected) => {
                Err(StoreError::Unanswered("the watch stream ended".into()))
            }
        }
    }
}

/// Reads lines until the stream ends or nobody listens any more.
fn read_stream(stream: impl BufRead, sender: &Sender<Result<WatchEvent, StoreError>>) {
    for line in stream.split(b'\n') {
        let Ok(line) = line else { return };
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        // A line cut off by the end of the stream does not parse either: the watch is over, and
        // its event comes again on the next one.
        let Ok(line) = serde_json::from_slice::<WatchLine>(&line) else { return };
        let Some(event) = event_of(&line.result) else { continue };
        let over = event.is_err() || matches!(event, Ok(WatchEvent::Compacted));
        if sender.send(event).is_err() || over {
            return;
        }
    }
}

fn event_of(result: &WatchResult) -> Option<Result<WatchEvent, StoreError>> {
    let compacted = result.compact_revision.as_deref().is_some_and(|revision| revision != "0");
    if compacted {
        return Some(Ok(WatchEvent::Compacted));
    }
    if result.canceled {
        return Some(Err(StoreError::Unanswered("the store cancelled the watch".into())));
    }
    let newest = result.events.iter().map(|event| number(&event.kv.mod_revision)).next_back()?;
    Some(newest.map(WatchEvent::Changed))
}
