//! The fields of extended-query messages that the proxy reads or rewrites.

use bytes::{BufMut, Bytes, BytesMut};

use crate::frames::HEADER_BYTES;

/// Type byte of `Parse`.
pub const PARSE: u8 = b'P';
/// Type byte of `Bind`.
pub const BIND: u8 = b'B';
/// Type byte of `Describe`.
pub const DESCRIBE: u8 = b'D';
/// Type byte of `Execute`.
pub const EXECUTE: u8 = b'E';
/// Type byte of `Close`.
pub const CLOSE: u8 = b'C';
/// Type byte of `Flush`.
pub const FLUSH: u8 = b'H';
/// Type byte of `Sync`.
pub const SYNC: u8 = b'S';
/// First byte of a `Describe` or `Close` body that means a statement.
pub const STATEMENT_KIND: u8 = b'S';

const LENGTH_BYTES: usize = 4;

/// Splits a zero-terminated string off the start of `body`; `None` if there is no terminator.
pub fn split_string(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    Some((&body[..end], &body[end + 1..]))
}

/// A `Parse` message's fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseFields<'a> {
    /// Name of the statement; empty for the unnamed one.
    pub name: &'a [u8],
    /// SQL text.
    pub text: &'a [u8],
    /// Parameter types in their encoded form.
    pub types: &'a [u8],
}

impl<'a> ParseFields<'a> {
    /// Reads the body of a `Parse` message.
    pub fn read(body: &'a [u8]) -> Option<Self> {
        let (name, rest) = split_string(body)?;
        let (text, types) = split_string(rest)?;
        Some(Self { name, text, types })
    }
}

/// A `Bind` message's names and its remaining fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BindFields<'a> {
    /// Portal to create.
    pub portal: &'a [u8],
    /// Statement that the portal executes.
    pub statement: &'a [u8],
    /// Parameters and formats in their encoded form.
    pub values: &'a [u8],
}

impl<'a> BindFields<'a> {
    /// Reads the body of a `Bind` message.
    pub fn read(body: &'a [u8]) -> Option<Self> {
        let (portal, rest) = split_string(body)?;
        let (statement, values) = split_string(rest)?;
        Some(Self { portal, statement, values })
    }
}

/// The statement or portal that a `Describe` or `Close` message names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedObject<'a> {
    /// `S` for a statement, `P` for a portal.
    pub kind: u8,
    /// Its name.
    pub name: &'a [u8],
}

impl<'a> NamedObject<'a> {
    /// Reads the body of a `Describe` or `Close` message.
    pub fn read(body: &'a [u8]) -> Option<Self> {
        let (kind, rest) = body.split_first()?;
        let (name, _) = split_string(rest)?;
        Some(Self { kind: *kind, name })
    }
}

/// Appends a message made of `parts`.
pub fn put_message(tag: u8, parts: &[&[u8]], output: &mut BytesMut) {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    output.reserve(HEADER_BYTES + length);
    output.put_u8(tag);
    output.put_u32((LENGTH_BYTES + length) as u32);
    for part in parts {
        output.put_slice(part);
    }
}

/// Appends a `Parse` message.
pub fn put_parse(name: &[u8], text: &[u8], types: &[u8], output: &mut BytesMut) {
    put_message(PARSE, &[name, &[0], text, &[0], types], output);
}

/// Appends a `Bind` message.
pub fn put_bind(portal: &[u8], statement: &[u8], values: &[u8], output: &mut BytesMut) {
    put_message(BIND, &[portal, &[0], statement, &[0], values], output);
}

/// Appends a `Describe` or `Close` message for a statement.
pub fn put_for_statement(tag: u8, name: &[u8], output: &mut BytesMut) {
    put_message(tag, &[&[STATEMENT_KIND], name, &[0]], output);
}

/// A `Parse` message in its own allocation, so that it does not keep a larger buffer alive.
pub fn parse_message(name: &[u8], text: &[u8], types: &[u8]) -> Bytes {
    let mut message = BytesMut::new();
    put_parse(name, text, types, &mut message);
    message.freeze()
}
