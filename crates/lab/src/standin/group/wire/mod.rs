//! PostgreSQL v3 protocol server of one instance, with one thread per connection.

mod extended;
mod settings;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use self::extended::{Portal, PreparedStatement};
use self::settings::SessionSettings;
use super::connections::Control;
use super::evaluate::SqlError;
use super::instance::{Instance, LostResponse};
use super::tables::{Column, Row, Value};
use super::transaction::{StatementResult, Transaction};
use super::values::{encode_value, type_size};
use crate::standin::listener::{RestartableListener, reset_on_close};
use crate::standin::network::Network;

/// Name of the threads that serve client connections.
pub const THREAD_NAME: &str = "standin";
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of query texts whose parsed form a connection caches.
const PARSED_CACHE_LIMIT: usize = 256;

/// Accepts connections until the listener is stopped.
pub fn listen(
    listener: RestartableListener,
    instance: Arc<Instance>,
    network: Option<Arc<Network>>,
) {
    thread::spawn(move || {
        while let Some(stream) = listener.accept() {
            if !instance.is_alive() {
                reset_on_close(&stream);
                continue;
            }
            let cross_zone =
                network.as_ref().is_some_and(|network| is_cross_zone(network, &stream, &instance));
            let instance = instance.clone();
            let serving = move || serve(stream, &instance, cross_zone);
            // If no thread can be started, the connection is closed, as a real server does.
            let _ = thread::Builder::new().name(THREAD_NAME.into()).spawn(serving);
        }
    });
}

/// Whether a client is in another zone than the instance.
fn is_cross_zone(network: &Network, stream: &TcpStream, instance: &Instance) -> bool {
    let peer = stream.peer_addr().ok();
    peer.and_then(|peer| network.zone_of(peer.ip())).is_none_or(|zone| zone != instance.zone)
}

struct Client<'a> {
    instance: &'a Instance,
    control: Arc<Control>,
    transaction: Transaction,
    status: TransactionStatus,
    output: BytesMut,
    settings: SessionSettings,
    parsed: HashMap<String, Arc<[Statement]>>,
    statements: HashMap<String, Arc<PreparedStatement>>,
    portals: HashMap<String, Portal>,
    /// An error was sent in the extended protocol: messages are skipped until the next Sync.
    skipping_until_sync: bool,
    /// How the response that is being written is to be lost, if it is.
    lost_response: Option<LostResponse>,
    /// Whether the client is in another zone than the instance.
    cross_zone: bool,
}

fn serve(mut stream: TcpStream, instance: &Instance, cross_zone: bool) {
    let control = instance.connections.open(&stream);
    let mut client = Client {
        instance,
        transaction: Transaction::new(control.clone()),
        control: control.clone(),
        status: TransactionStatus::Idle,
        output: BytesMut::new(),
        settings: SessionSettings::default(),
        parsed: HashMap::new(),
        statements: HashMap::new(),
        portals: HashMap::new(),
        skipping_until_sync: false,
        lost_response: None,
        cross_zone,
    };
    // An I/O error ends only this connection; its transaction is rolled back below.
    let _ = client.serve(&mut stream);
    client.transaction.roll_back(instance);
    instance.connections.close(&control);
}

