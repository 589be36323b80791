//! Extended query protocol: prepared statements and portals.

use std::sync::Arc;

use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse, TransactionStatus};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use sqlparser::ast::Statement;

use super::{Client, format_of};
use crate::standin::group::analysis;
use crate::standin::group::evaluate::SqlError;
use crate::standin::group::tables::{Column, Value};
use crate::standin::group::transaction::StatementResult;
use crate::standin::group::values::decode_parameter;

/// A prepared statement.
pub struct PreparedStatement {
    /// The parsed text: one statement, or none for an empty query.
    statements: Arc<[Statement]>,
    parameter_types: Vec<u32>,
    columns: Option<Vec<Column>>,
}

/// A prepared statement with bound parameter values.
pub struct Portal {
    prepared: Arc<PreparedStatement>,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    /// Progress of fetching its rows, once it has run.
    fetching: Option<FetchState>,
}

struct FetchState {
    result: StatementResult,
    next: usize,
}

fn name_or_unnamed(name: Option<String>) -> String {
    name.unwrap_or_default()
}

impl Client<'_> {
    /// Handles a message of the extended protocol other than Sync.
    pub fn on_extended(&mut self, message: PgWireFrontendMessage) {
        let outcome = match message {
            PgWireFrontendMessage::Parse(parse) => self.on_parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.on_bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.on_describe(describe),
            PgWireFrontendMessage::Execute(execute) => self.on_execute(execute),
            PgWireFrontendMessage::Close(close) => {
                self.on_close(close);
                Ok(())
            }
            _ => Ok(()),
        };
        if let Err(error) = outcome {
            self.fail(&error);
            self.skipping_until_sync = true;
        }
    }

    /// Handles Sync: commits the implicit transaction unless a message failed.
    pub fn sync(&mut self) {
        if !self.skipping_until_sync {
            self.commit_implicit();
        }
        self.skipping_until_sync = false;
        if self.status == TransactionStatus::Idle {
            self.portals.clear();
        }
        self.send_ready();
    }

    fn on_parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let statements = self.parse(&parse.query)?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new("42601", message));
        }
        let name = name_or_unnamed(parse.name);
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement {name:?} already exists");
            return Err(SqlError::new("42P05", message));
        }
        let prepared = self.prepare(statements, &parse.type_oids)?;
        self.statements.insert(name, Arc::new(prepared));
        self.send(PgWireBackendMessage::ParseComplete(ParseComplete::new()));
        Ok(())
    }

    fn prepare(
        &self,
        statements: Arc<[Statement]>,
        declared: &[u32],
    ) -> Result<PreparedStatement, SqlError> {
        let Some(statement) = statements.first() else {
            return Ok(PreparedStatement {
                statements,
                parameter_types: Vec::new(),
                columns: None,
            });
        };
        let lookup = |table: &str| self.transaction.columns_of(self.instance, table);
        Ok(PreparedStatement {
            parameter_types: analysis::parameter_types(statement, declared, &lookup)?,
            columns: analysis::describe(statement, &lookup)?,
            statements: statements.clone(),
        })
    }

    fn prepared(&self, name: &str) -> Result<Arc<PreparedStatement>, SqlError> {
        let missing =
            || SqlError::new("26000", format!("prepared statement {name:?} does not exist"));
        self.statements.get(name).cloned().ok_or_else(missing)
    }

    fn on_bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let prepared = self.prepared(&name_or_unnamed(bind.statement_name))?;
        if bind.parameters.len() != prepared.parameter_types.len() {
            let message = format!(
                "bind message supplies {} parameters, but prepared statement requires {}",
                bind.parameters.len(),
                prepared.parameter_types.len(),
            );
            return Err(SqlError::new("08P01", message));
        }
        let formats = bind.parameter_format_codes;
        let parameters = bind
            .parameters
            .iter()
            .zip(&prepared.parameter_types)
            .enumerate()
            .map(|(index, (bytes, type_id))| match bytes {
                Some(bytes) => decode_parameter(bytes, *type_id, format_of(&formats, index)),
                None => Ok(None),
            })
            .collect::<Result<Vec<Value>, SqlError>>()?;
        let formats = bind.result_column_format_codes;
        let portal = Portal { prepared, parameters, formats, fetching: None };
        self.portals.insert(name_or_unnamed(bind.portal_name), portal);
        self.send(PgWireBackendMessage::BindComplete(BindComplete::new()));
        Ok(())
    }

    fn on_describe(&mut self, describe: Describe) -> Result<(), SqlError> {
        let name = name_or_unnamed(describe.name);
        let (columns, formats) = if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.prepared(&name)?;
            let types = prepared.parameter_types.clone();
            let description = ParameterDescription::new(types);
            self.send(PgWireBackendMessage::ParameterDescription(description));
            (prepared.columns.clone(), Vec::new())
        } else {
            let portal = self.portals.get(&name).ok_or_else(|| missing_portal(&name))?;
            (portal.prepared.columns.clone(), portal.formats.clone())
        };
        match columns {
            Some(columns) => self.send_row_description(&columns, &formats),
            None => self.send(PgWireBackendMessage::NoData(NoData::new())),
        }
        Ok(())
    }

    fn on_execute(&mut self, execute: Execute) -> Result<(), SqlError> {
        let name = name_or_unnamed(execute.name);
        let mut portal = self.portals.remove(&name).ok_or_else(|| missing_portal(&name))?;
        let outcome = self.execute(&mut portal, execute.max_rows);
        self.portals.insert(name, portal);
        outcome
    }

    fn execute(&mut self, portal: &mut Portal, max_rows: i32) -> Result<(), SqlError> {
        let prepared = portal.prepared.clone();
        let Some(statement) = prepared.statements.first() else {
            self.send(PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
            return Ok(());
        };
        if portal.fetching.is_none() {
            if self.instance.arrivals.is_recording() {
                let primary = self.instance.is_primary();
                let text = format!("{statement} {:?}", portal.parameters);
                self.instance.arrivals.add(self.control.number(), primary, &text);
            }
            let result = self.run(statement, &portal.parameters)?;
            portal.fetching = Some(FetchState { result, next: 0 });
        }
        let Some(fetching) = &mut portal.fetching else { return Ok(()) };
        let columns = prepared.columns.as_deref().unwrap_or_default();
        let remaining = fetching.result.rows.len() - fetching.next;
        let count = usize::try_from(max_rows).ok().filter(|limit| *limit > 0).unwrap_or(remaining);
        let count = count.min(remaining);
        for row in &fetching.result.rows[fetching.next..fetching.next + count] {
            self.send_row(row, columns, &portal.formats);
        }
        fetching.next += count;
        if count < remaining {
            self.send(PgWireBackendMessage::PortalSuspended(PortalSuspended::new()));
            return Ok(());
        }
        let tag = fetching.result.tag.clone();
        self.send(PgWireBackendMessage::CommandComplete(CommandComplete::new(tag)));
        Ok(())
    }

    fn on_close(&mut self, close: Close) {
        let name = name_or_unnamed(close.name);
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        self.send(PgWireBackendMessage::CloseComplete(CloseComplete::new()));
    }
}

fn missing_portal(name: &str) -> SqlError {
    SqlError::new("34000", format!("portal {name:?} does not exist"))
}
