//! Frames on TCP between nodes: a 4-byte big-endian length, then one CBOR value.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Largest body accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of the length field.
pub const LENGTH_BYTES: usize = 4;

/// Why bytes from a peer were refused.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The length field exceeds [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The body is not the expected CBOR value.
    #[error("frame body is malformed: {0}")]
    Malformed(String),
}

/// Appends one frame holding `message` to `buffer`.
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

/// Takes one frame off the head of `buffer`; `None` while it is incomplete.
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