impl Client<'_> {
    fn serve(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut decoding = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        let mut input = BytesMut::new();
        let mut chunk = [0_u8; READ_CHUNK_BYTES];
        loop {
            while let Some(message) =
                PgWireFrontendMessage::decode(&mut input, &decoding).map_err(io::Error::other)?
            {
                if !self.on_message(message, &mut decoding) {
                    return self.send_output(stream);
                }
            }
            self.send_output(stream)?;
            let count = stream.read(&mut chunk)?;
            if count == 0 || !self.instance.wait_until_reachable(self.cross_zone) {
                return Ok(());
            }
            input.extend_from_slice(&chunk[..count]);
        }
    }

    fn send_output(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        if self.output.is_empty() {
            return Ok(());
        }
        if !self.instance.wait_until_reachable(self.cross_zone) {
            reset_on_close(stream);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        match self.lost_response.take() {
            None => stream.write_all(&self.output)?,
            Some(LostResponse::Silent) => return wait_for_end(stream),
            Some(LostResponse::Reset) => {
                reset_on_close(stream);
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        self.output.clear();
        Ok(())
    }

    /// Handles one message. Returns false if the connection is to be closed.
    fn on_message(&mut self, message: PgWireFrontendMessage, decoding: &mut DecodeContext) -> bool {
        match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                decoding.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::SslNegotiation(_) => self.output.put_u8(b'N'),
            PgWireFrontendMessage::Startup(_) => {
                decoding.awaiting_frontend_startup = false;
                return self.start_up();
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                if let SecretKey::I32(secret) = request.secret_key {
                    self.instance.connections.cancel(request.pid, secret);
                }
                return false;
            }
            PgWireFrontendMessage::Terminate(_) => return false,
            PgWireFrontendMessage::Sync(_) => self.sync(),
            _ if self.skipping_until_sync => {}
            PgWireFrontendMessage::Query(query) => self.simple_query(&query.query),
            message if message.is_extended_query() => self.on_extended(message),
            _ => {
                self.send_error(&SqlError::unsupported("this message"));
                return false;
            }
        }
        true
    }

    /// Handles the startup message. Returns false if the connection is rejected.
    fn start_up(&mut self) -> bool {
        if !self.instance.connections.admit(&self.control, self.instance.connection_limit) {
            self.send_error_with_severity(
                "FATAL",
                &SqlError::new("53300", "sorry, too many clients already"),
            );
            return false;
        }
        thread::sleep(self.instance.connection_setup);
        self.send(PgWireBackendMessage::Authentication(Authentication::Ok));
        let standby = if self.instance.is_primary() { "off" } else { "on" };
        for (name, value) in settings::REPORTED.iter().chain([&("in_hot_standby", standby)]) {
            let status = ParameterStatus::new((*name).to_owned(), (*value).to_owned());
            self.send(PgWireBackendMessage::ParameterStatus(status));
        }
        let key = BackendKeyData::new(self.control.process, SecretKey::I32(self.control.secret));
        self.send(PgWireBackendMessage::BackendKeyData(key));
        self.send_ready();
        true
    }

    fn send(&mut self, message: PgWireBackendMessage) {
        message.encode(&mut self.output).expect("failed to encode a backend message");
    }

    fn send_ready(&mut self) {
        self.send(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(self.status)));
    }

    fn send_error(&mut self, error: &SqlError) {
        self.send_error_with_severity("ERROR", error);
    }

    fn send_error_with_severity(&mut self, severity: &str, error: &SqlError) {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.state.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.send(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    }

    fn parse(&mut self, sql: &str) -> Result<Arc<[Statement]>, SqlError> {
        if let Some(known) = self.parsed.get(sql) {
            return Ok(known.clone());
        }
        let statements: Arc<[Statement]> = Parser::parse_sql(&PostgreSqlDialect {}, sql)
            .map_err(|error| SqlError::new("42601", error.to_string()))?
            .into();
        if self.parsed.len() >= PARSED_CACHE_LIMIT {
            self.parsed.clear();
        }
        self.parsed.insert(sql.to_owned(), statements.clone());
        Ok(statements)
    }

    fn simple_query(&mut self, sql: &str) {
        if self.instance.arrivals.is_recording() {
            let primary = self.instance.is_primary();
            self.instance.arrivals.add(self.control.number(), primary, sql);
        }
        match self.parse(sql) {
            Err(error) => self.fail(&error),
            Ok(statements) if statements.is_empty() => {
                self.send(PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
            }
            Ok(statements) => self.run_all(&statements),
        }
        self.send_ready();
    }

    /// Runs the statements of one simple query in one implicit transaction, unless a transaction
    /// block is open.
    fn run_all(&mut self, statements: &[Statement]) {
        for statement in statements {
            match self.run(statement, &[]) {
                Ok(result) => self.send_result(result),
                Err(error) => return self.fail(&error),
            }
        }
        self.commit_implicit();
    }

    /// Commits the implicit transaction if no transaction block is open.
    fn commit_implicit(&mut self) {
        if self.status == TransactionStatus::Idle
            && let Err(error) = self.commit()
        {
            self.fail(&error);
        }
    }

    fn commit(&mut self) -> Result<(), SqlError> {
        let writes = self.transaction.has_changes();
        self.transaction.commit(self.instance)?;
        if writes {
            self.lost_response = self.instance.take_lost_response();
        }
        Ok(())
    }

    fn fail(&mut self, error: &SqlError) {
        self.send_error(error);
        if self.status == TransactionStatus::Idle {
            self.transaction.roll_back(self.instance);
        } else {
            self.status = TransactionStatus::Error;
        }
    }

    fn run(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<StatementResult, SqlError> {
        self.control.begin_statement();
        match statement {
            Statement::Commit { .. } | Statement::Rollback { savepoint: None, .. } => {
                self.end_block(matches!(statement, Statement::Commit { .. }))
            }
            Statement::Rollback { savepoint: Some(name), .. } => {
                self.transaction.roll_back_to(&name.value)?;
                self.status = TransactionStatus::Transaction;
                Ok(StatementResult::with_tag("ROLLBACK"))
            }
            _ if self.status == TransactionStatus::Error => {
                Err(SqlError::new("25P02", "current transaction is aborted"))
            }
            Statement::StartTransaction { modes, .. } => {
                self.status = TransactionStatus::Transaction;
                self.transaction.begin(modes);
                Ok(StatementResult::with_tag("BEGIN"))
            }
            Statement::Savepoint { name } => {
                if self.status == TransactionStatus::Idle {
                    return Err(SqlError::new("25P01", "SAVEPOINT can only be used in a block"));
                }
                self.transaction.savepoint(&name.value);
                Ok(StatementResult::with_tag("SAVEPOINT"))
            }
            Statement::ReleaseSavepoint { name } => {
                self.transaction.release(&name.value)?;
                Ok(StatementResult::with_tag("RELEASE"))
            }
            Statement::Discard { .. } => {
                self.statements.clear();
                self.portals.clear();
                self.settings.reset();
                Ok(StatementResult::with_tag("DISCARD ALL"))
            }
            Statement::Set(set) => self.settings.set(set),
            Statement::Reset(reset) => self.settings.reset_one(reset),
            Statement::ShowVariable { variable } => self.settings.show(variable),
            other => self.transaction.run(self.instance, other, parameters),
        }
    }

    fn end_block(&mut self, commits: bool) -> Result<StatementResult, SqlError> {
        let commits = commits && self.status != TransactionStatus::Error;
        self.status = TransactionStatus::Idle;
        if commits {
            self.commit()?;
            return Ok(StatementResult::with_tag("COMMIT"));
        }
        self.transaction.roll_back(self.instance);
        Ok(StatementResult::with_tag("ROLLBACK"))
    }

    fn send_result(&mut self, result: StatementResult) {
        if let Some(columns) = &result.columns {
            self.send_row_description(columns, &[]);
            for row in &result.rows {
                self.send_row(row, columns, &[]);
            }
        }
        self.send(PgWireBackendMessage::CommandComplete(CommandComplete::new(result.tag)));
    }

    fn send_row_description(&mut self, columns: &[Column], formats: &[i16]) {
        let fields = columns.iter().enumerate().map(|(index, column)| {
            let (size, format) = (type_size(column.type_id), format_of(formats, index));
            FieldDescription::new(column.name.clone(), 0, 0, column.type_id, size, -1, format)
        });
        let description = RowDescription::new(fields.collect());
        self.send(PgWireBackendMessage::RowDescription(description));
    }

    fn send_row(&mut self, row: &Row, columns: &[Column], formats: &[i16]) {
        let mut data = BytesMut::new();
        for (index, (value, column)) in row.iter().zip(columns).enumerate() {
            encode_value(value, column.type_id, format_of(formats, index), &mut data);
        }
        self.send(PgWireBackendMessage::DataRow(DataRow::new(data, row.len() as i16)));
    }
}

/// Discards what the client sends until the connection is closed.
fn wait_for_end(stream: &mut TcpStream) -> io::Result<()> {
    let mut chunk = [0_u8; READ_CHUNK_BYTES];
    while stream.read(&mut chunk)? > 0 {}
    Err(io::ErrorKind::ConnectionReset.into())
}

/// Format code of the column at `index`. No codes mean text for all columns, and a single code
/// applies to all columns.
fn format_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(0),
    }
}
