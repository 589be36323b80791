//! The PostgreSQL v3 protocol of one instance, a thread for each connection.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::Authentication;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::evaluate::SqlError;
use super::execute::{Answer, Transaction};
use super::instance::{ConnectionNumber, Instance};
use super::tables::Row;

const READ_CHUNK_BYTES: usize = 16 * 1024;
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// Accepts connections until `stopping` is set.
pub fn listen(listener: TcpListener, instance: Arc<Instance>, stopping: Arc<AtomicBool>) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            if stopping.load(Ordering::Acquire) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let instance = instance.clone();
            thread::spawn(move || serve(stream, &instance));
        }
    });
}

struct Client<'a> {
    instance: &'a Instance,
    transaction: Transaction,
    status: TransactionStatus,
    output: BytesMut,
}

fn serve(mut stream: TcpStream, instance: &Instance) {
    let number = ConnectionNumber(NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed));
    let mut client = Client {
        instance,
        transaction: Transaction::new(number),
        status: TransactionStatus::Idle,
        output: BytesMut::new(),
    };
    // A connection that breaks is the client's affair; its transaction is rolled back below.
    let _ = client.serve(&mut stream);
    client.transaction.roll_back(instance);
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
                    return Ok(());
                }
            }
            stream.write_all(&self.output)?;
            self.output.clear();
            let count = stream.read(&mut chunk)?;
            if count == 0 {
                return Ok(());
            }
            input.extend_from_slice(&chunk[..count]);
        }
    }

    /// Handles one message; false to close.
    fn on_message(&mut self, message: PgWireFrontendMessage, decoding: &mut DecodeContext) -> bool {
        match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                decoding.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::SslNegotiation(_) => self.output.put_u8(b'N'),
            PgWireFrontendMessage::Startup(_) => {
                decoding.awaiting_frontend_startup = false;
                self.send(PgWireBackendMessage::Authentication(Authentication::Ok));
                self.send_ready();
            }
            PgWireFrontendMessage::Query(query) => self.simple_query(&query.query),
            PgWireFrontendMessage::Terminate(_) => return false,
            _ => {
                self.send_error(&SqlError::unsupported("this message"));
                return false;
            }
        }
        true
    }

    fn send(&mut self, message: PgWireBackendMessage) {
        message.encode(&mut self.output).expect("a message of the stand-in does not encode");
    }

    fn send_ready(&mut self) {
        self.send(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(self.status)));
    }

    fn send_error(&mut self, error: &SqlError) {
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', error.state.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.send(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    }

    fn simple_query(&mut self, sql: &str) {
        match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
            Err(error) => self.fail(&SqlError::new("42601", error.to_string())),
            Ok(statements) if statements.is_empty() => {
                self.send(PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
            }
            Ok(statements) => self.run_all(&statements),
        }
        self.send_ready();
    }

    /// Runs the statements of one message: one implicit transaction unless a block is open.
    fn run_all(&mut self, statements: &[Statement]) {
        for statement in statements {
            match self.run(statement) {
                Ok(answer) => self.send_answer(answer),
                Err(error) => return self.fail(&error),
            }
        }
        if self.status == TransactionStatus::Idle
            && let Err(error) = self.transaction.commit(self.instance)
        {
            self.fail(&error);
        }
    }

    fn fail(&mut self, error: &SqlError) {
        self.send_error(error);
        if self.status == TransactionStatus::Idle {
            self.transaction.roll_back(self.instance);
        } else {
            self.status = TransactionStatus::Error;
        }
    }

    fn run(&mut self, statement: &Statement) -> Result<Answer, SqlError> {
        let tag = |tag: &str| Ok(Answer { tag: tag.to_owned(), ..Answer::default() });
        match statement {
            Statement::StartTransaction { .. } => {
                self.status = TransactionStatus::Transaction;
                tag("BEGIN")
            }
            Statement::Commit { .. } if self.status == TransactionStatus::Transaction => {
                self.status = TransactionStatus::Idle;
                self.transaction.commit(self.instance)?;
                tag("COMMIT")
            }
            Statement::Commit { .. } | Statement::Rollback { .. } => {
                self.status = TransactionStatus::Idle;
                self.transaction.roll_back(self.instance);
                tag("ROLLBACK")
            }
            _ if self.status == TransactionStatus::Error => {
                Err(SqlError::new("25P02", "current transaction is aborted"))
            }
            other => self.transaction.run(self.instance, other),
        }
    }

    fn send_answer(&mut self, answer: Answer) {
        if let Some(columns) = answer.columns {
            let fields = columns
                .iter()
                .map(|column| {
                    FieldDescription::new(column.name.clone(), 0, 0, column.type_id, -1, -1, 0)
                })
                .collect();
            self.send(PgWireBackendMessage::RowDescription(RowDescription::new(fields)));
        }
        for row in &answer.rows {
            self.send(PgWireBackendMessage::DataRow(data_row(row)));
        }
        self.send(PgWireBackendMessage::CommandComplete(CommandComplete::new(answer.tag)));
    }
}

fn data_row(row: &Row) -> DataRow {
    let mut data = BytesMut::new();
    for value in row {
        match value {
            Some(text) => {
                data.put_i32(text.len() as i32);
                data.put_slice(text.as_bytes());
            }
            None => data.put_i32(-1),
        }
    }
    DataRow::new(data, row.len() as i16)
}
