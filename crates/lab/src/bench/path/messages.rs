//! The messages of the path bench, encoded once.

use std::io;

use bytes::{Bytes, BytesMut};
use postgres_protocol::IsNull;
use postgres_protocol::message::frontend;

/// Rows of the table that is read.
pub const ROWS: u64 = 16;
const STATEMENT_NAME: &str = "read_body";
const TEXT_FORMAT: i16 = 0;

/// How a read is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Protocol {
    /// One `Query` message.
    Simple,
    /// `Bind`, `Execute` and `Sync` for a statement prepared before.
    Prepared,
}

impl Protocol {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Simple, Self::Prepared];

    /// Its part in a measure's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Simple => "simple",
            Self::Prepared => "prepared",
        }
    }

    /// What a connection sends once before its reads.
    pub fn preparation(self) -> io::Result<Bytes> {
        let mut buffer = BytesMut::new();
        if self == Self::Prepared {
            let sql = "SELECT body FROM bench_read WHERE id = $1";
            frontend::parse(STATEMENT_NAME, sql, [], &mut buffer)?;
            frontend::sync(&mut buffer);
        }
        Ok(buffer.freeze())
    }

    /// The read of row `id`.
    pub fn read(self, id: u64) -> io::Result<Bytes> {
        let mut buffer = BytesMut::new();
        match self {
            Self::Simple => {
                frontend::query(
                    &format!("SELECT body FROM bench_read WHERE id = {id}"),
                    &mut buffer,
                )?;
            }
            Self::Prepared => {
                let text = id.to_string();
                frontend::bind(
                    "",
                    STATEMENT_NAME,
                    [TEXT_FORMAT],
                    [text],
                    |value, buffer| {
                        buffer.extend_from_slice(value.as_bytes());
                        Ok(IsNull::No)
                    },
                    [TEXT_FORMAT],
                    &mut buffer,
                )
                .map_err(|_| io::Error::other("a bind message could not be encoded"))?;
                frontend::execute("", 0, &mut buffer)?;
                frontend::sync(&mut buffer);
            }
        }
        Ok(buffer.freeze())
    }
}
