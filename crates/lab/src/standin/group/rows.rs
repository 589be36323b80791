//! Finds the rows that satisfy a WHERE clause. Uses a unique key if the clause fixes all its
//! columns, and scans the table otherwise.

use sqlparser::ast::{BinaryOperator, Expr, Value as Literal};

use super::evaluate::{Scope, SqlError, is_true};
use super::overlay::NumberedRow;
use super::tables::{Column, KeyValues, Table, Value};
use super::transaction::ExecutionContext;
use super::values::{TEXT, coerce};

/// SQLSTATE `undefined_column`.
const UNDEFINED_COLUMN: &str = "42703";

/// Rows of a table that satisfy a condition, in ascending order of row numbers.
pub fn matching_rows(
    context: &ExecutionContext,
    name: &str,
    selection: Option<&Expr>,
) -> Result<Vec<NumberedRow>, SqlError> {
    let definition = context.overlay.table(context.state, name)?;
    let is_match = |row: &[Value]| match selection {
        Some(condition) => {
            let scope = Scope::for_row(context, &definition.columns, row);
            Ok(is_true(&scope.evaluate(condition)?))
        }
        None => Ok(true),
    };
    let mut found = Vec::new();
    if let Some(lookup) = selection.map(|condition| key_lookup(context, definition, condition))
        && let Some((key, values)) = lookup?
    {
        if let Some(candidate) = context.overlay.find(definition, name, key, &values)
            && is_match(&candidate.row)?
        {
            found.push(candidate);
        }
        return Ok(found);
    }
    context.overlay.each_row(definition, name, |number, row| {
        if is_match(row)? {
            found.push(NumberedRow { number, row: row.clone() });
        }
        Ok(())
    })?;
    if found.is_empty() {
        check_names(context, &definition.columns, selection)?;
    }
    Ok(found)
}

/// Fails if an expression names a column that does not exist. Needed only if no row was found;
/// otherwise the evaluation on a row reports the error.
pub fn check_names<'a>(
    context: &ExecutionContext,
    columns: &[Column],
    expressions: impl IntoIterator<Item = &'a Expr>,
) -> Result<(), SqlError> {
    let nulls = vec![None; columns.len()];
    let scope = Scope { group: Some(&[]), ..Scope::for_row(context, columns, &nulls) };
    for expression in expressions {
        match scope.evaluate(expression) {
            Err(error) if error.state == UNDEFINED_COLUMN => return Err(error),
            _ => {}
        }
    }
    Ok(())
}

/// The index of the first unique key whose columns the condition all compares with constants, and
/// these constants.
fn key_lookup(
    context: &ExecutionContext,
    definition: &Table,
    condition: &Expr,
) -> Result<Option<(usize, KeyValues)>, SqlError> {
    let mut constants: Vec<Value> = vec![None; definition.columns.len()];
    collect_constants(context, definition, condition, &mut constants)?;
    let key_index = definition.keys.iter().position(|key| {
        !key.columns.is_empty() && key.columns.iter().all(|column| constants[*column].is_some())
    });
    Ok(key_index.and_then(|index| Some((index, definition.keys[index].values_of(&constants)?))))
}

/// Collects the constants with which a conjunction compares columns for equality.
fn collect_constants(
    context: &ExecutionContext,
    definition: &Table,
    condition: &Expr,
    constants: &mut [Value],
) -> Result<(), SqlError> {
    match condition {
        Expr::Nested(inner) => collect_constants(context, definition, inner, constants),
        Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
            collect_constants(context, definition, left, constants)?;
            collect_constants(context, definition, right, constants)
        }
        Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => {
            let (column, constant) = match (column_position(definition, left), is_constant(right)) {
                (Some(column), true) => (column, right),
                _ => match (column_position(definition, right), is_constant(left)) {
                    (Some(column), true) => (column, left),
                    _ => return Ok(()),
                },
            };
            let value = Scope::for_row(context, &[], &[]).evaluate(constant)?;
            // If the constant is not valid for the column's type, no key is used and the
            // comparison itself decides.
            constants[column] = coerce(value, definition.columns[column].type_id).unwrap_or(None);
            Ok(())
        }
        _ => Ok(()),
    }
}

fn column_position(definition: &Table, expression: &Expr) -> Option<usize> {
    let name = match expression {
        Expr::Identifier(name) => &name.value,
        Expr::CompoundIdentifier(parts) => &parts.last()?.value,
        _ => return None,
    };
    definition.columns.iter().position(|column| column.name.eq_ignore_ascii_case(name))
}

fn is_constant(expression: &Expr) -> bool {
    match expression {
        Expr::Value(literal) => !matches!(literal.value, Literal::Null),
        Expr::Cast { expr, .. } | Expr::Nested(expr) => is_constant(expr),
        Expr::UnaryOp { expr, .. } => is_constant(expr),
        _ => false,
    }
}

/// Finds the position of a column by its name.
pub fn column_index(definition: &Table, name: &str) -> Result<usize, SqlError> {
    let name = name.to_lowercase().replace('"', "");
    definition
        .columns
        .iter()
        .position(|column| column.name == name)
        .ok_or_else(|| SqlError::new("42703", format!("column {name:?} does not exist")))
}

/// Type of the column at `position`; text if there is no such column.
pub fn type_at(definition: &Table, position: usize) -> u32 {
    definition.columns.get(position).map_or(TEXT, |column| column.type_id)
}
