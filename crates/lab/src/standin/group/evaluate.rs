//! Evaluation of SQL expressions over one row.

use sqlparser::ast::{
    BinaryOperator, Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, SelectItem,
    SetExpr, UnaryOperator, Value as Literal,
};

use super::instance::State;
use super::tables::{Column, Value};

/// An SQL error with its SQLSTATE.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// SQLSTATE.
    pub state: &'static str,
    /// Message.
    pub message: String,
}

impl SqlError {
    /// An error.
    pub fn new(state: &'static str, message: impl Into<String>) -> Self {
        Self { state, message: message.into() }
    }

    /// A feature the stand-in lacks.
    pub fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("not supported by this server: {what}"))
    }
}

/// What an expression may refer to.
pub struct Scope<'a> {
    /// The instance.
    pub state: &'a State,
    /// Columns of the row.
    pub columns: &'a [Column],
    /// The row.
    pub row: &'a [Value],
}

fn truth(value: bool) -> Value {
    Some(if value { "t" } else { "f" }.to_owned())
}

/// Whether a value counts as true.
pub fn is_true(value: &Value) -> bool {
    value.as_deref().is_some_and(|text| text == "t" || text == "true")
}

impl Scope<'_> {
    /// Evaluates an expression to text.
    pub fn evaluate(&self, expression: &Expr) -> Result<Value, SqlError> {
        match expression {
            Expr::Nested(inner) => self.evaluate(inner),
            Expr::Cast { expr, .. } => self.evaluate(expr),
            Expr::Identifier(name) => self.column(&name.value),
            Expr::CompoundIdentifier(parts) => {
                self.column(parts.last().map_or("", |part| part.value.as_str()))
            }
            Expr::Value(literal) => literal_value(&literal.value),
            Expr::IsNull(inner) => Ok(truth(self.evaluate(inner)?.is_none())),
            Expr::IsNotNull(inner) => Ok(truth(self.evaluate(inner)?.is_some())),
            Expr::UnaryOp { op: UnaryOperator::Not, expr } => {
                Ok(truth(!is_true(&self.evaluate(expr)?)))
            }
            Expr::UnaryOp { op: UnaryOperator::Minus, expr } => {
                Ok(self.evaluate(expr)?.map(|text| format!("-{text}")))
            }
            Expr::BinaryOp { left, op, right } => {
                binary(self.evaluate(left)?, op, self.evaluate(right)?)
            }
            Expr::Case { conditions, else_result, operand: None, .. } => {
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

    fn column(&self, name: &str) -> Result<Value, SqlError> {
        let name = name.to_lowercase();
        let index = self.columns.iter().position(|column| column.name == name);
        let index = index
            .ok_or_else(|| SqlError::new("42703", format!("column {name:?} does not exist")))?;
        Ok(self.row[index].clone())
    }

    /// The one-row system view `pg_stat_wal_receiver`.
    fn scalar_subquery(&self, body: &SetExpr) -> Result<Value, SqlError> {
        let SetExpr::Select(select) = body else { return Err(SqlError::unsupported(body)) };
        let from = select.from.first().map(|table| table.relation.to_string().to_lowercase());
        if from.as_deref() != Some("pg_stat_wal_receiver") {
            return Err(SqlError::unsupported(body));
        }
        let columns = [Column { name: "received_tli".into(), type_id: 23, unique: false }];
        let row = [Some(self.state.term.to_string())];
        let scope = Scope { state: self.state, columns: &columns, row: &row };
        match select.projection.as_slice() {
            [SelectItem::UnnamedExpr(expression)] => scope.evaluate(expression),
            _ => Err(SqlError::unsupported(body)),
        }
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
        let arguments = self.arguments(function)?;
        let state = self.state;
        match (name.as_str(), arguments.as_slice()) {
            ("pg_is_in_recovery", []) => Ok(truth(!state.primary)),
            ("pg_current_wal_lsn" | "pg_current_wal_flush_lsn", []) if !state.primary => {
                Err(SqlError::new("55000", "recovery is in progress"))
            }
            ("pg_current_wal_lsn" | "pg_current_wal_flush_lsn", []) => Ok(offset(state.flushed())),
            ("pg_last_wal_receive_lsn", []) => Ok(offset(state.flushed())),
            ("pg_last_wal_replay_lsn", []) => Ok(offset(state.applied_offset())),
            ("pg_walfile_name", [Some(at)]) => Ok(Some(log_file_name(state.term, at))),
            ("to_hex", [Some(number)]) => {
                let number: u64 =
                    number.parse().map_err(|_| SqlError::new("22P02", "invalid number"))?;
                Ok(Some(format!("{number:x}")))
            }
            ("lpad", [Some(text), Some(width), Some(fill)]) => {
                let width: usize =
                    width.parse().map_err(|_| SqlError::new("22P02", "invalid number"))?;
                let missing = width.saturating_sub(text.len());
                let padding: String = fill.chars().cycle().take(missing).collect();
                Ok(Some(padding + text))
            }
            _ => Err(SqlError::new("42883", format!("function {name} does not exist"))),
        }
    }
}

fn offset(value: u64) -> Value {
    Some(format!("{:X}/{:X}", value >> 32, value & 0xFFFF_FFFF))
}

fn log_file_name(term: u32, at: &str) -> String {
    let (high, low) = at.split_once('/').unwrap_or(("0", "0"));
    let segment = u64::from_str_radix(low, 16).unwrap_or(0) >> 24;
    format!("{term:08X}{high:0>8}{segment:08X}")
}

fn literal_value(literal: &Literal) -> Result<Value, SqlError> {
    match literal {
        Literal::Null => Ok(None),
        Literal::Boolean(value) => Ok(truth(*value)),
        Literal::Number(text, _) => Ok(Some(text.clone())),
        Literal::SingleQuotedString(text) => Ok(Some(text.clone())),
        other => Err(SqlError::unsupported(other)),
    }
}

fn binary(left: Value, operator: &BinaryOperator, right: Value) -> Result<Value, SqlError> {
    match operator {
        BinaryOperator::And => return Ok(truth(is_true(&left) && is_true(&right))),
        BinaryOperator::Or => return Ok(truth(is_true(&left) || is_true(&right))),
        _ => {}
    }
    let (Some(left), Some(right)) = (left, right) else { return Ok(None) };
    let ordering = match (left.parse::<i64>(), right.parse::<i64>()) {
        (Ok(left), Ok(right)) => left.cmp(&right),
        _ => left.cmp(&right),
    };
    let number = |text: &str| {
        text.parse::<i64>().map_err(|_| {
            SqlError::new("22P02", format!("invalid input syntax for bigint: {text:?}"))
        })
    };
    match operator {
        BinaryOperator::Eq => Ok(truth(ordering.is_eq())),
        BinaryOperator::NotEq => Ok(truth(ordering.is_ne())),
        BinaryOperator::Lt => Ok(truth(ordering.is_lt())),
        BinaryOperator::LtEq => Ok(truth(ordering.is_le())),
        BinaryOperator::Gt => Ok(truth(ordering.is_gt())),
        BinaryOperator::GtEq => Ok(truth(ordering.is_ge())),
        BinaryOperator::Plus => Ok(Some((number(&left)? + number(&right)?).to_string())),
        BinaryOperator::Minus => Ok(Some((number(&left)? - number(&right)?).to_string())),
        BinaryOperator::Multiply => Ok(Some((number(&left)? * number(&right)?).to_string())),
        BinaryOperator::StringConcat => Ok(Some(left + &right)),
        other => Err(SqlError::unsupported(other)),
    }
}
