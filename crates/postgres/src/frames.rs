//! Splits a buffer into PostgreSQL messages without decoding their bodies.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Largest message accepted from a client or an instance, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
const TAG_BYTES: usize = 1;
const LENGTH_BYTES: usize = 4;
/// Bytes before the body of a tagged message.
pub const HEADER_BYTES: usize = TAG_BYTES + LENGTH_BYTES;

/// A length field that is out of range.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("message length {0} is out of range")]
pub struct BadLength(pub i64);

/// One complete tagged message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Type byte.
    pub tag: u8,
    /// Header and body.
    pub bytes: Bytes,
}

impl Frame {
    /// The body, after type and length.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// Tag and total length of the message at the start of `buffer`; `None` while its header is
/// incomplete.
pub fn peek(buffer: &[u8]) -> Result<Option<(u8, usize)>, BadLength> {
    let [tag, a, b, c, d, ..] = *buffer else { return Ok(None) };
    let length = i64::from(i32::from_be_bytes([a, b, c, d]));
    if length < LENGTH_BYTES as i64 || length > MAX_MESSAGE_BYTES as i64 {
        return Err(BadLength(length));
    }
    Ok(Some((tag, TAG_BYTES + length as usize)))
}

/// Removes one complete message from the start of `buffer`; `None` while it is incomplete.
pub fn next_frame(buffer: &mut BytesMut) -> Result<Option<Frame>, BadLength> {
    match peek(buffer)? {
        Some((tag, length)) if buffer.len() >= length => {
            Ok(Some(Frame { tag, bytes: buffer.split_to(length).freeze() }))
        }
        _ => Ok(None),
    }
}
