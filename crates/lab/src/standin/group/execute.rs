//! Execution of statements within one connection's transaction.

use std::collections::BTreeMap;

use sqlparser::ast::{
    AssignmentTarget, ColumnOption, DataType, Delete, Expr, FromTable, Insert, Query, Select,
    SelectItem, SetExpr, Statement, TableObject, Update,
};

use super::evaluate::{Scope, SqlError, is_true};
use super::instance::{ConnectionNumber, Instance, State};
use super::tables::{Change, Column, Row, Table, Value};

const TEXT_TYPE: u32 = 25;
const BIGINT_TYPE: u32 = 20;

/// What a statement answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Columns, where rows are returned.
    pub columns: Option<Vec<Column>>,
    /// Rows.
    pub rows: Vec<Row>,
    /// Command tag.
    pub tag: String,
}

/// A connection's transaction: changes not yet committed.
#[derive(Debug)]
pub struct Transaction {
    connection: ConnectionNumber,
    changes: Vec<Change>,
    /// Rows changed here, over the committed ones; `None` where deleted.
    overlay: BTreeMap<(String, u64), Option<Row>>,
}

impl Transaction {
    /// An empty transaction.
    pub fn new(connection: ConnectionNumber) -> Self {
        Self { connection, changes: Vec::new(), overlay: BTreeMap::new() }
    }

    /// Commits on `instance`.
    pub fn commit(&mut self, instance: &Instance) -> Result<(), SqlError> {
        let changes = std::mem::take(&mut self.changes);
        self.overlay.clear();
        let outcome = if changes.is_empty() {
            Ok(())
        } else {
            let mut state = instance.state();
            if state.primary {
                state.commit(changes);
                Ok(())
            } else {
                Err(SqlError::new("25006", "cannot commit in a read-only server"))
            }
        };
        instance.unlock_writes(self.connection);
        outcome
    }

    /// Forgets every change.
    pub fn roll_back(&mut self, instance: &Instance) {
        self.changes.clear();
        self.overlay.clear();
        instance.unlock_writes(self.connection);
    }

    /// Runs one statement other than transaction control.
    pub fn run(&mut self, instance: &Instance, statement: &Statement) -> Result<Answer, SqlError> {
        if let Statement::Query(query) = statement {
            return self.select(&instance.state(), query);
        }
        if !instance.is_primary() {
            return Err(SqlError::new("25006", "cannot execute in a read-only transaction"));
        }
        instance.lock_writes(self.connection);
        let mut state = instance.state();
        match statement {
            Statement::CreateTable(create) => {
                let columns = create.columns.iter().map(column_of).collect();
                self.create_table(&state, &create.name.to_string(), columns, create.if_not_exists)
            }
            Statement::Insert(insert) => self.insert(&mut state, insert),
            Statement::Update(update) => self.update(&state, update),
            Statement::Delete(delete) => self.delete(&state, delete),
            other => Err(SqlError::unsupported(other)),
        }
    }

    fn create_table(
        &mut self,
        state: &State,
        name: &str,
        columns: Vec<Column>,
        if_missing: bool,
    ) -> Result<Answer, SqlError> {
        let table = name.to_lowercase();
        if !state.tables.tables.contains_key(&table) {
            self.changes.push(Change::Create { table, columns });
        } else if !if_missing {
            return Err(SqlError::new("42P07", format!("relation {table:?} already exists")));
        }
        Ok(Answer { tag: "CREATE TABLE".into(), ..Answer::default() })
    }

    fn columns<'a>(&'a self, state: &'a State, name: &str) -> Result<&'a [Column], SqlError> {
        let created = self.changes.iter().find_map(|change| match change {
            Change::Create { table, columns } if table == name => Some(columns.as_slice()),
            _ => None,
        });
        let committed = || state.tables.tables.get(name).map(|table| table.columns.as_slice());
        created
            .or_else(committed)
            .ok_or_else(|| SqlError::new("42P01", format!("relation {name:?} does not exist")))
    }

    /// Rows of a table as this transaction sees them.
    fn rows(&self, state: &State, name: &str) -> Vec<(u64, Row)> {
        let empty = Table::default();
        let table = state.tables.tables.get(name).unwrap_or(&empty);
        let mut rows: BTreeMap<u64, Row> = table.rows.clone();
        let own = self.overlay.iter().filter(|((table, _), _)| table == name);
        for ((_, number), row) in own {
            match row {
                Some(row) => rows.insert(*number, row.clone()),
                None => rows.remove(number),
            };
        }
        rows.into_iter().collect()
    }

