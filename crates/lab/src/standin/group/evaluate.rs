//! Evaluation of SQL expressions on one row or on a group of rows.

use sqlparser::ast::{
    BinaryOperator, Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, InTarget,
    SelectItem, SetExpr, UnaryOperator, Value as Literal,
};

use super::analysis::{expression_type, first_argument, parameter_number, relation_name};
use super::functions;
use super::state::State;
use super::tables::{Column, Row, Value};
use super::transaction::ExecutionContext;
use super::values::{INTEGER, TEXT, coerce, type_oid};

/// An SQL error with its SQLSTATE.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// SQLSTATE code.
    pub state: &'static str,
    /// Message text.
    pub message: String,
}

impl SqlError {
    /// Creates an error.
    pub fn new(state: &'static str, message: impl Into<String>) -> Self {
        Self { state, message: message.into() }
    }

    /// Error for a feature that the stand-in does not support.
    pub fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("not supported by this server: {what}"))
    }
}

/// Everything that an expression may refer to.
pub struct Scope<'a> {
    /// State of the instance.
    pub state: &'a State,
    /// Columns of `row`.
    pub columns: &'a [Column],
    /// Row on which the expression is evaluated.
    pub row: &'a [Value],
    /// Parameter values of the statement.
    pub parameters: &'a [Value],
    /// Rows for aggregate functions, if the query has any.
    pub group: Option<&'a [Row]>,
    /// Row proposed by an INSERT that met a conflicting row (`EXCLUDED` in ON CONFLICT).
    pub excluded: Option<&'a [Value]>,
    /// Process number of the client's connection, as `pg_backend_pid()` returns it.
    pub process: i32,
}

/// A boolean in PostgreSQL's text format.
pub fn boolean(value: bool) -> Value {
    Some(if value { "t" } else { "f" }.to_owned())
}

/// Whether a value is true; null is not.
pub fn is_true(value: &Value) -> bool {
    value.as_deref().is_some_and(|text| text == "t" || text == "true")
}

impl<'a> Scope<'a> {
    /// Creates a scope for one row.
    pub fn for_row(context: &'a ExecutionContext, columns: &'a [Column], row: &'a [Value]) -> Self {
        Self {
            state: context.state,
            columns,
            row,
            parameters: context.parameters,
            group: None,
            excluded: None,
            process: context.process,
        }
    }

    /// Evaluates an expression. Returns its value in text format.
    pub fn evaluate(&self, expression: &Expr) -> Result<Value, SqlError> {
        match expression {
            Expr::Nested(inner) => self.evaluate(inner),
            Expr::Cast { expr, data_type, .. } => coerce(self.evaluate(expr)?, type_oid(data_type)),
            Expr::Identifier(name) => self.column(&name.value),
            Expr::CompoundIdentifier(parts) => self.qualified(parts),
            Expr::Value(literal) => match &literal.value {
                Literal::Placeholder(name) => self.parameter(name),
                other => literal_value(other),
            },
            Expr::IsNull(inner) => Ok(boolean(self.evaluate(inner)?.is_none())),
            Expr::IsNotNull(inner) => Ok(boolean(self.evaluate(inner)?.is_some())),
            Expr::IsTrue(inner) => Ok(boolean(is_true(&self.evaluate(inner)?))),
            Expr::UnaryOp { op, expr } => unary(op, self.evaluate(expr)?),
            Expr::BinaryOp { left, op, right } => self.binary(left, op, right),
            Expr::In { expr, target: InTarget::List(list), negated, .. } => {
                self.in_list(expr, list, *negated)
            }
            Expr::Between { expr, negated, low, high } => {
                let above = is_true(&self.binary(expr, &BinaryOperator::GtEq, low)?);
                let below = is_true(&self.binary(expr, &BinaryOperator::LtEq, high)?);
                Ok(boolean((above && below) != *negated))
            }
            Expr::Like { negated, expr, pattern, .. } => {
                let (Some(text), Some(pattern)) = (self.evaluate(expr)?, self.evaluate(pattern)?)
                else {
                    return Ok(None);
                };
                Ok(boolean(functions::like(&text, &pattern) != *negated))
            }
            Expr::Case { operand: None, conditions, else_result, .. } => {
                for when in conditions {
                    if is_true(&self.evaluate(&when.condition)?) {
                        return self.evaluate(&when.result);
                    }
                }
                else_result.as_ref().map_or(Ok(None), |otherwise| self.evaluate(otherwise))
            }
            Expr::Function(function) => self.call(function),
            Expr::Subquery(query) => self.scalar_subquery(&query.body),
            other => Err(SqlError::unsupported(other)),
        }
    }

    fn parameter(&self, name: &str) -> Result<Value, SqlError> {
        parameter_number(name)
            .and_then(|number| self.parameters.get(number - 1).cloned())
            .ok_or_else(|| SqlError::new("42P02", format!("there is no parameter {name}")))
    }

    fn position(&self, name: &str) -> Result<usize, SqlError> {
        self.columns
            .iter()
            .position(|column| column.name.eq_ignore_ascii_case(name))
            .ok_or_else(|| SqlError::new("42703", format!("column {name:?} does not exist")))
    }

