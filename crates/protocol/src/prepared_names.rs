//! A session's prepared statements under the names that its client gave them.
//!
//! A request may prepare or drop names before the session knows whether the request is accepted. The
//! client keeps to what was acknowledged, so the changes of a refused request must be undone:
//! otherwise the client's next statement runs a definition that it was told does not exist.

use std::collections::HashMap;

use bytes::Bytes;

/// Maximum number of prepared statements of one client.
pub const MAX_PREPARED_NAMES: usize = 2048;

/// Prepared statements by name, and what the changes of the current request have replaced.
#[derive(Debug)]
pub struct PreparedNames<S> {
    by_name: HashMap<Bytes, S>,
    /// Names that the current request has changed, with their statements of before, the latest
    /// change last.
    replaced: Vec<(Bytes, Option<S>)>,
}

impl<S> Default for PreparedNames<S> {
    fn default() -> Self {
        Self { by_name: HashMap::new(), replaced: Vec::new() }
    }
}

impl<S> PreparedNames<S> {
    /// Begins a request. The changes of the request before it can no longer be undone.
    pub fn begin_request(&mut self) {
        self.replaced.clear();
    }

    /// Undoes the changes of the current request, which was refused.
    pub fn undo_request(&mut self) {
        while let Some((name, statement)) = self.replaced.pop() {
            match statement {
                Some(statement) => self.by_name.insert(name, statement),
                None => self.by_name.remove(&name),
            };
        }
    }

    /// The statement with that name.
    pub fn get(&self, name: &[u8]) -> Option<&S> {
        self.by_name.get(name)
    }

    /// Adds or replaces a statement; false if the client already has [`MAX_PREPARED_NAMES`].
    pub fn insert(&mut self, name: &[u8], statement: S) -> bool {
        if self.by_name.len() >= MAX_PREPARED_NAMES && !self.by_name.contains_key(name) {
            return false;
        }
        let name = Bytes::copy_from_slice(name);
        let before = self.by_name.insert(name.clone(), statement);
        self.replaced.push((name, before));
        true
    }

    /// Removes the statement with that name, if any.
    pub fn remove(&mut self, name: &[u8]) {
        if let Some((name, before)) = self.by_name.remove_entry(name) {
            self.replaced.push((name, Some(before)));
        }
    }

    /// Removes all statements and frees their memory. Cannot be undone.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
