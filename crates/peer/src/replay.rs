//! Replay protection: rejects datagrams that were received before, and those of an older process of
//! a node.

use std::collections::HashMap;
use std::time::Duration;

use kestrellock_core::ids::NodeName;
use thiserror::Error;

const WORD_BITS: u64 = 64;
const WORDS: usize = 8;
/// Number of sequence numbers, up to the highest one of a sender, that are still accepted.
pub const REPLAY_WINDOW: u64 = WORD_BITS * WORDS as u64;
/// Maximum number of senders in the guard. When it is reached, a new sender replaces the one that
/// has been silent longest.
pub const MAX_SENDERS: usize = 4096;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReplayError {
    /// A datagram of a newer process of the node has been received.
    #[error("sent by an older process of the node")]
    OldProcess,
    /// The datagram was received before, or its sequence number lies before the replay window.
    #[error("received before, or older than the replay window")]
    Repeated,
}

/// Sequence numbers received from the newest process of a sender.
#[derive(Clone, Debug)]
struct Window {
    process: u64,
    highest: u64,
    /// Bitmap of the received sequence numbers, indexed by their remainder.
    received: [u64; WORDS],
    last_received_at: Duration,
}

/// Replay windows of all senders.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<NodeName, Window>,
}

impl ReplayGuard {
    /// Records an authentic datagram, or returns why it is rejected.
    pub fn check(
        &mut self,
        sender: &NodeName,
        process: u64,
        sequence: u64,
        now: Duration,
    ) -> Result<(), ReplayError> {
        if !self.senders.contains_key(sender) {
            self.evict_if_full();
        }
        let fresh =
            Window { process, highest: sequence, received: [0; WORDS], last_received_at: now };
        let window = self.senders.entry(sender.clone()).or_insert_with(|| fresh.clone());
        if process < window.process {
            return Err(ReplayError::OldProcess);
        }
        if process > window.process {
            *window = fresh;
        }
        window.last_received_at = now;
        window.record(sequence)
    }

    fn evict_if_full(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let longest_silent = self.senders.iter().min_by_key(|(_, window)| window.last_received_at);
        if let Some(sender) = longest_silent.map(|(sender, _)| sender.clone()) {
            self.senders.remove(&sender);
        }
    }
}

impl Window {
    fn record(&mut self, sequence: u64) -> Result<(), ReplayError> {
        if sequence > self.highest {
            self.advance(sequence);
        }
        if self.highest - sequence >= REPLAY_WINDOW {
            return Err(ReplayError::Repeated);
        }
        let (word, bit) = bit_of(sequence);
        if self.received[word] & bit != 0 {
            return Err(ReplayError::Repeated);
        }
        self.received[word] |= bit;
        Ok(())
    }

    /// Moves the window to a new highest number. Clears the bits of the numbers that it adds.
    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest >= REPLAY_WINDOW {
            self.received = [0; WORDS];
        } else {
            for added in self.highest + 1..=sequence {
                let (word, bit) = bit_of(added);
                self.received[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

/// Word and bit of a sequence number in [`Window::received`].
fn bit_of(sequence: u64) -> (usize, u64) {
    let index = sequence % REPLAY_WINDOW;
    ((index / WORD_BITS) as usize, 1 << (index % WORD_BITS))
}
