//! The interface between the proxy and the protocols that clients and instances speak.
//!
//! The proxy works on typed requests ([`request::Request`]) and typed replies
//! ([`backend::Reply`]). A protocol supplies two codecs. [`client::ClientProtocol`] handles one
//! client connection: it turns bytes into requests and the proxy's own answers into bytes.
//! [`backend::BackendProtocol`] handles one server connection: it turns exchanges into bytes and
//! bytes into replies. Neither decides whether or where a request runs.

pub mod backend;
pub mod client;
pub mod facts_cache;
pub mod login;
pub mod prepared_names;
pub mod request;
pub mod request_key;

use std::fmt::Debug;

use kestrellock_core::session_end::DisconnectNotice;

use backend::BackendProtocol;
use client::ClientProtocol;

/// A protocol: creates the codecs of new connections.
pub trait Protocol: Debug + Send + Sync {
    /// Creates the codec of a new client connection.
    fn client(&self) -> Box<dyn ClientProtocol>;

    /// Creates the codec of a new connection to an instance.
    fn backend(&self) -> Box<dyn BackendProtocol>;

    /// The capabilities that the proxy may rely on.
    fn traits(&self) -> ProtocolTraits;
}

/// Capabilities of a protocol that the proxy may rely on, beyond requests and replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolTraits {
    /// Every answer of an instance includes its position, and the first exchange of a server lease
    /// can name the position that the instance must have reached. The instance itself checks it.
    pub positions_in_answers: bool,
    /// A client may present the bound of an earlier session at login. A client that presents none
    /// gets the group's position as of its login, since it may have written through another
    /// session.
    pub sessions_resume: bool,
    /// What the message that announces the end of a session means to a client that has just sent a
    /// request.
    pub disconnect_notice: DisconnectNotice,
    /// Clients retry requests that were refused without having run, until their own deadline.
    pub clients_retry: bool,
}
