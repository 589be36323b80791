//! Static analysis of a statement before it runs: its tables, the types of its parameters and its
//! result columns.

use std::sync::Arc;

use sqlparser::ast::{
    Assignment, AssignmentTarget, BinaryOperator, Expr, FromTable, FunctionArg, FunctionArgExpr,
    FunctionArguments, InTarget, Insert, LimitClause, OnConflictAction, OnInsert, Query,
    SelectItem, SetExpr, Statement, TableObject, Value as Literal,
};

use super::evaluate::SqlError;
use super::tables::Column;
use super::values::{BIGINT, BOOLEAN, DOUBLE, INTEGER, TEXT, TIMESTAMP, UNKNOWN, VOID, type_oid};

/// Looks up the columns of a table by its name.
pub type ColumnLookup<'a> = &'a dyn Fn(&str) -> Result<Arc<[Column]>, SqlError>;

/// Normalizes a table name: lower case, without quotes and without the schema `public`.
pub fn table_name(name: &impl ToString) -> String {
    let name = name.to_string().to_lowercase().replace('"', "");
    name.strip_prefix("public.").map(str::to_owned).unwrap_or(name)
}

/// The table that a statement reads or writes, if there is one.
pub fn table_of(statement: &Statement) -> Option<String> {
    match statement {
        Statement::Query(query) => match query.body.as_ref() {
            SetExpr::Select(select) => {
                select.from.first().map(|from| relation_name(&from.relation))
            }
            _ => None,
        },
        Statement::Insert(insert) => match &insert.table {
            TableObject::TableName(name) => Some(table_name(name)),
            _ => None,
        },
        Statement::Update(update) => Some(relation_name(&update.table.relation)),
        Statement::Delete(delete) => {
            let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
            from.first().map(|from| relation_name(&from.relation))
        }
        _ => None,
    }
}

/// Normalized name of the table that a relation refers to.
pub fn relation_name(relation: &sqlparser::ast::TableFactor) -> String {
    match relation {
        sqlparser::ast::TableFactor::Table { name, .. } => table_name(name),
        other => table_name(other),
    }
}

/// Number of a parameter such as `$1`, starting from one.
pub fn parameter_number(name: &str) -> Option<usize> {
    name.strip_prefix('$')?.parse().ok().filter(|number| *number > 0)
}

/// Type of an expression on rows with `columns`; [`UNKNOWN`] if it depends on the context.
pub fn expression_type(expression: &Expr, columns: &[Column]) -> u32 {
    let column = |name: &str| {
        let found = columns.iter().find(|column| column.name.eq_ignore_ascii_case(name));
        found.map_or(UNKNOWN, |column| column.type_id)
    };
    match expression {
        Expr::Nested(inner) | Expr::UnaryOp { expr: inner, .. } => expression_type(inner, columns),
        Expr::Identifier(name) => column(&name.value),
        Expr::CompoundIdentifier(parts) => column(parts.last().map_or("", |part| &part.value)),
        Expr::Cast { data_type, .. } => type_oid(data_type),
        Expr::Value(literal) => literal_type(&literal.value),
        Expr::BinaryOp { left, op, right } => match op {
            BinaryOperator::Plus
            | BinaryOperator::Minus
            | BinaryOperator::Multiply
            | BinaryOperator::Divide
            | BinaryOperator::Modulo => {
                arithmetic_type(expression_type(left, columns), expression_type(right, columns))
            }
            BinaryOperator::StringConcat => TEXT,
            _ => BOOLEAN,
        },
        Expr::IsNull(_)
        | Expr::IsNotNull(_)
        | Expr::IsTrue(_)
        | Expr::IsFalse(_)
        | Expr::In { .. }
        | Expr::Between { .. }
        | Expr::Like { .. }
        | Expr::Exists { .. } => BOOLEAN,
        Expr::Case { conditions, .. } => {
            conditions.first().map_or(UNKNOWN, |when| expression_type(&when.result, columns))
        }
        Expr::Function(function) => {
            let name = function.name.to_string().to_lowercase();
            let first = first_argument(&function.args);
            function_type(&name, first.map_or(UNKNOWN, |first| expression_type(first, columns)))
        }
        _ => UNKNOWN,
    }
}

fn arithmetic_type(left: u32, right: u32) -> u32 {
    match (left, right) {
        (UNKNOWN, other) | (other, UNKNOWN) => other,
        (INTEGER, other) => other,
        (other, _) => other,
    }
}

fn literal_type(literal: &Literal) -> u32 {
    match literal {
        Literal::Number(text, _) if text.parse::<i32>().is_ok() => INTEGER,
        Literal::Number(text, _) if text.parse::<i64>().is_ok() => BIGINT,
        Literal::Number(..) => DOUBLE,
        Literal::Boolean(_) => BOOLEAN,
        _ => UNKNOWN,
    }
}

