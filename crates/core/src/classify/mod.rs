//! Classifies SQL text: whether it is certainly a read, and which state it leaves on the
//! connection.
//!
//! Everything that is not certainly a read goes to the primary. A text that the parser does not
//! understand may have any effect: it goes to the primary, and its connection is reset afterwards.

pub mod functions;
mod inspector;
mod settings;

use sqlparser::ast::{
    CreateTable, Declare, DiscardObject, OnCommit, Reset, Statement, TransactionAccessMode,
    TransactionIsolationLevel, TransactionMode, Visit,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::session_state::{Effect, Unsupported};

use self::inspector::Inspector;

/// Longer texts are not parsed, so that the time a shard spends on one text is bounded.
pub const MAX_PARSED_BYTES: usize = 64 * 1024;

/// The effect of a statement, as far as routing depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementClass {
    /// Changes nothing and takes no locks, so any instance may run it.
    Read,
    /// Opens a read-only transaction.
    BeginReadOnly,
    /// Opens a transaction that may write.
    Begin,
    /// Ends a transaction, keeping its changes.
    Commit,
    /// Ends a transaction, discarding its changes.
    Rollback,
    /// May change data, but neither opens nor ends a transaction.
    Write,
    /// May have any effect: several statements, or a text that the classifier does not know.
    Unknown,
}

impl StatementClass {
    /// The class of a batch that runs `self` and then `next`.
    pub fn then(self, next: Self) -> Self {
        match (self, next) {
            (Self::Read, Self::Read) => Self::Read,
            (Self::Read | Self::Write, Self::Read | Self::Write) => Self::Write,
            _ => Self::Unknown,
        }
    }

    /// Whether the statement may commit anything; `open` if it runs inside an open transaction.
    pub fn may_commit(self, open: bool) -> bool {
        match self {
            Self::Begin | Self::BeginReadOnly | Self::Rollback => false,
            Self::Read | Self::Write => !open,
            Self::Commit | Self::Unknown => true,
        }
    }

    /// Whether a transaction that has written nothing has still written nothing after this
    /// statement.
    pub fn keeps_read_only(self) -> bool {
        matches!(self, Self::Read | Self::Commit | Self::Rollback)
    }
}

/// The result of classifying a text, or a batch of texts: what routing and the reset of the
/// connection depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextFacts {
    /// Class of the whole text.
    pub class: StatementClass,
    /// Whether it opens a transaction.
    pub begins: bool,
    /// Effects on the connection, in order.
    pub effects: Vec<Effect>,
}

impl TextFacts {
    /// The classification of a single statement that leaves its connection's state unchanged.
    pub fn of(class: StatementClass) -> Self {
        let begins = matches!(class, StatementClass::Begin | StatementClass::BeginReadOnly);
        Self { class, begins, effects: Vec::new() }
    }

    /// The classification of a single statement that has `effect` on its connection's state.
    pub fn with(class: StatementClass, effect: Effect) -> Self {
        Self { effects: vec![effect], ..Self::of(class) }
    }

    fn refused(reason: Unsupported) -> Self {
        Self::with(StatementClass::Write, Effect::Refuse(reason))
    }

    /// The classification of a text that the classifier does not know: it may have any effect, and
    /// its connection has to be reset.
    pub fn unknown() -> Self {
        Self::with(StatementClass::Unknown, Effect::Taint)
    }

    /// The classification of executing a portal that an earlier batch bound. The effects on the
    /// connection were recorded with that batch.
    pub fn earlier_portal() -> Self {
        Self::of(StatementClass::Unknown)
    }

    /// The classification of an empty text.
    pub fn nothing() -> Self {
        Self::of(StatementClass::Read)
    }

    /// Appends a text that follows in the same request.
    pub fn then(&mut self, next: &Self) {
        self.class = self.class.then(next.class);
        self.effects.extend_from_slice(&next.effects);
        self.begins |= next.begins;
    }

    /// Whether the connection must be reset before another client uses it.
    pub fn taints(&self) -> bool {
        self.effects.iter().any(Effect::taints)
    }
}

/// Classifies a text, which may contain several statements.
pub fn classify(sql: &str) -> TextFacts {
    if sql.len() > MAX_PARSED_BYTES {
        return TextFacts::unknown();
    }
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return TextFacts::unknown();
    };
    let mut statements = statements.iter().map(classify_statement);
    let Some(mut facts) = statements.next() else { return TextFacts::nothing() };
    for next in statements {
        facts.then(&next);
    }
    facts
}

fn classify_statement(statement: &Statement) -> TextFacts {
    let mut facts = classify_kind(statement);
    let mut inspector = Inspector::default();
    // The inspector never stops early.
    let _ = statement.visit(&mut inspector);
    if inspector.impure && facts.class == StatementClass::Read {
        facts.class = StatementClass::Write;
    }
    facts.effects.append(&mut inspector.effects);
    facts
}

