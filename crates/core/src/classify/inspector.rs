//! Finds the functions, relations and locks that a statement uses, because they can make a `SELECT`
//! more than a read.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, ObjectName, Query, SetExpr,
    TableFactor, Value, Visitor,
};

use super::functions::{FunctionKind, function_kind, is_replicated};
use crate::session_state::{Effect, Unsupported};

/// Collects what makes a statement more than a read, and its effects on the connection.
#[derive(Debug, Default)]
pub struct Inspector {
    /// Whether any part of the statement may write, lock, or differ between instances.
    pub impure: bool,
    /// Effects of the functions that the statement calls.
    pub effects: Vec<Effect>,
}

impl Inspector {
    fn call(&mut self, name: &ObjectName, is_local: bool) {
        let kind = function_kind(name);
        self.impure |= kind != FunctionKind::Safe;
        match kind {
            FunctionKind::Safe | FunctionKind::Primary => {}
            FunctionKind::SetConfig if is_local => {}
            FunctionKind::SetConfig => self.effects.push(Effect::Refuse(Unsupported::SetConfig)),
            FunctionKind::OnlyInTransaction(reason) => {
                self.effects.push(Effect::OnlyInTransaction(reason));
            }
            FunctionKind::Refused(reason) => self.effects.push(Effect::Refuse(reason)),
            FunctionKind::Unknown => self.effects.push(Effect::Taint),
        }
    }
}

/// Whether the third argument is the literal `true`.
fn third_argument_is_true(arguments: &FunctionArguments) -> bool {
    let FunctionArguments::List(list) = arguments else { return false };
    let Some(FunctionArg::Unnamed(FunctionArgExpr::Expr(Expr::Value(third)))) = list.args.get(2)
    else {
        return false;
    };
    third.value == Value::Boolean(true)
}

impl Visitor for Inspector {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let reads = matches!(
            query.body.as_ref(),
            SetExpr::Select(_)
                | SetExpr::Query(_)
                | SetExpr::SetOperation { .. }
                | SetExpr::Values(_)
        );
        self.impure |= !reads || !query.locks.is_empty();
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &sqlparser::ast::Select) -> ControlFlow<()> {
        if let Some(into) = &select.into {
            self.impure = true;
            if into.temporary {
                self.effects.push(Effect::Refuse(Unsupported::TemporaryObject));
            }
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        if let Expr::Function(Function { name, args, .. }) = expression {
            self.call(name, third_argument_is_true(args));
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        match table {
            TableFactor::Table { name, args: Some(_), .. } => self.call(name, false),
            TableFactor::Function { name, .. } => self.call(name, false),
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.impure |= !is_replicated(relation);
        ControlFlow::Continue(())
    }
}
