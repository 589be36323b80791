//! Statements that change rows.
//!
//! Each takes all its locks before its first change, so that it can be run anew after a wait.

use sqlparser::ast::{
    Assignment, AssignmentTarget, Delete, DoUpdate, Expr, FromTable, Insert, OnConflictAction,
    OnInsert, SelectItem, SetExpr, Statement, TableObject, Update,
};

use super::define;
use super::evaluate::{Scope, SqlError, is_true};
use super::locks::LockKey;
use super::overlay::NumberedRow;
use super::plan::{relation_name, result_columns, table_name};
use super::rows::{column_index, matching, type_at};
use super::select::project_items;
use super::tables::{Row, Table, Value};
use super::transaction::{Answer, Attempt, Halt};
use super::values::coerce;

/// Runs a statement that changes something.
pub fn run(attempt: &mut Attempt, statement: &Statement) -> Result<Answer, Halt> {
    match statement {
        Statement::Insert(insert) => run_insert(attempt, insert),
        Statement::Update(update) => run_update(attempt, update),
        Statement::Delete(delete) => run_delete(attempt, delete),
        other => define::run(attempt, other),
    }
}

/// An empty copy of a table's definition, to work with while the overlay changes.
fn definition(attempt: &Attempt, name: &str) -> Result<Table, SqlError> {
    let table = attempt.overlay.table(attempt.state, name)?;
    let keys: Vec<Vec<usize>> = table.keys.iter().map(|key| key.columns.clone()).collect();
    Ok(Table::new(table.columns.clone(), &keys))
}

fn lock_keys(attempt: &mut Attempt, name: &str, table: &Table, row: &[Value]) -> Result<(), Halt> {
    for (key, unique) in table.keys.iter().enumerate() {
        if let Some(values) = unique.values_of(row) {
            attempt.lock(LockKey::Key { table: name.to_owned(), key, values })?;
        }
    }
    Ok(())
}

/// A row, other than the one numbered `own`, that has a unique key in common with `row`.
fn conflicting(
    attempt: &Attempt,
    name: &str,
    table: &Table,
    own: Option<u64>,
    row: &[Value],
) -> Result<Option<NumberedRow>, SqlError> {
    let current = attempt.overlay.table(attempt.state, name)?;
    for (index, key) in table.keys.iter().enumerate() {
        let Some(values) = key.values_of(row) else { continue };
        let found = attempt.overlay.find(current, name, index, &values);
        if let Some(found) = found.filter(|found| Some(found.number) != own) {
            return Ok(Some(found));
        }
    }
    Ok(None)
}

fn duplicate(name: &str) -> SqlError {
    let message = format!("duplicate key value violates unique constraint of {name:?}");
    SqlError::new("23505", message)
}

fn check_not_null(table: &Table, row: &[Value]) -> Result<(), SqlError> {
    for (column, value) in table.columns.iter().zip(row) {
        if column.not_null && value.is_none() {
            let message = format!("null value in column {:?} violates not-null", column.name);
            return Err(SqlError::new("23502", message));
        }
    }
    Ok(())
}

fn answer(
    attempt: &Attempt,
    returning: Option<&[SelectItem]>,
    table: &Table,
    rows: &[Row],
    tag: String,
) -> Result<Answer, Halt> {
    let Some(items) = returning else { return Ok(Answer { tag, ..Answer::default() }) };
    let columns = Some(result_columns(items, &table.columns)?);
    let rows = rows
        .iter()
        .map(|row| project_items(&Scope::over(attempt, &table.columns, row), items))
        .collect::<Result<Vec<Row>, SqlError>>()?;
    Ok(Answer { columns, rows, tag })
}

fn run_insert(attempt: &mut Attempt, insert: &Insert) -> Result<Answer, Halt> {
    let TableObject::TableName(name) = &insert.table else {
        return Err(SqlError::unsupported(insert).into());
    };
    let name = table_name(name);
    let table = definition(attempt, &name)?;
    let proposed = proposed_rows(attempt, insert, &table)?;
    for row in &proposed {
        lock_keys(attempt, &name, &table, row)?;
    }
    let conflict = match &insert.on {
        None => None,
        Some(OnInsert::OnConflict(conflict)) => Some(&conflict.action),
        Some(_) => return Err(SqlError::unsupported(insert).into()),
    };
    if let Some(OnConflictAction::DoUpdate(_)) = conflict {
        for row in &proposed {
            if let Some(found) = conflicting(attempt, &name, &table, None, row)? {
                attempt.lock(LockKey::Row { table: name.clone(), number: found.number })?;
            }
        }
    }
    let mut written = Vec::new();
    for row in proposed {
        match (conflicting(attempt, &name, &table, None, &row)?, conflict) {
            (None, _) => {
                let number = attempt.state.tables.draw_row_number();
                attempt.overlay.put(&name, &table.keys, number, row.clone());
                written.push(row);
            }
            (Some(_), None) => return Err(duplicate(&name).into()),
            (Some(_), Some(OnConflictAction::DoNothing)) => {}
            (Some(found), Some(OnConflictAction::DoUpdate(update))) => {
                written.extend(update_conflicting(attempt, &name, &table, update, found, &row)?);
            }
        }
    }
    let tag = format!("INSERT 0 {}", written.len());
    answer(attempt, insert.returning.as_deref(), &table, &written, tag)
}

