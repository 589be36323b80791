//! What is known of SQL texts, so that a text that comes again is not parsed again.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use kestrellock_core::classify::{StatementClass, classify};

/// Texts kept in one generation; at most two generations are kept.
const GENERATION_TEXTS: usize = 2048;
/// Longer texts are classified each time, so that the cache's memory is bounded.
const MAX_TEXT_BYTES: usize = 2048;

/// Classes of the texts that one shard has seen lately.
///
/// When the newer generation is full it becomes the older one, and what nobody has asked for since
/// then is forgotten.
#[derive(Debug, Default)]
pub struct Classes {
    newer: HashMap<Arc<[u8]>, StatementClass>,
    older: HashMap<Arc<[u8]>, StatementClass>,
}

impl Classes {
    /// The class of a text, which may not even be UTF-8.
    pub fn of(&mut self, text: &[u8]) -> StatementClass {
        if let Some(class) = self.newer.get(text) {
            return *class;
        }
        let (key, class) = match self.older.remove_entry(text) {
            Some(known) => known,
            None => {
                let class = std::str::from_utf8(text).map_or(StatementClass::Unknown, classify);
                if text.len() > MAX_TEXT_BYTES {
                    return class;
                }
                (Arc::from(text), class)
            }
        };
        if self.newer.len() >= GENERATION_TEXTS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, class);
        class
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

/// The text in the body of a simple query message.
pub fn query_text(body: &Bytes) -> &[u8] {
    body.strip_suffix(&[0]).unwrap_or(body)
}
