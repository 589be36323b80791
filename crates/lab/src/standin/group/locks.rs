//! Locks on rows and unique keys, held until the end of a transaction.

use std::collections::HashMap;

use super::connections::ConnectionNumber;
use super::tables::KeyValues;

/// What a transaction may lock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LockKey {
    /// The definition of a table.
    Table(String),
    /// A row.
    Row {
        /// Table.
        table: String,
        /// Number of the row.
        number: u64,
    },
    /// The values of a unique key, whether a row has them or not.
    Key {
        /// Table.
        table: String,
        /// Position of the key among the table's keys.
        key: usize,
        /// Values.
        values: KeyValues,
    },
}

/// Who holds what.
#[derive(Debug, Default)]
pub struct LockTable {
    holders: HashMap<LockKey, ConnectionNumber>,
    /// Statements that wait for a lock.
    pub waiting: usize,
}

impl LockTable {
    /// Takes a lock; false if another connection holds it. New locks are added to `held`.
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

    /// Gives locks back.
    pub fn release(&mut self, connection: ConnectionNumber, held: &mut Vec<LockKey>) {
        for lock in held.drain(..) {
            if self.holders.get(&lock) == Some(&connection) {
                self.holders.remove(&lock);
            }
        }
    }

    /// Forgets every lock, as a restart does.
    pub fn clear(&mut self) {
        self.holders.clear();
    }
}
