//! The identity of a logged-in client and the database group that it is connected to.

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::catalog::TenantParameters;
use kestrellock_core::credential::Credential;
use kestrellock_core::ids::GroupName;
use kestrellock_core::position::Position;
use kestrellock_core::session_state::SessionState;

use crate::request_key::RequestKey;

/// A client's identity, its database group and the session state that it presented at login.
#[derive(Clone, Debug)]
pub struct Login {
    /// The tenant and its parameters, as of the login or the start of the last transaction.
    pub parameters: TenantParameters,
    /// The credential that the client presented.
    pub credential: Credential,
    /// The database that the client named.
    pub database: String,
    /// The group that holds this database.
    pub group: GroupName,
    /// Session bound that the client presented.
    pub bound: Option<Position>,
    /// Request key that the client presented for its first write or transaction.
    pub request_key: Option<RequestKey>,
    /// Settings that the client presented.
    pub state: SessionState,
    /// Key that cancels the session's statements.
    pub cancel_key: CancelKey,
}
