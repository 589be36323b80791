//! The data of one instance: tables of text values, and changes to them.

use std::collections::BTreeMap;

/// One value; `None` is SQL null.
pub type Value = Option<String>;
/// One row.
pub type Row = Vec<Value>;

/// A column of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// Name in lower case.
    pub name: String,
    /// PostgreSQL type number.
    pub type_id: u32,
    /// Whether no two rows may share a value.
    pub unique: bool,
}

/// A table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Columns in order.
    pub columns: Vec<Column>,
    /// Rows by their number.
    pub rows: BTreeMap<u64, Row>,
}

/// One change, as the log carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A table was created.
    Create {
        /// Its name.
        table: String,
        /// Its columns.
        columns: Vec<Column>,
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
}

impl Tables {
    /// Applies one change.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Create { table, columns } => {
                let columns = columns.clone();
                self.tables.insert(table.clone(), Table { columns, rows: BTreeMap::new() });
            }
            Change::Put { table, number, row } => {
                if let Some(table) = self.tables.get_mut(table) {
                    table.rows.insert(*number, row.clone());
                }
            }
            Change::Delete { table, number } => {
                if let Some(table) = self.tables.get_mut(table) {
                    table.rows.remove(number);
                }
            }
        }
    }
}