fn update_conflicting(
    attempt: &mut Attempt,
    name: &str,
    table: &Table,
    update: &DoUpdate,
    found: NumberedRow,
    proposed: &[Value],
) -> Result<Option<Row>, Halt> {
    let scope =
        Scope { excluded: Some(proposed), ..Scope::over(attempt, &table.columns, &found.row) };
    if let Some(condition) = &update.selection
        && !is_true(&scope.evaluate(condition)?)
    {
        return Ok(None);
    }
    let row = assign(&scope, table, &update.assignments)?;
    if conflicting(attempt, name, table, Some(found.number), &row)?.is_some() {
        return Err(duplicate(name).into());
    }
    attempt.overlay.put(name, &table.keys, found.number, row.clone());
    Ok(Some(row))
}

fn proposed_rows(
    attempt: &mut Attempt,
    insert: &Insert,
    table: &Table,
) -> Result<Vec<Row>, SqlError> {
    let named = insert
        .columns
        .iter()
        .map(|column| column_index(table, &column.to_string()))
        .collect::<Result<Vec<usize>, SqlError>>()?;
    let values = match insert.source.as_ref().map(|query| query.body.as_ref()) {
        Some(SetExpr::Values(values)) => values,
        _ => return Err(SqlError::unsupported(insert)),
    };
    let mut rows = Vec::with_capacity(values.rows.len());
    for expressions in &values.rows {
        let given = expressions.iter();
        let row = proposed_row(attempt, table, &named, &given.collect::<Vec<&Expr>>())?;
        check_not_null(table, &row)?;
        rows.push(row);
    }
    Ok(rows)
}

fn proposed_row(
    attempt: &mut Attempt,
    table: &Table,
    named: &[usize],
    given: &[&Expr],
) -> Result<Row, SqlError> {
    let expected = if named.is_empty() { table.columns.len() } else { named.len() };
    if given.len() > expected || (!named.is_empty() && given.len() < expected) {
        let message = "INSERT has more or fewer expressions than target columns";
        return Err(SqlError::new("42601", message));
    }
    let mut row: Row = vec![None; table.columns.len()];
    let mut is_given = vec![false; table.columns.len()];
    for (position, expression) in given.iter().enumerate() {
        let column = named.get(position).copied().unwrap_or(position);
        if matches!(expression, Expr::Identifier(name) if name.value.eq_ignore_ascii_case("default"))
        {
            continue;
        }
        let value = Scope::over(attempt, &[], &[]).evaluate(expression)?;
        row[column] = coerce(value, type_at(table, column))?;
        is_given[column] = true;
    }
    for (position, column) in table.columns.iter().enumerate() {
        if is_given[position] {
            continue;
        }
        if column.serial {
            row[position] = Some(attempt.state.tables.draw_row_number().to_string());
        } else if let Some(default) = &column.default {
            let value = Scope::over(attempt, &[], &[]).evaluate(default)?;
            row[position] = coerce(value, column.type_id)?;
        }
    }
    Ok(row)
}

/// A row after assignments.
fn assign(scope: &Scope, table: &Table, assignments: &[Assignment]) -> Result<Row, SqlError> {
    let mut changed = scope.row.to_vec();
    for assignment in assignments {
        let AssignmentTarget::ColumnName(target) = &assignment.target else {
            return Err(SqlError::unsupported(assignment));
        };
        let position = column_index(table, &target.to_string())?;
        changed[position] = coerce(scope.evaluate(&assignment.value)?, type_at(table, position))?;
    }
    check_not_null(table, &changed)?;
    Ok(changed)
}

fn run_update(attempt: &mut Attempt, update: &Update) -> Result<Answer, Halt> {
    let name = relation_name(&update.table.relation);
    let table = definition(attempt, &name)?;
    let found = matching(attempt, &name, update.selection.as_ref())?;
    let mut changed = Vec::with_capacity(found.len());
    for NumberedRow { number, row } in found {
        attempt.lock(LockKey::Row { table: name.clone(), number })?;
        let scope = Scope::over(attempt, &table.columns, &row);
        let new = assign(&scope, &table, &update.assignments)?;
        for (key, unique) in table.keys.iter().enumerate() {
            let (old, new) = (unique.values_of(&row), unique.values_of(&new));
            if old != new {
                for values in [old, new].into_iter().flatten() {
                    attempt.lock(LockKey::Key { table: name.clone(), key, values })?;
                }
            }
        }
        changed.push(NumberedRow { number, row: new });
    }
    let mut rows = Vec::with_capacity(changed.len());
    for NumberedRow { number, row } in changed {
        if conflicting(attempt, &name, &table, Some(number), &row)?.is_some() {
            return Err(duplicate(&name).into());
        }
        attempt.overlay.put(&name, &table.keys, number, row.clone());
        rows.push(row);
    }
    let tag = format!("UPDATE {}", rows.len());
    answer(attempt, update.returning.as_deref(), &table, &rows, tag)
}

fn run_delete(attempt: &mut Attempt, delete: &Delete) -> Result<Answer, Halt> {
    let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
    let Some(from) = from.first() else { return Err(SqlError::unsupported(delete).into()) };
    let name = relation_name(&from.relation);
    let table = definition(attempt, &name)?;
    let found = matching(attempt, &name, delete.selection.as_ref())?;
    for NumberedRow { number, row } in &found {
        attempt.lock(LockKey::Row { table: name.clone(), number: *number })?;
        lock_keys(attempt, &name, &table, row)?;
    }
    for row in &found {
        attempt.overlay.delete(&name, &table.keys, row.number);
    }
    let rows: Vec<Row> = found.into_iter().map(|found| found.row).collect();
    let tag = format!("DELETE {}", rows.len());
    answer(attempt, delete.returning.as_deref(), &table, &rows, tag)
}