    fn column(&self, name: &str) -> Result<Value, SqlError> {
        let position = self.position(name)?;
        Ok(self.row.get(position).cloned().flatten())
    }

    fn qualified(&self, parts: &[sqlparser::ast::Ident]) -> Result<Value, SqlError> {
        let name = parts.last().map_or("", |part| part.value.as_str());
        match (self.excluded, parts.first()) {
            (Some(excluded), Some(first)) if first.value.eq_ignore_ascii_case("excluded") => {
                Ok(excluded[self.position(name)?].clone())
            }
            _ => self.column(name),
        }
    }

    /// Evaluates a scalar subquery. Supports only the view `pg_stat_wal_receiver`,
    /// which has one row.
    fn scalar_subquery(&self, body: &SetExpr) -> Result<Value, SqlError> {
        let SetExpr::Select(select) = body else { return Err(SqlError::unsupported(body)) };
        let from = select.from.first().map(|table| relation_name(&table.relation));
        if from.as_deref() != Some("pg_stat_wal_receiver") {
            return Err(SqlError::unsupported(body));
        }
        let columns =
            [Column { name: "received_tli".into(), type_id: INTEGER, ..Column::default() }];
        let row = [Some(self.state.term.to_string())];
        let scope = Scope { columns: &columns, row: &row, group: None, excluded: None, ..*self };
        match select.projection.as_slice() {
            [SelectItem::UnnamedExpr(expression)] => scope.evaluate(expression),
            _ => Err(SqlError::unsupported(body)),
        }
    }

    fn in_list(&self, expr: &Expr, list: &[Expr], negated: bool) -> Result<Value, SqlError> {
        for item in list {
            if is_true(&self.binary(expr, &BinaryOperator::Eq, item)?) {
                return Ok(boolean(!negated));
            }
        }
        Ok(boolean(negated))
    }

    fn binary(
        &self,
        left: &Expr,
        operator: &BinaryOperator,
        right: &Expr,
    ) -> Result<Value, SqlError> {
        match operator {
            BinaryOperator::And if !is_true(&self.evaluate(left)?) => return Ok(boolean(false)),
            BinaryOperator::Or if is_true(&self.evaluate(left)?) => return Ok(boolean(true)),
            BinaryOperator::And | BinaryOperator::Or => {
                return Ok(boolean(is_true(&self.evaluate(right)?)));
            }
            _ => {}
        }
        let (Some(first), Some(second)) = (self.evaluate(left)?, self.evaluate(right)?) else {
            return Ok(None);
        };
        let textual = expression_type(left, self.columns) == TEXT
            || expression_type(right, self.columns) == TEXT;
        functions::binary(&first, operator, &second, textual)
    }

    fn arguments(&self, function: &Function) -> Result<Vec<Value>, SqlError> {
        let FunctionArguments::List(list) = &function.args else { return Ok(Vec::new()) };
        list.args
            .iter()
            .map(|argument| match argument {
                FunctionArg::Unnamed(FunctionArgExpr::Expr(expression)) => {
                    self.evaluate(expression)
                }
                other => Err(SqlError::unsupported(other)),
            })
            .collect()
    }

    fn call(&self, function: &Function) -> Result<Value, SqlError> {
        let name = function.name.to_string().to_lowercase();
        if functions::is_aggregate(&name) {
            return self.aggregate(&name, function);
        }
        let arguments = self.arguments(function)?;
        functions::call(self, &name, &arguments)
    }

    fn aggregate(&self, name: &str, function: &Function) -> Result<Value, SqlError> {
        let Some(rows) = self.group else {
            return Err(SqlError::new("42803", "aggregate functions are not allowed here"));
        };
        let Some(argument) = first_argument(&function.args) else {
            return Ok(Some(rows.len().to_string()));
        };
        let mut values = Vec::with_capacity(rows.len());
        for row in rows {
            let scope = Scope { row, group: None, ..*self };
            values.extend(scope.evaluate(argument)?);
        }
        functions::aggregate(name, &values, expression_type(argument, self.columns) == TEXT)
    }
}

fn unary(operator: &UnaryOperator, value: Value) -> Result<Value, SqlError> {
    let Some(text) = value else { return Ok(None) };
    match operator {
        UnaryOperator::Not => Ok(boolean(!is_true(&Some(text)))),
        UnaryOperator::Minus => Ok(Some(match text.strip_prefix('-') {
            Some(positive) => positive.to_owned(),
            None => format!("-{text}"),
        })),
        UnaryOperator::Plus => Ok(Some(text)),
        other => Err(SqlError::unsupported(other)),
    }
}

fn literal_value(literal: &Literal) -> Result<Value, SqlError> {
    match literal {
        Literal::Null => Ok(None),
        Literal::Boolean(value) => Ok(boolean(*value)),
        Literal::Number(text, _) => Ok(Some(text.clone())),
        Literal::SingleQuotedString(text) | Literal::EscapedStringLiteral(text) => {
            Ok(Some(text.clone()))
        }
        other => Err(SqlError::unsupported(other)),
    }
}
