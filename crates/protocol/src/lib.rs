//! The seam between the proxy and the protocols that callers and back ends speak.
//!
//! The proxy works on typed requests ([`request::Request`]) and typed replies
//! ([`backend::Reply`]). A protocol is two translators: [`client::ClientProtocol`], one for each
//! caller's connection, turns bytes into requests and the proxy's own answers into bytes;
//! [`backend::BackendProtocol`], one for each back-end connection, turns exchanges into bytes and
//! bytes into replies. Neither decides where or whether a request runs.

pub mod backend;
pub mod client;
pub mod facts_cache;
pub mod login;
pub mod request;
pub mod request_key;

use std::fmt::Debug;

use backend::BackendProtocol;
use client::ClientProtocol;

/// A protocol: makes the translators of new connections.
pub trait Protocol: Debug + Send + Sync {
    /// The translator of a caller's new connection.
    fn client(&self) -> Box<dyn ClientProtocol>;

    /// The translator of a new connection to a back end.
    fn backend(&self) -> Box<dyn BackendProtocol>;

    /// What the proxy may rely on.
    fn traits(&self) -> ProtocolTraits;
}

/// What the proxy may rely on, beyond requests and replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolTraits {
    /// Every answer of a back end tells its position, and the first exchange of a lease can name
    /// the position that the instance must have reached; the instance itself checks it.
    pub positions_in_answers: bool,
    /// A caller may bring along the bound of an earlier session. One that does not gets the
    /// group's position as of its login, since it may have written through another session.
    pub sessions_resume: bool,
    /// A caller that is sent away is told so by a message; otherwise its connection just closes.
    pub sends_disconnect_notice: bool,
    /// Callers repeat what was refused without having run, as long as their own deadline allows.
    pub clients_retry: bool,
}
