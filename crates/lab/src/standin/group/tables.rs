//! Data of one instance: tables with values in text format, and the changes that the log carries.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sqlparser::ast::Expr;

/// One value; `None` is SQL null.
pub type Value = Option<String>;
/// One row.
pub type Row = Vec<Value>;
/// Values of the columns of a unique key; none of them is null.
pub type KeyValues = Vec<String>;

/// A column of a table or of a result set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Column {
    /// Name in lower case.
    pub name: String,
    /// OID of its PostgreSQL type.
    pub type_id: u32,
    /// Whether the column is NOT NULL.
    pub not_null: bool,
    /// Whether it is a serial column, which takes the next number if a row gives no value.
    pub serial: bool,
    /// Default expression for rows that give no value.
    pub default: Option<Expr>,
}

/// A unique key with its index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UniqueKey {
    /// Positions of its columns.
    pub columns: Vec<usize>,
    /// Row numbers by key values.
    pub entries: HashMap<KeyValues, u64>,
}

impl UniqueKey {
    /// The key's values in a row. `None` if one of them is null, since null never conflicts.
    pub fn values_of(&self, row: &[Value]) -> Option<KeyValues> {
        self.columns.iter().map(|column| row[*column].clone()).collect()
    }
}

/// A table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Its columns in order.
    pub columns: Arc<[Column]>,
    /// Its unique keys; the primary key comes first if there is one.
    pub keys: Vec<UniqueKey>,
    /// Its rows by row number.
    pub rows: BTreeMap<u64, Row>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(columns: Arc<[Column]>, keys: &[Vec<usize>]) -> Self {
        let new_key =
            |columns: &Vec<usize>| UniqueKey { columns: columns.clone(), ..UniqueKey::default() };
        Self { columns, keys: keys.iter().map(new_key).collect(), rows: BTreeMap::new() }
    }

    fn remove(&mut self, number: u64) {
        let Some(old) = self.rows.remove(&number) else { return };
        for key in &mut self.keys {
            if let Some(values) = key.values_of(&old) {
                key.entries.remove(&values);
            }
        }
    }

    fn put(&mut self, number: u64, row: Row) {
        self.remove(number);
        for key in &mut self.keys {
            if let Some(values) = key.values_of(&row) {
                key.entries.insert(values, number);
            }
        }
        self.rows.insert(number, row);
    }

    fn add_key(&mut self, columns: Vec<usize>) {
        let mut key = UniqueKey { columns, ..UniqueKey::default() };
        for (number, row) in &self.rows {
            if let Some(values) = key.values_of(row) {
                key.entries.insert(values, *number);
            }
        }
        self.keys.push(key);
    }
}

/// A change to the data, as the log carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A table was created.
    Create {
        /// Its name.
        table: String,
        /// Its columns.
        columns: Arc<[Column]>,
        /// Positions of the columns of each unique key.
        keys: Vec<Vec<usize>>,
    },
    /// A unique index was added.
    AddKey {
        /// Table.
        table: String,
        /// Positions of its columns.
        columns: Vec<usize>,
    },
    /// A table was dropped.
    Drop {
        /// Its name.
        table: String,
    },
    /// A row was inserted or replaced.
    Put {
        /// Table.
        table: String,
        /// Number of the row.
        number: u64,
        /// New content.
        row: Row,
    },
    /// A row was deleted.
    Delete {
        /// Table.
        table: String,
        /// Number of the row.
        number: u64,
    },
}

/// All tables of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tables {
    /// Tables by name.
    pub tables: BTreeMap<String, Table>,
    /// A number greater than that of every row ever written.
    pub next_row: u64,
}

impl Tables {
    /// Applies one change.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Create { table, columns, keys } => {
                self.tables.insert(table.clone(), Table::new(columns.clone(), keys));
            }
            Change::AddKey { table, columns } => {
                if let Some(table) = self.tables.get_mut(table) {
                    table.add_key(columns.clone());
                }
            }
            Change::Drop { table } => {
                self.tables.remove(table);
            }
            Change::Put { table, number, row } => {
                self.next_row = self.next_row.max(number + 1);
                if let Some(table) = self.tables.get_mut(table) {
                    table.put(*number, row.clone());
                }
            }
            Change::Delete { table, number } => {
                if let Some(table) = self.tables.get_mut(table) {
                    table.remove(*number);
                }
            }
        }
    }

    /// Allocates the number of a new row.
    pub fn allocate_row_number(&mut self) -> u64 {
        let number = self.next_row;
        self.next_row += 1;
        number
    }
}
