//! Admin pages that read and change the configuration.

use std::time::{Duration, Instant};

use kestrellock_core::admin::AdminError;
use kestrellock_core::admin::configuration::{
    ApplyRequest, Authorship, Entry, EntryId, EntryKind, Listing, NodeRevision, Source,
};
use kestrellock_core::catalog::Catalog;
use kestrellock_core::outcome::ResultCode;
use kestrellock_store::apply::{ApplyError, ApplyLimits, apply};
use kestrellock_store::catalog::{self, CATALOG_PREFIX, CatalogError};

use super::Admin;
use super::response::AdminResponse;

/// Longest wait for other nodes to report their revisions.
const REVISIONS_TIMEOUT: Duration = Duration::from_millis(500);
const REVISIONS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

type Page = Result<AdminResponse, AdminError>;

/// All entries of one kind, or the one with the given name. If the store cannot be read, they come
/// from the active configuration.
pub fn list(admin: &Admin, kind: EntryKind, name: Option<&str>) -> Page {
    let mut listing = match read_entries(admin, kind) {
        Ok(listing) => listing,
        Err(CatalogError::Store(_)) => active_entries(&admin.context.catalog.load(), kind),
        Err(error) => return Err(malformed(&error)),
    };
    if let Some(name) = name {
        listing.entries.retain(|entry| entry.name == name);
        if listing.entries.is_empty() {
            return Err(no_such_entry(&EntryId { kind, name: name.to_owned() }));
        }
    }
    Ok(AdminResponse::json(&listing))
}

fn read_entries(admin: &Admin, kind: EntryKind) -> Result<Listing, CatalogError> {
    let snapshot = admin.store.range(CATALOG_PREFIX)?;
    let mut entries = Vec::new();
    for stored in &snapshot.entries {
        let entry = catalog::decode(stored)?;
        entries.extend(entry.filter(|entry| entry.value.kind() == kind));
    }
    Ok(Listing {
        revision: catalog::configuration_revision(&snapshot),
        source: Source::Store,
        entries,
    })
}

/// Entries of the active configuration, without authors: the catalog contains only their values.
fn active_entries(catalog: &Catalog, kind: EntryKind) -> Listing {
    let entries = catalog.entries(kind).into_iter().map(|change| Entry {
        name: change.name,
        revision: catalog.revision,
        authorship: Authorship::default(),
        value: change.value,
    });
    let entries = entries.collect();
    Listing { revision: catalog.revision, source: Source::Active, entries }
}

/// Stored versions of an entry, newest first.
pub fn history(admin: &Admin, id: &EntryId) -> Page {
    let versions =
        catalog::read_history(admin.store.as_ref(), id).map_err(|error| match error {
            CatalogError::Store(error) => unavailable(&error),
            other => malformed(&other),
        })?;
    if versions.is_empty() {
        return Err(no_such_entry(id));
    }
    Ok(AdminResponse::json(&versions))
}

/// Writes entries to the store.
pub fn change(admin: &Admin, body: &[u8]) -> Page {
    let request: ApplyRequest = serde_json::from_slice(body)
        .map_err(|error| AdminError::new(ResultCode::AdminRequestRefused, error.to_string()))?;
    match apply(admin.store.as_ref(), &request, &ApplyLimits::default()) {
        Ok(applied) => Ok(AdminResponse::json(&applied)),
        Err(error) => Err(refusal(error)),
    }
}

fn refusal(error: ApplyError) -> AdminError {
    let message = error.to_string();
    let code = match &error {
        ApplyError::Size => ResultCode::AdminRequestRefused,
        ApplyError::Invalid(_) | ApplyError::Malformed(_) => ResultCode::ConfigurationInvalid,
        ApplyError::Conflict { .. } => ResultCode::ConfigurationConflict,
        ApplyError::Unavailable(_) => ResultCode::StoreUnavailable,
        ApplyError::InDoubt(_) => ResultCode::StoreInDoubt,
    };
    let mut refusal = AdminError::new(code, message);
    match error {
        ApplyError::Invalid(invalid) => refusal.field = Some(invalid.field),
        ApplyError::Conflict { entries, .. } => refusal.conflicting = entries,
        _ => {}
    }
    refusal
}

/// Requests the revisions of the nodes that are not known to be up to date, and waits until all are
/// or the timeout has passed.
fn wait_for_revisions(admin: &Admin) {
    admin.configuration.request_revisions();
    let deadline = Instant::now() + REVISIONS_TIMEOUT;
    while !admin.configuration.nodes_behind().is_empty() && Instant::now() < deadline {
        std::thread::sleep(REVISIONS_CHECK_INTERVAL);
    }
}

/// Live nodes and the active revision of each.
pub fn nodes(admin: &Admin) -> Page {
    let context = &admin.context;
    wait_for_revisions(admin);
    let live = context.live.load();
    let own = context.catalog.load().revision;
    let revision = |node: &_| match *node == context.identity.node {
        true => own,
        false => context.revisions.of(node),
    };
    let nodes: Vec<NodeRevision> = live
        .iter()
        .map(|live| NodeRevision {
            revision: revision(&live.candidate.node),
            node: live.candidate.node.clone(),
            zone: live.candidate.zone.clone(),
        })
        .collect();
    Ok(AdminResponse::json(&nodes))
}

fn no_such_entry(id: &EntryId) -> AdminError {
    AdminError::new(ResultCode::NoSuchEntry, format!("no entry {id}"))
}

fn unavailable(error: &impl std::fmt::Display) -> AdminError {
    AdminError::new(ResultCode::StoreUnavailable, error.to_string())
}

fn malformed(error: &impl std::fmt::Display) -> AdminError {
    AdminError::new(ResultCode::ConfigurationInvalid, error.to_string())
}