fn function_type(name: &str, first: u32) -> u32 {
    match name {
        "count" => BIGINT,
        "sum" | "length" if first == INTEGER || name == "sum" => BIGINT,
        "length" | "pg_backend_pid" => INTEGER,
        "max" | "min" | "coalesce" | "abs" | "greatest" | "least" => first,
        "now" | "clock_timestamp" | "current_timestamp" | "transaction_timestamp" => TIMESTAMP,
        "pg_is_in_recovery" => BOOLEAN,
        "pg_sleep" => VOID,
        _ => TEXT,
    }
}

/// The first argument of a function call, if it is an expression.
pub fn first_argument(arguments: &FunctionArguments) -> Option<&Expr> {
    match arguments {
        FunctionArguments::List(list) => match list.args.first() {
            Some(FunctionArg::Unnamed(FunctionArgExpr::Expr(expression))) => Some(expression),
            _ => None,
        },
        _ => None,
    }
}

/// Result columns of a select list on rows with `columns`.
pub fn result_columns(items: &[SelectItem], columns: &[Column]) -> Result<Vec<Column>, SqlError> {
    let mut result = Vec::new();
    for item in items {
        let (expression, name) = match item {
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                result.extend(columns.iter().cloned());
                continue;
            }
            SelectItem::UnnamedExpr(expression) => (expression, output_name(expression)),
            SelectItem::ExprWithAlias { expr, alias } => (expr, alias.value.to_lowercase()),
            other => return Err(SqlError::unsupported(other)),
        };
        let type_id = match expression_type(expression, columns) {
            UNKNOWN => TEXT,
            known => known,
        };
        result.push(Column { name, type_id, ..Column::default() });
    }
    Ok(result)
}

fn output_name(expression: &Expr) -> String {
    match expression {
        Expr::Identifier(name) => name.value.to_lowercase(),
        Expr::CompoundIdentifier(parts) => {
            parts.last().map_or_else(String::new, |part| part.value.to_lowercase())
        }
        Expr::Function(function) => function.name.to_string().to_lowercase(),
        Expr::Cast { expr, .. } | Expr::Nested(expr) => output_name(expr),
        Expr::Case { .. } => "case".into(),
        _ => "?column?".into(),
    }
}

/// Result columns of a statement, or `None` if it returns no rows.
pub fn describe(
    statement: &Statement,
    lookup: ColumnLookup,
) -> Result<Option<Vec<Column>>, SqlError> {
    let columns = match table_of(statement) {
        Some(table) => lookup(&table)?,
        None => Arc::default(),
    };
    match statement {
        Statement::Query(query) => match query.body.as_ref() {
            SetExpr::Select(select) => result_columns(&select.projection, &columns).map(Some),
            other => Err(SqlError::unsupported(other)),
        },
        Statement::ShowVariable { variable } => {
            let name = variable.iter().map(|part| part.value.to_lowercase()).collect::<Vec<_>>();
            let name = name.join(".");
            Ok(Some(vec![Column { name, type_id: TEXT, ..Column::default() }]))
        }
        Statement::Insert(insert) => returning_columns(insert.returning.as_deref(), &columns),
        Statement::Update(update) => returning_columns(update.returning.as_deref(), &columns),
        Statement::Delete(delete) => returning_columns(delete.returning.as_deref(), &columns),
        _ => Ok(None),
    }
}

fn returning_columns(
    returning: Option<&[SelectItem]>,
    columns: &[Column],
) -> Result<Option<Vec<Column>>, SqlError> {
    returning.map(|items| result_columns(items, columns)).transpose()
}

/// Types of a statement's parameters: as declared, or else inferred from their use.
pub fn parameter_types(
    statement: &Statement,
    declared: &[u32],
    lookup: ColumnLookup,
) -> Result<Vec<u32>, SqlError> {
    let columns = match table_of(statement) {
        Some(table) => lookup(&table)?,
        None => Arc::default(),
    };
    let types = declared.iter().map(|declared| Some(*declared).filter(|number| *number != 0));
    let mut collector = ParameterTypeCollector { types: types.collect(), columns: &columns };
    collector.statement(statement);
    Ok(collector.types.into_iter().map(|known| known.unwrap_or(TEXT)).collect())
}

struct ParameterTypeCollector<'a> {
    types: Vec<Option<u32>>,
    columns: &'a [Column],
}

