//! SELECT statements on one table or without a table.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use sqlparser::ast::{
    Expr, GroupByExpr, LimitClause, OrderByExpr, OrderByKind, OrderBySort, Query, Select,
    SelectItem, SetExpr, Statement, Value as Literal,
};

use super::analysis::{expression_type, first_argument, relation_name, result_columns};
use super::evaluate::{Scope, SqlError, is_true};
use super::functions::{compare, is_aggregate};
use super::locks::LockKey;
use super::rows::{check_names, matching_rows};
use super::tables::{Column, Row, Value};
use super::transaction::{ExecutionContext, ExecutionError, StatementResult};
use super::values::TEXT;

/// Duration of a `SELECT pg_sleep(n)`. The statement sleeps before it does anything else.
pub fn sleep_time(
    statement: &Statement,
    parameters: &[Value],
) -> Result<Option<Duration>, SqlError> {
    let Statement::Query(query) = statement else { return Ok(None) };
    let SetExpr::Select(select) = query.body.as_ref() else { return Ok(None) };
    for item in &select.projection {
        let SelectItem::UnnamedExpr(Expr::Function(function)) = item else { continue };
        if !function.name.to_string().eq_ignore_ascii_case("pg_sleep") {
            continue;
        }
        let text = match first_argument(&function.args) {
            Some(Expr::Value(literal)) => match &literal.value {
                Literal::Number(text, _) => text.clone(),
                Literal::Placeholder(_) => {
                    parameters.first().cloned().flatten().unwrap_or_default()
                }
                _ => String::new(),
            },
            _ => String::new(),
        };
        let seconds = text.parse::<f64>().ok().filter(|seconds| *seconds >= 0.0);
        let seconds = seconds.ok_or_else(|| SqlError::new("22P02", "pg_sleep needs a number"))?;
        return Ok(Duration::try_from_secs_f64(seconds).ok());
    }
    Ok(None)
}

/// Executes a query.
pub fn run(
    context: &mut ExecutionContext,
    query: &Query,
) -> Result<StatementResult, ExecutionError> {
    let SetExpr::Select(select) = query.body.as_ref() else {
        return Err(SqlError::unsupported(query).into());
    };
    check_supported(query, select)?;
    let Some(from) = select.from.first() else {
        return Ok(run_without_table(context, select)?);
    };
    let name = relation_name(&from.relation);
    let columns = context.overlay.columns(context.state, &name)?;
    let mut found = matching_rows(context, &name, select.selection.as_ref())?;
    if !query.locks.is_empty() {
        if !context.state.primary {
            let message = "cannot execute SELECT FOR UPDATE during recovery";
            return Err(SqlError::new("25006", message).into());
        }
        for row in &found {
            context.lock(LockKey::Row { table: name.clone(), number: row.number })?;
        }
    }
    if found.is_empty() {
        check_names(context, &columns, select.projection.iter().filter_map(item_expression))?;
    }
    let rows: Vec<Row> = found.drain(..).map(|found| found.row).collect();
    let described = result_columns(&select.projection, &columns)?;
    let groups = group(context, select, &columns, rows)?;
    let mut rows = match groups {
        GroupedRows::Rows(rows) => {
            let rows = order(context, query, &columns, rows)?;
            let rows = limit(context, query, rows)?;
            rows.iter()
                .map(|row| project(&Scope::for_row(context, &columns, row), select))
                .collect::<Result<Vec<Row>, SqlError>>()?
        }
        GroupedRows::Groups(groups) => {
            let mut projected = Vec::with_capacity(groups.len());
            for rows in &groups {
                let row = rows.first().map_or(&[][..], Vec::as_slice);
                let scope = Scope { group: Some(rows), ..Scope::for_row(context, &columns, row) };
                projected.push(project(&scope, select)?);
            }
            let projected = order(context, query, &described, projected)?;
            limit(context, query, projected)?
        }
    };
    if select.distinct.is_some() {
        let mut seen = std::collections::HashSet::new();
        rows.retain(|row| seen.insert(row.clone()));
    }
    Ok(StatementResult { tag: format!("SELECT {}", rows.len()), columns: Some(described), rows })
}

fn check_supported(query: &Query, select: &Select) -> Result<(), SqlError> {
    let joined = select.from.len() > 1 || select.from.iter().any(|from| !from.joins.is_empty());
    if joined || query.with.is_some() || query.fetch.is_some() {
        return Err(SqlError::unsupported(query));
    }
    if select.having.is_some() || select.into.is_some() || !select.named_window.is_empty() {
        return Err(SqlError::unsupported(query));
    }
    Ok(())
}

fn run_without_table(
    context: &ExecutionContext,
    select: &Select,
) -> Result<StatementResult, SqlError> {
    let scope = Scope::for_row(context, &[], &[]);
    if let Some(condition) = &select.selection
        && !is_true(&scope.evaluate(condition)?)
    {
        let columns = Some(result_columns(&select.projection, &[])?);
        return Ok(StatementResult { columns, rows: Vec::new(), tag: "SELECT 0".into() });
    }
    let row = project(&scope, select)?;
    let columns = Some(result_columns(&select.projection, &[])?);
    Ok(StatementResult { columns, rows: vec![row], tag: "SELECT 1".into() })
}

fn project(scope: &Scope, select: &Select) -> Result<Row, SqlError> {
    project_items(scope, &select.projection)
}

