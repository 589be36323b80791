//! Classification of SQL text: surely a read, or not.
//!
//! Whatever is not surely a read goes to the primary; the parser's failure is such a case too.

use sqlparser::ast::{Expr, Function, ObjectName, Query, SetExpr, Statement, Visit, Visitor};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::ops::ControlFlow;

/// What a statement does, as far as routing must know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementClass {
    /// Changes nothing and takes no locks: any instance may run it.
    Read,
    /// Opens a transaction that promises to change nothing.
    BeginReadOnly,
    /// Opens a transaction that may write.
    Begin,
    /// Ends a transaction, keeping its changes.
    Commit,
    /// Ends a transaction, discarding its changes.
    Rollback,
    /// Everything else.
    Write,
}

impl StatementClass {
    /// The class of a batch that does `self` and then `next`.
    pub fn then(self, next: Self) -> Self {
        if self == Self::Read && next == Self::Read { Self::Read } else { Self::Write }
    }

    /// Whether a transaction that has written nothing still has not after this.
    pub fn keeps_read_only(self) -> bool {
        matches!(self, Self::Read | Self::Commit | Self::Rollback)
    }
}

/// Functions known to change nothing and to answer the same on every instance.
const SAFE_FUNCTIONS: &[&str] = &[
    "abs",
    "avg",
    "coalesce",
    "concat",
    "count",
    "date_trunc",
    "greatest",
    "least",
    "length",
    "lower",
    "max",
    "min",
    "now",
    "nullif",
    "round",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
];

/// Classifies the text of one simple query, which may hold several statements.
pub fn classify(sql: &str) -> StatementClass {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return StatementClass::Write;
    };
    match statements.as_slice() {
        [] => StatementClass::Read,
        [statement] => classify_statement(statement),
        _ => StatementClass::Write,
    }
}

fn classify_statement(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(query) if is_pure_read(query) => StatementClass::Read,
        Statement::StartTransaction { modes, .. } => {
            let read_only = modes.iter().any(|mode| mode.to_string() == "READ ONLY");
            if read_only { StatementClass::BeginReadOnly } else { StatementClass::Begin }
        }
        Statement::Commit { .. } => StatementClass::Commit,
        Statement::Rollback { savepoint: None, .. } => StatementClass::Rollback,
        _ => StatementClass::Write,
    }
}

fn is_pure_read(query: &Query) -> bool {
    query.visit(&mut ImpureFinder).is_continue()
}

/// Stops at the first construct that may write, lock or differ between instances.
struct ImpureFinder;

impl Visitor for ImpureFinder {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let locks = !query.locks.is_empty();
        let writes = !matches!(
            query.body.as_ref(),
            SetExpr::Select(_)
                | SetExpr::Query(_)
                | SetExpr::SetOperation { .. }
                | SetExpr::Values(_)
        );
        let creates =
            matches!(query.body.as_ref(), SetExpr::Select(select) if select.into.is_some());
        if locks || writes || creates { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::Function(Function { name, .. }) if !is_safe_function(name) => {
                ControlFlow::Break(())
            }
            _ => ControlFlow::Continue(()),
        }
    }
}

fn is_safe_function(name: &ObjectName) -> bool {
    SAFE_FUNCTIONS.contains(&name.to_string().to_ascii_lowercase().as_str())
}
