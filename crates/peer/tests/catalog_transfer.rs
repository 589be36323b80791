//! Configuration deltas: compression, reassembly from chunks, and rejection of malformed input.

use bytes::Bytes;
use kestrellock_core::admin::configuration::EntryValue;
use kestrellock_core::catalog::{
    Catalog, CatalogDelta, CatalogSummary, Revision, VersionedCatalog,
};
use kestrellock_peer::catalog_transfer::{
    IncomingTransfer, TransferError, TransferId, chunk_at, pack, unpack,
};

const TENANTS: u64 = 1_400;
const CHUNK_BYTES: usize = 1_000;
const TRANSFER: TransferId = TransferId(7);
/// A 10 Mbit/s link transfers this in 80 ms.
const MAX_PACKED_BYTES: usize = 100_000;

fn large_delta() -> CatalogDelta {
    let mut catalog = Catalog { revision: Revision(3), ..Catalog::default() };
    for number in 0..TENANTS {
        let name = format!("r-{:013x}", (number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 12);
        let text = format!(
            "template = \"session-normal-2500-250\"\ngroups = [\"group-{}\"]\n\
             deadline_ms = {}\nopen_databases = [\"d{name}\"]",
            number % 8,
            800 + number % 7
        );
        catalog
            .insert(&name, EntryValue::Tenant(toml::from_str(&text).expect("the tenant is valid")));
    }
    VersionedCatalog::from(catalog).delta_for(&CatalogSummary::empty())
}

#[test]
fn a_large_catalog_is_packed_small() {
    let delta = large_delta();
    let mut cbor = Vec::new();
    ciborium::into_writer(&delta, &mut cbor).expect("the delta is encoded as CBOR");
    let packed = pack(&delta).expect("the delta is encoded");
    println!("{} bytes, packed {}", cbor.len(), packed.len());
    assert!(packed.len() < MAX_PACKED_BYTES, "{}", packed.len());
    assert_eq!(unpack(&packed).expect("the delta is decoded"), delta);
}

#[test]
fn chunks_are_reassembled_and_rejected_out_of_order() {
    let packed = pack(&large_delta()).expect("the delta is encoded");
    let chunk = |offset: u32| chunk_at(TRANSFER, &packed, offset, CHUNK_BYTES);
    let mut incoming = IncomingTransfer::begin(&chunk(0)).expect("the first chunk is accepted");
    assert!(matches!(incoming.add(&chunk(0)), Err(TransferError::OutOfOrder)));
    assert!(matches!(incoming.add(&chunk(2_000)), Err(TransferError::OutOfOrder)));
    let mut other = chunk(1_000);
    other.transfer = TransferId(8);
    assert!(matches!(incoming.add(&other), Err(TransferError::OutOfOrder)));
    while !incoming.is_complete() {
        incoming.add(&chunk(incoming.next_offset())).expect("the next chunk is accepted");
    }
    assert_eq!(incoming.bytes(), &packed[..]);
    let end = chunk(packed.len() as u32);
    assert!(end.bytes.is_empty(), "the chunk after the end must be empty");
}

#[test]
fn malformed_deltas_are_rejected() {
    let packed = pack(&large_delta()).expect("the delta is encoded");
    for bytes in [&packed[..packed.len() / 2], &b"no delta"[..], &[]] {
        assert!(matches!(unpack(bytes), Err(TransferError::Malformed(_))));
    }
    let mut longer = chunk_at(TRANSFER, &Bytes::from_static(b"abc"), 0, CHUNK_BYTES);
    longer.total = 2;
    assert!(matches!(IncomingTransfer::begin(&longer), Err(TransferError::OutOfOrder)));
}
