//! A platform whose instances must run only what its recorded sessions sent.

use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::client::LineSession;
use super::client_record::ClientRecord;
use super::{MAX_STALENESS_MS, Platform};
use crate::check::statements::record::RouteKind;

/// Number of violations that a failure shows.
const MAX_SHOWN: usize = 20;

/// A platform on which every client is a session of [`Platform::open_session`]. When it is dropped, it
/// panics if a statement broke a rule.
pub struct JudgedPlatform(pub Platform);

impl Platform {
    /// Opens a session through a node and records what it sends.
    pub fn open_session(
        &self,
        node: usize,
        database: &str,
        name: &str,
    ) -> miette::Result<LineSession> {
        open_recorded(self.client_addresses[node], database, name, &self.clients)
    }
}

/// Opens a session at the address of a node and records what it sends.
pub fn open_recorded(
    address: SocketAddr,
    database: &str,
    name: &str,
    record: &Arc<ClientRecord>,
) -> miette::Result<LineSession> {
    let session = LineSession::open(address, database, name)?;
    Ok(session.recorded_by(record.session(name, route_kind(database))))
}

/// The guarantee of the route to a database of [`super::database`]. Extra routes have that of sessions.
fn route_kind(database: &str) -> RouteKind {
    let max_staleness = Duration::from_millis(MAX_STALENESS_MS);
    match database.rsplit('-').next() {
        Some("primary") => RouteKind::Primary,
        Some("bounded") => RouteKind::BoundedStaleness(max_staleness),
        _ => RouteKind::ReadYourWrites(max_staleness),
    }
}

impl Deref for JudgedPlatform {
    type Target = Platform;

    fn deref(&self) -> &Platform {
        &self.0
    }
}

impl DerefMut for JudgedPlatform {
    fn deref_mut(&mut self) -> &mut Platform {
        &mut self.0
    }
}

impl Drop for JudgedPlatform {
    fn drop(&mut self) {
        if thread::panicking() {
            return;
        }
        let violations = self.0.clients.violations(&self.0.groups);
        let shown: Vec<String> =
            violations.iter().take(MAX_SHOWN).map(ToString::to_string).collect();
        let count = violations.len();
        assert!(shown.is_empty(), "{count} statements broke a rule:\n{}", shown.join("\n"));
    }
}
