//! A cache of classified SQL texts, so that a repeated text is not parsed again.

use std::collections::HashMap;
use std::sync::Arc;

use kestrellock_core::classify::{TextFacts, classify};

/// Maximum number of texts in one generation. The cache keeps at most two generations.
const GENERATION_TEXTS: usize = 2048;
/// Longest cached text. Longer texts are classified each time, which bounds the cache's memory.
const MAX_CACHED_TEXT_BYTES: usize = 2048;

/// Facts of the SQL texts that one shard has seen recently.
///
/// The cache evicts by generation: when the newer generation is full, it becomes the older one,
/// and the texts that were still in the older one are dropped. A lookup moves a text from the
/// older generation to the newer one.
#[derive(Debug, Default)]
pub struct FactsCache {
    newer: HashMap<Arc<[u8]>, Arc<TextFacts>>,
    older: HashMap<Arc<[u8]>, Arc<TextFacts>>,
}

impl FactsCache {
    /// The facts of a text, from the cache or by classifying it. A text that is not UTF-8 has
    /// unknown facts.
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
                if text.len() > MAX_CACHED_TEXT_BYTES {
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

    /// Number of cached texts.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether no text is cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
