//! Pages that read and change the configuration.

use std::time::{Duration, Instant};

use kestrellock_core::admin::AdminError;
use kestrellock_core::admin::configuration::{
    ApplyRequest, Authorship, Entry, EntryId, EntryKind, Listing, NodeRevision, Source,
};
use kestrellock_core::catalog::Catalog;
use kestrellock_core::outcome::ResultCode;
use kestrellock_store::apply::{ApplyError, ApplyLimits, apply};
use kestrellock_store::catalog::{self, CatalogError, PREFIX};

use super::Admin;
use super::answer::Answer;

/// Time that other nodes have to tell their revisions.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
const ANSWER_STEP: Duration = Duration::from_millis(10);

type Page = Result<Answer, AdminError>;

/// Entries of one kind, or one of them.
pub fn list(admin: &Admin, kind: EntryKind, name: Option<&str>) -> Page {
    let mut listing = match read_entries(admin, kind) {
        Ok(listing) => listing,
        Err(CatalogError::Store(_)) => in_force(&admin.context.catalog.load(), kind),
        Err(error) => return Err(malformed(&error)),
    };
    if let Some(name) = name {
        listing.entries.retain(|entry| entry.name == name);
        if listing.entries.is_empty() {
            return Err(no_such_entry(&EntryId { kind, name: name.to_owned() }));
        }
    }
    Ok(Answer::json(&listing))
}

fn read_entries(admin: &Admin, kind: EntryKind) -> Result<Listing, CatalogError> {
    let snapshot = admin.store.range(PREFIX)?;
    let mut entries = Vec::new();
    for stored in &snapshot.entries {
        let entry = catalog::decode(stored)?;
        entries.extend(entry.filter(|entry| entry.value.kind() == kind));
    }
    Ok(Listing { revision: catalog::revision_of(&snapshot), source: Source::Store, entries })
}

/// Without the store, authors are not known: the catalog carries values alone.
fn in_force(catalog: &Catalog, kind: EntryKind) -> Listing {
    let entries = catalog.entries(kind).into_iter().map(|change| Entry {
        name: change.name,
        revision: catalog.revision,
        authorship: Authorship::default(),
        value: change.value,
    });
    let entries = entries.collect();
    Listing { revision: catalog.revision, source: Source::InForce, entries }
}

/// Kept versions of an entry, newest first.
pub fn history(admin: &Admin, id: &EntryId) -> Page {
    let versions =
        catalog::read_history(admin.store.as_ref(), id).map_err(|error| match error {
            CatalogError::Store(error) => unavailable(&error),
            other => malformed(&other),
        })?;
    if versions.is_empty() {
        return Err(no_such_entry(id));
    }
    Ok(Answer::json(&versions))
}

/// Writes entries.
pub fn change(admin: &Admin, body: &[u8]) -> Page {
    let request: ApplyRequest = serde_json::from_slice(body)
        .map_err(|error| AdminError::new(ResultCode::AdminRequestRefused, error.to_string()))?;
    match apply(admin.store.as_ref(), &request, &ApplyLimits::default()) {
        Ok(applied) => Ok(Answer::json(&applied)),
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

/// Asks the nodes that are not known to be up to date, and gives them a moment.
fn wait_for_answers(admin: &Admin) {
    admin.configuration.request_revisions();
    let end = Instant::now() + ANSWER_LIMIT;
    while !admin.configuration.nodes_behind().is_empty() && Instant::now() < end {
        std::thread::sleep(ANSWER_STEP);
    }
}

/// Live nodes and the revision that each has in force.
pub fn nodes(admin: &Admin) -> Page {
    let context = &admin.context;
    wait_for_answers(admin);
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
    Ok(Answer::json(&nodes))
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
