//! INSERT, UPDATE and DELETE.
//!
//! Each statement acquires all its locks before its first change, so that it can be retried from
//! the start after it waited for a lock.

use sqlparser::ast::{
    Assignment, AssignmentTarget, Delete, DoUpdate, Expr, FromTable, Insert, OnConflictAction,
    OnInsert, SelectItem, SetExpr, Statement, TableObject, Update,
};

use super::analysis::{relation_name, result_columns, table_name};
use super::ddl;
use super::evaluate::{Scope, SqlError, is_true};
use super::locks::LockKey;
use super::overlay::NumberedRow;
use super::rows::{column_index, matching_rows, type_at};
use super::select::project_items;
use super::tables::{Row, Table, Value};
use super::transaction::{ExecutionContext, ExecutionError, StatementResult};
use super::values::coerce;

/// Executes a statement that changes rows or table definitions.
pub fn run(
    context: &mut ExecutionContext,
    statement: &Statement,
) -> Result<StatementResult, ExecutionError> {
    match statement {
        Statement::Insert(insert) => run_insert(context, insert),
        Statement::Update(update) => run_update(context, update),
        Statement::Delete(delete) => run_delete(context, delete),
        other => ddl::run(context, other),
    }
}

/// Copies a table's definition without its rows, so that the overlay can change meanwhile.
fn definition(context: &ExecutionContext, name: &str) -> Result<Table, SqlError> {
    let table = context.overlay.table(context.state, name)?;
    let keys: Vec<Vec<usize>> = table.keys.iter().map(|key| key.columns.clone()).collect();
    Ok(Table::new(table.columns.clone(), &keys))
}

fn lock_keys(
    context: &mut ExecutionContext,
    name: &str,
    table: &Table,
    row: &[Value],
) -> Result<(), ExecutionError> {
    for (key, unique) in table.keys.iter().enumerate() {
        if let Some(values) = unique.values_of(row) {
            context.lock(LockKey::Key { table: name.to_owned(), key, values })?;
        }
    }
    Ok(())
}

