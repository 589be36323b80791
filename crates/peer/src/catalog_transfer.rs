//! A delta of the configuration on its way to another node: CBOR, compressed, in parts.

use std::io::{Read, Write};

use bytes::{Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use kestrellock_core::catalog::CatalogDelta;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most bytes of a delta before it is compressed: a hundred times the whole catalog of 550 groups.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// A delta that a node offers; the same number always names the same bytes of the same process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransferId(pub u64);

/// A part of a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The delta.
    pub transfer: TransferId,
    /// Where the part begins.
    pub offset: u32,
    /// Bytes of the whole.
    pub total: u32,
    /// The part.
    pub bytes: Bytes,
}

/// Why a delta cannot be packed or unpacked.
#[derive(Debug, Error)]
pub enum TransferError {
    /// It is not what a node packs.
    #[error("delta of the configuration is malformed: {0}")]
    Malformed(String),
    /// It is too large.
    #[error("delta of the configuration has more than {MAX_UNPACKED_BYTES} bytes")]
    TooLarge,
    /// A part does not continue what has arrived.
    #[error("part of the configuration does not continue the one before")]
    OutOfOrder,
}

/// The bytes that travel. Compressed, since entries repeat each other: 1,400 tenants take 23 kB instead of
/// 171 kB, so 19 ms instead of 137 ms of a link of 10 Mbit/s (test `a_large_catalog_is_packed_small`).
pub fn pack(delta: &CatalogDelta) -> Result<Bytes, TransferError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    ciborium::into_writer(delta, &mut encoder)
        .map_err(|error| TransferError::Malformed(error.to_string()))?;
    if encoder.total_in() > MAX_UNPACKED_BYTES {
        return Err(TransferError::TooLarge);
    }
    let packed = encoder.flush().and_then(|()| encoder.finish());
    packed.map(Bytes::from).map_err(|error| TransferError::Malformed(error.to_string()))
}

/// The delta that arrived.
pub fn unpack(bytes: &[u8]) -> Result<CatalogDelta, TransferError> {
    let mut limited = DeflateDecoder::new(bytes).take(MAX_UNPACKED_BYTES);
    ciborium::from_reader(&mut limited).map_err(|error| match limited.limit() {
        0 => TransferError::TooLarge,
        _ => TransferError::Malformed(error.to_string()),
    })
}

/// The part of `whole` that begins at `offset`.
pub fn chunk_at(transfer: TransferId, whole: &Bytes, offset: u32, most: usize) -> Chunk {
    let from = (offset as usize).min(whole.len());
    let to = (from + most).min(whole.len());
    Chunk { transfer, offset, total: whole.len() as u32, bytes: whole.slice(from..to) }
}

/// What has arrived of a delta.
#[derive(Debug)]
pub struct IncomingTransfer {
    transfer: TransferId,
    total: u32,
    bytes: BytesMut,
}

impl IncomingTransfer {
    /// From its first part.
    pub fn begin(part: &Chunk) -> Result<Self, TransferError> {
        let mut incoming =
            Self { transfer: part.transfer, total: part.total, bytes: BytesMut::new() };
        incoming.add(part)?;
        Ok(incoming)
    }

    /// Takes the next part in.
    pub fn add(&mut self, part: &Chunk) -> Result<(), TransferError> {
        let continues = part.transfer == self.transfer
            && part.total == self.total
            && part.offset as usize == self.bytes.len()
            && self.bytes.len() + part.bytes.len() <= self.total as usize;
        if !continues {
            return Err(TransferError::OutOfOrder);
        }
        self.bytes.extend_from_slice(&part.bytes);
        Ok(())
    }

    /// Where the next part begins.
    pub fn next_offset(&self) -> u32 {
        self.bytes.len() as u32
    }

    /// Whether all has arrived.
    pub fn is_complete(&self) -> bool {
        self.bytes.len() == self.total as usize
    }

    /// What has arrived.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
