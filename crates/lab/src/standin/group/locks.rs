//! Locks on rows and unique keys, held until the end of a transaction.

use std::collections::HashMap;

use super::connections::ConnectionNumber;
use super::tables::KeyValues;

/// An object that a transaction can lock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LockKey {
    /// The definition of a table.
    Table(String),
    /// A row.
    Row {
        /// Table.
        table: String,
        /// Row number.
        number: u64,
    },
    /// The values of a unique key, even if no row has them yet.
    Key {
        /// Table.
        table: String,
        /// Index of the key among the table's unique keys.
        key: usize,
        /// Values of the key's columns.
        values: KeyValues,
    },
}

/// The held locks and their holders.
#[derive(Debug, Default)]
pub struct LockTable {
    holders: HashMap<LockKey, ConnectionNumber>,
    /// Number of statements that wait for a lock.
    pub waiting: usize,
}

impl LockTable {
    /// Acquires a lock and adds it to `held`, unless the connection already holds it. Returns false
    /// if another connection holds it.
    pub fn take(
        &mut self,
        lock: LockKey,
        connection: ConnectionNumber,
        held: &mut Vec<LockKey>,
    ) -> bool {
        match self.holders.get(&lock) {
            Some(holder) => *holder == connection,
            None => {
                held.push(lock.clone());
                self.holders.insert(lock, connection);
                true
            }
        }
    }

    /// Releases all locks in `held`.
    pub fn release(&mut self, connection: ConnectionNumber, held: &mut Vec<LockKey>) {
        for lock in held.drain(..) {
            if self.holders.get(&lock) == Some(&connection) {
                self.holders.remove(&lock);
            }
        }
    }

    /// Releases every lock, as a restart does.
    pub fn clear(&mut self) {
        self.holders.clear();
    }
}
