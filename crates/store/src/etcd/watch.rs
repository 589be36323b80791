//! A watch whose stream is read by a separate thread, so that its owner can wait with any time
//! limit.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

use super::http::{Effect, Endpoints};
use super::wire::{WatchLine, WatchRequest, WatchResult, parse_revision};
use crate::store::{StoreError, Watch, WatchEvent};

const WATCH_PATH: &str = "/v3/watch";
/// Time after which a stream is replaced. A stream whose server has vanished cannot be
/// distinguished from one without events.
const STREAM_LIFETIME: Duration = Duration::from_secs(5);
const MAX_PENDING_EVENTS: usize = 64;

/// An open watch.
pub struct EtcdWatch {
    events: Receiver<Result<WatchEvent, StoreError>>,
}

impl EtcdWatch {
    /// Opens a watch. The thread that reads the stream ends with it, after at most
    /// [`STREAM_LIFETIME`].
    pub fn open(endpoints: &Endpoints, prefix: &str, from: u64) -> Result<Self, StoreError> {
        let request = WatchRequest::of_prefix(prefix, from);
        let response = endpoints.post(WATCH_PATH, &request, Effect::None, STREAM_LIFETIME)?;
        let (sender, events) = bounded(MAX_PENDING_EVENTS);
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

/// Reads lines until the stream ends or the watch has been dropped.
fn read_stream(stream: impl BufRead, sender: &Sender<Result<WatchEvent, StoreError>>) {
    for line in stream.split(b'\n') {
        let Ok(line) = line else { return };
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        // A line that the end of the stream has truncated does not parse either. The watch ends,
        // and the next watch reports the event again.
        let Ok(line) = serde_json::from_slice::<WatchLine>(&line) else { return };
        let Some(event) = event_of(&line.result) else { continue };
        let is_last = event.is_err() || matches!(event, Ok(WatchEvent::Compacted));
        if sender.send(event).is_err() || is_last {
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
    let newest =
        result.events.iter().map(|event| parse_revision(&event.kv.mod_revision)).next_back()?;
    Some(newest.map(WatchEvent::Changed))
}