impl ParameterTypeCollector<'_> {
    fn statement(&mut self, statement: &Statement) {
        match statement {
            Statement::Query(query) => self.query(query),
            Statement::Insert(insert) => self.insert(insert),
            Statement::Update(update) => {
                self.assignments(&update.assignments);
                self.visit_optional(update.selection.as_ref(), BOOLEAN);
                self.items(update.returning.as_deref().unwrap_or_default());
            }
            Statement::Delete(delete) => {
                self.visit_optional(delete.selection.as_ref(), BOOLEAN);
                self.items(delete.returning.as_deref().unwrap_or_default());
            }
            _ => {}
        }
    }

    fn query(&mut self, query: &Query) {
        if let SetExpr::Select(select) = query.body.as_ref() {
            self.items(&select.projection);
            self.visit_optional(select.selection.as_ref(), BOOLEAN);
        }
        if let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
            self.visit_optional(limit.as_ref(), BIGINT);
            self.visit_optional(offset.as_ref().map(|offset| &offset.value), BIGINT);
        }
    }

    fn insert(&mut self, insert: &Insert) {
        if let Some(SetExpr::Values(values)) =
            insert.source.as_ref().map(|query| query.body.as_ref())
        {
            for row in &values.rows {
                for (position, value) in row.iter().enumerate() {
                    let expected = self.insert_type(insert, position);
                    self.visit(value, expected);
                }
            }
        }
        if let Some(OnInsert::OnConflict(conflict)) = &insert.on
            && let OnConflictAction::DoUpdate(update) = &conflict.action
        {
            self.assignments(&update.assignments);
            self.visit_optional(update.selection.as_ref(), BOOLEAN);
        }
        self.items(insert.returning.as_deref().unwrap_or_default());
    }

    fn insert_type(&self, insert: &Insert, position: usize) -> u32 {
        match insert.columns.get(position) {
            Some(name) => self.column_type(&name.to_string()),
            None => self.columns.get(position).map_or(TEXT, |column| column.type_id),
        }
    }

    fn column_type(&self, name: &str) -> u32 {
        let name = name.to_lowercase();
        let found = self.columns.iter().find(|column| column.name == name);
        found.map_or(TEXT, |column| column.type_id)
    }

    fn assignments(&mut self, assignments: &[Assignment]) {
        for assignment in assignments {
            if let AssignmentTarget::ColumnName(name) = &assignment.target {
                let expected = self.column_type(&name.to_string());
                self.visit(&assignment.value, expected);
            }
        }
    }

    fn items(&mut self, items: &[SelectItem]) {
        for item in items {
            if let SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } = item {
                self.visit(expr, TEXT);
            }
        }
    }

    fn visit_optional(&mut self, expression: Option<&Expr>, expected: u32) {
        if let Some(expression) = expression {
            self.visit(expression, expected);
        }
    }

    fn visit(&mut self, expression: &Expr, expected: u32) {
        match expression {
            Expr::Value(literal) => {
                if let Literal::Placeholder(name) = &literal.value {
                    self.record_type(name, expected);
                }
            }
            Expr::Nested(inner) | Expr::UnaryOp { expr: inner, .. } => self.visit(inner, expected),
            Expr::Cast { expr, data_type, .. } => self.visit(expr, type_oid(data_type)),
            Expr::IsNull(inner) | Expr::IsNotNull(inner) => self.visit(inner, TEXT),
            Expr::BinaryOp { left, op: BinaryOperator::And | BinaryOperator::Or, right } => {
                self.visit(left, BOOLEAN);
                self.visit(right, BOOLEAN);
            }
            Expr::BinaryOp { left, right, .. } => {
                let fallback = if expected == BOOLEAN { TEXT } else { expected };
                let left_type = self.type_or(left, fallback);
                let right_type = self.type_or(right, fallback);
                self.visit(left, right_type);
                self.visit(right, left_type);
            }
            Expr::In { expr, target: InTarget::List(list), .. } => {
                let expected = self.type_or(expr, TEXT);
                list.iter().for_each(|item| self.visit(item, expected));
            }
            Expr::Between { expr, low, high, .. } => {
                let expected = self.type_or(expr, TEXT);
                self.visit(low, expected);
                self.visit(high, expected);
            }
            Expr::Like { expr, pattern, .. } => {
                self.visit(expr, TEXT);
                self.visit(pattern, TEXT);
            }
            Expr::Case { conditions, else_result, .. } => {
                for when in conditions {
                    self.visit(&when.condition, BOOLEAN);
                    self.visit(&when.result, expected);
                }
                self.visit_optional(else_result.as_deref(), expected);
            }
            Expr::Function(function) => {
                let is_sleep = function.name.to_string().eq_ignore_ascii_case("pg_sleep");
                if let FunctionArguments::List(list) = &function.args {
                    for argument in &list.args {
                        if let FunctionArg::Unnamed(FunctionArgExpr::Expr(inner)) = argument {
                            self.visit(inner, if is_sleep { DOUBLE } else { expected });
                        }
                    }
                }
            }
            _ => {}
        }
    }

    fn type_or(&self, expression: &Expr, fallback: u32) -> u32 {
        match expression_type(expression, self.columns) {
            UNKNOWN => fallback,
            known => known,
        }
    }

    fn record_type(&mut self, name: &str, expected: u32) {
        let Some(number) = parameter_number(name) else { return };
        if self.types.len() < number {
            self.types.resize(number, None);
        }
        self.types[number - 1].get_or_insert(if expected == UNKNOWN { TEXT } else { expected });
    }
}
