//! The event loop of one shard: passes socket events, mailbox messages and ticks to the shard, and
//! decides how long to wait for the next of them, so that pending commits are not delayed and an
//! idle node uses little processor time.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use mio::Events;

use super::Shard;
use super::mailbox::Mailbox;
use crate::supervisor::StopFlag;

/// Interval between ticks of a shard while something waits for time to pass.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between ticks otherwise. The remaining timeouts (deadlines of running statements,
/// heartbeats, idle connections) are hundreds of milliseconds or longer.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for events while commits or held writes wait for probes.
const URGENT_POLL_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_EVENTS_PER_TURN: usize = 1024;
/// Maximum messages taken from the mailbox before sockets are polled again.
const MAX_MESSAGES_PER_TURN: usize = 1024;

/// Runs the shard until `stop` is set.
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
            panic!("event loop failed to poll: {error}");
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
            // An event may have started a wait that needs the short interval.
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
