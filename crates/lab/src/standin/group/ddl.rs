//! CREATE TABLE, CREATE INDEX and DROP TABLE.

use sqlparser::ast::{
    ColumnDef, ColumnOption, CreateIndex, CreateTable, DataType, Expr, IndexColumn, ObjectType,
    Statement, TableConstraint,
};

use super::analysis::table_name;
use super::evaluate::SqlError;
use super::locks::LockKey;
use super::rows::column_index;
use super::tables::{Change, Column, Table};
use super::transaction::{ExecutionContext, ExecutionError, StatementResult};
use super::values::type_oid;

/// Executes a statement that changes table definitions.
pub fn run(
    context: &mut ExecutionContext,
    statement: &Statement,
) -> Result<StatementResult, ExecutionError> {
    match statement {
        Statement::CreateTable(create) => create_table(context, create),
        Statement::CreateIndex(create) => create_index(context, create),
        Statement::Drop { object_type: ObjectType::Table, if_exists, names, .. } => {
            for name in names {
                drop_table(context, table_name(name), *if_exists)?;
            }
            Ok(StatementResult::with_tag("DROP TABLE"))
        }
        other => Err(SqlError::unsupported(other).into()),
    }
}

fn create_table(
    context: &mut ExecutionContext,
    create: &CreateTable,
) -> Result<StatementResult, ExecutionError> {
    if create.temporary || create.query.is_some() {
        return Err(SqlError::unsupported("temporary tables and CREATE TABLE AS").into());
    }
    let name = table_name(&create.name);
    context.lock(LockKey::Table(name.clone()))?;
    if context.overlay.table(context.state, &name).is_ok() {
        if create.if_not_exists {
            return Ok(StatementResult::with_tag("CREATE TABLE"));
        }
        return Err(SqlError::new("42P07", format!("relation {name:?} already exists")).into());
    }
    let mut columns: Vec<Column> = create.columns.iter().map(column_of).collect();
    let table = Table::new(columns.clone().into(), &[]);
    let mut keys = Vec::new();
    for (position, definition) in create.columns.iter().enumerate() {
        if definition.options.iter().any(|option| is_key(&option.option)) {
            keys.push(vec![position]);
        }
    }
    for constraint in &create.constraints {
        let key = match constraint {
            TableConstraint::PrimaryKey(primary) => positions(&table, &primary.columns)?,
            TableConstraint::Unique(unique) => positions(&table, &unique.columns)?,
            _ => continue,
        };
        if matches!(constraint, TableConstraint::PrimaryKey(_)) {
            key.iter().for_each(|position| columns[*position].not_null = true);
        }
        keys.push(key);
    }
    context.overlay.create(name, columns.into(), keys);
    Ok(StatementResult::with_tag("CREATE TABLE"))
}

fn is_key(option: &ColumnOption) -> bool {
    matches!(option, ColumnOption::PrimaryKey(_) | ColumnOption::Unique(_))
}

fn positions(table: &Table, columns: &[IndexColumn]) -> Result<Vec<usize>, SqlError> {
    columns
        .iter()
        .map(|column| match &column.column.expr {
            Expr::Identifier(name) => column_index(table, &name.value),
            other => Err(SqlError::unsupported(other)),
        })
        .collect()
}

fn column_of(definition: &ColumnDef) -> Column {
    let options = || definition.options.iter().map(|option| &option.option);
    let declared = definition.data_type.to_string().to_lowercase();
    let serial = declared == "bigserial" || declared == "serial";
    let data_type = if serial { DataType::BigInt(None) } else { definition.data_type.clone() };
    Column {
        name: definition.name.value.to_lowercase(),
        type_id: type_oid(&data_type),
        not_null: options()
            .any(|option| matches!(option, ColumnOption::NotNull | ColumnOption::PrimaryKey(_))),
        serial,
        default: options().find_map(|option| match option {
            ColumnOption::Default(default) => Some(default.clone()),
            _ => None,
        }),
    }
}

fn create_index(
    context: &mut ExecutionContext,
    create: &CreateIndex,
) -> Result<StatementResult, ExecutionError> {
    let name = table_name(&create.table_name);
    context.lock(LockKey::Table(name.clone()))?;
    let columns = positions(context.overlay.table(context.state, &name)?, &create.columns)?;
    if create.unique {
        context.overlay.changes.push(Change::AddKey { table: name, columns });
    }
    Ok(StatementResult::with_tag("CREATE INDEX"))
}

fn drop_table(
    context: &mut ExecutionContext,
    name: String,
    if_exists: bool,
) -> Result<(), ExecutionError> {
    context.lock(LockKey::Table(name.clone()))?;
    match context.overlay.table(context.state, &name) {
        Ok(_) => context.overlay.drop_table(name),
        Err(_) if if_exists => {}
        Err(error) => return Err(error.into()),
    }
    Ok(())
}
