//! What is known of SQL texts, so that a text that comes again is not parsed again.

use std::collections::HashMap;
use std::sync::Arc;

use kestrellock_core::classify::{TextFacts, classify};

/// Texts kept in one generation; at most two generations are kept.
const GENERATION_TEXTS: usize = 2048;
/// Longer texts are classified each time, so that the cache's memory is bounded.
const MAX_TEXT_BYTES: usize = 2048;

/// Facts of the texts that one shard has seen lately.
///
/// When the newer generation is full it becomes the older one, and what nobody has asked for since
/// then is forgotten.
#[derive(Debug, Default)]
pub struct FactsCache {
    newer: HashMap<Arc<[u8]>, Arc<TextFacts>>,
    older: HashMap<Arc<[u8]>, Arc<TextFacts>>,
}

impl FactsCache {
    /// The facts of a text, which may not even be UTF-8.
    pub fn facts_of(&mut self, text: &[u8]) -> Arc<TextFacts> {
        if let Some(facts) = self.newer.get(text) {
            return facts.clone();
        }
        let (key, facts) = match self.older.remove_entry(text) {
            Some(known) => known,
            None => {
                let facts =
                    std::str::from_utf8(text).map_or_else(|_| TextFacts::unknown(), classify);
                let facts = Arc::new(facts);
                if text.len() > MAX_TEXT_BYTES {
                    return facts;
                }
                (Arc::from(text), facts)
            }
        };
        if self.newer.len() >= GENERATION_TEXTS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, facts.clone());
        facts
    }

    /// Number of texts kept.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether no text is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