/// Classifies a statement by its kind alone. The inspector checks the functions and relations it
/// uses.
fn classify_kind(statement: &Statement) -> TextFacts {
    use StatementClass::{Commit, Read, Rollback, Unknown, Write};
    match statement {
        Statement::Query(_) => TextFacts::of(Read),
        Statement::Explain { statement, .. } => classify_kind(statement),
        Statement::ShowVariable { variable } => TextFacts::of(settings::show_class(variable)),
        Statement::StartTransaction { modes, statements, .. } if statements.is_empty() => {
            TextFacts::of(begin_class(modes))
        }
        Statement::Commit { chain: false, .. } => TextFacts::of(Commit),
        Statement::Rollback { savepoint: None, chain: false } => TextFacts::of(Rollback),
        Statement::Rollback { savepoint: Some(_), .. } | Statement::ReleaseSavepoint { .. } => {
            TextFacts::of(Read)
        }
        Statement::Savepoint { .. } => TextFacts::with(Read, Effect::Savepoint),
        Statement::Fetch { .. } | Statement::Close { .. } => TextFacts::of(Read),
        Statement::Declare { stmts, .. } => classify_declare(stmts),
        Statement::Set(set) => settings::classify_set(set),
        Statement::Reset(reset) => classify_reset(&reset.reset),
        Statement::Discard { object_type: DiscardObject::ALL } => {
            TextFacts::with(Read, Effect::Discard)
        }
        Statement::Discard { .. } => TextFacts::with(Read, Effect::Taint),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            TextFacts::refused(Unsupported::Listen)
        }
        Statement::Copy { .. } => TextFacts::refused(Unsupported::Copy),
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            TextFacts::refused(Unsupported::SqlPrepare)
        }
        Statement::CreateTable(table) => classify_create_table(table),
        Statement::CreateView(view) if view.temporary => {
            TextFacts::refused(Unsupported::TemporaryObject)
        }
        Statement::CreateSequence { temporary: true, .. } => {
            TextFacts::refused(Unsupported::TemporaryObject)
        }
        Statement::Commit { .. } | Statement::Rollback { .. } => TextFacts::of(Unknown),
        other if is_stateless_write(other) => TextFacts::of(Write),
        _ => TextFacts::unknown(),
    }
}

/// Statements that write, but leave no state on the connection after their transaction.
fn is_stateless_write(statement: &Statement) -> bool {
    matches!(
        statement,
        Statement::Insert(_)
            | Statement::Update(_)
            | Statement::Delete(_)
            | Statement::Merge(_)
            | Statement::Truncate(_)
            | Statement::Lock(_)
            | Statement::LockTables { .. }
            | Statement::NOTIFY { .. }
            | Statement::CreateView(_)
            | Statement::CreateIndex(_)
            | Statement::CreateSequence { .. }
            | Statement::CreateSchema { .. }
            | Statement::CreateType { .. }
            | Statement::CreateFunction(_)
            | Statement::AlterTable(_)
            | Statement::AlterIndex { .. }
            | Statement::AlterView { .. }
            | Statement::Drop { .. }
            | Statement::DropFunction(_)
            | Statement::Comment { .. }
            | Statement::Grant(_)
            | Statement::Revoke(_)
            | Statement::Analyze(_)
    )
}

/// Replicas do not support serializable transactions, so those go to the primary even if they are
/// read-only.
fn begin_class(modes: &[TransactionMode]) -> StatementClass {
    let read_only = modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadOnly));
    let serializable =
        modes.contains(&TransactionMode::IsolationLevel(TransactionIsolationLevel::Serializable));
    let read_write = modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadWrite));
    if read_only && !read_write && !serializable {
        StatementClass::BeginReadOnly
    } else {
        StatementClass::Begin
    }
}

fn classify_declare(declarations: &[Declare]) -> TextFacts {
    let held = declarations.iter().any(|declare| declare.hold == Some(true));
    if held {
        return TextFacts::refused(Unsupported::HoldableCursor);
    }
    let cursors = declarations.iter().all(|declare| declare.for_query.is_some());
    if cursors { TextFacts::of(StatementClass::Read) } else { TextFacts::unknown() }
}

fn classify_reset(reset: &Reset) -> TextFacts {
    match reset {
        Reset::ALL => TextFacts::with(StatementClass::Read, Effect::ResetAll),
        Reset::SessionAuthorization => TextFacts::refused(Unsupported::Authorization),
        Reset::ConfigurationParameter(name) => settings::classify_reset(name),
    }
}

fn classify_create_table(table: &CreateTable) -> TextFacts {
    let dropped = table.on_commit == Some(OnCommit::Drop);
    if table.temporary && !dropped {
        return TextFacts::refused(Unsupported::TemporaryObject);
    }
    TextFacts::of(StatementClass::Write)
}