/// Finds a row other than `own_number` that has the same values as `row` in a unique key.
fn conflicting(
    context: &ExecutionContext,
    name: &str,
    table: &Table,
    own_number: Option<u64>,
    row: &[Value],
) -> Result<Option<NumberedRow>, SqlError> {
    let current = context.overlay.table(context.state, name)?;
    for (index, key) in table.keys.iter().enumerate() {
        let Some(values) = key.values_of(row) else { continue };
        let found = context.overlay.find(current, name, index, &values);
        if let Some(found) = found.filter(|found| Some(found.number) != own_number) {
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

fn statement_result(
    context: &ExecutionContext,
    returning: Option<&[SelectItem]>,
    table: &Table,
    rows: &[Row],
    tag: String,
) -> Result<StatementResult, ExecutionError> {
    let Some(items) = returning else {
        return Ok(StatementResult { tag, ..StatementResult::default() });
    };
    let columns = Some(result_columns(items, &table.columns)?);
    let rows = rows
        .iter()
        .map(|row| project_items(&Scope::for_row(context, &table.columns, row), items))
        .collect::<Result<Vec<Row>, SqlError>>()?;
    Ok(StatementResult { columns, rows, tag })
}

fn run_insert(
    context: &mut ExecutionContext,
    insert: &Insert,
) -> Result<StatementResult, ExecutionError> {
    let TableObject::TableName(name) = &insert.table else {
        return Err(SqlError::unsupported(insert).into());
    };
    let name = table_name(name);
    let table = definition(context, &name)?;
    let proposed = proposed_rows(context, insert, &table)?;
    for row in &proposed {
        lock_keys(context, &name, &table, row)?;
    }
    let conflict = match &insert.on {
        None => None,
        Some(OnInsert::OnConflict(conflict)) => Some(&conflict.action),
        Some(_) => return Err(SqlError::unsupported(insert).into()),
    };
    if let Some(OnConflictAction::DoUpdate(_)) = conflict {
        for row in &proposed {
            if let Some(found) = conflicting(context, &name, &table, None, row)? {
                context.lock(LockKey::Row { table: name.clone(), number: found.number })?;
            }
        }
    }
    let mut written = Vec::new();
    for row in proposed {
        match (conflicting(context, &name, &table, None, &row)?, conflict) {
            (None, _) => {
                let number = context.state.tables.allocate_row_number();
                context.overlay.put(&name, &table.keys, number, row.clone());
                written.push(row);
            }
            (Some(_), None) => return Err(duplicate(&name).into()),
            (Some(_), Some(OnConflictAction::DoNothing)) => {}
            (Some(found), Some(OnConflictAction::DoUpdate(update))) => {
                written.extend(update_conflicting(context, &name, &table, update, found, &row)?);
            }
        }
    }
    let tag = format!("INSERT 0 {}", written.len());
    statement_result(context, insert.returning.as_deref(), &table, &written, tag)
}

fn update_conflicting(
    context: &mut ExecutionContext,
    name: &str,
    table: &Table,
    update: &DoUpdate,
    found: NumberedRow,
    proposed: &[Value],
) -> Result<Option<Row>, ExecutionError> {
    let scope =
        Scope { excluded: Some(proposed), ..Scope::for_row(context, &table.columns, &found.row) };
    if let Some(condition) = &update.selection
        && !is_true(&scope.evaluate(condition)?)
    {
        return Ok(None);
    }
    let row = assign(&scope, table, &update.assignments)?;
    if conflicting(context, name, table, Some(found.number), &row)?.is_some() {
        return Err(duplicate(name).into());
    }
    context.overlay.put(name, &table.keys, found.number, row.clone());
    Ok(Some(row))
}

fn proposed_rows(
    context: &mut ExecutionContext,
    insert: &Insert,
    table: &Table,
) -> Result<Vec<Row>, SqlError> {
    let target_columns = insert
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
        let expressions = expressions.iter();
        let row =
            proposed_row(context, table, &target_columns, &expressions.collect::<Vec<&Expr>>())?;
        check_not_null(table, &row)?;
        rows.push(row);
    }
    Ok(rows)
}

fn proposed_row(
    context: &mut ExecutionContext,
    table: &Table,
    target_columns: &[usize],
    expressions: &[&Expr],
) -> Result<Row, SqlError> {
    let expected =
        if target_columns.is_empty() { table.columns.len() } else { target_columns.len() };
    if expressions.len() > expected || (!target_columns.is_empty() && expressions.len() < expected)
    {
        let message = "INSERT has more or fewer expressions than target columns";
        return Err(SqlError::new("42601", message));
    }
    let mut row: Row = vec![None; table.columns.len()];
    let mut is_given = vec![false; table.columns.len()];
    for (position, expression) in expressions.iter().enumerate() {
        let column = target_columns.get(position).copied().unwrap_or(position);
        if matches!(expression, Expr::Identifier(name) if name.value.eq_ignore_ascii_case("default"))
        {
            continue;
        }
        let value = Scope::for_row(context, &[], &[]).evaluate(expression)?;
        row[column] = coerce(value, type_at(table, column))?;
        is_given[column] = true;
    }
    for (position, column) in table.columns.iter().enumerate() {
        if is_given[position] {
            continue;
        }
        if column.serial {
            row[position] = Some(context.state.tables.allocate_row_number().to_string());
        } else if let Some(default) = &column.default {
            let value = Scope::for_row(context, &[], &[]).evaluate(default)?;
            row[position] = coerce(value, column.type_id)?;
        }
    }
    Ok(row)
}

/// Evaluates the assignments of an UPDATE. Returns the new row.
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

fn run_update(
    context: &mut ExecutionContext,
    update: &Update,
) -> Result<StatementResult, ExecutionError> {
    let name = relation_name(&update.table.relation);
    let table = definition(context, &name)?;
    let found = matching_rows(context, &name, update.selection.as_ref())?;
    let mut changed = Vec::with_capacity(found.len());
    for NumberedRow { number, row } in found {
        context.lock(LockKey::Row { table: name.clone(), number })?;
        let scope = Scope::for_row(context, &table.columns, &row);
        let new = assign(&scope, &table, &update.assignments)?;
        for (key, unique) in table.keys.iter().enumerate() {
            let (old, new) = (unique.values_of(&row), unique.values_of(&new));
            if old != new {
                for values in [old, new].into_iter().flatten() {
                    context.lock(LockKey::Key { table: name.clone(), key, values })?;
                }
            }
        }
        changed.push(NumberedRow { number, row: new });
    }
    let mut rows = Vec::with_capacity(changed.len());
    for NumberedRow { number, row } in changed {
        if conflicting(context, &name, &table, Some(number), &row)?.is_some() {
            return Err(duplicate(&name).into());
        }
        context.overlay.put(&name, &table.keys, number, row.clone());
        rows.push(row);
    }
    let tag = format!("UPDATE {}", rows.len());
    statement_result(context, update.returning.as_deref(), &table, &rows, tag)
}

fn run_delete(
    context: &mut ExecutionContext,
    delete: &Delete,
) -> Result<StatementResult, ExecutionError> {
    let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
    let Some(from) = from.first() else { return Err(SqlError::unsupported(delete).into()) };
    let name = relation_name(&from.relation);
    let table = definition(context, &name)?;
    let found = matching_rows(context, &name, delete.selection.as_ref())?;
    for NumberedRow { number, row } in &found {
        context.lock(LockKey::Row { table: name.clone(), number: *number })?;
        lock_keys(context, &name, &table, row)?;
    }
    for row in &found {
        context.overlay.delete(&name, &table.keys, row.number);
    }
    let rows: Vec<Row> = found.into_iter().map(|found| found.row).collect();
    let tag = format!("DELETE {}", rows.len());
    statement_result(context, delete.returning.as_deref(), &table, &rows, tag)
}
