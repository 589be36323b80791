//! The event loop of one shard.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use mio::Events;

use super::Shard;
use super::mailbox::Mailbox;
use crate::supervisor::StopFlag;

/// Longest time between two ticks of a shard while something waits for its moment.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The same while nothing does: what is left to do by time (deadlines of statements under way,
/// heartbeats, idle connections) is measured in hundreds of milliseconds.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two turns while commits or held writes wait for probes.
const URGENT_POLL_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_EVENTS_PER_TURN: usize = 1024;
/// Messages taken from the mailbox before sockets get their turn again.
const MAX_MESSAGES_PER_TURN: usize = 1024;

/// Runs the shard until it is told to stop.
pub fn run(shard: &Mutex<Shard>, mailbox: &mut Mailbox, stop: &StopFlag) {
    let mut events = Events::with_capacity(MAX_EVENTS_PER_TURN);
    let mut next_tick = Instant::now() + TICK_INTERVAL;
    let mut urgent = false;
    while !stop.is_stopping() {
        let limit = if urgent { URGENT_POLL_TIMEOUT } else { TICK_INTERVAL };
        let wait = next_tick.saturating_duration_since(Instant::now()).min(limit);
        if let Err(error) = mailbox.poll.poll(&mut events, Some(wait))
            && error.kind() != std::io::ErrorKind::Interrupted
        {
            panic!("event loop cannot poll: {error}");
        }
        stop.wait_while_paused();
        let now = Instant::now();
        let mut shard = shard.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let registry = mailbox.poll.registry();
        for event in &events {
            shard.on_ready(event.token(), registry, now);
        }
        for message in mailbox.messages.try_iter().take(MAX_MESSAGES_PER_TURN) {
            shard.on_message(message, registry, now);
        }
        if !events.is_empty() {
            // What has just begun to wait is looked at soon.
            next_tick = next_tick.min(now + TICK_INTERVAL);
        }
        if now >= next_tick {
            shard.on_tick(registry, now);
            next_tick = now + if shard.is_waiting() { TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        }
        urgent = shard.is_urgent(now);
        if urgent {
            shard.on_urgent(registry, now);
        }
        shard.flush_links(registry, now);
    }
}
