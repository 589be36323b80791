//! Refuses datagrams that were received before, or that an older process of a node sent.

use std::collections::HashMap;
use std::time::Duration;

use kestrellock_core::ids::NodeName;
use thiserror::Error;

const WORD_BITS: u64 = 64;
const WORDS: usize = 8;
/// How far a datagram may lag behind the newest of its sender.
pub const REPLAY_WINDOW: u64 = WORD_BITS * WORDS as u64;
/// Senders remembered before those that have been silent longest are forgotten.
pub const MAX_SENDERS: usize = 4096;

/// Why a datagram is not taken in.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReplayError {
    /// A newer process of the node has been heard.
    #[error("sent by an older process of the node")]
    OldProcess,
    /// Received before, or too old to tell.
    #[error("received before, or too old to tell")]
    Repeated,
}

#[derive(Clone, Debug)]
struct Window {
    process: u64,
    highest: u64,
    seen: [u64; WORDS],
    heard: Duration,
}

/// What has been received from every sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<NodeName, Window>,
}

impl ReplayGuard {
    /// Notes an authentic datagram, or says why it is refused.
    pub fn check(
        &mut self,
        sender: &NodeName,
        process: u64,
        sequence: u64,
        now: Duration,
    ) -> Result<(), ReplayError> {
        if !self.senders.contains_key(sender) {
            self.make_room();
        }
        let fresh = Window { process, highest: sequence, seen: [0; WORDS], heard: now };
        let window = self.senders.entry(sender.clone()).or_insert_with(|| fresh.clone());
        if process < window.process {
            return Err(ReplayError::OldProcess);
        }
        if process > window.process {
            *window = fresh;
        }
        window.heard = now;
        window.note(sequence)
    }

    fn make_room(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let longest_silent = self.senders.iter().min_by_key(|(_, window)| window.heard);
        if let Some(sender) = longest_silent.map(|(sender, _)| sender.clone()) {
            self.senders.remove(&sender);
        }
    }
}

impl Window {
    fn note(&mut self, sequence: u64) -> Result<(), ReplayError> {
        if sequence > self.highest {
            self.advance(sequence);
        }
        if self.highest - sequence >= REPLAY_WINDOW {
            return Err(ReplayError::Repeated);
        }
        let (word, bit) = place(sequence);
        if self.seen[word] & bit != 0 {
            return Err(ReplayError::Repeated);
        }
        self.seen[word] |= bit;
        Ok(())
    }

    /// Clears the places of the numbers between the old highest and the new.
    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest >= REPLAY_WINDOW {
            self.seen = [0; WORDS];
        } else {
            for passed in self.highest + 1..=sequence {
                let (word, bit) = place(passed);
                self.seen[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

fn place(sequence: u64) -> (usize, u64) {
    let index = sequence % REPLAY_WINDOW;
    ((index / WORD_BITS) as usize, 1 << (index % WORD_BITS))
}