/// Evaluates a select list on one row.
pub fn project_items(scope: &Scope, items: &[SelectItem]) -> Result<Row, SqlError> {
    let mut row = Vec::with_capacity(items.len());
    for item in items {
        match item {
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                row.extend_from_slice(scope.row);
            }
            SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                row.push(scope.evaluate(expr)?);
            }
            other => return Err(SqlError::unsupported(other)),
        }
    }
    Ok(row)
}

enum GroupedRows {
    Rows(Vec<Row>),
    Groups(Vec<Vec<Row>>),
}

fn group(
    context: &ExecutionContext,
    select: &Select,
    columns: &[Column],
    rows: Vec<Row>,
) -> Result<GroupedRows, SqlError> {
    let GroupByExpr::Expressions(expressions, _) = &select.group_by else {
        return Err(SqlError::unsupported(select));
    };
    if expressions.is_empty() {
        let aggregates = select.projection.iter().any(has_aggregate);
        return Ok(if aggregates {
            GroupedRows::Groups(vec![rows])
        } else {
            GroupedRows::Rows(rows)
        });
    }
    let mut groups: BTreeMap<Row, Vec<Row>> = BTreeMap::new();
    for row in rows {
        let scope = Scope::for_row(context, columns, &row);
        let key = expressions
            .iter()
            .map(|expression| scope.evaluate(expression))
            .collect::<Result<Row, SqlError>>()?;
        groups.entry(key).or_default().push(row);
    }
    Ok(GroupedRows::Groups(groups.into_values().collect()))
}

fn item_expression(item: &SelectItem) -> Option<&Expr> {
    match item {
        SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => Some(expr),
        _ => None,
    }
}

fn has_aggregate(item: &SelectItem) -> bool {
    item_expression(item).is_some_and(expression_has_aggregate)
}

fn expression_has_aggregate(expression: &Expr) -> bool {
    match expression {
        Expr::Function(function) => {
            let inner = first_argument(&function.args);
            is_aggregate(&function.name.to_string().to_lowercase())
                || inner.is_some_and(expression_has_aggregate)
        }
        Expr::Nested(inner)
        | Expr::Cast { expr: inner, .. }
        | Expr::UnaryOp { expr: inner, .. } => expression_has_aggregate(inner),
        Expr::BinaryOp { left, right, .. } => {
            expression_has_aggregate(left) || expression_has_aggregate(right)
        }
        _ => false,
    }
}

/// A row and its sort keys.
struct SortableRow {
    keys: Vec<Value>,
    row: Row,
}

fn order(
    context: &ExecutionContext,
    query: &Query,
    columns: &[Column],
    rows: Vec<Row>,
) -> Result<Vec<Row>, SqlError> {
    let Some(order) = &query.order_by else { return Ok(rows) };
    let OrderByKind::Expressions(expressions) = &order.kind else {
        return Err(SqlError::unsupported(query));
    };
    let mut sortable_rows = Vec::with_capacity(rows.len());
    for row in rows {
        let scope = Scope::for_row(context, columns, &row);
        let keys = expressions
            .iter()
            .map(|order| order_key(&scope, &order.expr))
            .collect::<Result<Vec<Value>, SqlError>>()?;
        sortable_rows.push(SortableRow { keys, row });
    }
    sortable_rows.sort_by(|left, right| compare_rows(expressions, columns, left, right));
    Ok(sortable_rows.into_iter().map(|sortable_rows| sortable_rows.row).collect())
}

/// Evaluates a sort key; a plain number is the position of a column.
fn order_key(scope: &Scope, expression: &Expr) -> Result<Value, SqlError> {
    if let Expr::Value(literal) = expression
        && let Literal::Number(text, _) = &literal.value
        && let Some(position) = text.parse::<usize>().ok().and_then(|number| number.checked_sub(1))
    {
        return Ok(scope.row.get(position).cloned().flatten());
    }
    scope.evaluate(expression)
}

fn compare_rows(
    expressions: &[OrderByExpr],
    columns: &[Column],
    left: &SortableRow,
    right: &SortableRow,
) -> Ordering {
    for ((order, left), right) in expressions.iter().zip(&left.keys).zip(&right.keys) {
        let textual = expression_type(&order.expr, columns) == TEXT;
        let ordering = match (left, right) {
            (Some(left), Some(right)) => compare(left, right, textual),
            (None, None) => Ordering::Equal,
            (None, Some(_)) => Ordering::Greater,
            (Some(_), None) => Ordering::Less,
        };
        let descending = matches!(order.options.sort, Some(OrderBySort::Desc));
        let ordering = if descending { ordering.reverse() } else { ordering };
        if ordering.is_ne() {
            return ordering;
        }
    }
    Ordering::Equal
}

fn limit(context: &ExecutionContext, query: &Query, rows: Vec<Row>) -> Result<Vec<Row>, SqlError> {
    let Some(clause) = &query.limit_clause else { return Ok(rows) };
    let LimitClause::LimitOffset { limit, offset, .. } = clause else {
        return Err(SqlError::unsupported(query));
    };
    let count = |expression: &Expr| -> Result<Option<usize>, SqlError> {
        let value = Scope::for_row(context, &[], &[]).evaluate(expression)?;
        Ok(value.and_then(|text| text.parse().ok()))
    };
    let skip = match offset {
        Some(offset) => count(&offset.value)?.unwrap_or(0),
        None => 0,
    };
    let take = match limit {
        Some(limit) => count(limit)?.unwrap_or(usize::MAX),
        None => usize::MAX,
    };
    Ok(rows.into_iter().skip(skip).take(take).collect())
}