    fn put(&mut self, table: &str, number: u64, row: Row) {
        self.overlay.insert((table.to_owned(), number), Some(row.clone()));
        self.changes.push(Change::Put { table: table.to_owned(), number, row });
    }

    fn insert(&mut self, state: &mut State, insert: &Insert) -> Result<Answer, SqlError> {
        let TableObject::TableName(name) = &insert.table else {
            return Err(SqlError::unsupported(insert));
        };
        let name = name.to_string().to_lowercase();
        let columns = self.columns(state, &name)?.to_vec();
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|query| query.body.as_ref())
        else {
            return Err(SqlError::unsupported(insert));
        };
        let named: Vec<String> =
            insert.columns.iter().map(|column| column.to_string().to_lowercase()).collect();
        let mut inserted = Vec::new();
        for expressions in &values.rows {
            let scope = Scope { state, columns: &[], row: &[] };
            let given: Vec<Value> =
                expressions.iter().map(|value| scope.evaluate(value)).collect::<Result<_, _>>()?;
            let row = arrange(&columns, &named, given)?;
            self.check_unique(state, &name, &columns, None, &row)?;
            let number = state.next_row;
            state.next_row += 1;
            self.put(&name, number, row.clone());
            inserted.push(row);
        }
        let tag = format!("INSERT 0 {}", inserted.len());
        project_returning(state, insert.returning.as_deref(), &columns, inserted, tag)
    }

    fn check_unique(
        &self,
        state: &State,
        table: &str,
        columns: &[Column],
        own_number: Option<u64>,
        row: &Row,
    ) -> Result<(), SqlError> {
        for (index, column) in columns.iter().enumerate().filter(|(_, column)| column.unique) {
            let clash = self
                .rows(state, table)
                .iter()
                .any(|(number, other)| Some(*number) != own_number && other[index] == row[index]);
            if clash {
                let message =
                    format!("duplicate key value violates unique column {:?}", column.name);
                return Err(SqlError::new("23505", message));
            }
        }
        Ok(())
    }

    fn matching(
        &self,
        state: &State,
        table: &str,
        selection: Option<&Expr>,
    ) -> Result<Vec<(u64, Row)>, SqlError> {
        let columns = self.columns(state, table)?;
        let mut found = Vec::new();
        for (number, row) in self.rows(state, table) {
            let scope = Scope { state, columns, row: &row };
            let chosen = match selection {
                Some(condition) => is_true(&scope.evaluate(condition)?),
                None => true,
            };
            if chosen {
                found.push((number, row));
            }
        }
        Ok(found)
    }

    fn update(&mut self, state: &State, update: &Update) -> Result<Answer, SqlError> {
        let name = update.table.relation.to_string().to_lowercase();
        let columns = self.columns(state, &name)?.to_vec();
        let mut updated = Vec::new();
        for (number, row) in self.matching(state, &name, update.selection.as_ref())? {
            let mut changed = row.clone();
            for assignment in &update.assignments {
                let AssignmentTarget::ColumnName(target) = &assignment.target else {
                    return Err(SqlError::unsupported(assignment));
                };
                let index = column_index(&columns, &target.to_string())?;
                let scope = Scope { state, columns: &columns, row: &row };
                changed[index] = scope.evaluate(&assignment.value)?;
            }
            self.check_unique(state, &name, &columns, Some(number), &changed)?;
            self.put(&name, number, changed.clone());
            updated.push(changed);
        }
        let tag = format!("UPDATE {}", updated.len());
        project_returning(state, update.returning.as_deref(), &columns, updated, tag)
    }

    fn delete(&mut self, state: &State, delete: &Delete) -> Result<Answer, SqlError> {
        let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
        let Some(table) = from.first() else { return Err(SqlError::unsupported(delete)) };
        let name = table.relation.to_string().to_lowercase();
        let doomed = self.matching(state, &name, delete.selection.as_ref())?;
        for (number, _) in &doomed {
            self.overlay.insert((name.clone(), *number), None);
            self.changes.push(Change::Delete { table: name.clone(), number: *number });
        }
        Ok(Answer { tag: format!("DELETE {}", doomed.len()), ..Answer::default() })
    }

    fn select(&self, state: &State, query: &Query) -> Result<Answer, SqlError> {
        let SetExpr::Select(select) = query.body.as_ref() else {
            return Err(SqlError::unsupported(query));
        };
        let Some(from) = select.from.first() else {
            return project(state, &select.projection, &[], vec![Vec::new()]);
        };
        let name = from.relation.to_string().to_lowercase();
        let columns = self.columns(state, &name)?;
        let rows = self.matching(state, &name, select.selection.as_ref())?;
        let rows: Vec<Row> = rows.into_iter().map(|(_, row)| row).collect();
        if let Some(answer) = count_all(select, rows.len()) {
            return Ok(answer);
        }
        project(state, &select.projection, columns, rows)
    }
}

