//! Uncommitted changes of a transaction, applied over the committed tables when it reads.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::evaluate::SqlError;
use super::state::State;
use super::tables::{Change, Column, KeyValues, Row, Table, UniqueKey};

/// Uncommitted changes to one table.
#[derive(Clone, Debug, Default)]
struct TableOverlay {
    /// New content by row number; `None` if the row was deleted.
    rows: BTreeMap<u64, Option<Row>>,
    /// Numbers of the rows written by this transaction, by unique key index and values.
    keys: HashMap<(usize, KeyValues), u64>,
}

/// All uncommitted changes of a transaction.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    /// Changes in the order in which they were made, as the log will carry them.
    pub changes: Vec<Change>,
    /// Tables created by this transaction; `None` if it dropped the table.
    definitions: BTreeMap<String, Option<Table>>,
    tables: HashMap<String, TableOverlay>,
}

/// A row and its number.
#[derive(Clone, Debug)]
pub struct NumberedRow {
    /// Its number.
    pub number: u64,
    /// Its content.
    pub row: Row,
}

impl Overlay {
    /// The definition of a table as this transaction sees it. Its rows are the committed ones.
    pub fn table<'a>(&'a self, state: &'a State, name: &str) -> Result<&'a Table, SqlError> {
        let found = match self.definitions.get(name) {
            Some(own) => own.as_ref(),
            None => state.tables.tables.get(name),
        };
        found.ok_or_else(|| SqlError::new("42P01", format!("relation {name:?} does not exist")))
    }

    /// Columns of a table.
    pub fn columns(&self, state: &State, name: &str) -> Result<Arc<[Column]>, SqlError> {
        Ok(self.table(state, name)?.columns.clone())
    }

    /// Creates a table.
    pub fn create(&mut self, table: String, columns: Arc<[Column]>, keys: Vec<Vec<usize>>) {
        let definition = Table::new(columns.clone(), &keys);
        self.definitions.insert(table.clone(), Some(definition));
        self.tables.remove(&table);
        self.changes.push(Change::Create { table, columns, keys });
    }

    /// Drops a table.
    pub fn drop_table(&mut self, table: String) {
        self.definitions.insert(table.clone(), None);
        self.tables.remove(&table);
        self.changes.push(Change::Drop { table });
    }

    /// Inserts or replaces a row.
    pub fn put(&mut self, table: &str, keys: &[UniqueKey], number: u64, row: Row) {
        let overlay = self.tables.entry(table.to_owned()).or_default();
        overlay.remove_keys(keys, number);
        for (index, key) in keys.iter().enumerate() {
            if let Some(values) = key.values_of(&row) {
                overlay.keys.insert((index, values), number);
            }
        }
        overlay.rows.insert(number, Some(row.clone()));
        self.changes.push(Change::Put { table: table.to_owned(), number, row });
    }

    /// Deletes a row.
    pub fn delete(&mut self, table: &str, keys: &[UniqueKey], number: u64) {
        let overlay = self.tables.entry(table.to_owned()).or_default();
        overlay.remove_keys(keys, number);
        overlay.rows.insert(number, None);
        self.changes.push(Change::Delete { table: table.to_owned(), number });
    }

    /// Finds the row that has `values` in the unique key at `index`.
    pub fn find(
        &self,
        definition: &Table,
        name: &str,
        index: usize,
        values: &KeyValues,
    ) -> Option<NumberedRow> {
        if let Some(overlay) = self.tables.get(name) {
            if let Some(number) = overlay.keys.get(&(index, values.clone())) {
                let row = overlay.rows.get(number)?.clone()?;
                return Some(NumberedRow { number: *number, row });
            }
            let number = *definition.keys[index].entries.get(values)?;
            if overlay.rows.contains_key(&number) {
                return None;
            }
        }
        let number = *definition.keys[index].entries.get(values)?;
        Some(NumberedRow { number, row: definition.rows.get(&number)?.clone() })
    }

    /// Calls `visit` for each row of a table, in ascending order of row numbers.
    pub fn each_row(
        &self,
        definition: &Table,
        name: &str,
        mut visit: impl FnMut(u64, &Row) -> Result<(), SqlError>,
    ) -> Result<(), SqlError> {
        let Some(overlay) = self.tables.get(name) else {
            return definition.rows.iter().try_for_each(|(number, row)| visit(*number, row));
        };
        for (number, row) in &definition.rows {
            match overlay.rows.get(number) {
                None => visit(*number, row)?,
                Some(Some(own)) => visit(*number, own)?,
                Some(None) => {}
            }
        }
        for (number, row) in &overlay.rows {
            if let Some(row) = row
                && !definition.rows.contains_key(number)
            {
                visit(*number, row)?;
            }
        }
        Ok(())
    }
}

impl TableOverlay {
    fn remove_keys(&mut self, keys: &[UniqueKey], number: u64) {
        let Some(Some(old)) = self.rows.get(&number) else { return };
        for (index, key) in keys.iter().enumerate() {
            if let Some(values) = key.values_of(old) {
                self.keys.remove(&(index, values));
            }
        }
    }
}
