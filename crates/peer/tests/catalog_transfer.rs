//! Deltas of the configuration on their way: packed, in parts, and what arrives malformed.

use bytes::Bytes;
use kestrellock_core::admin::configuration::EntryValue;
use kestrellock_core::catalog::{
    Catalog, CatalogDelta, CatalogSummary, Revision, VersionedCatalog,
};
use kestrellock_peer::catalog_transfer::{
    Incoming, TransferError, TransferId, pack, part_of, unpack,
};

const TENANTS: u64 = 1_400;
const PART_BYTES: usize = 1_000;
const TRANSFER: TransferId = TransferId(7);
/// 10 Mbit/s carry it in 80 ms.
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
        catalog.insert(&name, EntryValue::Tenant(toml::from_str(&text).expect("a tenant")));
    }
    VersionedCatalog::from(catalog).delta_for(&CatalogSummary::empty())
}

#[test]
fn a_large_catalog_is_packed_small() {
    let delta = large_delta();
    let mut cbor = Vec::new();
    ciborium::into_writer(&delta, &mut cbor).expect("CBOR");
    let packed = pack(&delta).expect("it is packed");
    println!("{} bytes, packed {}", cbor.len(), packed.len());
    assert!(packed.len() < MAX_PACKED_BYTES, "{}", packed.len());
    assert_eq!(unpack(&packed).expect("it is unpacked"), delta);
}

#[test]
fn parts_make_the_whole_and_are_taken_in_order_only() {
    let packed = pack(&large_delta()).expect("it is packed");
    let part = |offset: u32| part_of(TRANSFER, &packed, offset, PART_BYTES);
    let mut incoming = Incoming::begin(&part(0)).expect("the first");
    assert!(matches!(incoming.add(&part(0)), Err(TransferError::OutOfOrder)));
    assert!(matches!(incoming.add(&part(2_000)), Err(TransferError::OutOfOrder)));
    let mut other = part(1_000);
    other.transfer = TransferId(8);
    assert!(matches!(incoming.add(&other), Err(TransferError::OutOfOrder)));
    while !incoming.is_whole() {
        incoming.add(&part(incoming.next_offset())).expect("the next");
    }
    assert_eq!(incoming.bytes(), &packed[..]);
    let end = part(packed.len() as u32);
    assert!(end.bytes.is_empty(), "nothing follows the whole");
}

#[test]
fn what_is_no_delta_is_refused() {
    let packed = pack(&large_delta()).expect("it is packed");
    for bytes in [&packed[..packed.len() / 2], &b"no delta"[..], &[]] {
        assert!(matches!(unpack(bytes), Err(TransferError::Malformed(_))));
    }
    let mut longer = part_of(TRANSFER, &Bytes::from_static(b"abc"), 0, PART_BYTES);
    longer.total = 2;
    assert!(matches!(Incoming::begin(&longer), Err(TransferError::OutOfOrder)));
}