fn count_all(select: &Select, count: usize) -> Option<Answer> {
    let [SelectItem::UnnamedExpr(Expr::Function(function))] = select.projection.as_slice() else {
        return None;
    };
    if function.to_string().to_lowercase() != "count(*)" {
        return None;
    }
    let column = Column { name: "count".into(), type_id: BIGINT_TYPE, unique: false };
    let rows = vec![vec![Some(count.to_string())]];
    Some(Answer { columns: Some(vec![column]), rows, tag: "SELECT 1".into() })
}

fn column_of(definition: &sqlparser::ast::ColumnDef) -> Column {
    let type_id = match definition.data_type {
        DataType::BigInt(_) | DataType::Int(_) | DataType::Integer(_) => BIGINT_TYPE,
        _ => TEXT_TYPE,
    };
    let unique = definition.options.iter().any(|option| {
        matches!(option.option, ColumnOption::PrimaryKey(_) | ColumnOption::Unique(_))
    });
    Column { name: definition.name.value.to_lowercase(), type_id, unique }
}

fn column_index(columns: &[Column], name: &str) -> Result<usize, SqlError> {
    let name = name.to_lowercase();
    columns
        .iter()
        .position(|column| column.name == name)
        .ok_or_else(|| SqlError::new("42703", format!("column {name:?} does not exist")))
}

fn arrange(columns: &[Column], named: &[String], given: Vec<Value>) -> Result<Row, SqlError> {
    if named.is_empty() && given.len() == columns.len() {
        return Ok(given);
    }
    if named.len() != given.len() {
        return Err(SqlError::new("42601", "INSERT has more or fewer expressions than columns"));
    }
    let mut row = vec![None; columns.len()];
    for (name, value) in named.iter().zip(given) {
        row[column_index(columns, name)?] = value;
    }
    Ok(row)
}

fn project_returning(
    state: &State,
    returning: Option<&[SelectItem]>,
    columns: &[Column],
    rows: Vec<Row>,
    tag: String,
) -> Result<Answer, SqlError> {
    let Some(items) = returning else { return Ok(Answer { tag, ..Answer::default() }) };
    let answer = project(state, items, columns, rows)?;
    Ok(Answer { tag, ..answer })
}

fn project(
    state: &State,
    items: &[SelectItem],
    columns: &[Column],
    rows: Vec<Row>,
) -> Result<Answer, SqlError> {
    let tag = format!("SELECT {}", rows.len());
    if let [SelectItem::Wildcard(_)] = items {
        return Ok(Answer { columns: Some(columns.to_vec()), rows, tag });
    }
    let mut expressions = Vec::new();
    let mut described = Vec::new();
    for item in items {
        let (expression, name) = match item {
            SelectItem::UnnamedExpr(expression) => (expression, expression.to_string()),
            SelectItem::ExprWithAlias { expr, alias } => (expr, alias.value.clone()),
            other => return Err(SqlError::unsupported(other)),
        };
        let name = name.to_lowercase();
        let known = columns.iter().find(|column| column.name == name);
        let type_id = known.map_or(TEXT_TYPE, |column| column.type_id);
        described.push(Column { name, type_id, unique: false });
        expressions.push(expression);
    }
    let mut projected = Vec::with_capacity(rows.len());
    for row in &rows {
        let scope = Scope { state, columns, row };
        let values: Result<Row, SqlError> =
            expressions.iter().map(|expression| scope.evaluate(expression)).collect();
        projected.push(values?);
    }
    Ok(Answer { columns: Some(described), rows: projected, tag })
}
