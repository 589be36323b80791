//! Framing of TCP connections between nodes: a 4-byte big-endian length, then one CBOR value.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Maximum size of a frame body.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Size of the length field.
pub const LENGTH_BYTES: usize = 4;

/// Why a frame cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The body exceeds the maximum size.
    #[error("frame of {0} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The body is not CBOR of the expected type, or the message cannot be encoded.
    #[error("frame body is malformed: {0}")]
    Malformed(String),
}

/// Appends a frame with `message` to `buffer`.
pub fn encode<M: Serialize>(message: &M, buffer: &mut BytesMut) -> Result<(), FrameError> {
    let start = buffer.len();
    buffer.put_u32(0);
    let outcome = ciborium::into_writer(message, buffer.writer());
    if let Err(error) = outcome {
        buffer.truncate(start);
        return Err(FrameError::Malformed(error.to_string()));
    }
    let body = buffer.len() - start - LENGTH_BYTES;
    if body > MAX_FRAME_BYTES {
        buffer.truncate(start);
        return Err(FrameError::TooLarge(body));
    }
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&(body as u32).to_be_bytes());
    Ok(())
}

/// Removes one frame from the start of `buffer` and decodes it; `None` while it is incomplete.
pub fn decode<M: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<M>, FrameError> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let body = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if body > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(body));
    }
    if buffer.len() < LENGTH_BYTES + body {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let frame = buffer.split_to(body);
    ciborium::from_reader(frame.as_ref())
        .map(Some)
        .map_err(|error| FrameError::Malformed(error.to_string()))
}
