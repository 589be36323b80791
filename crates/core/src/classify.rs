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
    /// May change something, but neither opens nor ends a transaction.
    Write,
    /// Several statements, or text that is not known well enough: may do anything.
    Unknown,
}

impl StatementClass {
    /// The class of a batch that does `self` and then `next`.
    pub fn then(self, next: Self) -> Self {
        match (self, next) {
            (Self::Read, Self::Read) => Self::Read,
            (Self::Read | Self::Write, Self::Read | Self::Write) => Self::Write,
            _ => Self::Unknown,
        }
    }

    /// Whether it may commit something; `open` if it runs inside an open transaction.
    pub fn may_commit(self, open: bool) -> bool {
        match self {
            Self::Begin | Self::BeginReadOnly | Self::Rollback => false,
            Self::Read | Self::Write => !open,
            Self::Commit | Self::Unknown => true,
        }
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
        return StatementClass::Unknown;
    };
    match statements.as_slice() {
        [] => StatementClass::Read,
        [statement] => classify_statement(statement),
        several => several
            .iter()
            .map(classify_statement)
            .reduce(StatementClass::then)
            .map_or(StatementClass::Unknown, at_least_write),
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
        Statement::Query(_)
        | Statement::Insert(_)
        | Statement::Update(_)
        | Statement::Delete(_)
        | Statement::Merge(_)
        | Statement::Truncate(_)
        | Statement::CreateTable(_)
        | Statement::CreateIndex(_)
        | Statement::AlterTable(_)
        | Statement::Drop { .. }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. }
        | Statement::Rollback { savepoint: Some(_), .. } => StatementClass::Write,
        _ => StatementClass::Unknown,
    }
}

/// Several reads in one message go to the primary too: the position of each would count.
fn at_least_write(class: StatementClass) -> StatementClass {
    if class == StatementClass::Read { StatementClass::Write } else { class }
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
